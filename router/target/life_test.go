package target

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func bornAt(ms int64) Entry {
	e := entry("a", "z1")
	if ms != 0 {
		e.StartedAt = time.UnixMilli(ms)
	}
	return e
}

// A target that starts again under its id knows nothing of before, and what was learned of
// it before says nothing of it: ejection, work under way, an earlier leave.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	is := is.New(t)
	r := newRegistry(bornAt(1000), entry("b", "z1"))
	old := r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"b": true}})
	for range 3 {
		r.BeginRequest(old, 100)
		r.EndRequest(old, 100, Broken)
	}
	r.BeginRequest(old, 100) // under way as it ends
	is.True(r.Ejected("a", time.Now()))
	drained := bornAt(1000)
	drained.State = Draining
	r.Put(drained)
	is.Equal(r.TotalReady(), 1)

	r.Put(bornAt(2000))
	is.Equal(r.TotalReady(), 2)
	is.True(!r.Ejected("a", time.Now()))
	now := r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"b": true}})
	is.True(now != old)
	is.Equal(now.outstanding, 0)
	is.True(now.Pool != old.Pool)
	is.Equal(r.Incarnation(now).String(), "a@2000")
	r.EndRequest(old, 100, Broken) // the run of the life before says nothing of this one
	is.Equal(now.health.broken, 0)
}

// Records come in the order of the log, so an earlier start is another life too: its clock
// jumped back. The same start twice, or none told, is the same life.
func TestWhichEntriesTellOfAnotherLife(t *testing.T) {
	for _, c := range []struct {
		name         string
		before, next int64
		another      bool
	}{{"the same start", 1000, 1000, false}, {"a later start", 1000, 2000, true}, {"a clock that jumped back", 2000, 1000, true},
		{"no start told", 1000, 0, false}, {"first told now", 0, 1000, false}, {"never told", 0, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry(bornAt(c.before))
			old := r.Choose(Requirements{Service: "s"})
			r.Put(bornAt(c.next))
			is.Equal(r.Choose(Requirements{Service: "s"}) != old, c.another)
		})
	}
}

// A life that named itself is not forgotten by an entry that does not.
func TestStartIsRememberedOverEntriesWithoutOne(t *testing.T) {
	is := is.New(t)
	r := newRegistry(bornAt(1000))
	old := r.Choose(Requirements{Service: "s"})
	r.Put(bornAt(0))
	r.Put(bornAt(2000))
	is.True(r.Choose(Requirements{Service: "s"}) != old)
}

// A target that ended is passed over while others are there, and not ejected for good.
func TestEndedTargetIsPassedOver(t *testing.T) {
	is := is.New(t)
	r, target, b := endTarget(t)
	b.Close()
	is.True(r.ProbeExited(t.Context(), target))
	r.Put(entry("other", "z1"))
	is.Equal(chosen(r, Requirements{Service: "s"}, 20), map[string]int{"other": 20})
	is.Equal(r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"other": true}}), target)
}
