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

// The simulated fleet runs gates and conductors in virtual time: callers come to hosts, hosts
// send to targets of two versions, and a model of the new version decides how its answers fare.

const (
	simStep    = 10 * time.Millisecond
	simPeriod  = 16 * time.Second
	simDomains = 4
	simSettle  = 5 * time.Second // after the period
)

// simModel is how a version, or what strikes both, behaves.
type simModel struct {
	name string
	good bool // the version is to be done
	// answer changes what an answer of the version on trial is: failed or so many times slower.
	answer func(s *simFleet, route int, load int) (failed bool, slower float64)
	// strike is what strikes targets whatever their version.
	strike func(s *simFleet, t *simTarget) (failed bool)
	away   func(age time.Duration) bool // the log is away
	deaf   func(s *simFleet, host int, age time.Duration) bool
}

type simTarget struct {
	id, domain string
	isNew      bool
	open       int
	number     int
}

type simEnd struct {
	at     time.Time
	host   int
	target *simTarget
	ask    Request
	answer Outcome
}

type simFleet struct {
	rng      *rand.Rand
	model    simModel
	start    time.Time
	now      time.Time
	gates    []*Gate
	conduct  *Coordinator
	targets  []*simTarget
	record   *Record
	advised  []time.Time
	due      []simEnd
	sent     int
	trial    int
	bad      int // bad answers of the new version
	badSince time.Time
	lateSent int // requests sent there more than rollbackAfter after the 50th
	finalAt  time.Duration
}

const (
	simBadAnswers    = 50
	simRollbackAfter = 5 * time.Second
)

var simBounds = Bounds{Share: 0.1, Slack: 50}

func newSim(model simModel, hosts int, seed uint64) *simFleet {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	s := &simFleet{rng: rng, model: model, start: start, now: start, advised: make([]time.Time, hosts)}
	order := Order{Service: "s", Version: "v2", Period: simPeriod}
	for i := range hosts {
		g := NewGate(fmt.Sprint("h", i), func(time.Time) bool { return true })
		g.draw = rng.Float64
		g.SetOrder(order, start)
		s.gates = append(s.gates, g)
		s.advised[i] = start.Add(time.Duration(rng.Int64N(int64(ReportInterval(hosts)))))
	}
	s.conduct = NewCoordinator(order, simBounds, start)
	for i := range 24 {
		s.targets = append(s.targets, &simTarget{
			id: fmt.Sprint("t", i), domain: fmt.Sprint("d", i%simDomains), isNew: i >= 12, number: i % 12,
		})
	}
	return s
}

func (s *simFleet) age() time.Duration { return s.now.Sub(s.start) }

func (s *simFleet) view() View {
	away := s.model.away != nil && s.model.away(s.age())
	return View{Record: s.record, RecordCurrent: !away, Versions: map[string]int{"v1": 12, "v2": 12}, Hosts: len(s.gates)}
}

// run plays a day at so many requests a second.
func (s *simFleet) run(perSecond float64) {
	for s.age() < simPeriod+simSettle {
		s.now = s.now.Add(simStep)
		s.finish()
		for range s.poisson(perSecond * simStep.Seconds()) {
			s.request()
		}
		s.control()
	}
}

func (s *simFleet) poisson(mean float64) (n int) {
	for p := s.rng.Float64(); p > math.Exp(-mean); p *= s.rng.Float64() {
		n++
	}
	return n
}

// request sends one request; half are on a route whose requests may not be sent again.
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
		s.lateSent++
	}
	t.open++
	s.due = append(s.due, s.answerOf(host, route, t, ask))
}

func (s *simFleet) undecided() bool { return s.record == nil || !s.record.State.Final() }

// choose picks a target as the registry does: the trial uses few of the new ones.
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

func (s *simFleet) answerOf(host, route int, t *simTarget, ask Request) simEnd {
	took := time.Duration(60 * float64(time.Millisecond) * math.Exp(0.5*s.rng.NormFloat64()))
	failed := s.rng.Float64() < []float64{0.004, 0.14, 0.01, 0.01}[route]
	if s.model.strike != nil && s.model.strike(s, t) {
		failed = true
	}
	if t.isNew && s.model.answer != nil {
		worse, slower := s.model.answer(s, route, t.open)
		failed = failed || worse
		took = time.Duration(float64(took) * slower)
		if worse || slower > 1 {
			if s.bad++; s.bad == simBadAnswers {
				s.badSince = s.now
			}
		}
	}
	a := Outcome{Route: fmt.Sprint("r", route), Domain: t.domain, Target: t.id, Failed: failed, FirstByte: took}
	return simEnd{at: s.now.Add(took), host: host, target: t, ask: ask, answer: a}
}

// finish ends the requests that are due.
func (s *simFleet) finish() {
	s.due = slices.DeleteFunc(s.due, func(e simEnd) bool {
		if e.at.After(s.now) {
			return false
		}
		e.target.open--
		s.gates[e.host].RequestEnded(e.ask, map[bool]string{false: "v1", true: "v2"}[e.target.isNew], e.answer)
		return true
	})
}

// control carries reports, advice and records.
func (s *simFleet) control() {
	for i, g := range s.gates {
		if s.now.Before(s.advised[i]) || s.model.deaf != nil && s.model.deaf(s, i, s.age()) {
			continue
		}
		s.advised[i] = s.now.Add(ReportInterval(len(s.gates)))
		for o := range g.UndecidedOrders() {
			r, _ := g.Report(o)
			s.conduct.AddReport(r)
			g.SetAdvice("s", "v2", s.conduct.Advise(s.view(), s.now), len(s.gates), s.now)
		}
	}
	if s.age()%(500*time.Millisecond) != 0 {
		return
	}
	s.conduct.Evaluate(s.view(), s.now)
	if next, ok := s.conduct.Decide(s.view(), s.now); ok {
		s.record = &next
		if next.State.Final() && s.finalAt == 0 {
			s.finalAt = s.age()
		}
		for _, g := range s.gates {
			g.SetRecord(next)
		}
	}
}

// exposed says by how much the version got more than it may; at most 0 is well.
func (s *simFleet) exposed() float64 {
	return float64(s.trial) - simBounds.Share*float64(s.sent) - simBounds.Slack
}

var simModels = []simModel{
	{name: "good", good: true},
	{name: "good, answers lost everywhere", good: true, strike: func(s *simFleet, _ *simTarget) bool { return s.rng.Float64() < 0.05 }},
	{name: "good, a domain cut for 5 s", good: true, strike: func(s *simFleet, t *simTarget) bool {
		return t.domain == "d1" && s.age() > 4*time.Second && s.age() < 9*time.Second
	}},
	{name: "good, one target broken", good: true, strike: func(_ *simFleet, t *simTarget) bool { return t.id == "t13" }},
	{name: "good, log away from 5 to 13 s", good: true, away: func(age time.Duration) bool { return age > 5*time.Second && age < 13*time.Second }},
	{name: "good, a third of the hosts deaf", good: true, deaf: func(_ *simFleet, host int, _ time.Duration) bool { return host%3 == 1 }},
	{name: "fails at once", answer: func(s *simFleet, _, _ int) (bool, float64) { return s.rng.Float64() < 0.3, 1 }},
	{name: "fails after 6 s", answer: func(s *simFleet, _, _ int) (bool, float64) {
		return s.age() > 6*time.Second && s.rng.Float64() < 0.3, 1
	}},
	{name: "slow", answer: func(s *simFleet, _, _ int) (bool, float64) { return false, 4 }},
	{name: "fails on one route", answer: func(s *simFleet, route, _ int) (bool, float64) { return route == 2 && s.rng.Float64() < 0.4, 1 }},
	{name: "fails at once, answers lost everywhere", answer: func(s *simFleet, _, _ int) (bool, float64) { return s.rng.Float64() < 0.3, 1 },
		strike: func(s *simFleet, _ *simTarget) bool { return s.rng.Float64() < 0.05 }},
}

// seeds is how many days are played of each kind.
var seeds = flag.Int("rollout.seeds", 1, "simulated days of each kind of version, fleet and load")

// A good version is done within the period, whatever strikes targets of both versions, the log or
// some hosts. A bad one gets no more than the bounds, and is rolled back where enough requests
// come to tell.
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
						t.Logf("%s at %v, sent %d, of them %d to the new version, bad %d, late %d, worst %+v", s.record.State, s.finalAt, s.sent, s.trial, s.bad, s.lateSent, s.conduct.worst)
					}
				})
			}
		}
	}
}

// tellingRate is the load, in requests a second of a service, at which each of the bad versions is
// to be found.
const tellingRate = 600

// check holds a day against what is promised.
func (s *simFleet) check(is *is.I, perSecond float64) {
	is.True(s.record != nil && s.record.State.Final())
	is.True(s.finalAt <= simPeriod)
	is.True(s.exposed() <= 0)
	switch {
	case s.model.good:
		is.Equal(s.record.State, Done)
	case perSecond >= tellingRate:
		is.Equal(s.record.State, RolledBack)
		is.Equal(s.lateSent, 0)
	}
}
