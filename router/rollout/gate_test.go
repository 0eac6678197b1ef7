package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(5000, 0)

func newTestGate(ordersKnown bool) *Gate {
	g := NewGate("h", func(time.Time) bool { return ordersKnown })
	g.random = func() float64 { return 0 } // each first attempt is sampled
	return g
}

var firstAttempt = Request{Service: "s", FirstAttempt: true}

// Without an order all versions are used, but a version that is listed later gets nothing until this
// host has read all orders given until then.
func TestVersionWaitsForItsOrder(t *testing.T) {
	is := is.New(t)
	ordersKnown := false
	g := NewGate("h", func(time.Time) bool { return ordersKnown })
	g.NoteVersion("s", "v1", start)
	is.True(g.Rule(firstAttempt, start).Allows("v1"))
	g.NoteVersion("s", "v2", start)
	is.True(g.Rule(firstAttempt, start).Allows("v1"))
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
	ordersKnown = true
	is.True(g.Rule(firstAttempt, start).Allows("v2"))
	ordersKnown = false
	is.True(g.Rule(firstAttempt, start).Allows("v2")) // confirmed once and for all
}

// ordersKnown may hold a lock under which SetOrder is called: the gate must not deadlock.
func TestSetOrderDuringOrdersKnownDoesNotDeadlock(t *testing.T) {
	is := is.New(t)
	var g *Gate
	g = NewGate("h", func(time.Time) bool {
		g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, start)
		return true
	})
	g.NoteVersion("s", "v1", start)
	g.NoteVersion("s", "v2", start)
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
}

// From the order to the decision, the new version gets just the share that the advice allows, and
// only while the advice is fresh.
func TestVersionOnTrialGetsItsShare(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, start)
	is.True(!g.Rule(firstAttempt, start).Allows("v2")) // the rollout has not begun
	g.SetRecord(Record{Service: "s", Version: "v2", State: Running, Base: []string{"v1"}})
	is.True(!g.Rule(firstAttempt, start).Allows("v2")) // no advice
	g.SetAdvice("s", "v2", Advice{LogReachable: true, Phase: PhaseTrial, Share: 0.1}, 6, start)
	is.Equal(g.Rule(firstAttempt, start).Only, "v2")
	is.True(!g.Rule(Request{Service: "s"}, start).Allows("v2")) // a retry goes to the old version
	g.random = func() float64 { return 0.5 }
	is.True(!g.Rule(firstAttempt, start).Allows("v2")) // not sampled
	g.random = func() float64 { return 0 }
	is.True(!g.Rule(firstAttempt, start.Add(2*time.Second)).Allows("v2")) // the advice is stale
	g.SetAdvice("s", "v2", Advice{Phase: PhaseHeld, Share: 0.1}, 6, start)
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
}

// During the move, requests that must not be retried go to the new version, but not longer than advised.
func TestMoveSendsNonRetryableToNewVersion(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.random = func() float64 { return 0.9 }
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, start)
	g.SetRecord(Record{Service: "s", Version: "v2", State: Running})
	g.SetAdvice("s", "v2", Advice{LogReachable: true, Phase: PhaseMoving, Share: 0.1, MovingMs: 700}, 6, start)
	single := Request{Service: "s", FirstAttempt: true, NotRetryable: true}
	is.Equal(g.Rule(single, start).Only, "v2")
	is.Equal(g.Rule(firstAttempt, start).Only, "")
	is.Equal(g.Rule(single, start.Add(800*time.Millisecond)).Only, "")
}

// After the decision one of the versions gets nothing, even if the order is given again.
func TestDecisionsAreFinal(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	order := Order{Service: "s", Version: "v2", Period: time.Minute}
	g.SetOrder(order, start)
	g.SetRecord(Record{Service: "s", Version: "v2", State: RolledBack, Base: []string{"v1"}})
	g.SetAdvice("s", "v2", Advice{LogReachable: true, Phase: PhaseTrial, Share: 1}, 6, start)
	g.SetOrder(order, start)
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
	is.Equal(len(g.UndecidedOrders()), 0)
	is.Equal(Record{State: RolledBack}.finalize(Done).State, RolledBack)
	is.Equal(Record{State: Done}.finalize(RolledBack).State, Done)

	g.SetOrder(Order{Service: "s", Version: "v3", Period: time.Minute}, start)
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
	is.True(!g.Rule(firstAttempt, start).Allows("v3"))
	is.True(g.Rule(firstAttempt, start).Allows("v1"))
	next := newRecord(Order{Service: "s", Version: "v3"}, g.Record("s"), []string{"v1", "v2", "v3"}, start)
	is.Equal(next.Base, []string{"v1"})
	is.Equal(next.Barred, []string{"v2"})
	next.State = Done
	g.SetRecord(next)
	is.True(g.Rule(firstAttempt, start).Allows("v3"))
	is.True(!g.Rule(firstAttempt, start).Allows("v1"))
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
}

// Old targets stop as soon as the rollout is done. A host that does not know yet uses the new version
// once no other target is listed, but never a version that was rolled back.
func TestNewVersionIsLastResort(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, start)
	_, ok := g.LastResort("s", map[string]int{"v1": 3, "v2": 3})
	is.True(!ok)
	version, ok := g.LastResort("s", map[string]int{"v2": 3})
	is.True(ok)
	is.Equal(version, "v2")
	g.SetRecord(Record{Service: "s", Version: "v2", State: RolledBack})
	_, ok = g.LastResort("s", map[string]int{"v2": 3})
	is.True(!ok)
}

// A withdrawn order leaves a record that is still to be finalized.
func TestWithdrawnOrderIsFinalized(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, start)
	is.True(g.WithdrawOrder("s"))
	is.True(!g.WithdrawOrder("s"))
	is.Equal(len(g.OrphanedRecords()), 0) // it had not begun
	g.SetRecord(Record{Service: "s", Version: "v2", State: Running})
	is.True(!g.Rule(firstAttempt, start).Allows("v2"))
	is.Equal(len(g.OrphanedRecords()), 1)
	next, ok := Withdraw(g.Record("s"))
	is.True(ok)
	is.Equal(next.State, RolledBack)
	g.SetRecord(next)
	is.Equal(len(g.OrphanedRecords()), 0)
	_, ok = Withdraw(g.Record("s"))
	is.True(!ok)
}

// Guards against streams begun on trial that can't go on, and against streams that go on at a version that gets nothing
// any more.
func TestResumedStreamsMayUseTheVersionOnTrialButNoBarredOne(t *testing.T) {
	is := is.New(t)
	g := NewGate("h1", func(time.Time) bool { return true })
	now := time.Now()
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, now)
	record := Record{Service: "s", Version: "v2", State: Running, Base: []string{"v1"}}
	g.SetRecord(record)
	resumed := Request{Service: "s", Resumed: true, FirstAttempt: true}
	is.True(g.Rule(resumed, now).Allows("v1"))
	is.True(g.Rule(resumed, now).Allows("v2"))
	is.True(!g.Rule(Request{Service: "s"}, now).Allows("v2"))
	g.SetRecord(record.finalize(RolledBack))
	is.True(!g.Rule(resumed, now).Allows("v2"))
	g.SetRecord(record.finalize(Done))
	is.True(!g.Rule(resumed, now).Allows("v1"))
}
