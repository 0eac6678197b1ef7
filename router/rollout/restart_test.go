package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a version that all requests move to on no evidence: the hosts, with all reports, were
// lost late in the rollout, and the host that coordinates it has just started.
func TestCoordinatorThatHasJustStartedDoesNotFinishARollout(t *testing.T) {
	for _, elapsed := range []float64{0.7, 0.8, 0.87, 0.95, 2} {
		is := is.New(t)
		now := time.Now()
		order := Order{Service: "s", Version: "v2", Period: 20 * time.Second}
		record := Record{Service: "s", Version: "v2", State: Running, Base: []string{"v1"}, Began: now.Add(-time.Duration(elapsed * float64(order.Period)))}
		view := View{Record: &record, RecordCurrent: true, Versions: map[string]int{"v1": 3, "v2": 3}, Hosts: 6}
		c := NewCoordinator(order, Bounds{Share: 0.1, Slack: 20}, now)
		c.Evaluate(view, now)
		next, decided := c.Decide(view, now)
		t.Logf("after %g of the period: decided %v %s, %d outcomes of the new version", elapsed, decided, next.State, c.analysis.trialOutcomes())
		is.True(!decided || next.State != Done)
	}
}

// lose kills all hosts; restart starts them again. Callers' requests in between reach no target.
func (s *simFleet) lose() {
	s.due = nil
	for _, t := range s.targets {
		t.open = 0
	}
}

func (s *simFleet) restart() {
	order := s.coordinator.order
	for i := range s.gates {
		s.gates[i] = s.startGate(order, i)
	}
	s.coordinator = NewCoordinator(order, simBounds, s.now)
}

// startGate starts a host's gate again, late in the rollout.
func (s *simFleet) startGate(order Order, host int) *Gate {
	g := NewGate(fmt.Sprint("h", host, "/", s.age()), func(time.Time) bool { return true })
	g.random = s.rng.Float64
	g.SetOrder(order, s.now)
	if s.record != nil {
		g.SetRecord(*s.record)
	}
	s.nextReport[host] = s.now.Add(time.Duration(s.rng.Int64N(int64(ReportInterval(len(s.gates))))))
	return g
}

// runWithLosses simulates one rollout in which all hosts are lost at each of the given times.
func (s *simFleet) runWithLosses(perSecond float64, losses ...time.Duration) {
	down := time.Duration(0) // until then
	for s.age() < simPeriod+simSettle {
		s.now = s.now.Add(simStep)
		if len(losses) > 0 && s.age() >= losses[0] {
			losses, down = losses[1:], s.age()+simRestart
			s.lose()
		}
		if s.age() < down {
			continue
		}
		if s.age() == down {
			s.restart()
		}
		s.deliverDue()
		for range s.poisson(perSecond * simStep.Seconds()) {
			s.request()
		}
		s.exchangeReports()
	}
}

// simRestart is how long hosts that were lost are away.
const simRestart = 2 * time.Second

// restartCoordinator restarts the host that coordinates, alone: the others still have their reports.
func (s *simFleet) restartCoordinator() {
	order := s.coordinator.order
	s.due = slices.DeleteFunc(s.due, func(e simCompletion) bool {
		if e.host == 0 {
			e.target.open--
		}
		return e.host == 0
	})
	s.gates[0] = s.startGate(order, 0)
	s.coordinator = NewCoordinator(order, simBounds, s.now)
}

// Guards against decisions on no evidence, and against a good version that misses its deadline, after
// the loss of all hosts during the trial. If they are lost late, a good version may be rolled back.
func TestRolloutsOutliveTheLossOfAllHosts(t *testing.T) {
	const lastLossInTime = 9 * time.Second
	for _, hosts := range []int{6, 60} {
		for _, losses := range [][]time.Duration{{3 * time.Second}, {9 * time.Second}, {12 * time.Second}, {3 * time.Second, 8 * time.Second}} {
			for _, model := range simModels {
				t.Run(fmt.Sprintf("%s/%d hosts/lost at %v", model.name, hosts, losses), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(*seeds) {
						is := is.New(t)
						s := newSim(model, hosts, seed)
						s.runWithLosses(detectableRate, losses...)
						t.Logf("%s at %v, sent %d, of them %d to the new version, bad %d, late %d", s.record.State, s.finalAt, s.sent, s.trial, s.bad, s.sentTooLate)
						is.True(s.record != nil && s.record.State.Final())
						is.True(s.finalAt <= simPeriod)
						is.True(s.excessTrial() <= 0)
						if !model.good {
							is.Equal(s.record.State, RolledBack)
						} else if losses[len(losses)-1] <= lastLossInTime {
							is.Equal(s.record.State, Done)
						}
						if len(losses) == 1 {
							is.Equal(s.sentTooLate, 0)
						}
					}
				})
			}
		}
	}
}

// Guards against a coordinator that restarts alone, right before the decision, and rolls a good version
// back for lack of the evidence that other hosts still report.
func TestRolloutOutlivesTheRestartOfItsCoordinator(t *testing.T) {
	for _, perSecond := range []float64{5, 60, detectableRate} {
		for _, at := range []time.Duration{6 * time.Second, 12 * time.Second, 13400 * time.Millisecond} {
			for _, model := range simModels {
				t.Run(fmt.Sprintf("%s/%g a second/restart at %v", model.name, perSecond, at), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(*seeds) {
						s := newSim(model, 6, seed)
						for s.age() < simPeriod+simSettle {
							s.now = s.now.Add(simStep)
							if s.age() == at && s.undecided() {
								s.restartCoordinator()
							}
							s.deliverDue()
							for range s.poisson(perSecond * simStep.Seconds()) {
								s.request()
							}
							s.exchangeReports()
						}
						t.Logf("%s at %v, sent %d, of them %d to the new version, bad %d, late %d", s.record.State, s.finalAt, s.sent, s.trial, s.bad, s.sentTooLate)
						s.check(is.New(t), perSecond)
					}
				})
			}
		}
	}
}
