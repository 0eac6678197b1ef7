package target

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// runCaller sends one request after the other, ten per second, for a time, and counts them by target.
func runCaller(r *Registry, span time.Duration, latency func(id string) time.Duration) map[string]int {
	got := map[string]int{}
	for end := time.Now().Add(span); time.Now().Before(end); {
		t := r.Choose(Requirements{Service: "s"})
		r.BeginRequest(t, 0)
		took := latency(t.ID)
		time.Sleep(took)
		r.RecordFirstByte(t, 0, took)
		r.EndRequest(t, 0, Succeeded)
		got[t.ID]++
		time.Sleep(max(100*time.Millisecond-took, 0))
	}
	return got
}

// Guards against a target that was slow for some seconds and is never chosen again by a single caller: its latency
// estimate stays over three times the median, and only a response changes it, so it got 0 of 600 requests in the
// minute after. The estimate has to decay, but a target that is still slow must not be tried often.
func TestTargetThatWasSlowIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry(entry("a", "z1"), entry("b", "z1"))
		slow := true
		latency := func(id string) time.Duration {
			if slow && id == "a" {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
		runCaller(r, 10*time.Second, latency)
		still := runCaller(r, 60*time.Second, latency)
		slow = false
		runCaller(r, 30*time.Second, latency)
		got := runCaller(r, 60*time.Second, latency)
		t.Logf("while slow %v, afterwards %v", still, got)
		is.True(still["a"]*20 <= still["b"]) // at most one in twenty-one
		is.True(got["a"]*4 >= got["b"])      // at least a fifth
	})
}
