package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/rollout"
)

// twoVersions is a service with the same number of targets of an old and a new version, in four domains.
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

// Guards against a trial that spreads over all targets of the new version, so that none gets the load of an old one, or
// that uses other targets at each host or just one failure domain.
func TestTrialGoesToFewTargets(t *testing.T) {
	is := is.New(t)
	trial := Requirements{Service: "s", Versions: rollout.Rule{Only: "new", Share: 0.05}}
	a, b := countChosen(twoVersions(100), trial, 200), countChosen(twoVersions(100), trial, 200)
	is.Equal(len(a), rollout.TrialTargets(100, 0.05))
	domains := map[string]bool{}
	for id := range a {
		is.True(b[id] > 0)
		domains[id[len(id)-1:]] = true
	}
	is.True(len(domains) > 1)
	is.Equal(len(countChosen(twoVersions(100), Requirements{Service: "s", Versions: rollout.Rule{Only: "new", Share: 1}}, 400)), 100)
}

// A barred version must not be used even as a last resort.
func TestBarredVersionIsNeverChosen(t *testing.T) {
	is := is.New(t)
	r := twoVersions(2)
	barred := Requirements{Service: "s", Versions: rollout.Rule{Barred: []string{"new"}}}
	is.Equal(countChosen(r, barred, 20)["new0"]+countChosen(r, barred, 20)["new1"], 0)
	r.Remove("old0")
	r.Remove("old1")
	barred.Exclude = map[string]bool{"old0": true, "old1": true}
	is.True(!r.HasCandidate(barred))
	is.Equal(r.CountReadyByVersion("s"), map[string]int{"new": 2})
}

// A failing target on trial must get requests until its version is judged, though other requests avoid it.
func TestEjectionDoesNotEndTrial(t *testing.T) {
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

// Guards against results of an old version that count for the new one.
func TestNewVersionReplacesTarget(t *testing.T) {
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

// Guards against taking a version for the only one while streams of another one may be in progress, though its last target
// was replaced under the same id.
func TestRecentVersionsAreRemembered(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{DrainLimit: time.Second})
	is.Equal(r.RecentVersions("s"), nil)
	entry := Entry{ID: "a", Service: "s", Address: "127.0.0.1:1", Version: "v1", Slots: 1}
	r.Put(entry)
	is.Equal(r.RecentVersions("s"), []string{"v1"})
	entry.Version = "v2"
	r.Put(entry)
	is.Equal(r.RecentVersions("s"), []string{"v1", "v2"})
	is.True(r.HasVersion("s", "v2"))
	is.True(!r.HasVersion("s", "v1"))
	r.Sweep(time.Now().Add(versionMemory + time.Second))
	is.Equal(r.RecentVersions("s"), []string{"v2"})
}

// Guards against streams that go on at another version, or at a process that replaced the one that was listed.
func TestResumedStreamGoesToItsVersion(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{DrainLimit: time.Second})
	for i, version := range []string{"v1", "v2", "v1"} {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Version: version, Slots: 1})
	}
	want := Requirements{Service: "s", Resumes: true, Version: "v2"}
	is.Equal(r.Choose(want).ID, "t1")
	r.targets["t1"].exited = true
	is.Equal(r.Choose(want), nil)
	is.True(r.Choose(Requirements{Service: "s"}) != nil)
}
