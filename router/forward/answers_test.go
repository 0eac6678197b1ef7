package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

func TestPassesRequestUnchanged(t *testing.T) {
	b := newBench(t)
	e := b.add("t1", "plain", backend.Behaviour{Body: "answer"})
	req := b.request("POST", "/safe/a%2Fb//c?x=%41&y", "the body")
	req.Header.Set("X-Custom", "kept")
	req.Header.Set("X-Org", "forged")
	req.Header.Set("X-Expect", "forged")
	req.Header.Set("X-Memory", "forged")
	req.Header.Set("X-Deadline", "1500")
	req.Header.Add("Connection", "X-Hop, X-Id, X-Tokens")
	req.Header.Set("X-Hop", "1")
	got := b.do(req)
	b.is.Equal(got.status, 200)
	b.is.Equal(got.body, "answer")
	b.is.Equal(got.header.Get("X-Stamp"), "t1")
	run := e.Runs()[0]
	b.is.Equal(run.URI, "/safe/a%2Fb//c?x=%41&y")
	b.is.Equal(run.Host, "a.example")
	b.is.Equal(run.Body, "the body")
	b.is.Equal(run.ID, "r1")
	b.is.Equal(run.Header.Get("X-Custom"), "kept")
	b.is.Equal(run.Header.Get("X-Tokens"), "100,50") // not taken away by Connection
	b.is.Equal(run.Header.Get("X-Org"), "org")       // the key's organisation, not the caller's word
	b.is.Equal(run.Header.Get("X-Expect"), "t1")
	b.is.Equal(run.Header.Get("X-Memory"), "")
	b.is.Equal(run.Header.Get("X-Key"), "")
	b.is.Equal(run.Header.Get("X-Hop"), "")
	left := run.Header.Get("X-Deadline")
	b.is.True(left != "" && left < "1500" && len(left) == 4) // less than the caller's
}

func TestChunkedBodyIsPassedWhole(t *testing.T) {
	b := newBench(t)
	e := b.add("t1", "plain", backend.Behaviour{Body: "ok"})
	req := b.request("POST", "/safe/x", "")
	req.Body = http.NoBody
	body := strings.Repeat("0123456789", 3000)
	req.Body = readCloser{strings.NewReader(body)}
	req.ContentLength = -1
	b.is.Equal(b.do(req).status, 200)
	b.is.Equal(e.Runs()[0].Body, body)
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func TestRefusals(t *testing.T) {
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
			b := newBench(t)
			e := b.add("t1", "plain", backend.Behaviour{Body: "ok"})
			req := b.request("POST", c.path, c.body)
			req.Header.Del("X-Key")
			if c.key != "" {
				req.Header.Set("X-Key", c.key)
			}
			b.is.Equal(b.do(req).status, c.status)
			if c.status == 200 {
				b.is.Equal(e.Runs()[0].Header.Get("X-Org"), "")
			} else {
				b.is.Equal(b.arrivals(), 0)
			}
		})
	}
}

func TestNoConfigurationIsNotRun(t *testing.T) {
	b := newBench(t)
	b.handler.config.Store(nil)
	got := b.do(b.request("GET", "/safe/x", ""))
	b.is.Equal(got.status, 503)
	b.is.True(got.header.Get("Retry-After") != "")
}

func TestNoTargetIsNotRun(t *testing.T) {
	b := newBench(t)
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.Equal(got.status, 503)
	b.is.True(got.header.Get("Retry-After") != "")
	b.is.Equal(b.recorder.last(t, "r1").Kind, NoTarget)
}

func TestFailureOfTargetKeepsStatusAndStamp(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Status: 500, Body: "broken"})
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.Equal(got.status, 500)
	b.is.Equal(got.header.Get("X-Stamp"), "t1")
	b.is.Equal(got.body, "broken")
	b.is.Equal(b.runs(), 1) // it ran, so it isn't sent again
}

func TestSafeRequestIsRepeatedAfterFailure(t *testing.T) {
	for name, how := range map[string]backend.Behaviour{
		"failure":          {Status: 500},
		"no signature":     {NoStamp: true, Body: "x"},
		"body breaks off":  {Body: strings.Repeat("x", 1000), BreakAfter: 10},
		"reset, no length": {Body: strings.Repeat("x", 1000), BreakAfter: 10, NoLength: true, Reset: true},
		"refused":          {Refuse: true},
		"silent":           {Mute: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			bad := b.add("bad", "plain", how)
			b.add("good", "plain", backend.Behaviour{Body: "ok"})
			b.backends["good"].Behave(func(backend.Run) backend.Behaviour { return backend.Behaviour{Body: "ok"} })
			// Targets that are alike are chosen at random.
			for n := 0; n < 6 || bad.Arrivals() == 0 && n < 100; n++ {
				got := b.do(b.request("GET", "/safe/x", ""))
				b.is.Equal(got.status, 200)
				b.is.Equal(got.body, "ok")
			}
			b.is.True(bad.Arrivals() > 0) // else the test shows nothing
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
		{"silent", backend.Behaviour{Mute: true}, 504},
		{"failure", backend.Behaviour{Status: 500}, 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.add("t1", "plain", c.how)
			b.add("t2", "plain", c.how)
			got := b.do(b.request("POST", "/unsafe/x", "b"))
			b.is.Equal(got.status, c.status)
			b.is.Equal(b.runs(), 1)
		})
	}
}

func TestUnsafeRequestGoesOnAfterRefusal(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Refuse: true})
	b.add("t2", "plain", backend.Behaviour{Body: "ok"})
	for range 4 {
		b.is.Equal(b.do(b.request("POST", "/unsafe/x", "b")).status, 200)
	}
	b.is.Equal(b.runs(), 4)
}

func TestRefusedByAllIsToldNotRun(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Refuse: true})
	b.add("t2", "plain", backend.Behaviour{Refuse: true})
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.Equal(got.status, 503)
	b.is.True(got.header.Get("Retry-After") != "")
	b.is.Equal(b.runs(), 0)
	b.is.Equal(b.recorder.last(t, "r1").Kind, Overloaded)
}

// A request that may have run is never told that it has not.
func TestMayHaveRunIsNeverToldNotRun(t *testing.T) {
	b := newBench(t)
	first := true
	how := func(backend.Run) backend.Behaviour {
		if first {
			first = false
			return backend.Behaviour{Body: "xx", BreakAfter: 1}
		}
		return backend.Behaviour{Refuse: true}
	}
	e := b.add("t1", "plain", backend.Behaviour{})
	e.Behave(how)
	f := b.add("t2", "plain", backend.Behaviour{})
	f.Behave(how)
	got := b.do(b.request("GET", "/safe/x", ""))
	b.is.Equal(b.arrivals(), 2)
	b.is.Equal(got.status, 502)
}

func TestUnreachableTargetIsPassedOver(t *testing.T) {
	b := newBench(t)
	b.targets.Put(target.Entry{ID: "dead", Service: "plain", Address: deadAddress(t), Domain: "z1", Slots: 50})
	b.add("t1", "plain", backend.Behaviour{Body: "ok"})
	for range 4 {
		b.is.Equal(b.do(b.request("POST", "/unsafe/x", "b")).status, 200)
	}
}

// An address that was given to another target answers 421 and runs nothing.
func TestReusedAddressRunsNothing(t *testing.T) {
	b := newBench(t)
	e := b.add("new", "engine", backend.Behaviour{Body: "other service"})
	b.targets.Put(target.Entry{ID: "old", Service: "plain", Address: e.Address(), Domain: "z1", Slots: 4})
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.Equal(got.status, 503)
	b.is.Equal(b.runs(), 0)
}

func TestCrossedAnswerIsSkipped(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Body: "mine", CrossedFirst: true})
	for range 3 {
		got := b.do(b.request("POST", "/unsafe/x", "b"))
		b.is.Equal(got.status, 200)
		b.is.Equal(got.body, "mine")
	}
}

func TestExtraAnswerIsNobodys(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Body: "mine", Extra: true})
	for range 5 {
		got := b.do(b.request("GET", "/safe/x", ""))
		b.is.Equal(got.body, "mine")
		time.Sleep(5 * time.Millisecond) // so that the extra bytes are there
	}
}

// After an answer that came before the end of the body, the rest of the body is
// due on the connection: it carries no other request.
func TestEarlyAnswerSpoilsConnection(t *testing.T) {
	b := newBench(t)
	e := b.add("t1", "plain", backend.Behaviour{Body: "early", EarlyAnswer: true})
	body := strings.Repeat("x", 90000)
	got := b.do(b.request("POST", "/safe/x", body))
	b.is.Equal(got.body, "early")
	e.Behave(func(backend.Run) backend.Behaviour { return backend.Behaviour{Body: "ok"} })
	b.is.Equal(b.do(b.request("POST", "/safe/x", "second")).body, "ok")
	b.is.Equal(e.Runs()[0].Body, "second")
}

// An answer without a length that is reset is not passed on as whole.
func TestUnframedAnswerCutByReset(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Body: strings.Repeat("x", 2000), NoLength: true, BreakAfter: 100, Reset: true})
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.Equal(got.status, 502)
}

func TestUnframedAnswerIsPassedOn(t *testing.T) {
	b := newBench(t)
	body := strings.Repeat("x", 2000)
	b.add("t1", "plain", backend.Behaviour{Body: body, NoLength: true})
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.NoErr(got.err)
	b.is.Equal(got.body, body)
}

func TestTimeoutOfRouteIsKept(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Mute: true})
	started := time.Now()
	got := b.do(b.request("POST", "/unsafe/x", "b"))
	b.is.Equal(got.status, 504)
	b.is.True(time.Since(started) >= 590*time.Millisecond)
	b.eventually("the target's work is cancelled", func() bool { return b.backends["t1"].Runs()[0].Cancelled })
}

func TestDeadlineOfCallerIsKept(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Mute: true})
	req := b.request("POST", "/unsafe/x", "b")
	req.Header.Set("X-Deadline", "200")
	got := b.do(req)
	b.is.Equal(got.status, 504)
	b.is.True(b.recorder.last(t, "r1").Duration < 590*time.Millisecond) // not the route's timeout
}

func TestDrainingHostClosesConnections(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Body: "ok"})
	b.draining.Store(true)
	got := b.do(b.request("GET", "/safe/x", ""))
	b.is.Equal(got.status, 200)
	b.is.True(got.closed)
	b.takes.Store(false)
	got = b.do(b.request("GET", "/safe/x", ""))
	b.is.Equal(got.status, 503)
	b.is.Equal(b.recorder.last(t, "r2").Kind, Stopping)
}

func TestRetryBudgetBoundsRepeats(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Status: 500})
	b.add("t2", "plain", backend.Behaviour{Status: 500})
	const requests = 120
	for range requests {
		b.is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 500)
	}
	b.is.True(b.arrivals()-requests <= int(0.2*requests+50))
	b.is.True(b.arrivals() > requests)
}
