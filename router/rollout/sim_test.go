package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulated fleet runs gates and a coordinator in virtual time: callers send requests to hosts,
// hosts send them to targets of two versions, and a model of the new version decides the outcomes.

const (
	simStep    = 10 * time.Millisecond
	simPeriod  = 16 * time.Second
	simDomains = 4
	simSettle  = 5 * time.Second // after the period
)

// simModel is the behaviour of a version, and of faults that are independent of the version.
type simModel struct {
	name string
	good bool // the rollout must be done
	// degrade makes an outcome of the version on trial failed, or slower by a factor.
	degrade func(s *simFleet, route int, load int) (failed bool, slower float64)
	// targetFault says whether a request fails at a target, whatever the target's version.
	targetFault    func(s *simFleet, t *simTarget) (failed bool)
	logUnavailable func(age time.Duration) bool
	reportsLost    func(s *simFleet, host int, age time.Duration) bool
}

type simTarget struct {
	id, domain string
	isNew      bool
	open       int
	number     int
}

type simCompletion struct {
	at      time.Time
	host    int
	target  *simTarget
	request Request
	outcome Outcome
}

type simFleet struct {
	rng         *rand.Rand
	model       simModel
	start       time.Time
	now         time.Time
	gates       []*Gate
	coordinator *Coordinator
	targets     []*simTarget
	record      *Record
	nextReport  []time.Time
	due         []simCompletion
	sent        int
	trial       int
	bad         int // bad outcomes of the new version
	badSince    time.Time
	sentTooLate int // requests sent there more than simRollbackAfter after the 50th bad outcome
	finalAt     time.Duration
}

const (
	simBadOutcomes   = 50
	simRollbackAfter = 5 * time.Second
)

var simBounds = Bounds{Share: 0.1, Slack: 50}

func newSim(model simModel, hosts int, seed uint64) *simFleet {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	s := &simFleet{rng: rng, model: model, start: start, now: start, nextReport: make([]time.Time, hosts)}
	order := Order{Service: "s", Version: "v2", Period: simPeriod}
	for i := range hosts {
		g := NewGate(fmt.Sprint("h", i), func(time.Time) bool { return true })
		g.random = rng.Float64
		g.SetOrder(order, start)
		s.gates = append(s.gates, g)
		s.nextReport[i] = start.Add(time.Duration(rng.Int64N(int64(ReportInterval(hosts)))))
	}
	s.coordinator = NewCoordinator(order, simBounds, start)
	for i := range 24 {
		s.targets = append(s.targets, &simTarget{
			id: fmt.Sprint("t", i), domain: fmt.Sprint("d", i%simDomains), isNew: i >= 12, number: i % 12,
		})
	}
	return s
}

func (s *simFleet) age() time.Duration { return s.now.Sub(s.start) }

func (s *simFleet) view() View {
	away := s.model.logUnavailable != nil && s.model.logUnavailable(s.age())
	return View{Record: s.record, RecordCurrent: !away, Versions: map[string]int{"v1": 12, "v2": 12}, Hosts: len(s.gates)}
}

// run simulates one rollout at the given load.
func (s *simFleet) run(perSecond float64) {
	for s.age() < simPeriod+simSettle {
		s.now = s.now.Add(simStep)
		s.deliverDue()
		for range s.poisson(perSecond * simStep.Seconds()) {
			s.request()
		}
		s.exchangeReports()
	}
}

func (s *simFleet) poisson(mean float64) (n int) {
	for p := s.rng.Float64(); p > math.Exp(-mean); p *= s.rng.Float64() {
		n++
	}
	return n
}

// request sends one request; half of them are on routes whose requests must not be retried.
func (s *simFleet) request() {
	host, route := s.rng.IntN(len(s.gates)), s.rng.IntN(4)
	ask := Request{Service: "s", NotRetryable: route%2 == 0, FirstAttempt: true}
	rule := s.gates[host].Rule(ask, s.now)
	t := s.choose(rule)
	if t == nil {
		return
	}
	version := map[bool]string{false: "v1", true: "v2"}[t.isNew]
	s.gates[host].RequestSent(ask, version)
	if s.age() <= simPeriod {
		s.sent++
		if t.isNew && s.undecided() {
			s.trial++
		}
	}
	if t.isNew && !s.badSince.IsZero() && s.now.Sub(s.badSince) > simRollbackAfter {
		s.sentTooLate++
	}
	t.open++
	s.due = append(s.due, s.outcomeOf(host, route, t, ask))
}

func (s *simFleet) undecided() bool { return s.record == nil || !s.record.State.Final() }

// choose picks a target as the registry does: a trial uses few of the new ones.
func (s *simFleet) choose(rule Rule) *simTarget {
	var usable []*simTarget
	for _, t := range s.targets {
		version := map[bool]string{false: "v1", true: "v2"}[t.isNew]
		if !rule.Allows(version) || rule.Only != "" && rule.Share < 1 && t.number >= TrialTargets(12, rule.Share) {
			continue
		}
		usable = append(usable, t)
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[s.rng.IntN(len(usable))]
}

func (s *simFleet) outcomeOf(host, route int, t *simTarget, ask Request) simCompletion {
	took := time.Duration(60 * float64(time.Millisecond) * math.Exp(0.5*s.rng.NormFloat64()))
	failed := s.rng.Float64() < []float64{0.004, 0.14, 0.01, 0.01}[route]
	if s.model.targetFault != nil && s.model.targetFault(s, t) {
		failed = true
	}
	if t.isNew && s.model.degrade != nil {
		worse, slower := s.model.degrade(s, route, t.open)
		failed = failed || worse
		took = time.Duration(float64(took) * slower)
		if worse || slower > 1 {
			if s.bad++; s.bad == simBadOutcomes {
				s.badSince = s.now
			}
		}
	}
	a := Outcome{Route: fmt.Sprint("r", route), Domain: t.domain, Target: t.id, Failed: failed, FirstByte: took}
	return simCompletion{at: s.now.Add(took), host: host, target: t, request: ask, outcome: a}
}

// deliverDue ends the requests that are due.
func (s *simFleet) deliverDue() {
	s.due = slices.DeleteFunc(s.due, func(e simCompletion) bool {
		if e.at.After(s.now) {
			return false
		}
		e.target.open--
		s.gates[e.host].RequestEnded(e.request, map[bool]string{false: "v1", true: "v2"}[e.target.isNew], e.outcome)
		return true
	})
}

// exchangeReports carries reports, advice and records.
func (s *simFleet) exchangeReports() {
	for i, g := range s.gates {
		if s.now.Before(s.nextReport[i]) || s.model.reportsLost != nil && s.model.reportsLost(s, i, s.age()) {
			continue
		}
		s.nextReport[i] = s.now.Add(ReportInterval(len(s.gates)))
		for o := range g.UndecidedOrders() {
			r, _ := g.Report(o)
			s.coordinator.AddReport(r)
			g.SetAdvice("s", "v2", s.coordinator.Advise(s.view(), s.now), len(s.gates), s.now)
		}
	}
	if s.age()%(500*time.Millisecond) != 0 {
		return
	}
	s.coordinator.Evaluate(s.view(), s.now)
	if next, ok := s.coordinator.Decide(s.view(), s.now); ok {
		s.record = &next
		if next.State.Final() && s.finalAt == 0 {
			s.finalAt = s.age()
		}
		for _, g := range s.gates {
			g.SetRecord(next)
		}
	}
}

// excessTrial is by how much the new version exceeded its bounds; allowed: at most 0.
func (s *simFleet) excessTrial() float64 {
	return float64(s.trial) - simBounds.Share*float64(s.sent) - simBounds.Slack
}

var simModels = []simModel{
	{name: "good", good: true},
	{name: "good, responses lost everywhere", good: true, targetFault: func(s *simFleet, _ *simTarget) bool { return s.rng.Float64() < 0.05 }},
	{name: "good, a domain unreachable for 5 s", good: true, targetFault: func(s *simFleet, t *simTarget) bool {
		return t.domain == "d1" && s.age() > 4*time.Second && s.age() < 9*time.Second
	}},
	{name: "good, one target failing", good: true, targetFault: func(_ *simFleet, t *simTarget) bool { return t.id == "t13" }},
	{name: "good, log unavailable from 5 to 13 s", good: true, logUnavailable: func(age time.Duration) bool { return age > 5*time.Second && age < 13*time.Second }},
	{name: "good, a third of the hosts without advice", good: true, reportsLost: func(_ *simFleet, host int, _ time.Duration) bool { return host%3 == 1 }},
	{name: "fails at once", degrade: func(s *simFleet, _, _ int) (bool, float64) { return s.rng.Float64() < 0.3, 1 }},
	{name: "fails after 6 s", degrade: func(s *simFleet, _, _ int) (bool, float64) {
		return s.age() > 6*time.Second && s.rng.Float64() < 0.3, 1
	}},
	{name: "slow", degrade: func(s *simFleet, _, _ int) (bool, float64) { return false, 4 }},
	{name: "fails on one route", degrade: func(s *simFleet, route, _ int) (bool, float64) { return route == 2 && s.rng.Float64() < 0.4, 1 }},
	{name: "fails at once, responses lost everywhere", degrade: func(s *simFleet, _, _ int) (bool, float64) { return s.rng.Float64() < 0.3, 1 },
		targetFault: func(s *simFleet, _ *simTarget) bool { return s.rng.Float64() < 0.05 }},
}

// seeds is the number of simulations of each version, fleet size and load.
var seeds = flag.Int("rollout.seeds", 1, "simulations of each version, fleet size and load")

// A good version is done within the period, whatever faults strike targets of both versions, the log or
// some hosts. A bad version stays within its bounds and is rolled back if there are enough requests to
// detect it.
func TestRolloutsOfASimulatedFleet(t *testing.T) {
	for _, hosts := range []int{6, 60, 300} {
		for _, perSecond := range []float64{5, 60, 600} {
			for _, model := range simModels {
				t.Run(fmt.Sprintf("%s/%d hosts/%g a second", model.name, hosts, perSecond), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(*seeds) {
						s := newSim(model, hosts, seed)
						s.run(perSecond)
						s.check(is.New(t), perSecond)
						t.Logf("%s at %v, sent %d, of them %d to the new version, bad %d, late %d, worst %+v", s.record.State, s.finalAt, s.sent, s.trial, s.bad, s.sentTooLate, s.coordinator.worst)
					}
				})
			}
		}
	}
}

// detectableRate is the load, in requests per second of a service, at which each of the bad versions
// must be detected.
const detectableRate = 600

// check checks a simulated rollout against the guarantees.
func (s *simFleet) check(is *is.I, perSecond float64) {
	is.True(s.record != nil && s.record.State.Final())
	is.True(s.finalAt <= simPeriod)
	is.True(s.excessTrial() <= 0)
	switch {
	case s.model.good:
		is.Equal(s.record.State, Done)
	case perSecond >= detectableRate:
		is.Equal(s.record.State, RolledBack)
		is.Equal(s.sentTooLate, 0)
	}
}
