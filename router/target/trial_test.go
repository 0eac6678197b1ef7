package target

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/router/rollout"
)

// twoVersions is a service with as many targets of an old and of a new version, in four domains.
func twoVersions(each int) *Registry {
	r := newRegistry()
	for i := range each {
		for _, version := range []string{"old", "new"} {
			e := entry(fmt.Sprint(version, i), fmt.Sprint("z", i%4))
			e.Version = version
			r.Put(e)
		}
	}
	return r
}

// Requests on trial go to a few targets of the new version, of all failure domains, the same ones at
// all hosts; those of the old version have the load of as many.
func TestTrialGoesToFewTargets(t *testing.T) {
	is := is.New(t)
	trial := Requirements{Service: "s", Versions: rollout.Rule{Only: "new", Share: 0.05}}
	a, b := chosen(twoVersions(100), trial, 200), chosen(twoVersions(100), trial, 200)
	is.Equal(len(a), rollout.TrialTargets(100, 0.05))
	domains := map[string]bool{}
	for id := range a {
		is.True(b[id] > 0)
		domains[id[len(id)-1:]] = true
	}
	is.True(len(domains) > 1)
	is.Equal(len(chosen(twoVersions(100), Requirements{Service: "s", Versions: rollout.Rule{Only: "new", Share: 1}}, 400)), 100)
}

// A version that got nothing to do, or is barred, is not a last resort either.
func TestBarredVersionIsNeverChosen(t *testing.T) {
	is := is.New(t)
	r := twoVersions(2)
	barred := Requirements{Service: "s", Versions: rollout.Rule{Barred: []string{"new"}}}
	is.Equal(chosen(r, barred, 20)["new0"]+chosen(r, barred, 20)["new1"], 0)
	r.Remove("old0")
	r.Remove("old1")
	barred.Exclude = map[string]bool{"old0": true, "old1": true}
	is.True(!r.HasCandidate(barred))
	is.Equal(r.CountReadyByVersion("s"), map[string]int{"new": 2})
}

// A target on trial that fails is asked on until its version is judged, though requests that need
// an answer pass it over.
func TestTrialIsNotEndedByEjection(t *testing.T) {
	is := is.New(t)
	r := twoVersions(8)
	trial := Requirements{Service: "s", Versions: rollout.Rule{Only: "new", Share: 0.05}}
	for range 40 {
		target := r.Choose(trial)
		is.True(target != nil)
		r.BeginRequest(target, 0)
		r.EndRequest(target, 0, Broken)
	}
}

// An entry with another version is another target.
func TestChangedVersionIsAnotherTarget(t *testing.T) {
	is := is.New(t)
	e := entry("a", "z1")
	e.Version = "old"
	r := newRegistry(e)
	before := r.Choose(Requirements{Service: "s"})
	e.Version = "new"
	r.Put(e)
	after := r.Choose(Requirements{Service: "s"})
	is.True(before != after)
	is.Equal(after.Version, "new")
}
