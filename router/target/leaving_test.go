package target

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that announced its exit, and that becomes the last resort again when its entry says so later.
func TestExitAnnouncedBeforeTheEntryCountsFromTheAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"))
		want := Requirements{Service: "s"}
		a := r.Choose(want)
		r.RecordLeaving(a)
		is.Equal(r.Choose(want), a) // the last resort, until DrainLimit
		time.Sleep(60 * time.Millisecond)
		is.Equal(r.Choose(want), nil)
		draining := entry("a", "z1")
		draining.State = Draining
		r.Put(draining)
		is.Equal(r.Choose(want), nil)
		r.Remove("a")
		is.Equal(r.Choose(want), nil)
		is.True(!r.HasCandidate(want))
		is.Equal(r.CountReady("s"), 0)
	})
}

// Guards against an old entry, read after this host has forgotten the target, that puts it back into use.
func TestOldEntryDoesNotRestoreTargetThatAnnouncedItsExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"), entry("b", "z1"))
		r.RecordLeaving(r.targets["a"])
		r.Remove("a")
		time.Sleep(2 * forgetAfter)
		r.Sweep(time.Now())
		r.Put(entry("a", "z1"))
		is.Equal(countChosen(r, Requirements{Service: "s"}, 9), map[string]int{"b": 9})
	})
}
