// Package target knows the back ends of the services: which there are, how they
// do by this host's own results, and which one takes a request.
package target

import (
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/logging"
)

// Target is one incarnation of a back end as this host sees it. Its fields are
// guarded by the registry's lock, but for ID, Service, Address, Domain, Version and Pool.
type Target struct {
	ID      string
	Service string
	Address string
	Domain  string
	Version string // of its software
	Pool    *httpconn.Pool

	slots  int
	life   Incarnation
	state  State
	listed bool
	leftAt time.Time // when it was first seen draining or gone
	paced  time.Time // from when on the pause before the next request of this host counts
	cold   cold
	limit  limited

	heard       atomic.Int64 // when it last sent anything, in Unix nanoseconds
	unread      atomic.Int32 // streams of which callers have yet to take what came
	busySince   time.Time    // when requests were first under way again
	outstanding int          // requests of this host under way
	work        float64      // prompt tokens of them not answered yet

	health health
	stall  stall

	check   *endCheck // the newest look at whether it has ended
	ended   bool      // its process has ended without having left
	endedAt time.Time
}

// Options configure a Registry.
type Options struct {
	Domain string // of this host
	// Regions are those of the failure domains. What is not there is in no known region.
	Regions     map[string]string
	DrainLimit  time.Duration // a leaving target gets no request later than this
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	UserTimeout time.Duration
	OnDial      func()
	// Elected says whether this host is one of up to count hosts that share a duty, and how
	// many they are; nil: it is alone.
	Elected func(duty string, count int) (hosts int, self bool)
	// Hosts counts the hosts that are known; nil: this one alone.
	Hosts func() int
}

// Registry holds all targets.
type Registry struct {
	opts Options

	mu          sync.Mutex
	targets     map[string]*Target
	services    map[string][]*Target
	stats       map[string]*serviceStats
	maxConns    map[string]int        // at one target, from this host
	evacuations map[string]evacuation // by failure domain
	coldLimits  map[string]ColdLimits // by service
	limitBounds LimitBounds
	news        map[*Target]struct{} // targets of whose limits this host is to write
	posted      map[string]*posted   // notices of limits in the log, by target
	rations     map[string]*ration   // by service
	limitLines  *logging.Limiter     // of lines about limits of targets
}

// NewRegistry makes an empty registry.
func NewRegistry(opts Options) *Registry {
	if opts.Elected == nil {
		opts.Elected = alone
	}
	if opts.Hosts == nil {
		opts.Hosts = func() int { return 1 }
	}
	return &Registry{
		opts:        opts,
		targets:     map[string]*Target{},
		services:    map[string][]*Target{},
		stats:       map[string]*serviceStats{},
		maxConns:    map[string]int{},
		evacuations: map[string]evacuation{},
		coldLimits:  map[string]ColdLimits{},
		limitBounds: LimitBounds{Overrun: 1.5, Slack: 5, Window: 4 * time.Second},
		news:        map[*Target]struct{}{},
		posted:      map[string]*posted{},
		rations:     map[string]*ration{},
		limitLines:  logging.NewLimiter(limitLines),
	}
}

// alone is the share of a host without others in any duty.
func alone(string, int) (hosts int, self bool) { return 1, true }

// Put takes over an entry of the list.
func (r *Registry) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.targets[e.ID]
	if t != nil && (t.Address != e.Address || t.Service != e.Service || t.Version != e.Version || t.life.another(e.Incarnation())) {
		r.drop(t)
		t = nil
	}
	if t == nil {
		t = r.add(e)
		log.WithFields(log.Fields{"target": e.Incarnation(), "service": e.Service, "address": e.Address, "domain": e.Domain, "version": e.Version}).Info("target listed")
	}
	if !e.StartedAt.IsZero() {
		t.life = e.Incarnation()
	}
	t.slots = max(e.Slots, 1)
	if e.ColdRemaining > 0 {
		t.coolFor(e.ColdRemaining, now)
	}
	r.setState(t, true, e.State, now)
}

// Incarnation is the life of a target that its newest entry told of.
func (r *Registry) Incarnation(t *Target) Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.life
}

// Remove notes that a target is no longer listed, or that its newest entry names none to use:
// what it has under way goes on. One that was leaving goes on leaving.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[id]; t != nil {
		r.setState(t, false, t.state, time.Now())
	}
}

func (r *Registry) setState(t *Target, listed bool, s State, now time.Time) {
	was := t.listed && t.state == Ready
	is := listed && s == Ready
	t.listed, t.state = listed, s
	switch {
	case is:
		t.leftAt = time.Time{}
		t.Pool.Reopen() // its entry had lapsed and is back
	case was:
		t.leaves(now)
	case t.leftAt.IsZero():
		// First seen as it leaves: since when is not known, so it is no last resort.
		t.leaves(now.Add(-r.opts.DrainLimit))
	}
}

// leaves notes since when a target leaves.
func (t *Target) leaves(since time.Time) {
	t.leftAt = since
	log.WithFields(log.Fields{"target": t.ID, "service": t.Service, "listed": t.listed}).Info("target leaves")
}

func (r *Registry) add(e Entry) *Target {
	t := &Target{
		ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Version: e.Version, slots: max(e.Slots, 1), life: e.Incarnation(),
		Pool: httpconn.NewPool(httpconn.Options{
			Address: e.Address, DialTimeout: r.opts.DialTimeout, IdleTimeout: r.opts.IdleTimeout,
			MaxIdle: r.opts.MaxIdle, TCPUserTimeout: r.opts.UserTimeout, OnDial: r.opts.OnDial,
		}),
	}
	t.Pool.SetLimit(r.maxConns[e.Service])
	r.targets[e.ID] = t
	r.services[e.Service] = append(r.services[e.Service], t)
	if p := r.posted[e.ID]; p != nil {
		r.learn(t, p.Notice, time.Now())
	}
	return t
}

func (r *Registry) drop(t *Target) {
	delete(r.targets, t.ID)
	kept := r.services[t.Service][:0:0]
	for _, o := range r.services[t.Service] {
		if o != t {
			kept = append(kept, o)
		}
	}
	r.services[t.Service] = kept
	t.Pool.Close()
}

// SetMaxConns bounds the connections of this host to each target of a service.
func (r *Registry) SetMaxConns(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maxConns[service] == n {
		return
	}
	r.maxConns[service] = n
	for _, t := range r.services[service] {
		t.Pool.SetLimit(n)
	}
}

// SetRegions changes which regions the failure domains lie in.
func (r *Registry) SetRegions(regions map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Regions = regions
}

// SetDrainLimit changes how long a leaving target may still be chosen.
func (r *Registry) SetDrainLimit(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.DrainLimit = d
}

// forgetAfter is how long a target that left is remembered.
const forgetAfter = 30 * time.Second

// Sweep closes connections that rested too long and forgets targets that left.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.Pool.CloseExpired(now)
		if !t.leftAt.IsZero() && now.Sub(t.leftAt) > r.opts.DrainLimit {
			t.Pool.Close()
		}
		if !t.listed && t.outstanding == 0 && now.Sub(t.leftAt) > forgetAfter {
			r.drop(t)
		}
	}
}

// CloseIdle closes the connections to all targets that carry no request: after a suspension
// their other ends may have gone long ago.
func (r *Registry) CloseIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.Pool.CloseIdle()
	}
}

// CountReady tells how many targets of a service are ready.
func (r *Registry) CountReady(service string) (ready int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.services[service] {
		if t.listed && t.state == Ready {
			ready++
		}
	}
	return ready
}

// CountReadyByVersion counts the ready targets of a service by version.
func (r *Registry) CountReadyByVersion(service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := map[string]int{}
	for _, t := range r.services[service] {
		if t.listed && t.state == Ready {
			versions[t.Version]++
		}
	}
	return versions
}

// TotalReady counts the ready targets of all services.
func (r *Registry) TotalReady() (ready int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.listed && t.state == Ready {
			ready++
		}
	}
	return ready
}
