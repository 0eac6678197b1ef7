package target

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// oneCaller sends one request after the other, ten a second, for a time, and counts who got them.
func oneCaller(r *Registry, span time.Duration, latency func(id string) time.Duration) map[string]int {
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

// A target answers 20 times as slowly as the other for some seconds, and is as fast as before
// then. With a single caller it was never chosen again: its smoothed latency stayed over three
// times the median, which made it busier in this host's eyes than one without any work, and
// nothing but an answer changes that figure. 0 of 600 requests went to it in the minute after.
// What is believed of a target has to grow old, so that it is asked again now and then, and a
// target that is still slow must not be asked often.
func TestTargetThatWasSlowOnceIsAskedAgain(t *testing.T) {
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
		oneCaller(r, 10*time.Second, latency)
		still := oneCaller(r, 60*time.Second, latency)
		slow = false
		oneCaller(r, 30*time.Second, latency)
		got := oneCaller(r, 60*time.Second, latency)
		t.Logf("while slow %v, afterwards %v", still, got)
		is.True(still["a"]*20 <= still["b"]) // at most one in twenty
		is.True(got["a"]*4 >= got["b"])      // a fifth and more
	})
}
