package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var day = time.Unix(5000, 0)

func newTestGate(read bool) *Gate {
	g := NewGate("h", func(time.Time) bool { return read })
	g.draw = func() float64 { return 0 } // each first request is drawn
	return g
}

var first = Request{Service: "s", FirstAttempt: true}

// With no order known, all versions are used, but one that shows up later waits until this host
// knows the orders of then.
func TestVersionWaitsForItsOrder(t *testing.T) {
	is := is.New(t)
	read := false
	g := NewGate("h", func(time.Time) bool { return read })
	g.NoteVersion("s", "v1", day)
	is.True(g.Rule(first, day).Allows("v1"))
	g.NoteVersion("s", "v2", day)
	is.True(g.Rule(first, day).Allows("v1"))
	is.True(!g.Rule(first, day).Allows("v2"))
	read = true
	is.True(g.Rule(first, day).Allows("v2"))
	read = false
	is.True(g.Rule(first, day).Allows("v2")) // once is enough
}

// What tells which orders are known may hold a lock under which orders come in.
func TestOrdersComeInWhileTheyAreAskedFor(t *testing.T) {
	is := is.New(t)
	var g *Gate
	g = NewGate("h", func(time.Time) bool {
		g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, day)
		return true
	})
	g.NoteVersion("s", "v1", day)
	g.NoteVersion("s", "v2", day)
	is.True(!g.Rule(first, day).Allows("v2"))
}

// From the order to the decision the version gets nothing but what advice allows, and that only
// while the advice is fresh.
func TestVersionOnTrialGetsItsShare(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, day)
	is.True(!g.Rule(first, day).Allows("v2")) // not begun
	g.SetRecord(Record{Service: "s", Version: "v2", State: Running, Base: []string{"v1"}})
	is.True(!g.Rule(first, day).Allows("v2")) // no advice
	g.SetAdvice("s", "v2", Advice{LogReachable: true, Phase: PhaseTrial, Share: 0.1}, 6, day)
	is.Equal(g.Rule(first, day).Only, "v2")
	is.True(!g.Rule(Request{Service: "s"}, day).Allows("v2")) // a repeat goes to the old version
	g.draw = func() float64 { return 0.5 }
	is.True(!g.Rule(first, day).Allows("v2")) // not drawn
	g.draw = func() float64 { return 0 }
	is.True(!g.Rule(first, day.Add(2*time.Second)).Allows("v2")) // old advice
	g.SetAdvice("s", "v2", Advice{Phase: PhaseHeld, Share: 0.1}, 6, day)
	is.True(!g.Rule(first, day).Allows("v2"))
}

// In the move, what may not be sent again goes to the new version, for as long as was said.
func TestMoveOfWhatMayNotBeSentAgain(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.draw = func() float64 { return 0.9 }
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, day)
	g.SetRecord(Record{Service: "s", Version: "v2", State: Running})
	g.SetAdvice("s", "v2", Advice{LogReachable: true, Phase: PhaseMoving, Share: 0.1, MovingMs: 700}, 6, day)
	single := Request{Service: "s", FirstAttempt: true, NotRetryable: true}
	is.Equal(g.Rule(single, day).Only, "v2")
	is.Equal(g.Rule(first, day).Only, "")
	is.Equal(g.Rule(single, day.Add(800*time.Millisecond)).Only, "")
}

// After the decision one of the sides gets nothing, whatever is ordered again.
func TestDecisionsAreFinal(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	order := Order{Service: "s", Version: "v2", Period: time.Minute}
	g.SetOrder(order, day)
	g.SetRecord(Record{Service: "s", Version: "v2", State: RolledBack, Base: []string{"v1"}})
	g.SetAdvice("s", "v2", Advice{LogReachable: true, Phase: PhaseTrial, Share: 1}, 6, day)
	g.SetOrder(order, day)
	is.True(!g.Rule(first, day).Allows("v2"))
	is.Equal(len(g.UndecidedOrders()), 0)
	is.Equal(Record{State: RolledBack}.ended(Done).State, RolledBack)
	is.Equal(Record{State: Done}.ended(RolledBack).State, Done)

	g.SetOrder(Order{Service: "s", Version: "v3", Period: time.Minute}, day)
	is.True(!g.Rule(first, day).Allows("v2"))
	is.True(!g.Rule(first, day).Allows("v3"))
	is.True(g.Rule(first, day).Allows("v1"))
	next := begin(Order{Service: "s", Version: "v3"}, g.Record("s"), []string{"v1", "v2", "v3"}, day)
	is.Equal(next.Base, []string{"v1"})
	is.Equal(next.Barred, []string{"v2"})
	next.State = Done
	g.SetRecord(next)
	is.True(g.Rule(first, day).Allows("v3"))
	is.True(!g.Rule(first, day).Allows("v1"))
	is.True(!g.Rule(first, day).Allows("v2"))
}

// Old targets stop as soon as the move is done. A host that has not heard of it goes over once no
// other target is listed, but never to a version that was rolled back.
func TestLastResort(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, day)
	_, ok := g.LastResort("s", map[string]int{"v1": 3, "v2": 3})
	is.True(!ok)
	version, ok := g.LastResort("s", map[string]int{"v2": 3})
	is.True(ok)
	is.Equal(version, "v2")
	g.SetRecord(Record{Service: "s", Version: "v2", State: RolledBack})
	_, ok = g.LastResort("s", map[string]int{"v2": 3})
	is.True(!ok)
}

// An order that was taken back leaves a record that is still to be ended.
func TestOrderTakenBackIsEnded(t *testing.T) {
	is := is.New(t)
	g := newTestGate(true)
	g.SetOrder(Order{Service: "s", Version: "v2", Period: time.Minute}, day)
	is.True(g.WithdrawOrder("s"))
	is.True(!g.WithdrawOrder("s"))
	is.Equal(len(g.OrphanedRecords()), 0) // it had not begun
	g.SetRecord(Record{Service: "s", Version: "v2", State: Running})
	is.True(!g.Rule(first, day).Allows("v2"))
	is.Equal(len(g.OrphanedRecords()), 1)
	next, ok := Withdraw(g.Record("s"))
	is.True(ok)
	is.Equal(next.State, RolledBack)
	g.SetRecord(next)
	is.Equal(len(g.OrphanedRecords()), 0)
	_, ok = Withdraw(g.Record("s"))
	is.True(!ok)
}
