package forward

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{Body: "answer"})
	req := f.request("POST", "/safe/a%2Fb//c?x=%41&y", "the body")
	req.Header.Set("X-Custom", "kept")
	req.Header.Set("X-Org", "forged")
	req.Header.Set("X-Expect", "forged")
	req.Header.Set("X-Memory", "forged")
	req.Header.Set("X-Deadline", "1500")
	req.Header.Add("Connection", "X-Hop, X-Id, X-Tokens")
	req.Header.Set("X-Hop", "1")
	got := f.do(req)
	f.is.Equal(got.status, 200)
	f.is.Equal(got.body, "answer")
	f.is.Equal(got.header.Get("X-Stamp"), "t1")
	run := e.Runs()[0]
	f.is.Equal(run.URI, "/safe/a%2Fb//c?x=%41&y")
	f.is.Equal(run.Host, "a.example")
	f.is.Equal(run.Body, "the body")
	f.is.Equal(run.ID, "r1")
	f.is.Equal(run.Header.Get("X-Custom"), "kept")
	f.is.Equal(run.Header.Get("X-Tokens"), "100,50") // not removed by Connection
	f.is.Equal(run.Header.Get("X-Org"), "org")       // from the key, not from the caller's header
	f.is.Equal(run.Header.Get("X-Expect"), "t1")
	f.is.Equal(run.Header.Get("X-Memory"), "")
	f.is.Equal(run.Header.Get("X-Key"), "")
	f.is.Equal(run.Header.Get("X-Hop"), "")
	left := run.Header.Get("X-Deadline")
	f.is.True(left != "" && left < "1500" && len(left) == 4) // less than the caller's
}

func TestChunkedBodyIsForwardedWhole(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{Body: "ok"})
	req := f.request("POST", "/safe/x", "")
	req.Body = http.NoBody
	body := strings.Repeat("0123456789", 3000)
	req.Body = readCloser{strings.NewReader(body)}
	req.ContentLength = -1
	f.is.Equal(f.do(req).status, 200)
	f.is.Equal(e.Runs()[0].Body, body)
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func TestRefusedRequestsReachNoTarget(t *testing.T) {
	cases := []struct {
		name, path, key, body string
		status                int
	}{
		{"no route", "/none/x", "k1", "", 404},
		{"unknown key", "/safe/x", "nobody", "", 401},
		{"no key", "/safe/x", "", "", 401},
		{"body too long", "/safe/x", "k1", strings.Repeat("x", 100001), 413},
		{"public route needs no key", "/open/x", "", "", 200},
		{"public route with an unknown key", "/open/x", "nobody", "", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			e := f.add("t1", "plain", backend.Behaviour{Body: "ok"})
			req := f.request("POST", c.path, c.body)
			req.Header.Del("X-Key")
			if c.key != "" {
				req.Header.Set("X-Key", c.key)
			}
			f.is.Equal(f.do(req).status, c.status)
			if c.status == 200 {
				f.is.Equal(e.Runs()[0].Header.Get("X-Org"), "")
			} else {
				f.is.Equal(f.arrivals(), 0)
			}
		})
	}
}

func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	f := newFixture(t)
	f.handler.config.Store(nil)
	got := f.do(f.request("GET", "/safe/x", ""))
	f.is.Equal(got.status, 503)
	f.is.True(got.header.Get("Retry-After") != "")
}

func TestRequestsAreRefusedWithoutTarget(t *testing.T) {
	f := newFixture(t)
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.Equal(got.status, 503)
	f.is.True(got.header.Get("Retry-After") != "")
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, NoTarget)
}

func TestErrorResponseKeepsStatusAndStamp(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Status: 500, Body: "broken"})
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.Equal(got.status, 500)
	f.is.Equal(got.header.Get("X-Stamp"), "t1")
	f.is.Equal(got.body, "broken")
	f.is.Equal(f.runCount(), 1) // it ran, so it isn't retried
}

func TestSafeRequestIsRetriedAfterFailure(t *testing.T) {
	for name, how := range map[string]backend.Behaviour{
		"failure":          {Status: 500},
		"no signature":     {NoStamp: true, Body: "x"},
		"body breaks off":  {Body: strings.Repeat("x", 1000), BreakAfter: 10},
		"reset, no length": {Body: strings.Repeat("x", 1000), BreakAfter: 10, NoLength: true, Reset: true},
		"refused":          {Refuse: true},
		"silent":           {NoResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			bad := f.add("bad", "plain", how)
			f.add("good", "plain", backend.Behaviour{Body: "ok"})
			f.backends["good"].SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Body: "ok"} })
			// Equal targets are chosen at random.
			for n := 0; n < 6 || bad.Arrivals() == 0 && n < 100; n++ {
				got := f.do(f.request("GET", "/safe/x", ""))
				f.is.Equal(got.status, 200)
				f.is.Equal(got.body, "ok")
			}
			f.is.True(bad.Arrivals() > 0) // else the test shows nothing
		})
	}
}

func TestUnsafeRequestRunsOnce(t *testing.T) {
	cases := []struct {
		name   string
		how    backend.Behaviour
		status int
	}{
		{"body breaks off", backend.Behaviour{Body: strings.Repeat("x", 1000), BreakAfter: 10}, 502},
		{"connection closed", backend.Behaviour{Body: "xx", BreakAfter: 1, Reset: true}, 502},
		{"no signature", backend.Behaviour{NoStamp: true, Body: "x"}, 502},
		{"silent", backend.Behaviour{NoResponse: true}, 504},
		{"failure", backend.Behaviour{Status: 500}, 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.add("t1", "plain", c.how)
			f.add("t2", "plain", c.how)
			got := f.do(f.request("POST", "/unsafe/x", "b"))
			f.is.Equal(got.status, c.status)
			f.is.Equal(f.runCount(), 1)
		})
	}
}

func TestUnsafeRequestIsRetriedAfterRefusal(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Refuse: true})
	f.add("t2", "plain", backend.Behaviour{Body: "ok"})
	for range 4 {
		f.is.Equal(f.do(f.request("POST", "/unsafe/x", "b")).status, 200)
	}
	f.is.Equal(f.runCount(), 4)
}

func TestRequestRefusedByAllTargetsIsReportedNotRun(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Refuse: true})
	f.add("t2", "plain", backend.Behaviour{Refuse: true})
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.Equal(got.status, 503)
	f.is.True(got.header.Get("Retry-After") != "")
	f.is.Equal(f.runCount(), 0)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, Overloaded)
}

// Guards against telling the caller that a request has not run when the second target refused it, but
// the first one broke it off.
func TestRequestThatMayHaveRunIsNotReportedNotRun(t *testing.T) {
	f := newFixture(t)
	first := true
	how := func(backend.Run) backend.Behaviour {
		if first {
			first = false
			return backend.Behaviour{Body: "xx", BreakAfter: 1}
		}
		return backend.Behaviour{Refuse: true}
	}
	e1 := f.add("t1", "plain", backend.Behaviour{})
	e1.SetBehaviour(how)
	e2 := f.add("t2", "plain", backend.Behaviour{})
	e2.SetBehaviour(how)
	got := f.do(f.request("GET", "/safe/x", ""))
	f.is.Equal(f.arrivals(), 2)
	f.is.Equal(got.status, 502)
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	f := newFixture(t)
	f.targets.Put(target.Entry{ID: "dead", Service: "plain", Address: deadAddress(t), Domain: "z1", Slots: 50})
	f.add("t1", "plain", backend.Behaviour{Body: "ok"})
	for range 4 {
		f.is.Equal(f.do(f.request("POST", "/unsafe/x", "b")).status, 200)
	}
}

// Guards against a request that runs at a target which has taken over another target's address: such
// a target responds 421.
func TestMisdirectedRequestIsNotRun(t *testing.T) {
	f := newFixture(t)
	e := f.add("new", "engine", backend.Behaviour{Body: "other service"})
	f.targets.Put(target.Entry{ID: "old", Service: "plain", Address: e.Address(), Domain: "z1", Slots: 4})
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.Equal(got.status, 503)
	f.is.Equal(f.runCount(), 0)
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Body: "mine", CrossedFirst: true})
	for range 3 {
		got := f.do(f.request("POST", "/unsafe/x", "b"))
		f.is.Equal(got.status, 200)
		f.is.Equal(got.body, "mine")
	}
}

func TestExtraResponseReachesNoCaller(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Body: "mine", Extra: true})
	for range 5 {
		got := f.do(f.request("GET", "/safe/x", ""))
		f.is.Equal(got.body, "mine")
		time.Sleep(5 * time.Millisecond) // so that the extra bytes have arrived
	}
}

// Guards against reusing a connection on which the target responded before it had read the whole
// request body: the rest of the body is still due on it.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{Body: "early", EarlyResponse: true})
	body := strings.Repeat("x", 90000)
	got := f.do(f.request("POST", "/safe/x", body))
	f.is.Equal(got.body, "early")
	e.SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Body: "ok"} })
	f.is.Equal(f.do(f.request("POST", "/safe/x", "second")).body, "ok")
	f.is.Equal(e.Runs()[0].Body, "second")
}

// Guards against forwarding an unframed response as complete after its connection was reset.
func TestUnframedResponseCutByResetIsNotForwarded(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Body: strings.Repeat("x", 2000), NoLength: true, BreakAfter: 100, Reset: true})
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.Equal(got.status, 502)
}

func TestUnframedResponseIsForwarded(t *testing.T) {
	f := newFixture(t)
	body := strings.Repeat("x", 2000)
	f.add("t1", "plain", backend.Behaviour{Body: body, NoLength: true})
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.NoErr(got.err)
	f.is.Equal(got.body, body)
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{NoResponse: true})
	started := time.Now()
	got := f.do(f.request("POST", "/unsafe/x", "b"))
	f.is.Equal(got.status, 504)
	f.is.True(time.Since(started) >= 590*time.Millisecond)
	f.eventually("the target's work is cancelled", func() bool { return f.backends["t1"].Runs()[0].Cancelled })
}

func TestCallerDeadlineIsEnforced(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{NoResponse: true})
	req := f.request("POST", "/unsafe/x", "b")
	req.Header.Set("X-Deadline", "200")
	got := f.do(req)
	f.is.Equal(got.status, 504)
	f.is.True(f.recorder.waitOutcome(t, "r1").Duration < 590*time.Millisecond) // not the route's timeout
}

func TestDrainingHostClosesConnections(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Body: "ok"})
	f.draining.Store(true)
	got := f.do(f.request("GET", "/safe/x", ""))
	f.is.Equal(got.status, 200)
	f.is.True(got.closed)
	f.admits.Store(false)
	got = f.do(f.request("GET", "/safe/x", ""))
	f.is.Equal(got.status, 503)
	f.is.Equal(f.recorder.waitOutcome(t, "r2").Kind, Stopping)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Status: 500})
	f.add("t2", "plain", backend.Behaviour{Status: 500})
	const requests = 120
	for range requests {
		f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, 500)
	}
	f.is.True(f.arrivals()-requests <= int(0.2*requests+50))
	f.is.True(f.arrivals() > requests)
}

// Guards against an unframed response that looks whole though its target exited in the middle of it, and against taking one
// whose target lives on for broken off.
func TestUnframedResponseCutByTheTargetsExitIsNotWhole(t *testing.T) {
	t.Run("stream that may not be repeated", func(t *testing.T) {
		f := newFixture(t)
		f.add("e1", "engine", backend.Behaviour{Events: 10, NoLength: true, CrashAfter: 4})
		got := f.do(f.request("POST", "/once/x", "p"))
		f.is.True(got.err != nil)
		f.is.Equal(got.body, events("r1", 4))
		f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, CutOff)
	})
	t.Run("stream that another target resumes", func(t *testing.T) {
		f := newFixture(t)
		how := breakOnce(backend.Behaviour{Events: 10, NoLength: true, CrashAfter: 4}, backend.Behaviour{Events: 10, NoLength: true})
		f.add("e1", "engine", backend.Behaviour{}).SetBehaviour(how)
		f.add("e2", "engine", backend.Behaviour{}).SetBehaviour(how)
		got := f.do(f.request("POST", "/stream/x", "p"))
		f.is.NoErr(got.err)
		f.is.Equal(got.body, events("r1", 10))
	})
	t.Run("target lives on", func(t *testing.T) {
		f := newFixture(t)
		f.add("e1", "engine", backend.Behaviour{Events: 10, NoLength: true})
		got := f.do(f.request("POST", "/stream/x", "p"))
		f.is.NoErr(got.err)
		f.is.Equal(got.body, events("r1", 10))
		f.is.Equal(f.runCount(), 1)
	})
}

// Guards against an unframed response that looks whole after its target's exit since its own connection, the last one that
// the target's pool may have, left no place for the probe.
func TestUnframedResponseOnTheLastConnectionIsChecked(t *testing.T) {
	f := newFixture(t)
	f.targets.SetMaxConns("engine", 1)
	f.add("e1", "engine", backend.Behaviour{Events: 10, NoLength: true, CrashAfter: 4})
	got := f.do(f.request("POST", "/once/x", "p"))
	f.is.True(got.err != nil)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, CutOff)
}

// Guards against closing the connection of a response to HEAD, and probing its target: it has no body, with a length or not.
func TestResponseToHeadIsFramed(t *testing.T) {
	is := is.New(t)
	for method, framed := range map[string]bool{http.MethodHead: true, http.MethodGet: false} {
		req, err := http.NewRequest(method, "http://a.example/", nil)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n")), req)
		is.NoErr(err)
		is.Equal(isFramed(resp), framed)
	}
}

// Guards against a host that stops, abandons a run that would end in time and begins another one that can't.
func TestStoppingHostDoesNotMoveWorkThatOutlastsIt(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"t1", "t2"} {
		f.add(id, "plain", backend.Behaviour{Delay: 700 * time.Millisecond, Body: "done"})
	}
	end := time.Now().Add(time.Second)
	f.endOfHost.Store(&end)
	got := f.do(f.request("GET", "/safe/x", ""))
	f.is.NoErr(got.err)
	f.is.Equal(got.body, "done")
	f.is.Equal(f.runCount(), 1)
}
