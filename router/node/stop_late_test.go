package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/forward"
	"maststage.dev/standin/backend"
)

// stopFor makes a host one that has been stopping for a while.
func (h *host) stopFor(d time.Duration) {
	started := time.Now().Add(-d)
	h.stopStarted.Store(&started)
}

// Guards against a host that stops, takes a request that may outlast its grace time and cuts it off though a target runs it.
func TestStoppingHostBeginsNothingThatOutlastsIt(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	h := f.start(f.settings("h1"))
	f.ready(h)
	left := func() time.Duration { return time.Until(h.endsAt()) }
	late := h.scaleToGrace(streamTime)
	for _, c := range []struct {
		name      string
		stopped   time.Duration // since the stop began
		ends      time.Duration // the deadline, from the end of the host; noDeadline: none
		streaming bool
		repeated  bool
		want      forward.Kind
	}{
		{"may not be repeated, ends in time", 0, -50 * time.Millisecond, false, false, forward.OK},
		{"may not be repeated, outlasts the host", 0, 50 * time.Millisecond, false, false, forward.Stopping},
		{"may not be repeated, no deadline", 0, noDeadline, false, false, forward.Stopping},
		{"may be repeated, outlasts the host", 0, 50 * time.Millisecond, false, true, forward.OK},
		{"stream, outlasts the host", 0, 50 * time.Millisecond, true, false, forward.OK},
		{"late, may not be repeated, ends in time", late, -50 * time.Millisecond, false, false, forward.OK},
		{"late, may not be repeated, outlasts the host", late, 50 * time.Millisecond, false, false, forward.Stopping},
		{"late, may be repeated, ends in time", late, -50 * time.Millisecond, false, true, forward.OK},
		{"late, may be repeated, outlasts the host", late, 50 * time.Millisecond, false, true, forward.Stopping},
		{"late, may be repeated, no deadline", late, noDeadline, false, true, forward.Stopping},
		{"late, stream, ends in time", late, -50 * time.Millisecond, true, true, forward.Stopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			h.stopFor(c.stopped)
			arrival := forward.Arrival{At: time.Now(), Streaming: c.streaming, Repeatable: c.repeated}
			if c.ends != noDeadline {
				arrival.Deadline = time.Now().Add(left() + c.ends)
			}
			if got := h.admits(t.Context(), arrival); got != c.want {
				t.Fatalf("%s, want %s", got, c.want)
			}
		})
	}
}

const noDeadline = time.Hour

// Guards against a request that may not be repeated and is closed without a response at the end of the grace time, after its
// host took it late in that time. Its target was running it.
func TestLateUnsafeRequestIsRefusedRatherThanCut(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, strings.Replace(plainRoute, `"kind":"safe"`, `"kind":"unsafe"`, 1), ""))
	b := f.backend("t1", backend.Behaviour{Delay: 1300 * time.Millisecond})
	h := f.start(f.settings("h1"))
	f.ready(h)
	go f.callWithin(h, "/r/x", 2900*time.Millisecond) // keeps the host from ending
	f.eventually("a request is in flight", func() bool { return h.handler.InFlight() == 1 })
	h.Stop()
	time.Sleep(h.scaleToGrace(responseTime) * 9 / 10)
	late := f.callWithin(h, "/r/x", 1400*time.Millisecond)
	f.is.NoErr(late.err)
	f.is.Equal(late.status, http.StatusServiceUnavailable)
	f.is.Equal(len(b.Runs()), 1)
}

// Guards against a request that outlasts the grace time of its host and gets a closed connection instead of a response.
func TestRequestThatOutlastsTheGraceTimeGetsAResponse(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Delay: 5 * time.Second})
	h := f.start(f.settings("h1"))
	f.ready(h)
	replies := make(chan reply)
	go func() { replies <- f.call(h, "/r/x", "") }()
	f.eventually("it is in flight", func() bool { return h.handler.InFlight() == 1 })
	h.Stop()
	got := <-replies
	f.is.NoErr(got.err)
	f.is.Equal(got.status, http.StatusGatewayTimeout) // it may have run
	f.is.True(!time.Now().Before(h.endsAt()))
	<-h.done
}

// Guards against a host that was told of a shorter grace time, goes by the one of its start as it stops, and is killed with requests
// in flight.
func TestStopGoesByTheNewestGraceTime(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	reload := func(graceS float64) {
		changed := *h.cfg
		changed.Bounds.GraceS = graceS
		h.apply(&changed)
	}
	reload(1)
	h.Stop()
	f.is.Equal(h.endsAt().Sub(*h.stopStarted.Load()), time.Second-stopMargin)
	f.is.Equal(h.scaleToGrace(responseTime), responseTime/8)
	reload(2) // a shutdown that has begun is not prolonged
	f.is.Equal(h.endsAt().Sub(*h.stopStarted.Load()), time.Second-stopMargin)
}

// callWithin sends a request with a deadline.
func (f *testFleet) callWithin(h *host, path string, deadline time.Duration) reply {
	return f.callWith(h, path, "", http.Header{"X-Deadline": {fmt.Sprint(deadline.Milliseconds())}})
}
