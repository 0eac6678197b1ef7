package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Rule says which versions a request may use. The zero Rule allows all.
type Rule struct {
	Only   string   // the only version allowed; empty: any that is not barred
	Share  float64  // with Only: the share of the requests that goes to it
	Barred []string // versions that get no requests
}

// Allows reports whether a target of a version may get the request.
func (r Rule) Allows(version string) bool {
	if r.Only != "" {
		return version == r.Only
	}
	return !slices.Contains(r.Barred, version)
}

// Request is a request that needs a target.
type Request struct {
	Service      string
	NotRetryable bool // it must not be sent again
	FirstAttempt bool // it was not sent to any target before
	Resumed      bool // it is the rest of a stream, which only the version that began it can serve
}

// Gate is one host's part in rollouts: it says which versions requests may use and counts their
// outcomes. It is safe for concurrent use.
type Gate struct {
	self   string // name and incarnation of this host
	random func() float64
	// ordersKnown reports whether this host has read all orders given until a time.
	ordersKnown func(time.Time) bool

	mu       sync.Mutex
	services map[string]*service
}

// service is a service that has, or had, a rollout.
type service struct {
	order         *Order
	record        *Record
	eligibility   eligibility
	orderReceived time.Time

	advice         Advice
	adviceReceived time.Time
	interval       time.Duration
	report         Report
	cells          map[cell]*counts

	confirmed   map[string]bool      // versions that have no order, or whose order is known
	unconfirmed map[string]time.Time // newly listed versions, and when each was first listed
}

// NewGate makes the gate of a host. ordersKnown reports whether the host has read all orders given
// until a time.
func NewGate(self string, ordersKnown func(time.Time) bool) *Gate {
	return &Gate{self: self, random: rand.Float64, ordersKnown: ordersKnown, services: map[string]*service{}}
}

func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{confirmed: map[string]bool{}, unconfirmed: map[string]time.Time{}}
		g.services[name] = s
	}
	return s
}

// NoteVersion notes that a target of a version is listed. Unless it is the service's first version,
// this host may not have read its order yet: the version gets no requests until the host has read all
// orders given until now.
func (g *Gate) NoteVersion(name, version string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(name)
	if len(s.confirmed) == 0 {
		s.confirmed[version] = true
	}
	if _, held := s.unconfirmed[version]; !held && !s.confirmed[version] {
		s.unconfirmed[version] = now
	}
}

// unconfirmedVersions lists the versions of a service whose orders may not have been read yet. It calls
// ordersKnown without the lock: that takes a lock of its own, under which SetOrder is called.
func (g *Gate) unconfirmedVersions(name string) (versions []string) {
	for version, since := range g.listUnconfirmed(name) {
		if g.ordersKnown(since) {
			g.confirm(name, version)
		} else {
			versions = append(versions, version)
		}
	}
	return versions
}

func (g *Gate) listUnconfirmed(name string) map[string]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || len(s.unconfirmed) == 0 {
		return nil
	}
	return maps.Clone(s.unconfirmed)
}

func (g *Gate) confirm(name, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	delete(s.unconfirmed, version)
	s.confirmed[version] = true
}

// SetOrder sets the newest order of a service. Setting the same order again changes nothing.
func (g *Gate) SetOrder(o Order, now time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(o.Service)
	if s.order != nil && s.order.Version == o.Version {
		s.order = &o
		return false
	}
	s.order, s.orderReceived, s.advice, s.cells = &o, now, Advice{}, map[cell]*counts{}
	s.report = Report{Service: o.Service, Version: o.Version, Host: g.self}
	s.eligibility = eligibilityOf(s.order, s.record)
	return true
}

// WithdrawOrder notes that the order of a service was withdrawn.
func (g *Gate) WithdrawOrder(name string) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil {
		return false
	}
	s.order = nil
	s.eligibility = eligibilityOf(nil, s.record)
	return true
}

// SetRecord sets the newest record of a service.
func (g *Gate) SetRecord(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(r.Service)
	s.record = &r
	s.eligibility = eligibilityOf(s.order, s.record)
}

// SetAdvice sets the advice of the coordinating host; hosts is the size of the fleet.
func (g *Gate) SetAdvice(name, version string, a Advice, hosts int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil || s.order.Version != version {
		return
	}
	s.advice, s.adviceReceived, s.interval = a, now, ReportInterval(hosts)
}

// Rule returns the versions that a request may use.
func (g *Gate) Rule(r Request, now time.Time) Rule {
	unconfirmed := g.unconfirmedVersions(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[r.Service]
	if s == nil {
		return Rule{}
	}
	eligible := s.eligibility
	if r.Resumed {
		return Rule{Barred: slices.Concat(eligible.barred, unconfirmed)}
	}
	if eligible.trial != "" && r.FirstAttempt {
		if share := s.share(r, now); share > 0 && g.random() < share {
			return Rule{Only: eligible.trial, Share: share}
		}
	}
	barred := slices.Concat(eligible.barred, unconfirmed)
	if undecided := eligible.trial + eligible.pending; undecided != "" { // at most one of the two is set
		barred = append(barred, undecided)
	}
	return Rule{Barred: barred}
}

// share is the share of requests like this one that goes to the version on trial. It is 0 without
// fresh advice, as this host's outcomes might then reach no coordinator.
func (s *service) share(r Request, now time.Time) float64 {
	age := now.Sub(s.adviceReceived)
	if s.adviceReceived.IsZero() || age > time.Duration(adviceValidIntervals*float64(s.interval)) {
		return 0
	}
	switch s.advice.Phase {
	case PhaseMoving:
		if r.NotRetryable && age < time.Duration(s.advice.MovingMs)*time.Millisecond {
			return 1
		}
		return s.advice.Share
	case PhaseTrial:
		return s.advice.Share
	}
	return 0
}

// LastResort returns the version that the request's rule bars for now, if no target of another
// version is listed: old targets stop as soon as the rollout is done, which this host may not know
// yet.
func (g *Gate) LastResort(name string, listed map[string]int) (version string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		return "", false
	}
	version = s.eligibility.trial + s.eligibility.pending // at most one of the two is set
	if version == "" || listed[version] == 0 {
		return "", false
	}
	for other, targets := range listed {
		if other != version && targets > 0 && !slices.Contains(s.eligibility.barred, other) {
			return "", false
		}
	}
	return version, true
}

// activeService returns a service with an undecided order, whose outcomes are counted; nil for others.
func (g *Gate) activeService(name string) *service {
	s := g.services[name]
	if s == nil || s.order == nil || s.record.isFor(*s.order) && s.record.State.Final() {
		return nil
	}
	return s
}

// RequestSent counts a request that was sent to a target of a version.
func (g *Gate) RequestSent(r Request, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.activeService(r.Service)
	if s == nil {
		return
	}
	if r.FirstAttempt {
		s.report.Sent++
	}
	switch {
	case version == s.order.Version:
		s.report.Trial++
	case r.NotRetryable:
		s.report.NotRetryableOnOld++
	}
	if r.NotRetryable && r.FirstAttempt {
		s.report.NotRetryable++
	}
}

// RequestEnded counts the end of a request that RequestSent counted, and its outcome.
func (g *Gate) RequestEnded(r Request, version string, outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.activeService(r.Service)
	if s == nil {
		return
	}
	outcome.OnTrial = version == s.order.Version
	if r.NotRetryable && !outcome.OnTrial && !outcome.NotSent {
		s.report.NotRetryableOnOld = max(s.report.NotRetryableOnOld-1, 0)
	}
	if outcome.Inconclusive {
		return
	}
	c := cellOf(outcome)
	if s.cells[c] == nil {
		s.cells[c] = &counts{}
	}
	s.cells[c].record(outcome)
}

// UndecidedOrders lists the orders without a decision, as far as this host knows, with the time at
// which it received each.
func (g *Gate) UndecidedOrders() map[Order]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := map[Order]time.Time{}
	for name := range g.services {
		if s := g.activeService(name); s != nil {
			open[*s.order] = s.orderReceived
		}
	}
	return open
}

// Record is the newest record of a service, nil if there is none.
func (g *Gate) Record(name string) *Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		return nil
	}
	return s.record
}

// Undecided reports whether a version of a service awaits a decision.
func (g *Gate) Undecided(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	return s != nil && s.eligibility.trial+s.eligibility.pending != ""
}

// OrphanedRecords lists the records of running rollouts whose order was withdrawn.
func (g *Gate) OrphanedRecords() (records []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		if s.order == nil && s.record != nil && !s.record.State.Final() {
			records = append(records, *s.record)
		}
	}
	return records
}

// Report is this host's report on an order; ok is false if the order is not open.
func (g *Gate) Report(o Order) (r Report, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.activeService(o.Service)
	if s == nil || s.order.Version != o.Version {
		return r, false
	}
	s.report.Number++
	r = s.report
	missed, known := s.record.missed(o, s.orderReceived)
	r.FromStart = known && missed <= maxStartDelay
	for c, n := range s.cells {
		r.Cells = append(r.Cells, cellCount{cell: c, counts: n.clone()})
	}
	return r, true
}
