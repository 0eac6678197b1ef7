// Package target keeps the registry of the services' back ends: which targets exist, how healthy
// each is by this host's own results, and which one takes a request.
package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/balance"
	"maststage.dev/router/httpconn"
	"maststage.dev/router/logging"
	"maststage.dev/router/reach"
)

// Target is one incarnation of a back end as this host sees it. Its fields are guarded by the
// registry's lock, except ID, Service, Address, Domain, Version, Pool and the atomic ones.
type Target struct {
	ID      string
	Service string
	Address string
	Domain  string
	Version string // software version
	Pool    *httpconn.Pool

	slots        int
	incarnation  Incarnation
	state        State
	listed       bool
	leavingSince time.Time // when it announced its exit, or was first seen draining or unlisted
	pauseFrom    time.Time // start of the pause before this host's next request
	cold         cold
	limit        advertisedLimit
	backoff      backoff
	brittle      brittle
	// announcedExit means that a response of the target announced its exit.
	announcedExit bool

	lastActivity  atomic.Int64 // when it last sent anything, in Unix nanoseconds
	callerWaits   atomic.Int32 // streams that wait for their callers to read
	busySince     time.Time    // when it last went from no outstanding requests to one
	outstanding   int          // this host's requests in progress
	pendingTokens float64      // prompt tokens of requests without a response yet

	path *reach.Path // this host's own way to it

	health       health
	stall        stall
	promptTokens float64 // sent by this host
	speed        int     // step of its speed next to the service's other targets
	tracker      balance.Tracker
	weights      balance.Weights

	probe    *exitProbe // the newest check whether its process has exited
	exited   bool       // its process exited without draining first
	exitedAt time.Time
}

// Options configure a Registry.
type Options struct {
	Domain string // of this host
	// Regions maps each failure domain to its region. The region of any other domain is unknown.
	Regions     map[string]string
	DrainLimit  time.Duration // a leaving target gets no new request after this time
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	UserTimeout time.Duration
	OnDial      func()
	// LocalIP is the local address of connections to targets; nil: the system chooses it.
	LocalIP net.IP
	// Reach judges whether this host reaches targets itself; nil: a monitor of the registry's own.
	Reach *reach.Monitor
	// OnBrittle is called as targets of a service begin to be brittle; nil: nobody is. It must not block.
	OnBrittle func(service string)
	// OnMalformedBrittle counts responses that don't say readably how brittle their target is; nil: they are not counted.
	OnMalformedBrittle func(err error)
	// OnDialed counts dials by their outcome; nil: they are not counted.
	OnDialed func(outcome reach.Outcome)
	// Tunnels opens connections through other hosts; nil: there are none.
	Tunnels Tunnels
	// Elected reports whether this host is one of up to count hosts that share a duty, and how many
	// such hosts there are. If nil, this host is the only one.
	Elected func(duty string, count int) (hosts int, self bool)
	// Hosts counts the known hosts. If nil, this host is the only one.
	Hosts func() int
}

// Registry holds the targets of all services. It is safe for concurrent use.
type Registry struct {
	opts    Options
	probing atomic.Bool // rounds of probes are running

	mu               sync.Mutex
	targets          map[string]*Target
	services         map[string][]*Target
	versions         map[string]*serviceVersions // by service
	stats            map[string]*serviceStats
	maxConns         map[string]int        // per target, from this host
	evacuations      map[string]evacuation // by failure domain
	coldLimits       map[string]ColdLimits // by service
	limitBounds      LimitBounds
	dueNotices       map[*Target]struct{}        // targets whose limits this host has to publish or check again
	publishedNotices map[string]*publishedNotice // the newest notices read from the log, by target
	shedders         map[string]*shedder         // by service
	brittle          map[string]brittleService   // services with brittle targets
	announcedExits   map[string]announcedExit    // the newest of each id
	balance          *balance.Estimates
	advisoryLog      *logging.Limiter // bounds log lines about what targets' responses advise
	listedLog        *logging.Limiter // bounds log lines about targets that are listed
}

// listedLogLinesPerSecond bounds the log lines about targets that are listed: a host learns of all at once.
const listedLogLinesPerSecond = 50

// NewRegistry returns an empty registry.
func NewRegistry(opts Options) *Registry {
	if opts.Elected == nil {
		opts.Elected = soleHost
	}
	if opts.Hosts == nil {
		opts.Hosts = func() int { return 1 }
	}
	if opts.Reach == nil {
		opts.Reach = reach.New()
	}
	if opts.OnBrittle == nil {
		opts.OnBrittle = func(string) {}
	}
	if opts.OnMalformedBrittle == nil {
		opts.OnMalformedBrittle = func(error) {}
	}
	if opts.OnDialed == nil {
		opts.OnDialed = func(reach.Outcome) {}
	}
	return &Registry{
		opts:             opts,
		targets:          map[string]*Target{},
		services:         map[string][]*Target{},
		versions:         map[string]*serviceVersions{},
		stats:            map[string]*serviceStats{},
		maxConns:         map[string]int{},
		evacuations:      map[string]evacuation{},
		coldLimits:       map[string]ColdLimits{},
		limitBounds:      LimitBounds{Overrun: 1.5, Slack: 5, Window: 4 * time.Second},
		dueNotices:       map[*Target]struct{}{},
		publishedNotices: map[string]*publishedNotice{},
		shedders:         map[string]*shedder{},
		brittle:          map[string]brittleService{},
		announcedExits:   map[string]announcedExit{},
		balance:          balance.New(opts.Hosts),
		advisoryLog:      logging.NewLimiter(advisoryLogLinesPerSecond),
		listedLog:        logging.NewLimiter(listedLogLinesPerSecond),
	}
}

// soleHost elects this host for every duty, as its only holder.
func soleHost(string, int) (hosts int, self bool) { return 1, true }

// Put adds or updates a target from its list entry. An entry with another address, service, version
// or incarnation replaces the target.
func (r *Registry) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.targets[e.ID]
	if t != nil && !t.isDescribedBy(e) {
		r.drop(t)
		t = nil
	}
	if t == nil {
		t = r.add(e)
		if ok, skipped := r.listedLog.Allow(now); ok {
			log.WithFields(log.Fields{"target": e.Incarnation(), "service": e.Service, "address": e.Address, "domain": e.Domain, "version": e.Version, "skipped": skipped}).Info("target listed")
		}
	}
	if !e.StartedAt.IsZero() {
		t.incarnation = e.Incarnation()
	}
	t.slots = max(e.Slots, 1)
	if e.ColdRemaining > 0 {
		t.markCold(e.ColdRemaining, now)
	}
	r.setState(t, true, e.State, now)
}

// isDescribedBy reports whether the entry describes this target, not one that replaced it under its id.
func (t *Target) isDescribedBy(e Entry) bool {
	return t.Address == e.Address && t.Service == e.Service && t.Version == e.Version && !t.incarnation.differsFrom(e.Incarnation())
}

// Incarnation returns the target's incarnation by its newest entry.
func (r *Registry) Incarnation(t *Target) Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.incarnation
}

// Remove marks a target as unlisted, because its entry is gone or unusable. Its outstanding requests
// continue. A target that was already leaving keeps the time at which it began to leave.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[id]; t != nil {
		r.setState(t, false, t.state, time.Now())
	}
}

// ready reports whether the target takes new requests by its entry and its own responses.
func (t *Target) ready() bool { return t.listed && t.state == Ready && !t.announcedExit }

func (r *Registry) setState(t *Target, listed bool, s State, now time.Time) {
	wasReady := t.ready()
	t.listed, t.state = listed, s
	switch {
	case t.ready():
		t.leavingSince = time.Time{}
		t.Pool.Reopen() // its entry lapsed and came back
	case wasReady:
		t.startLeaving(now)
	case t.leavingSince.IsZero():
		// It was leaving when first seen. As the start is unknown, it isn't used as a last resort.
		t.startLeaving(now.Add(-r.opts.DrainLimit))
	}
}

// startLeaving records since when a target has been leaving.
func (t *Target) startLeaving(since time.Time) {
	t.leavingSince = since
	log.WithFields(log.Fields{"target": t.ID, "service": t.Service, "listed": t.listed}).Info("target is draining or no longer listed")
}

func (r *Registry) add(e Entry) *Target {
	t := &Target{
		ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Version: e.Version, slots: max(e.Slots, 1), weights: balance.WeightsOf(0), incarnation: e.Incarnation(),
		path: r.opts.Reach.Add(e.Service, e.ID),
	}
	t.Pool = httpconn.NewPool(httpconn.Options{
		Address: e.Address, DialTimeout: r.opts.DialTimeout, IdleTimeout: r.opts.IdleTimeout,
		MaxIdle: r.opts.MaxIdle, TCPUserTimeout: r.opts.UserTimeout, OnDial: r.opts.OnDial, LocalIP: r.opts.LocalIP,
		Dial: func(ctx context.Context) (net.Conn, error) { return r.dial(ctx, t) },
	})
	t.announcedExit = r.announcedExits[e.ID].concerns(e)
	t.Pool.SetLimit(r.maxConns[e.Service])
	r.targets[e.ID] = t
	r.services[e.Service] = append(r.services[e.Service], t)
	r.versionsOf(e.Service).added(e.Version)
	if p := r.publishedNotices[e.ID]; p != nil {
		r.applyNotice(t, p.Notice, time.Now())
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
	r.versionsOf(t.Service).dropped(t.Version, time.Now())
	t.path.Remove()
	t.Pool.Close()
}

// SetMaxConns sets the maximum number of connections from this host to each target of a service.
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

// SetRegions replaces the map from failure domains to regions.
func (r *Registry) SetRegions(regions map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Regions = regions
}

// RegionOf returns the region of a failure domain, "" if it lies in none.
func (r *Registry) RegionOf(domain string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Regions[domain]
}

// SetDrainLimit sets how long a leaving target may still be chosen.
func (r *Registry) SetDrainLimit(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.DrainLimit = d
}

// forgetAfter is how long an unlisted target is remembered.
const forgetAfter = 30 * time.Second

// Sweep closes connections that were idle too long and forgets targets that left.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.Pool.CloseExpired(now)
		if !t.leavingSince.IsZero() && now.Sub(t.leavingSince) > r.opts.DrainLimit {
			t.Pool.Close()
		}
		if !t.listed && t.outstanding == 0 && now.Sub(t.leavingSince) > forgetAfter {
			r.drop(t)
		}
	}
	r.forgetAnnouncedExits(now)
	for _, v := range r.versions {
		v.forget(now)
	}
}

// CloseIdle closes the idle connections to all targets. After a suspension of this host their remote
// ends may have closed long ago.
func (r *Registry) CloseIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.Pool.CloseIdle()
	}
}

// CountReady counts the ready targets of a service.
func (r *Registry) CountReady(service string) (ready int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.services[service] {
		if t.ready() {
			ready++
		}
	}
	return ready
}

// CountReadyByVersion counts the ready targets of a service by software version.
func (r *Registry) CountReadyByVersion(service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := map[string]int{}
	for _, t := range r.services[service] {
		if t.ready() {
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
		if t.ready() {
			ready++
		}
	}
	return ready
}
