package target

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestEvacuatedDomainGetsNoNewRequest(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a1", "z1"), entry("a2", "z1"), entry("b", "z2"))
	r.Evacuate("z1", 0)
	is.Equal(countChosen(r, Requirements{Service: "s"}, 6), map[string]int{"b": 6})
	is.Equal(countChosen(r, Requirements{Service: "s", Affinity: "p"}, 60), map[string]int{"b": 60})

	// Not even as a last resort, if the others were tried, are ejected or have left.
	is.Equal(r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"b": true}}), nil)
	is.True(!r.HasCandidate(Requirements{Service: "s", Exclude: map[string]bool{"b": true}}))
	r.Remove("b")
	is.Equal(countChosen(r, Requirements{Service: "s"}, 1), map[string]int{"b": 1}) // it left recently
	r.Evacuate("z2", 0)
	is.Equal(r.Choose(Requirements{Service: "s"}), nil)
}

func TestEvacuationsOverlap(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z2"))
	r.Evacuate("z1", 0)
	r.Evacuate("z2", 0)
	r.Evacuate("z1", 0) // repeated order
	is.Equal(r.CountEvacuatedDomains(), 2)
	is.Equal(r.Choose(Requirements{Service: "s"}), nil)
	r.EndEvacuation("z1")
	is.Equal(countChosen(r, Requirements{Service: "s"}, 3), map[string]int{"a": 3})
	r.EndEvacuation("z1")
	r.EndEvacuation("z2")
	is.Equal(r.CountEvacuatedDomains(), 0)
	is.True(countChosen(r, Requirements{Service: "s"}, 20)["b"] > 5)
}

// Guards against an evacuation that misses targets listed after its start.
func TestTargetListedDuringEvacuationGetsNoRequest(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("b", "z2"))
	r.Evacuate("z1", 0)
	r.Put(entry("a", "z1"))
	is.Equal(countChosen(r, Requirements{Service: "s"}, 6), map[string]int{"b": 6})
}

// Targets that were idle are cold after an evacuation, which their entries report only later.
func TestTargetsAreColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"))
	r.SetColdLimits("s", ColdLimits{PerSecond: 3, Duration: time.Minute})
	r.Evacuate("z1", 0)
	r.EndEvacuation("z1")
	is.Equal(countChosen(r, Requirements{Service: "s"}, 3), map[string]int{"a": 1, "none": 2})
}

// Guards against targets of a domain that leave all at once, in another order at each host, or too late.
func TestEvacuationIsGradualAndInSameOrderAtAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var entries []Entry
		for i := range 30 {
			entries = append(entries, entry(fmt.Sprint("t", i), "z1"))
		}
		a, b := newRegistry(entries...), newRegistry(entries...)
		for _, r := range []*Registry{a, b} {
			r.Evacuate("z1", 2*time.Second)
		}
		before := len(entries)
		for range 20 {
			left := a.usable(Requirements{Service: "s"}, time.Now())
			is.Equal(ids(left), ids(b.usable(Requirements{Service: "s"}, time.Now())))
			is.True(before-len(left) <= 8) // few at a time
			before = len(left)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(a.usable(Requirements{Service: "s"}, time.Now())), 0)
	})
}

func ids(targets []*Target) []string {
	var list []string
	for _, t := range targets {
		list = append(list, t.ID)
	}
	return list
}
