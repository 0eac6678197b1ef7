package target

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/standin/backend"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

func newRegistry(entries ...Entry) *Registry {
	r := NewRegistry(Options{Domain: "z1", DrainLimit: 50 * time.Millisecond, MaxIdle: 1})
	for _, e := range entries {
		r.Put(e)
	}
	return r
}

func entry(id, domain string) Entry {
	return Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: domain, Slots: 4}
}

// countChosen counts the choices for n requests that all stay outstanding.
func countChosen(r *Registry, w Requirements, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		t := r.Choose(w)
		if t == nil {
			counts["none"]++
			continue
		}
		r.BeginRequest(t, w.PromptTokens)
		counts[t.ID]++
	}
	return counts
}

// Guards against a choice that ignores this host's own outstanding requests, so that one target gets all.
func TestOutstandingRequestsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z1"), entry("c", "z1"))
	got := countChosen(r, Requirements{Service: "s"}, 9)
	is.Equal(got, map[string]int{"a": 3, "b": 3, "c": 3})
}

// Guards against needless traffic between failure domains, and against a near target that is overloaded.
func TestOwnFailureDomainIsPreferred(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("near", "z1"), entry("far", "z2"))
	is.Equal(countChosen(r, Requirements{Service: "s"}, 1), map[string]int{"near": 1})
	is.Equal(countChosen(r, Requirements{Service: "s"}, 5)["far"], 3) // unless the near one is much busier
}

func TestUnknownServiceHasNoTarget(t *testing.T) {
	is := is.New(t)
	is.Equal(newRegistry(entry("a", "z1")).Choose(Requirements{Service: "other"}), nil)
}

func TestLeavingTargetGetsNoNewRequest(t *testing.T) {
	for name, leave := range map[string]func(*Registry){
		"draining": func(r *Registry) { e := entry("a", "z1"); e.State = Draining; r.Put(e) },
		"gone":     func(r *Registry) { r.Remove("a") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry(entry("a", "z1"), entry("b", "z2"))
			leave(r)
			is.Equal(countChosen(r, Requirements{Service: "s"}, 4), map[string]int{"b": 4})
			is.Equal(r.CountReady("s"), 1)
		})
	}
}

// If no other target is left, one that left recently may still be chosen, but not for longer than the operator
// allows.
func TestLastLeavingTargetServesUntilDrainLimit(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"))
	r.Remove("a")
	is.True(r.Choose(Requirements{Service: "s"}) != nil)
	time.Sleep(60 * time.Millisecond)
	is.Equal(r.Choose(Requirements{Service: "s"}), nil)
	// A repeated entry that says it leaves doesn't extend that time.
	e := entry("a", "z1")
	e.State = Draining
	r.Put(e)
	is.Equal(r.Choose(Requirements{Service: "s"}), nil)
	r.Put(entry("a", "z1")) // listed as ready again
	is.True(r.Choose(Requirements{Service: "s"}) != nil)
}

func TestNewAddressReplacesTarget(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"))
	e := entry("a", "z1")
	e.Address = "127.0.0.1:2"
	r.Put(e)
	is.Equal(r.Choose(Requirements{Service: "s"}).Address, "127.0.0.1:2")
	is.Equal(r.TotalReady(), 1)
}

func recordResults(r *Registry, id string, result Result, n int) {
	for range n {
		for _, t := range r.services["s"] {
			if t.ID == id {
				r.BeginRequest(t, 0)
				r.EndRequest(t, 0, result)
			}
		}
	}
}

func TestBrokenTargetIsEjected(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z1"), entry("c", "z1"))
	recordResults(r, "a", Broken, 2)
	is.Equal(countChosen(r, Requirements{Service: "s"}, 4)["a"], 0)
}

func TestOftenFailingTargetIsEjected(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z1"), entry("c", "z1"))
	for range 10 {
		recordResults(r, "a", Errored, 1)
		recordResults(r, "b", Succeeded, 1)
		recordResults(r, "c", Succeeded, 1)
	}
	is.Equal(countChosen(r, Requirements{Service: "s"}, 4)["a"], 0)
}

// If all targets fail alike, the cause is the requests and not the targets.
func TestFailuresOfAllTargetsEjectNone(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z1"), entry("c", "z1"))
	for range 30 {
		for _, id := range []string{"a", "b", "c"} {
			recordResults(r, id, Errored, 1)
		}
	}
	is.Equal(len(countChosen(r, Requirements{Service: "s"}, 9)), 3)
}

func TestAtMostHalfOfTargetsAreEjected(t *testing.T) {
	is := is.New(t)
	var entries []Entry
	for i := range 10 {
		entries = append(entries, entry(fmt.Sprint(i), "z1"))
	}
	r := newRegistry(entries...)
	for i := range 10 {
		recordResults(r, fmt.Sprint(i), Broken, 2)
	}
	is.Equal(len(r.usable(Requirements{Service: "s"}, time.Now())), 5)
}

func TestEjectedTargetIsUsedAsLastResort(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z1"))
	recordResults(r, "a", Broken, 2)
	is.Equal(r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"b": true}}).ID, "a")
	is.Equal(r.Choose(Requirements{Service: "s", Exclude: map[string]bool{"a": true, "b": true}}), nil)
}

func TestRefusingTargetIsAvoidedBriefly(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z2"))
	recordResults(r, "a", Refused, 1)
	is.Equal(r.Choose(Requirements{Service: "s"}).ID, "b")
}

// Guards against requests to a target that has outstanding ones and sends nothing on any of them.
func TestSilentTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z2"))
	dark := r.Choose(Requirements{Service: "s"})
	is.Equal(dark.ID, "a")
	r.BeginRequest(dark, 0)
	later := time.Now().Add(silenceLimit + time.Millisecond)
	is.Equal(r.usable(Requirements{Service: "s"}, later)[0].ID, "b")
	dark.RecordActivity(later)
	is.Equal(len(r.usable(Requirements{Service: "s"}, later)), 2)
	r.EndRequest(dark, 0, Succeeded)
	is.Equal(len(r.usable(Requirements{Service: "s"}, later.Add(time.Hour))), 2) // nothing is outstanding
}

func TestAffinityPicksOneTargetWithinLoadBound(t *testing.T) {
	is := is.New(t)
	var entries []Entry
	for i := range 6 {
		entries = append(entries, entry(fmt.Sprint(i), "z1"))
	}
	r := newRegistry(entries...)
	first := r.Choose(Requirements{Service: "s", Affinity: "x:1"}).ID
	for range 20 {
		is.Equal(r.Choose(Requirements{Service: "s", Affinity: "x:1"}).ID, first)
	}
	// It gets fewer once it is much busier than the rest.
	got := countChosen(r, Requirements{Service: "s", Affinity: "x:1"}, 60)
	is.True(got[first] < 40)
	is.True(got[first] > 60/6)
}

func TestSlowTargetGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("slow", "z1"), entry("b", "z1"), entry("c", "z1"))
	for range 40 {
		for _, x := range r.services["s"] {
			latency := 50 * time.Millisecond
			if x.ID == "slow" {
				latency = time.Second
			}
			r.BeginRequest(x, 0)
			r.RecordFirstByte(x, 0, latency)
			r.EndRequest(x, 0, Succeeded)
		}
	}
	r.updateMedian("s", time.Now().Add(time.Second))
	got := countChosen(r, Requirements{Service: "s"}, 12)
	is.True(got["slow"] <= 2)
}

func TestUnlistedTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"), entry("b", "z1"))
	r.Remove("a")
	r.Sweep(time.Now().Add(forgetAfter + time.Second))
	is.Equal(len(r.targets), 1)
	is.Equal(len(r.services["s"]), 1)
}

// An entry that lapsed while the store was unavailable comes back within about two seconds of the store's return.
// Its target must be used again, with new connections, while one that stays missing is forgotten.
func TestTargetIsUsedAgainAfterItsEntryLapsed(t *testing.T) {
	is := is.New(t)
	e, err := backend.Start("t1", backend.Names{RequestID: "X-Id"}, func(backend.Run) backend.Behaviour { return backend.Behaviour{} })
	is.NoErr(err)
	t.Cleanup(e.Close)
	r := NewRegistry(Options{DrainLimit: 10 * time.Millisecond, DialTimeout: time.Second})
	back := Entry{ID: "t1", Service: "s", Address: e.Address(), Slots: 4}
	gone := Entry{ID: "t2", Service: "s", Address: "127.0.0.1:1", Slots: 4}
	r.Put(back)
	r.Put(gone)
	r.Remove("t1")
	r.Remove("t2")
	is.True(r.Choose(Requirements{Service: "s"}) != nil) // no other target is left, and it may still serve
	now := time.Now().Add(2 * time.Second)
	r.Sweep(now)
	time.Sleep(20 * time.Millisecond)
	is.True(r.Choose(Requirements{Service: "s"}) == nil)
	r.Put(back)
	chosen := r.Choose(Requirements{Service: "s"})
	is.Equal(chosen.ID, "t1")
	conn, err := chosen.Pool.Get(context.Background(), time.Second)
	is.NoErr(err)
	conn.Close()
	r.Sweep(now.Add(forgetAfter))
	is.Equal(r.CountReady("s"), 1)
	is.Equal(r.targets["t2"], nil)
}

// A host that starts doesn't know how long a target has been leaving, so it must not use it as a last resort.
func TestTargetFirstSeenLeavingIsNeverChosen(t *testing.T) {
	is := is.New(t)
	leaving := entry("a", "z1")
	leaving.State = Draining
	r := newRegistry(leaving)
	is.True(r.Choose(Requirements{Service: "s"}) == nil)
}
