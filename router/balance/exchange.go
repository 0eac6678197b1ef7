package balance

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of the exchange.
const (
	// maxReported is how many targets a message tells of. Where there are more, messages tell of them in turn. It
	// bounds a message at 8 KB.
	maxReported = 256
	offerMaxAge = 5 * time.Second // of a host's figures that count in a summary
	// keepTime is how long the gap of a target counts that no newer one replaces. Targets seldom change their speed.
	keepTime = 30 * time.Second
	// summaryInterval is the time between two computations of the gaps in a summary.
	summaryInterval = 200 * time.Millisecond
	maxGap          = time.Minute // the longest gap that is believed
)

// report is what hosts tell each other.
type report struct {
	Gaps map[string]int64 `json:"gaps_us,omitempty"` // usual gap in microseconds, by target
	Keys map[Key]KeyRate  `json:"keys,omitempty"`    // the hottest keys
	// Hosts is how many hosts a summary sums up.
	Hosts int `json:"hosts,omitempty"`
}

// figure is a target's usual gap.
type figure struct {
	gap time.Duration
	at  time.Time
}

// offer is what a host told.
type offer struct {
	gaps map[string]figure // by target; from several messages
	keys map[Key]KeyRate
	at   time.Time // of the last message
}

// Estimates holds the gaps of targets and the hottest keys: this host's, those that other hosts told it, and those that
// it goes by. It is a fleet.Aggregate and safe for concurrent use.
type Estimates struct {
	fleetHosts func() int

	mu          sync.Mutex
	ownGaps     map[string]*Gaps // by target
	ownKeys     keyCounters
	paces       map[string]*pace  // by service
	offers      map[string]*offer // by host
	gaps        map[string]figure // of the offers, by target
	gapsAt      time.Time
	known       map[string]figure // gaps that this host goes by, by target
	hotKeys     map[Key]*hotKey   // that this host goes by
	offerTurn   string            // last target of the last offer
	summaryTurn string            // last target of the last summary
}

// New returns Estimates that know of no target. hosts counts the hosts of the fleet.
func New(hosts func() int) *Estimates {
	return &Estimates{
		fleetHosts: hosts,
		ownGaps:    map[string]*Gaps{}, ownKeys: keyCounters{}, paces: map[string]*pace{}, offers: map[string]*offer{},
		known: map[string]figure{}, hotKeys: map[Key]*hotKey{},
	}
}

// RecordGap records the time between two events of a target's stream.
func (e *Estimates) RecordGap(target string, gap time.Duration, now time.Time) {
	if gap <= 0 || gap > maxGap {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.ownGaps[target]
	if g == nil {
		g = &Gaps{}
		e.ownGaps[target] = g
	}
	g.Record(gap, now)
}

// Gap returns the usual gap of a target as the hosts of the failure domain see it.
func (e *Estimates) Gap(target string, now time.Time) (gap time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.known[target]
	return f.gap, ok && now.Sub(f.at) <= keepTime
}

// Offer implements fleet.Aggregate.
func (e *Estimates) Offer(now time.Time) json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	gaps := map[string]figure{}
	for target, g := range e.ownGaps {
		if gap, ok := g.Usual(now); ok {
			gaps[target] = figure{gap, now}
		} else if g.unused(now) {
			delete(e.ownGaps, target)
		}
	}
	return encode(report{Keys: e.ownKeys.hottest(now)}, gaps, &e.offerTurn)
}

// Collect implements fleet.Aggregate.
func (e *Estimates) Collect(host string, message json.RawMessage, now time.Time) error {
	r, err := decode(message)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.offers[host]
	if o == nil {
		o = &offer{gaps: map[string]figure{}}
		e.offers[host] = o
	}
	o.keys, o.at = r.Keys, now
	for target, us := range r.Gaps {
		o.gaps[target] = figure{microseconds(us), now}
	}
	return nil
}

// Summary implements fleet.Aggregate.
func (e *Estimates) Summary(now time.Time) json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetOffers(now)
	if now.Sub(e.gapsAt) >= summaryInterval {
		e.gaps, e.gapsAt = e.gapsOfHosts(now), now
	}
	return encode(report{Keys: e.keysOfHosts(), Hosts: len(e.offers)}, e.gaps, &e.summaryTurn)
}

// forgetOffers forgets old offers. The lock is held.
func (e *Estimates) forgetOffers(now time.Time) {
	for host, o := range e.offers {
		if now.Sub(o.at) > offerMaxAge {
			delete(e.offers, host)
			continue
		}
		for target, f := range o.gaps {
			if now.Sub(f.at) > offerMaxAge {
				delete(o.gaps, target)
			}
		}
	}
}

// gapsOfHosts returns a gap for each target that a third of the hosts is below: delays at some hosts and a moment in
// which the target was slow only lengthen gaps. The lock is held.
func (e *Estimates) gapsOfHosts(now time.Time) map[string]figure {
	all := map[string][]time.Duration{}
	for _, o := range e.offers {
		for target, f := range o.gaps {
			all[target] = append(all[target], f.gap)
		}
	}
	usual := make(map[string]figure, len(all))
	for target, gaps := range all {
		slices.Sort(gaps)
		usual[target] = figure{gaps[(len(gaps)-1)/3], now}
	}
	return usual
}

// Apply implements fleet.Aggregate. A summary of one host of several is passed over: hosts that each go by their own
// figures choose different targets for the same shared parts.
func (e *Estimates) Apply(summary json.RawMessage, now time.Time) error {
	r, err := decode(summary)
	if err != nil || r.Hosts < min(e.fleetHosts(), 2) {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for target, us := range r.Gaps {
		e.known[target] = figure{microseconds(us), now}
	}
	for target, f := range e.known {
		if now.Sub(f.at) > keepTime {
			delete(e.known, target)
		}
	}
	e.applyKeys(r.Keys, r.Hosts, now)
	return nil
}

// encode encodes a report with up to maxReported gaps, nil if there is nothing to tell. turn is the last target of the
// last message; the next one begins after it.
func encode(r report, gaps map[string]figure, turn *string) json.RawMessage {
	if len(gaps) == 0 && len(r.Keys) == 0 {
		return nil
	}
	r.Gaps = make(map[string]int64, min(len(gaps), maxReported))
	for _, target := range inTurn(gaps, turn) {
		r.Gaps[target] = gaps[target].gap.Microseconds()
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return data
}

// inTurn lists up to maxReported of the targets.
func inTurn(gaps map[string]figure, turn *string) []string {
	targets := make([]string, 0, len(gaps))
	for target := range gaps {
		targets = append(targets, target)
	}
	if len(targets) <= maxReported {
		return targets
	}
	slices.Sort(targets)
	from, found := slices.BinarySearch(targets, *turn)
	if found {
		from++
	}
	targets = slices.Concat(targets[from:], targets[:from])[:maxReported]
	*turn = targets[maxReported-1]
	return targets
}

// decode reads and checks a report.
func decode(data json.RawMessage) (r report, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if len(r.Gaps) > maxReported || len(r.Keys) > maxReported || r.Hosts < 0 {
		return r, fmt.Errorf("figures of %d targets and %d keys of %d hosts in one message", len(r.Gaps), len(r.Keys), r.Hosts)
	}
	for target, us := range r.Gaps {
		if target == "" || us <= 0 || us > maxGap.Microseconds() {
			return r, errors.New("gap out of range")
		}
	}
	for _, rate := range r.Keys {
		if err := rate.check(); err != nil {
			return r, err
		}
	}
	return r, nil
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
