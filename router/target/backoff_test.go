package target

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// refuse sends a request to the target, which refuses it and wants no others for d.
func refuse(r *Registry, t *Target, d time.Duration) {
	r.BeginRequest(t, 0)
	r.RecordBackoff(t, d)
	r.EndRequest(t, 0, Refused)
}

// Guards against a second refusal whose shorter time ends a longer pause.
func TestShorterPauseDoesNotEndALongerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"))
		refuse(r, r.targets["a"], 3*time.Second)
		refuse(r, r.targets["a"], 500*time.Millisecond)
		for range 29 {
			is.Equal(r.Choose(Requirements{Service: "s"}), nil)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a target that all hosts return to at the same moment, or that stays unused after its pause.
func TestHostsReturnAtDifferentTimesAfterAPause(t *testing.T) {
	const hosts, pause = 300, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var all []*Registry
		for range hosts {
			r := newRegistry(entry("a", "z1"), entry("b", "z1"))
			refuse(r, r.targets["a"], pause)
			all = append(all, r)
		}
		returned := map[*Registry]bool{}
		inStep := map[int]int{} // hosts that return, by 100 ms after the pause
		for at := 0; at < 20 && len(returned) < hosts; at++ {
			if at == 0 {
				time.Sleep(pause)
			}
			for _, r := range all {
				for range 4 {
					if c := r.Choose(Requirements{Service: "s"}); !returned[r] && c.ID == "a" {
						returned[r] = true
						inStep[at]++
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(returned), hosts)
		for at, n := range inStep {
			t.Logf("%d hosts return %d ms after the pause", n, 100*at)
			is.True(n <= hosts/4)
		}
	})
}

// Guards against a burst at a target after its pause, before it has shown that it takes requests again.
func TestOneRequestTestsATargetAfterItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"), entry("b", "z1"))
		a := r.targets["a"]
		refuse(r, a, 2*time.Second)
		time.Sleep(4 * time.Second)
		got := countChosen(r, Requirements{Service: "s"}, 9)
		is.Equal(got, map[string]int{"a": 1, "b": 8})
		r.RecordFirstByte(a, 0, time.Millisecond)
		is.True(countChosen(r, Requirements{Service: "s"}, 9)["a"] >= 7)
	})
}

// Guards against callers that are refused because every target is still being tested after its pause.
func TestTargetsUnderTestAreUsedIfThereIsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"))
		refuse(r, r.targets["a"], 2*time.Second)
		time.Sleep(4 * time.Second)
		is.Equal(countChosen(r, Requirements{Service: "s"}, 9), map[string]int{"a": 9})
	})
}

// Guards against a refusal that counts as a failure: a pause that a target asks for is no reason to eject it.
func TestRefusalWithAPauseDoesNotEjectATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"), entry("b", "z1"), entry("c", "z1"))
		for range 20 {
			refuse(r, r.targets["a"], time.Second)
			time.Sleep(1500 * time.Millisecond)
		}
		is.True(!r.Ejected("a", time.Now()))
		is.Equal(r.targets["a"].health.failureRate, 0.0)
	})
}

// Guards against a pause that a last resort, or a request with affinity, passes over.
func TestNoRequestPassesOverAPause(t *testing.T) {
	for _, want := range []Requirements{
		{Service: "s"}, {Service: "s", Affinity: "p:1"}, {Service: "s", Priority: 1, PromptTokens: 1e5},
		{Service: "s", Exclude: map[string]bool{"b": true}},
	} {
		t.Run(fmt.Sprintf("%+v", want), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRegistry(entry("a", "z1"), entry("b", "z1"))
				refuse(r, r.targets["a"], 3*time.Second)
				draining := entry("b", "z1")
				draining.State = Draining
				r.Put(draining)
				time.Sleep(time.Second)
				is.Equal(r.Choose(want), nil)
				is.True(!r.HasCandidate(want))
			})
		})
	}
}
