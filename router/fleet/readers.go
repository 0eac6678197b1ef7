package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// What hosts read of the log would grow with the fleet if each read it. In a large fleet a few readers follow the log,
// and all other hosts follow a reader. The log itself divides the readers' places among the hosts that join a group, so
// that all agree on them before they know each other. A host that follows readers does not go back to the log when one
// falls silent: it asks another reader, and once the log has given a silent reader's place to another host, that one.
// While none responds, it may be cut off from the other hosts alone: it reads Options.ReadAlone itself, if it had loaded
// them before.

// Bounds on readers.
const (
	// maxDirectHosts is the size of a fleet up to which each host reads the log itself.
	maxDirectHosts = 300
	// minFollowedHosts is the size down to which a fleet that has readers keeps them.
	minFollowedHosts = 250
	// maxReaders bounds the hosts that read the log for all others. Each reads every heartbeat of every target.
	maxReaders = 8
	// minReaderMbps is the speed of the link from which a host reads for others: a few megabytes for each of a
	// hundred hosts that start at once take some seconds.
	minReaderMbps = 100
)

// Timing of the readers' group.
const (
	readerTTL         = 3 * time.Second // of a place without a join
	joinInterval      = time.Second
	joinRetryInterval = 200 * time.Millisecond // after a failed join, and while places are being divided
	// ownersInterval is the time between looks at who the readers are, ownersRetryDelay while there are none or one does
	// not respond, and ownersErrorDelay after a look that failed.
	ownersInterval   = 3 * time.Second
	ownersRetryDelay = 300 * time.Millisecond
	ownersErrorDelay = time.Second
	// firstLookDelay leaves hosts with faster links the time to join first.
	firstLookDelay = 100 * time.Millisecond
	// checkInterval is the time between checks of whether readers are needed, undecidedPause at the start.
	checkInterval  = time.Second
	undecidedPause = 50 * time.Millisecond
	// noReaderTime is how long there are no readers with fast links before hosts with slower ones join.
	noReaderTime = 2 * time.Second
	// maxUndecidedTime is the time after which a host that can't learn of readers reads the log itself; half of it at least.
	maxUndecidedTime = 2 * time.Minute
	// announcementsDelay is the time after which a host that can't learn of readers reads the announcements from the log.
	announcementsDelay = 4 * time.Second
)

// mode says from where this host has the topics of the log.
type mode int

const (
	undecided mode = iota // not known yet; the log is not read
	direct                // from the log
	reading               // from the log, for other hosts too
	following             // from a reader
)

var modeNames = [...]string{undecided: "undecided", direct: "direct", reading: "reading", following: "following"}

func (m mode) String() string { return modeNames[m] }

// readers decides from where this host has the topics of the log.
type readers struct {
	fleet  *Fleet
	groups eventlog.Groups

	wasLarge  bool      // the fleet has been too large to read directly
	unheardAt time.Time // when the announcements were last found to be outdated

	mu            sync.Mutex
	mode          mode
	changed       chan struct{} // closed and replaced when mode or looked change
	others        []reader      // the other readers, by address
	lookUp        chan struct{} // requests a look at who the readers are
	onChange      func()        // called after the mode changed, except when it is first decided
	alone         bool          // this host has been cut off from the readers
	generation    int64
	joined        time.Time     // start of the last successful join
	place         bool          // the last join gave this host a place
	since         time.Time     // when the mode changed, or a reader last responded
	looked        time.Time     // start of the last look at who the readers are
	lookRequested bool          // a look was requested
	lookFailed    bool          // the last look failed
	slowSince     time.Time     // since when no reader with a fast link is known; zero: one is, or nothing is known
	undecidedTime time.Duration // see maxUndecidedTime
	noReaders     bool          // a look found none, or all failed for announcementsDelay
}

// newReaders returns readers that have all hosts read the log if groups is nil.
func newReaders(f *Fleet, groups eventlog.Groups, onChange func()) *readers {
	r := &readers{fleet: f, groups: groups, changed: make(chan struct{}), lookUp: make(chan struct{}, 1), onChange: onChange, undecidedTime: maxUndecidedTime/2 + rand.N(maxUndecidedTime/2)}
	if groups == nil {
		r.mode = direct
	}
	return r
}

// run keeps the mode up to date until ctx ends.
func (r *readers) run(ctx context.Context) {
	if r.groups == nil {
		return
	}
	ctx = patience.WithLife(ctx)
	if !r.fastLink() {
		wait.For(ctx, wait.Jitter(firstLookDelay))
	}
	for ctx.Err() == nil {
		r.wait(ctx, min(r.round(ctx), checkInterval))
		r.probe(ctx)
	}
}

// wait waits for a pause, or a shorter one if a look at the readers is requested.
func (r *readers) wait(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-r.lookUp:
		wait.For(ctx, wait.Jitter(ownersRetryDelay))
	}
}

// fastLink reports whether this host's link is fast enough to read for others, as far as its speed is known.
func (r *readers) fastLink() bool {
	speed := r.fleet.opts.Self.LinkMbps
	return speed == 0 || speed >= minReaderMbps
}

// round updates the mode and returns the pause until the next round.
func (r *readers) round(ctx context.Context) time.Duration {
	if r.readsDirectly() {
		r.setMode(direct)
		return checkInterval
	}
	pause := checkInterval
	if r.joins() {
		pause = r.join(ctx)
		if r.hasPlace() && r.fastLink() {
			r.setMode(reading)
			return pause
		}
	} else {
		r.leave()
	}
	if err := r.lookAtOwners(ctx); err != nil {
		pause = min(pause, wait.Jitter(ownersErrorDelay))
	}
	switch {
	case r.hasPlace():
		r.setMode(reading)
		return pause
	case r.hasReaders() || r.current() == reading:
		r.setMode(following)
		return pause
	case r.current() == undecided && time.Since(r.fleet.createdAt) > r.undecidedTime:
		r.setMode(direct)
	case r.current() == undecided:
		return min(pause, wait.Jitter(undecidedPause))
	}
	return min(pause, wait.Jitter(ownersRetryDelay))
}

// readsDirectly reports whether the fleet is known to be small enough for each host to read the log.
func (r *readers) readsDirectly() bool {
	f := r.fleet
	limit := maxDirectHosts
	if m := r.current(); m == following || m == reading {
		limit = minFollowedHosts
	}
	if f.Size() > limit {
		r.wasLarge = true
		return false
	}
	return f.countsAllHosts() && (!r.wasLarge || r.announcementsHeard())
}

// announcementsHeard reports whether this host has read announcements for long enough to know of all hosts. One that
// read none for a while has forgotten the others: that makes no fleet small.
func (r *readers) announcementsHeard() bool {
	f := r.fleet
	c := f.opts.Replicas[f.opts.Topic]
	now := time.Now()
	if c != nil && c.Age() > f.freshFor(c) {
		r.unheardAt = now
	}
	return now.Sub(r.unheardAt) > 2*maxAnnounceInterval
}

// signal wakes those that wait for a change. The lock is held.
func (r *readers) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *readers) hasReaders() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.others) > 0
}

func (r *readers) current() mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// setMode changes the mode.
func (r *readers) setMode(m mode) {
	r.mu.Lock()
	old := r.mode
	if old == m {
		r.mu.Unlock()
		return
	}
	r.mode, r.since = m, time.Now()
	r.signal()
	known := len(r.others)
	r.mu.Unlock()
	log.WithFields(log.Fields{"before": old, "now": m, "hosts": r.fleet.Size(), "readers": known}).Info("source of the log's topics changed")
	if old != undecided && r.onChange != nil {
		r.onChange()
	}
}

// requestLook requests a look at who the readers are.
func (r *readers) requestLook() {
	r.mu.Lock()
	r.lookRequested = true
	r.mu.Unlock()
	select {
	case r.lookUp <- struct{}{}:
	default:
	}
}

// responded notes that a reader responded.
func (r *readers) responded() {
	r.mu.Lock()
	r.since = time.Now()
	wasAlone := r.alone
	r.alone = false
	r.mu.Unlock()
	if !wasAlone {
		return
	}
	log.Info("a reader responds again")
	if r.onChange != nil {
		r.onChange()
	}
}

// await waits until this host knows from where it has a topic, and returns it. The announcements of hosts tell whether
// readers are needed, so they are read from the log if there are no readers yet.
func (r *readers) await(ctx context.Context, topic string) mode {
	announcements := topic == r.fleet.opts.Topic && !r.fleet.hostsLoaded()
	for {
		r.mu.Lock()
		m, changed := r.mode, r.changed
		if m == undecided && announcements && r.noReaders {
			m = direct
		}
		r.mu.Unlock()
		if m != undecided {
			return m
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return undecided
		}
	}
}

// ReadsLog reports whether this host reads the log itself, and if so whether for others too.
func (f *Fleet) ReadsLog() (reads, forOthers bool) {
	m := f.readers.current()
	return m == direct || m == reading, m == reading
}

// SourceSince reports whether it is decided from where this host has the log's topics, and since when no reader has
// responded to it: zero if it reads the log itself.
func (f *Fleet) SourceSince() (decided bool, silent time.Time) {
	r := f.readers
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == following {
		silent = r.since
	}
	return r.mode != undecided, silent
}

// Source names the source of the log's topics, for log lines and metrics.
func (f *Fleet) Source() string { return f.readers.current().String() }

// Sources lists what Source may return.
func Sources() []string { return modeNames[:] }
