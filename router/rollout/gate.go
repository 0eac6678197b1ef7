package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Rule says which versions of targets one request may use. The zero Rule allows all.
type Rule struct {
	Only   string   // no other version; empty: any that is not barred
	Share  float64  // with Only: the part of the requests that goes there
	Barred []string // versions that get nothing
}

// Allows says whether a target of a version may get the request.
func (r Rule) Allows(version string) bool {
	if r.Only != "" {
		return version == r.Only
	}
	return !slices.Contains(r.Barred, version)
}

// Request is a request that looks for a target.
type Request struct {
	Service      string
	NotRetryable bool // it may not be sent again
	FirstAttempt bool // it was sent to no target before
}

// Gate is one host's part in the rollouts: which versions its requests may use, and what their
// answers tell. It is safe for concurrent use.
type Gate struct {
	self string // name and incarnation of this host
	draw func() float64
	// read says whether the orders that were given until a moment are known.
	read func(time.Time) bool

	mu       sync.Mutex
	services map[string]*service
}

// service is a service that has, or had, a rollout.
type service struct {
	order    *Order
	record   *Record
	standing standing
	heard    time.Time // of the order

	advice   Advice
	told     time.Time // when the advice came
	interval time.Duration
	report   Report
	cells    map[cell]*counts

	seen map[string]bool      // versions that have no order, or one that is known
	held map[string]time.Time // versions that were first listed a moment ago, and when
}

// NewGate makes the gate of a host. read says whether the orders that were given until a moment
// are known to it.
func NewGate(self string, read func(time.Time) bool) *Gate {
	return &Gate{self: self, draw: rand.Float64, read: read, services: map[string]*service{}}
}

func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{seen: map[string]bool{}, held: map[string]time.Time{}}
		g.services[name] = s
	}
	return s
}

// NoteVersion notes that a target of a version is listed. Unless it is the first version, the order to move
// to it may be on its way here: it gets nothing until the orders are known that were given until
// now.
func (g *Gate) NoteVersion(name, version string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(name)
	if len(s.seen) == 0 {
		s.seen[version] = true
	}
	if _, held := s.held[version]; !held && !s.seen[version] {
		s.held[version] = now
	}
}

// waiting lists the versions of a service whose orders may be on their way. What says so is asked
// without the lock: it has one of its own, under which orders come in.
func (g *Gate) waiting(name string) (versions []string) {
	for version, since := range g.heldVersions(name) {
		if g.read(since) {
			g.release(name, version)
		} else {
			versions = append(versions, version)
		}
	}
	return versions
}

func (g *Gate) heldVersions(name string) map[string]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || len(s.held) == 0 {
		return nil
	}
	return maps.Clone(s.held)
}

func (g *Gate) release(name, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	delete(s.held, version)
	s.seen[version] = true
}

// SetOrder takes over the newest order of a service. The same order again changes nothing.
func (g *Gate) SetOrder(o Order, now time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(o.Service)
	if s.order != nil && s.order.Version == o.Version {
		s.order = &o
		return false
	}
	s.order, s.heard, s.advice, s.cells = &o, now, Advice{}, map[cell]*counts{}
	s.report = Report{Service: o.Service, Version: o.Version, Host: g.self}
	s.standing = standingOf(s.order, s.record)
	return true
}

// WithdrawOrder notes that the order of a service was taken back.
func (g *Gate) WithdrawOrder(name string) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil {
		return false
	}
	s.order = nil
	s.standing = standingOf(nil, s.record)
	return true
}

// SetRecord takes over the newest record of a service.
func (g *Gate) SetRecord(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(r.Service)
	s.record = &r
	s.standing = standingOf(s.order, s.record)
}

// SetAdvice takes over the advice of the host that conducts a rollout, in a fleet of so many hosts.
func (g *Gate) SetAdvice(name, version string, a Advice, hosts int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil || s.order.Version != version {
		return
	}
	s.advice, s.told, s.interval = a, now, ReportInterval(hosts)
}

// Rule gives the versions that a request may use.
func (g *Gate) Rule(a Request, now time.Time) Rule {
	waiting := g.waiting(a.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[a.Service]
	if s == nil {
		return Rule{}
	}
	st := s.standing
	if st.trial != "" && a.FirstAttempt {
		if share := s.share(a, now); share > 0 && g.draw() < share {
			return Rule{Only: st.trial, Share: share}
		}
	}
	barred := slices.Concat(st.barred, waiting)
	if undecided := st.trial + st.wanted; undecided != "" { // one of the two at most
		barred = append(barred, undecided)
	}
	return Rule{Barred: barred}
}

// share is the part of the requests like this one that goes to the version on trial. Without
// fresh advice it is none: nobody may know what this host's answers tell.
func (s *service) share(a Request, now time.Time) float64 {
	age := now.Sub(s.told)
	if s.told.IsZero() || age > time.Duration(staleIntervals*float64(s.interval)) {
		return 0
	}
	switch s.advice.Phase {
	case PhaseMoving:
		if a.NotRetryable && age < time.Duration(s.advice.MovingMs)*time.Millisecond {
			return 1
		}
		return s.advice.Share
	case PhaseTrial:
		return s.advice.Share
	}
	return 0
}

// LastResort says whether the request may use the version that its rule bars for now, as no
// target of another version is listed: the old ones stop as soon as the move is done, which
// this host may not have heard.
func (g *Gate) LastResort(name string, listed map[string]int) (version string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		return "", false
	}
	version = s.standing.trial + s.standing.wanted // one of the two at most
	if version == "" || listed[version] == 0 {
		return "", false
	}
	for other, targets := range listed {
		if other != version && targets > 0 && !slices.Contains(s.standing.barred, other) {
			return "", false
		}
	}
	return version, true
}

// watched gives a service whose answers are counted, nil for others.
func (g *Gate) watched(name string) *service {
	s := g.services[name]
	if s == nil || s.order == nil || s.record.decides(*s.order) && s.record.State.Final() {
		return nil
	}
	return s
}

// RequestSent counts a request that was sent to a target of a version.
func (g *Gate) RequestSent(a Request, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.watched(a.Service)
	if s == nil {
		return
	}
	if a.FirstAttempt {
		s.report.Sent++
	}
	switch {
	case version == s.order.Version:
		s.report.Trial++
	case a.NotRetryable:
		s.report.NotRetryableOnOld++
	}
	if a.NotRetryable && a.FirstAttempt {
		s.report.NotRetryable++
	}
}

// RequestEnded counts the end of a request that Sent counted, and what its answer tells.
func (g *Gate) RequestEnded(a Request, version string, answer Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.watched(a.Service)
	if s == nil {
		return
	}
	answer.OnTrial = version == s.order.Version
	if a.NotRetryable && !answer.OnTrial && !answer.NotSent {
		s.report.NotRetryableOnOld = max(s.report.NotRetryableOnOld-1, 0)
	}
	if answer.Inconclusive {
		return
	}
	c := cellOf(answer)
	if s.cells[c] == nil {
		s.cells[c] = &counts{}
	}
	s.cells[c].note(answer)
}

// UndecidedOrders lists the orders that are not decided, as far as this host knows, with the moment at
// which it heard of each.
func (g *Gate) UndecidedOrders() map[Order]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := map[Order]time.Time{}
	for name := range g.services {
		if s := g.watched(name); s != nil {
			open[*s.order] = s.heard
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

// Undecided says whether a version of a service waits for a decision.
func (g *Gate) Undecided(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	return s != nil && s.standing.trial+s.standing.wanted != ""
}

// OrphanedRecords lists the records of rollouts that run though their order was taken back.
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

// Report is what this host tells of an order now; ok is false if there is no such order.
func (g *Gate) Report(o Order) (r Report, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.watched(o.Service)
	if s == nil || s.order.Version != o.Version {
		return r, false
	}
	s.report.Number++
	r = s.report
	for c, n := range s.cells {
		r.Cells = append(r.Cells, cellCount{cell: c, counts: n.clone()})
	}
	return r, true
}
