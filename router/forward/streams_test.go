package forward

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

func TestStreamIsForwarded(t *testing.T) {
	f := newFixture(t)
	e := f.add("e1", "engine", backend.Behaviour{Events: 20, Gap: time.Millisecond})
	got := f.do(f.request("POST", "/stream/x", "prompt"))
	f.is.NoErr(got.err)
	f.is.Equal(got.status, 200)
	f.is.Equal(got.body, events("r1", 20))
	f.is.Equal(got.header.Get("X-Stamp"), "e1")
	f.is.Equal(e.Runs()[0].Header.Get("X-Priority"), "3") // the organisation's priority, then the route's
}

// Guards against events that are held back until the next one arrives.
func TestEventsAreForwardedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.add("e1", "engine", backend.Behaviour{Events: 3, Gap: 60 * time.Millisecond})
	resp, err := http.DefaultTransport.RoundTrip(f.request("POST", "/stream/x", "p"))
	f.is.NoErr(err)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	for n := 1; n <= 3; n++ {
		line, err := reader.ReadString('\n')
		f.is.NoErr(err)
		f.is.Equal(line[:3], "id:")
		f.is.True(f.backends["e1"].Runs()[0].Made <= n) // the next one has not been generated yet
		for range 2 {
			_, err = reader.ReadString('\n')
			f.is.NoErr(err)
		}
	}
}

// breakOnce returns broken for the first run and complete for later ones.
func breakOnce(broken backend.Behaviour, complete backend.Behaviour) func(backend.Run) backend.Behaviour {
	first := true
	return func(backend.Run) backend.Behaviour {
		if first {
			first = false
			return broken
		}
		return complete
	}
}

func TestBrokenStreamResumesAtAnotherTarget(t *testing.T) {
	complete := backend.Behaviour{Events: 10}
	for name, broken := range map[string]backend.Behaviour{
		"between events":           {Events: 10, BreakAfter: 4},
		"inside an event":          {Events: 10, BreakAfter: 4, BreakInside: true},
		"by a reset":               {Events: 10, BreakAfter: 4, BreakInside: true, Reset: true},
		"without length, inside":   {Events: 10, BreakAfter: 4, BreakInside: true, NoLength: true},
		"without length, by reset": {Events: 10, BreakAfter: 4, NoLength: true, Reset: true},
		"before the first event":   {Events: 10, BreakAfter: 1, BreakInside: true},
		"by a long silence":        {Events: 10, Gap: 3 * time.Second},
		"by a failure":             {Status: 500, Body: "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			how := breakOnce(broken, complete)
			f.add("e1", "engine", complete).SetBehaviour(how)
			f.add("e2", "engine", complete).SetBehaviour(how)
			got := f.do(f.request("POST", "/stream/x", "p"))
			f.is.NoErr(got.err)
			f.is.Equal(got.status, 200)
			f.is.Equal(got.body, events("r1", 10))
			f.is.Equal(f.runCount(), 2)
			if broken.Status == 0 {
				f.recorder.mu.Lock()
				first := f.recorder.attempts[0].Target
				f.recorder.mu.Unlock()
				f.is.Equal(got.header.Get("X-Stamp"), first) // the head is the first target's
			}
		})
	}
}

// Guards against a silent target that keeps running a stream which another one resumes.
func TestSilentTargetIsCancelledWhenAnotherResumes(t *testing.T) {
	f := newFixture(t)
	how := breakOnce(backend.Behaviour{Events: 10, Gap: 20 * time.Second}, backend.Behaviour{Events: 10})
	f.add("e1", "engine", backend.Behaviour{}).SetBehaviour(how)
	f.add("e2", "engine", backend.Behaviour{}).SetBehaviour(how)
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.Equal(got.body, events("r1", 10))
	first := f.backends[f.recorder.attempts[0].Target]
	f.eventually("the silent run is cancelled", func() bool { return first.Runs()[0].Cancelled })
}

// Guards against cutting off a stream only because it pauses, where there is no other target or no
// retry budget to resume it.
func TestSilentStreamContinuesIfNoOtherTargetCanResume(t *testing.T) {
	slow := backend.Behaviour{Events: 3, Gap: time.Second}
	t.Run("no other target", func(t *testing.T) {
		f := newFixture(t)
		f.add("e1", "engine", slow)
		got := f.do(f.request("POST", "/stream/x", "p"))
		f.is.NoErr(got.err)
		f.is.Equal(got.body, events("r1", 3))
	})
	t.Run("no retry budget", func(t *testing.T) {
		f := newFixture(t)
		f.handler.opts.Retries.SetLimits(retrybudget.Limits{Window: 10 * time.Second})
		f.add("e1", "engine", slow)
		f.add("e2", "engine", slow)
		got := f.do(f.request("POST", "/stream/x", "p"))
		f.is.NoErr(got.err)
		f.is.Equal(got.body, events("r1", 3))
		f.is.Equal(f.runCount(), 1)
	})
}

func TestBrokenStreamWithoutRetryIsCutOff(t *testing.T) {
	f := newFixture(t)
	f.add("e1", "engine", backend.Behaviour{Events: 10, BreakAfter: 4})
	f.add("e2", "engine", backend.Behaviour{Events: 10, BreakAfter: 4})
	got := f.do(f.request("POST", "/once/x", "p"))
	f.is.True(got.err != nil) // it must not look complete
	f.is.Equal(got.body, events("r1", 4))
	f.is.Equal(f.runCount(), 1)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, CutOff)
}

func TestStreamBrokenAtEveryTargetIsCutOff(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		f.add(id, "engine", backend.Behaviour{Events: 10, BreakAfter: 2})
	}
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.True(got.err != nil)
	f.is.Equal(got.body, events("r1", 6))
	f.is.Equal(f.runCount(), 3) // the route's attempts
}

func TestCallerLastEventIDIsForwarded(t *testing.T) {
	f := newFixture(t)
	f.add("e1", "engine", backend.Behaviour{Events: 8})
	req := f.request("POST", "/stream/x", "p")
	req.Header.Set("Last-Event-Id", "5")
	got := f.do(req)
	f.is.Equal(got.body, events("r1", 8)[len(events("r1", 5)):])
}

func TestCallerDisconnectCancelsTarget(t *testing.T) {
	for name, path := range map[string]string{"stream": "/stream/x", "buffered response": "/safe/x"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.add("e1", "engine", backend.Behaviour{Events: 100, Gap: 50 * time.Millisecond})
			f.add("p1", "plain", backend.Behaviour{Delay: 5 * time.Second})
			ctx, cancel := context.WithCancel(context.Background())
			req := f.request("POST", path, "p").WithContext(ctx)
			done := make(chan reply)
			go func() { done <- f.do(req) }()
			f.eventually("it runs", func() bool { return f.runCount() == 1 })
			cancel()
			<-done
			f.eventually("the run is cancelled", func() bool {
				for _, e := range f.backends {
					if runs := e.Runs(); len(runs) > 0 && runs[0].Cancelled {
						return true
					}
				}
				return false
			})
			f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, CallerGone)
		})
	}
}

func TestDeadlineCutsStreamOff(t *testing.T) {
	f := newFixture(t)
	f.add("e1", "engine", backend.Behaviour{Events: 1000, Gap: 20 * time.Millisecond})
	req := f.request("POST", "/stream/x", "p")
	req.Header.Set("X-Deadline", "300")
	got := f.do(req)
	f.is.True(got.err != nil)
	f.is.True(f.recorder.waitOutcome(t, "r1").Duration < 2*time.Second)
}

const budgetConfig = `{"version":8,
 "routes":[{"name":"stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"gap_target_ms":100,"service":"engine","max_attempts":3,"resumable":true}],
 "services":[{"name":"engine","engine":{"slots":4,"stride":5}}],
 "organisations":[{"name":"org","keys":["k1"],"prepaid":1000}]}`

// A caller is told when tokens for its request are expected.
func TestRefusalTellsWhenTokensAreExpected(t *testing.T) {
	f := newFixture(t)
	f.configure(budgetConfig)
	f.budgets.err = &prepaid.Refusal{Err: prepaid.ErrExhausted, Reason: prepaid.ReasonLogAway, RetryAfter: 1500*time.Millisecond + 77}
	req := f.request("POST", "/stream/x", "p")
	req.Header.Set("X-Tokens", "10,5")
	got := f.do(req)
	f.is.Equal(got.status, 503)
	f.is.Equal(got.header.Get("Retry-After"), "1.5")
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, BudgetWait)
}

func TestRequestsBeyondBudgetAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		tokens string
		status int
		kind   Kind
	}{
		{"no tokens available", prepaid.ErrExhausted, "10,5", 503, BudgetWait},
		{"larger than the budget", prepaid.ErrTooLarge, "10,5", 402, OverBudget},
		{"usage missing", nil, "", 400, BadRequest},
		{"usage malformed", nil, "10,-5", 400, BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(budgetConfig)
			f.add("e1", "engine", backend.Behaviour{Events: 1})
			f.budgets.err = c.err
			req := f.request("POST", "/stream/x", "p")
			req.Header.Set("X-Tokens", c.tokens)
			got := f.do(req)
			f.is.Equal(got.status, c.status)
			f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, c.kind)
			f.is.Equal(f.arrivals(), 0)
			if c.status == 503 {
				f.is.True(got.header.Get("Retry-After") != "")
			}
		})
	}
}

// Guards against events that a caller gets twice since the target that resumes a stream sends it from the start.
func TestTargetThatRepeatsEventsDoesNotResumeAStream(t *testing.T) {
	f := newFixture(t)
	names := backendNames
	names.LastEventID = "" // the target ignores it
	ignoring, err := backend.Start("ignoring", names, func(backend.Run) backend.Behaviour { return backend.Behaviour{Events: 10} })
	f.is.NoErr(err)
	t.Cleanup(ignoring.Close)
	f.add("e1", "engine", backend.Behaviour{}).SetBehaviour(func(backend.Run) backend.Behaviour {
		f.targets.Put(target.Entry{ID: "ignoring", Service: "engine", Address: ignoring.Address(), Domain: "z1", Slots: 4})
		return backend.Behaviour{Events: 10, BreakAfter: 4}
	})
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.Equal(len(ignoring.Runs()), 1)
	f.is.Equal(got.body, events("r1", 4))
	f.is.True(got.err != nil) // nobody goes on with it
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, CutOff)
}
