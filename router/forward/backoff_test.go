package forward

import (
	"context"
	"strconv"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// Guards against requests to a target that refused one and asked this host to send none for a while, and against
// callers that are refused though other targets have room.
func TestTargetThatAsksForAPauseGetsNoRequests(t *testing.T) {
	f := newFixture(t)
	busy := f.add("t1", "plain", backend.Behaviour{Refuse: true, RetryAfter: "2"})
	f.add("t2", "plain", backend.Behaviour{Body: "ok"})
	f.is.Equal(f.doUntilArrival(busy, "/safe/x").status, 200) // retried at the other target
	known := busy.Arrivals()
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, 200)
	}
	f.is.Equal(busy.Arrivals(), known)

	answers(busy, backend.Behaviour{Body: "ok"})
	f.eventually("the target is used again", func() bool {
		f.do(f.request("GET", "/safe/x", ""))
		return busy.Arrivals() > known
	})
}

// Guards against callers that are told to retry before any target takes requests, all at the same time, or that wait.
func TestCallersAreToldWhenTargetsTakeRequestsAgain(t *testing.T) {
	f := newFixture(t)
	first := f.add("t1", "plain", backend.Behaviour{Refuse: true, RetryAfter: "4"})
	second := f.add("t2", "plain", backend.Behaviour{Refuse: true, RetryAfter: "2"})
	f.do(f.request("POST", "/safe/x", "")) // reaches both
	f.is.Equal(first.Arrivals()+second.Arrivals(), 2)
	began := time.Now()
	waits := map[float64]bool{}
	for range 20 {
		got := f.do(f.request("GET", "/safe/x", ""))
		f.is.Equal(got.status, 503)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		f.is.NoErr(err)
		left := 2 - time.Since(began).Seconds()
		f.is.True(after > left-0.1 && after < left+3)
		waits[after] = true
	}
	f.is.True(len(waits) > 10)
	f.is.True(time.Since(began) < time.Second)
	f.is.Equal(first.Arrivals()+second.Arrivals(), 2)
}

// Guards against pauses that a target did not ask for, or that are read from an invalid time.
func TestOnlyValidPausesAreObserved(t *testing.T) {
	for _, how := range []backend.Behaviour{
		{Refuse: true}, {Refuse: true, RetryAfter: "0"}, {Refuse: true, RetryAfter: "-3"}, {Refuse: true, RetryAfter: "soon"},
		{Refuse: true, RetryAfter: "1e9"}, {Refuse: true, RetryAfter: "Thu, 01 Jan 1970 00:00:00 GMT"},
	} {
		f := newFixture(t)
		only := f.add("t1", "plain", how)
		f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, 503)
		answers(only, backend.Behaviour{Body: "ok"})
		time.Sleep(200 * time.Millisecond) // the pause after any refusal
		f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, 200)
	}
}

// Guards against a request that is sent to a target which asked for a pause while the connection to it was made.
func TestPauseAskedWhileConnectingIsObserved(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{Body: "ok"})
	f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200) // leaves an idle connection
	known := f.targets.Choose(target.Requirements{Service: "plain"})
	f.targets.RecordBackoff(known, time.Minute)
	config := f.handler.Config()
	q := &request{handler: f.handler, config: config, route: config.Match("a.example", "/open/x"), service: "plain", ctx: t.Context(), r: f.request("GET", "/open/x", "")}
	a := &attempt{request: q, target: known, started: time.Now()}
	res, err := a.do(context.Background())
	f.is.Equal(res, notSent)
	f.is.True(err != nil && a.withheld)
	f.is.Equal(e.Arrivals(), 1)
	f.is.Equal(known.Pool.OpenConns(), 1) // kept for later
}

// Guards against cutting a broken stream off although another target takes the rest after a short pause.
func TestBrokenStreamWaitsForTheEndOfAPause(t *testing.T) {
	f := newFixture(t)
	paused := f.add("e1", "engine", backend.Behaviour{Refuse: true, RetryAfter: "1"})
	f.doUntilArrival(paused, "/stream/x")
	answers(paused, backend.Behaviour{Events: 20})
	f.add("e2", "engine", backend.Behaviour{Events: 20, BreakAfter: 5, Reset: true})
	req := f.request("POST", "/stream/x", "")
	got := f.do(req)
	f.is.NoErr(got.err)
	f.is.Equal(got.body, events(req.Header.Get("X-Id"), 20))
}
