package streamversion

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// Use says that streams of a route may have begun at a service, or streams of a service at a software version of its
// targets.
type Use struct {
	Route   string `json:"route,omitempty"` // empty in the second case
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
}

// KeyPrefix begins the keys of the records of a Past in the hosts' topic.
const KeyPrefix = "stream-version/"

// completeKey is the key of the record which says that the records of all uses are there.
const completeKey = KeyPrefix + "complete"

// useKeyBytes is the length of the digest in the key of a use.
const useKeyBytes = 12

// key returns the key of the use's record. Names of routes and versions may be longer than a key.
func (u Use) key() string {
	sum := sha256.Sum256([]byte(u.Route + "\x00" + u.Service + "\x00" + u.Version))
	return KeyPrefix + hex.EncodeToString(sum[:useKeyBytes])
}

// completeRecord is the value of the record under completeKey.
type completeRecord struct {
	// Era is the newest era of the log in which the records of all uses were there. A log that was restored later may lack
	// some.
	Era int64 `json:"era"`
}

// Timing of a Past.
const (
	// useMemory is how long a stream may be in progress after its route was moved to another service, or the last target of
	// its version left. A host that has followed the targets for longer knows all versions.
	useMemory   = 60 * time.Second
	useInterval = 200 * time.Millisecond // between two looks at the targets
	// writeDelayPerHost spreads the writes of all hosts that observe a new use: they write some four records a second
	// together until they have read the first one.
	writeDelayPerHost = 250 * time.Millisecond
	// neededDelayPerHost does the same for uses at which streams wait to begin, to 400 a second, and neededRewriteAfter is
	// the least time after which such a record is written again.
	neededDelayPerHost = 2500 * time.Microsecond
	neededRewriteAfter = 300 * time.Millisecond
	// recordWait is how long streams wait for the record of a use, from when the first of them began there: the log may be
	// away.
	recordWait = time.Second
	// rewriteAfter is the time after which a record that was written and not read back is written again.
	rewriteAfter = 6 * time.Second
	// maxUsesPerWrite bounds the records of one append, of some 200 bytes each.
	maxUsesPerWrite = 256
)

// PastOptions configure a Past.
type PastOptions struct {
	// Observe returns the versions of the targets that this host has known within useMemory, and the services of the
	// present configuration's routes.
	Observe func() []Use
	// Topic returns the era in which this host has the hosts' topic; loaded is false before it has it.
	Topic func() (era int64, loaded bool)
	// ListLoaded reports whether this host has the list of targets.
	ListLoaded func() bool
	// EarlierBuilds reports whether there are hosts that keep no records of uses.
	EarlierBuilds func() bool
	Hosts         func() int
	// Write appends records to the hosts' topic.
	Write func(ctx context.Context, records []eventlog.Record) error
}

// Past knows at which services and versions streams in progress may have begun, also before this host started. Each use is
// a record in the log from when a host first observes it until one that follows the targets has not observed it for
// useMemory. So a host that starts knows which versions have gone, though all others ended before. It is safe for
// concurrent use.
type Past struct {
	opts PastOptions

	mu       sync.Mutex
	recorded map[Use]bool
	byKey    map[string]Use
	observed map[Use]time.Time // when each was last observed
	complete *completeRecord   // nil before it is read
	covers   bool              // see Covers
	since    time.Time         // when this host first had the list of targets
	waiting  map[string]bool   // keys of the records that wait for writeAt
	writeAt  time.Time         // when this host writes the records that the log lacks
	needed   map[Use]time.Time // since when streams have begun at uses that were not recorded
	hurried  bool              // writeAt is soon enough for streams that wait
	changed  chan struct{}     // closed and replaced as records are read

	wake chan struct{} // full: a use is needed
}

// NewPast returns a Past that knows nothing; Run keeps it.
func NewPast(opts PastOptions) *Past {
	return &Past{opts: opts, recorded: map[Use]bool{}, byKey: map[string]Use{}, observed: map[Use]time.Time{}, waiting: map[string]bool{},
		needed: map[Use]time.Time{}, changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// ApplyChanges applies changes of the hosts' topic.
func (p *Past) ApplyChanges(changes []replica.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		if strings.HasPrefix(c.Record.Key, KeyPrefix) {
			p.apply(c.Record)
		}
	}
	for u := range p.needed {
		if p.recorded[u] {
			delete(p.needed, u)
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Past) apply(rec eventlog.Record) {
	switch {
	case rec.Key == completeKey && len(rec.Value) == 0:
		p.complete = nil
	case rec.Key == completeKey:
		var complete completeRecord
		if err := json.Unmarshal(rec.Value, &complete); err != nil {
			logInvalid(rec.Key, err)
			return
		}
		p.complete = &complete
	case len(rec.Value) == 0:
		delete(p.recorded, p.byKey[rec.Key])
		delete(p.byKey, rec.Key)
	default:
		var u Use
		if err := json.Unmarshal(rec.Value, &u); err != nil || u.key() != rec.Key {
			logInvalid(rec.Key, err)
			return
		}
		p.recorded[u], p.byKey[rec.Key] = true, u
	}
}

func logInvalid(key string, err error) {
	log.WithField("key", key).WithError(err).Warn("ignoring an invalid record of where streams began")
}

// Note notes uses that this host observes, before they can begin streams.
func (p *Past) Note(uses []Use) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		p.observed[u] = now
	}
}

// Await waits until the log has the records of where a stream began, but no longer than recordWait after the first stream
// began there. What callers get before could not be told from what the log knows if all hosts ended.
func (p *Past) Await(ctx context.Context, route string, o Origin) {
	uses := []Use{{Route: route, Service: o.Service}, {Service: o.Service, Version: o.Version}}
	if route == "" {
		uses = uses[1:]
	}
	for {
		left, changed := p.need(uses, time.Now())
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// need notes that streams wait for the records of uses. It returns for how long they should, and a channel that is closed
// as records are read.
func (p *Past) need(uses []Use, now time.Time) (left time.Duration, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		if p.recorded[u] {
			continue
		}
		if _, known := p.needed[u]; !known {
			p.needed[u] = now
			select {
			case p.wake <- struct{}{}:
			default:
			}
		}
		p.observed[u] = now
		left = max(left, p.needed[u].Add(recordWait).Sub(now))
	}
	return left, p.changed
}

// Covers reports whether this host knows all services and versions at which streams in progress may have begun, up to when
// it last heard of targets and configurations.
func (p *Past) Covers() bool {
	p.mu.Lock()
	covers := p.covers
	p.mu.Unlock()
	if covers {
		return true
	}
	era, loaded := p.opts.Topic()
	earlier := p.opts.EarlierBuilds()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cover(era, loaded, earlier)
	return p.covers
}

// cover notes whether this host knows all uses, now that it has the hosts' topic in an era. The lock is held.
func (p *Past) cover(era int64, loaded, earlier bool) {
	switch {
	case !loaded:
	case p.complete != nil && p.complete.Era >= era, p.complete == nil && era == 0 && !earlier:
		p.covers = true
	}
}

// Services lists the services that streams of a route in progress may have begun at.
func (p *Past) Services(route string) []string {
	return p.list(func(u Use) (string, bool) { return u.Service, u.Route == route && route != "" })
}

// Versions lists the software versions that streams of a service in progress may have begun at, as far as they were noted.
func (p *Past) Versions(service string) []string {
	return p.list(func(u Use) (string, bool) { return u.Version, u.Route == "" && u.Service == service })
}

// list returns what of returns of each use for which it returns true, sorted.
func (p *Past) list(of func(u Use) (string, bool)) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	add := func(u Use) {
		if text, ok := of(u); ok {
			list = append(list, text)
		}
	}
	for u := range p.recorded {
		add(u)
	}
	for u := range p.observed {
		add(u)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Run observes uses and keeps their records until ctx ends.
func (p *Past) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, records := range p.step(time.Now()) {
			if err := p.opts.Write(ctx, records); err != nil {
				log.WithError(err).WithField("records", len(records)).Info("services and versions of streams not recorded, retrying later")
				break
			}
		}
		p.pause(ctx)
	}
}

// pause waits until the next step.
func (p *Past) pause(ctx context.Context) {
	p.mu.Lock()
	d := useInterval
	if len(p.waiting) > 0 {
		d = max(min(d, time.Until(p.writeAt)), 0)
	}
	p.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.wake:
	case <-timer.C:
	}
}

// step observes uses and returns the appends that this host has to make now.
func (p *Past) step(now time.Time) [][]eventlog.Record {
	observed := p.opts.Observe()
	era, loaded := p.opts.Topic()
	earlier := p.opts.EarlierBuilds()
	hosts := time.Duration(max(p.opts.Hosts(), 1))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range observed {
		p.observed[u] = now
	}
	if p.since.IsZero() && p.opts.ListLoaded() {
		p.since = now
	}
	followed := !p.since.IsZero() && now.Sub(p.since) > useMemory
	for u, at := range p.observed {
		if isVersion := u.Route == ""; isVersion && at.Before(now) || now.Sub(at) > useMemory {
			delete(p.observed, u)
		}
	}
	if !loaded {
		return nil
	}
	p.covers = p.covers || followed
	p.cover(era, loaded, earlier)
	wanted := p.wanted(era, followed)
	return p.due(wanted, now, hosts, p.isNeeded(wanted, now))
}

// isNeeded reports whether streams wait for a wanted record. The lock is held.
func (p *Past) isNeeded(wanted map[string]eventlog.Record, now time.Time) bool {
	for u, since := range p.needed {
		if _, missing := wanted[u.key()]; missing && now.Sub(since) <= recordWait {
			return true
		}
	}
	return false
}

// wanted returns the records that the log should have and, as far as this host has read, has not. The lock is held.
func (p *Past) wanted(era int64, followed bool) map[string]eventlog.Record {
	wanted := map[string]eventlog.Record{}
	want := func(key string, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			panic(fmt.Sprintf("streamversion: %v", err)) // structs of texts and numbers can be encoded
		}
		wanted[key] = eventlog.Record{Key: key, Value: data}
	}
	incomplete := p.covers && (p.complete == nil || p.complete.Era < era)
	for u := range p.observed {
		if !p.recorded[u] || incomplete {
			want(u.key(), u)
		}
	}
	for u := range p.recorded {
		_, observed := p.observed[u]
		switch {
		case observed:
		case followed:
			wanted[u.key()] = eventlog.Record{Key: u.key()}
		case incomplete:
			want(u.key(), u)
		}
	}
	if incomplete {
		want(completeKey, completeRecord{Era: era})
	}
	return wanted
}

// due returns the appends of the wanted records if it is time to make them, which is sooner if streams wait for some. The
// record of completeness comes last. The lock is held.
func (p *Past) due(wanted map[string]eventlog.Record, now time.Time, hosts time.Duration, hurry bool) (appends [][]eventlog.Record) {
	delay, again := hosts*writeDelayPerHost, rewriteAfter
	if hurry {
		delay = hosts * neededDelayPerHost
		again = max(neededRewriteAfter, delay)
	}
	at := now.Add(rand.N(delay))
	for key := range wanted {
		if fresh := !p.waiting[key] || hurry && !p.hurried; fresh && (len(p.waiting) == 0 || at.Before(p.writeAt)) {
			p.writeAt = at
		}
	}
	p.hurried = hurry
	clear(p.waiting)
	for key := range wanted {
		p.waiting[key] = true
	}
	if len(wanted) == 0 || now.Before(p.writeAt) {
		return nil
	}
	p.writeAt = now.Add(again)
	records := slices.SortedFunc(maps.Values(wanted), func(a, b eventlog.Record) int {
		switch {
		case a.Key == completeKey:
			return 1
		case b.Key == completeKey:
			return -1
		}
		return strings.Compare(a.Key, b.Key)
	})
	for chunk := range slices.Chunk(records, maxUsesPerWrite) {
		appends = append(appends, chunk)
	}
	return appends
}
