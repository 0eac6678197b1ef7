// Package unsent bounds the memory that a host holds for request bodies that targets have not read.
//
// Pattern: targets accept connections and read nothing, or slowly, while long requests keep arriving.
// A body stays in memory until its target has read it, and without a bound a few such targets would
// exhaust the host's memory and fail the requests to all other targets.
//
// A target that does not read, and has too many unread bytes, is avoided for further long bodies. Such
// targets share half of a bound; above that the bodies that have waited longest are aborted, so that the
// other half stays open to targets that read. A target that left a body unread counts among those only
// once it has read another one.
package unsent

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"
)

const (
	// sharedPart is the part of Limits.Total that targets with unread bytes may use together.
	sharedPart = 0.5
	// minWait is how long a body may always wait: a momentarily congested link or a pause of the
	// target's process also blocks writes to targets that read.
	minWait       = 2 * time.Second
	checkInterval = 500 * time.Millisecond
	// minSweepInterval bounds the time spent on asking for the state of all connections.
	minSweepInterval = 50 * time.Millisecond
	// unreadAfter is how long a body waits before its target counts as one that does not read: longer
	// than a body takes over a slow link, and shorter than callers of interactive routes wait.
	unreadAfter = 250 * time.Millisecond
	// burstFactor is how many times Limits.PerTarget a target may have in bodies that all wait for less
	// than unreadAfter.
	burstFactor = 4
	// forgetAfter bounds how long targets are remembered that left a body unread and got no other: they
	// may be gone. A target that is there shows by its next body that it reads.
	forgetAfter = 10 * time.Minute
)

// Limits bound the unread bytes. A target that has read everything may get a body above PerTarget, and a host that
// holds nothing one above Total.
type Limits struct {
	Total     int64 // of all targets
	PerTarget int64 // of one target that does not read
}

// Unlimited bounds nothing.
var Unlimited = Limits{Total: math.MaxInt64, PerTarget: math.MaxInt64 / burstFactor}

// Tracker tracks the bodies that targets have not read to their end. A body counts as read once the target responds, or
// once it was found on the target's machine unreadAfter after it was sent.
type Tracker struct {
	limits  Limits
	onAbort func()
	held    atomic.Int64

	mu       sync.Mutex
	backlogs map[string]*backlog // by target; targets that have read everything have none
	sweptAt  time.Time           // when all backlogs were last swept
}

// backlog is what one target has not read.
type backlog struct {
	bytes    int64
	bodies   map[*Body]struct{}
	unreadAt time.Time // when the target last left a body unread; zero: it has read one since
	avoided  bool      // it was logged that the target is avoided
}

// Body is one body on its way to a target. A nil Body is one that is not tracked.
type Body struct {
	tracker *Tracker
	target  string
	bytes   int64
	since   time.Time
	conn    Conn // nil until the write begins, and after the body ended
}

// Conn is the connection on which a body is written.
type Conn interface {
	// Unsent reports whether a part of the body has not arrived at the target's machine.
	Unsent() bool
	// Abort ends the attempt. It must not block.
	Abort()
}

// New returns a tracker. It calls onAbort after each body that it aborts.
func New(limits Limits, onAbort func()) *Tracker {
	return &Tracker{limits: limits, onAbort: onAbort, backlogs: map[string]*backlog{}}
}

// Begin registers a body for a target until Read or End. ok is false if the target must not get it.
func (t *Tracker) Begin(target string, bytes int64, now time.Time) (b *Body, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.backlogs[target]
	if !t.admits(l, bytes, now) {
		t.logAvoided(target, l)
		return nil, false
	}
	l = t.backlogs[target] // it may have been dropped
	if l == nil {
		l = &backlog{bodies: map[*Body]struct{}{}}
		t.backlogs[target] = l
	}
	b = &Body{tracker: t, target: target, bytes: bytes, since: now}
	l.bodies[b] = struct{}{}
	l.bytes += bytes
	t.held.Add(bytes)
	return b, true
}

// admits reports whether a target with a backlog, nil if it has read everything, may get another body.
// The lock is held.
func (t *Tracker) admits(l *backlog, bytes int64, now time.Time) bool {
	if l != nil {
		t.sweep(l, now)
	}
	if t.held.Load()+bytes > t.shared() {
		t.sweepAll(now)
	}
	total, perTarget := t.limits.Total, t.limits.PerTarget
	if l.reads(now) {
		perTarget *= burstFactor
	} else {
		total = t.shared()
	}
	held := t.held.Load()
	return (held == 0 || held+bytes <= total) && (l == nil || l.bytes == 0 || l.bytes+bytes <= perTarget)
}

// reads reports whether the target reads, as far as is known.
func (l *backlog) reads(now time.Time) bool {
	if l == nil {
		return true
	}
	if !l.unreadAt.IsZero() {
		return false
	}
	for b := range l.bodies {
		if now.Sub(b.since) >= unreadAfter {
			return false
		}
	}
	return true
}

// shared is how many bytes targets that do not read may have together.
func (t *Tracker) shared() int64 { return int64(sharedPart * float64(t.limits.Total)) }

// logAvoided logs that a target is avoided, once until it has read everything. The lock is held.
func (t *Tracker) logAvoided(target string, l *backlog) {
	if l == nil || l.avoided {
		return
	}
	l.avoided = true
	log.WithFields(log.Fields{
		"target": target, "unread": l.bytes, "bodies": len(l.bodies), "held": t.held.Load(),
	}).Warn("target avoided for long requests: it does not read those it has")
}

// Exclude adds to excluded the targets that must not get a body of so many bytes. It does not change
// excluded, and returns it where there are none.
func (t *Tracker) Exclude(excluded map[string]bool, bytes int64, now time.Time) map[string]bool {
	if t.held.Load()+bytes <= min(t.limits.PerTarget, t.shared()) {
		return excluded
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var all map[string]bool
	for target, l := range t.backlogs {
		if t.admits(l, bytes, now) {
			continue
		}
		if all == nil {
			all = map[string]bool{target: true}
			maps.Copy(all, excluded)
		}
		all[target] = true
		t.logAvoided(target, l)
	}
	if all == nil {
		return excluded
	}
	return all
}

// Writing records that the body's write begins.
func (b *Body) Writing(conn Conn) {
	if b == nil {
		return
	}
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	b.conn = conn
}

// Read records that the target read the body: it responds.
func (b *Body) Read() {
	if b == nil {
		return
	}
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	b.tracker.read(b)
}

// read removes a body that its target has read. The lock is held.
func (t *Tracker) read(b *Body) {
	if l := t.remove(b); l != nil {
		l.unreadAt = time.Time{}
		t.drop(b.target, l)
	}
}

// sweep removes the bodies that have arrived at their target's machine though the target does not respond yet. The lock
// is held.
func (t *Tracker) sweep(l *backlog, now time.Time) {
	for b := range l.bodies {
		if now.Sub(b.since) >= unreadAfter && b.conn != nil && !b.conn.Unsent() {
			t.read(b)
		}
	}
}

// sweepAll sweeps all backlogs, unless it did so within minSweepInterval. The lock is held.
func (t *Tracker) sweepAll(now time.Time) {
	if now.Sub(t.sweptAt) < minSweepInterval {
		return
	}
	t.sweptAt = now
	for _, l := range t.backlogs {
		t.sweep(l, now)
	}
}

// End records that the attempt is over, whether or not the target read the body.
func (b *Body) End(now time.Time) {
	if b == nil {
		return
	}
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	b.tracker.endUnread(b, now)
}

// endUnread removes a body that its target has not read. The lock is held.
func (t *Tracker) endUnread(b *Body, now time.Time) {
	unread := b.conn != nil && b.conn.Unsent()
	l := t.remove(b)
	if l == nil {
		return
	}
	if unread && now.Sub(b.since) >= unreadAfter {
		l.unreadAt = now
	}
	t.drop(b.target, l)
}

// remove removes a body and returns its target's backlog, nil if it was removed before. The lock is held.
func (t *Tracker) remove(b *Body) *backlog {
	l := t.backlogs[b.target]
	if l == nil {
		return nil
	}
	if _, ok := l.bodies[b]; !ok {
		return nil
	}
	b.conn = nil
	delete(l.bodies, b)
	l.bytes -= b.bytes
	t.held.Add(-b.bytes)
	return l
}

// drop drops the backlog of a target that has read everything. The lock is held.
func (t *Tracker) drop(target string, l *backlog) {
	if len(l.bodies) == 0 && l.unreadAt.IsZero() {
		delete(t.backlogs, target)
	}
}

// forget drops what is known of targets that left a body unread long ago. The lock is held.
func (t *Tracker) forget(now time.Time) {
	for target, l := range t.backlogs {
		if now.Sub(l.unreadAt) > forgetAfter {
			l.unreadAt = time.Time{}
			t.drop(target, l)
		}
	}
}

// Run checks for bodies to abort until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			t.check(now)
		}
	}
}

// check aborts the bodies that have waited longest while more is held than targets that do not read may
// have together, but none within minWait.
func (t *Tracker) check(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	t.sweepAll(now)
	if t.held.Load() <= t.shared() {
		return
	}
	for _, b := range t.waiting() {
		waited := now.Sub(b.since)
		if waited < minWait || t.held.Load() <= t.shared() {
			return
		}
		conn := b.conn
		t.endUnread(b, now)
		conn.Abort()
		log.WithFields(log.Fields{
			"target": b.target, "bytes": b.bytes, "waited": waited.Round(time.Millisecond), "held": t.held.Load(),
		}).Warn("request aborted: the target does not read it")
		t.onAbort()
	}
}

// waiting lists the bodies that are being written, those that have waited longest first. The lock is held.
func (t *Tracker) waiting() []*Body {
	var list []*Body
	for _, l := range t.backlogs {
		for b := range l.bodies {
			if b.conn != nil {
				list = append(list, b)
			}
		}
	}
	slices.SortFunc(list, func(a, b *Body) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	return list
}

// Held returns the bytes that targets have not read.
func (t *Tracker) Held() int64 { return t.held.Load() }

// Targets returns the number of targets that have not read all bodies sent to them.
func (t *Tracker) Targets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.backlogs)
}
