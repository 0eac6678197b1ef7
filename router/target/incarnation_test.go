package target

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func startedAt(ms int64) Entry {
	e := entry("a", "z1")
	if ms != 0 {
		e.StartedAt = time.UnixMilli(ms)
	}
	return e
}

// Guards against a target that restarts under its id and inherits the ejection, the outstanding requests or the drain
// of the incarnation before.
func TestRestartedTargetStartsWithCleanState(t *testing.T) {
	is := is.New(t)
	r := newRegistry(startedAt(1000), entry("b", "z1"))
	old := r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"b": true}})
	for range 3 {
		r.BeginRequest(old, 100)
		r.EndRequest(old, 100, Broken)
	}
	r.BeginRequest(old, 100) // outstanding when it exits
	is.True(r.Ejected("a", time.Now()))
	drained := startedAt(1000)
	drained.State = Draining
	r.Put(drained)
	is.Equal(r.TotalReady(), 1)

	r.Put(startedAt(2000))
	is.Equal(r.TotalReady(), 2)
	is.True(!r.Ejected("a", time.Now()))
	now := r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"b": true}})
	is.True(now != old)
	is.Equal(now.outstanding, 0)
	is.True(now.Pool != old.Pool)
	is.Equal(r.Incarnation(now).String(), "a@2000")
	r.EndRequest(old, 100, Broken) // a result of the old incarnation doesn't count
	is.Equal(now.health.consecutiveBroken, 0)
}

// Records arrive in log order, so an earlier start time also means another incarnation: the clock jumped back. The
// same start time twice, or an unknown one, means the same incarnation.
func TestStartTimesTellIncarnationsApart(t *testing.T) {
	for _, c := range []struct {
		name         string
		before, next int64
		another      bool
	}{{"the same start time", 1000, 1000, false}, {"a later start time", 1000, 2000, true}, {"a clock that jumped back", 2000, 1000, true},
		{"no start time now", 1000, 0, false}, {"first start time", 0, 1000, false}, {"never a start time", 0, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry(startedAt(c.before))
			old := r.Choose(Requirements{Service: "s"})
			r.Put(startedAt(c.next))
			is.Equal(r.Choose(Requirements{Service: "s"}) != old, c.another)
		})
	}
}

// Guards against a known start time that an entry without one erases.
func TestStartTimeOutlastsEntriesWithoutOne(t *testing.T) {
	is := is.New(t)
	r := newRegistry(startedAt(1000))
	old := r.Choose(Requirements{Service: "s"})
	r.Put(startedAt(0))
	r.Put(startedAt(2000))
	is.True(r.Choose(Requirements{Service: "s"}) != old)
}

// An exited target is avoided while others are there, and used if there is none.
func TestExitedTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	r, target, b := newBackendTarget(t)
	b.Close()
	is.True(r.ProbeExited(t.Context(), target))
	r.Put(entry("other", "z1"))
	is.Equal(countChosen(r, Requirements{Service: "s"}, 20), map[string]int{"other": 20})
	is.Equal(r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"other": true}}), target)
}
