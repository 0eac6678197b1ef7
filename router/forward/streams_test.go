package forward

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/retrybudget"
	"maststage.dev/standin/backend"
)

func TestStreamIsPassedOn(t *testing.T) {
	b := newBench(t)
	e := b.add("e1", "engine", backend.Behaviour{Events: 20, Gap: time.Millisecond})
	got := b.do(b.request("POST", "/stream/x", "prompt"))
	b.is.NoErr(got.err)
	b.is.Equal(got.status, 200)
	b.is.Equal(got.body, events("r1", 20))
	b.is.Equal(got.header.Get("X-Stamp"), "e1")
	b.is.Equal(e.Runs()[0].Header.Get("X-Priority"), "3") // the organisation's before the route's
}

// Each event is with the caller before the next one is made.
func TestEventsArePassedOnAtOnce(t *testing.T) {
	b := newBench(t)
	b.add("e1", "engine", backend.Behaviour{Events: 3, Gap: 60 * time.Millisecond})
	resp, err := http.DefaultTransport.RoundTrip(b.request("POST", "/stream/x", "p"))
	b.is.NoErr(err)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	for n := 1; n <= 3; n++ {
		line, err := reader.ReadString('\n')
		b.is.NoErr(err)
		b.is.Equal(line[:3], "id:")
		b.is.True(b.backends["e1"].Runs()[0].Made <= n) // the next one is not there yet
		for range 2 {
			_, err = reader.ReadString('\n')
			b.is.NoErr(err)
		}
	}
}

// breakOnce breaks the first stream off and lets later ones through.
func breakOnce(broken backend.Behaviour, whole backend.Behaviour) func(backend.Run) backend.Behaviour {
	first := true
	return func(backend.Run) backend.Behaviour {
		if first {
			first = false
			return broken
		}
		return whole
	}
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	whole := backend.Behaviour{Events: 10}
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
			b := newBench(t)
			how := breakOnce(broken, whole)
			b.add("e1", "engine", whole).Behave(how)
			b.add("e2", "engine", whole).Behave(how)
			got := b.do(b.request("POST", "/stream/x", "p"))
			b.is.NoErr(got.err)
			b.is.Equal(got.status, 200)
			b.is.Equal(got.body, events("r1", 10))
			b.is.Equal(b.runs(), 2)
			if broken.Status == 0 {
				first := b.recorder.tries[0].Target
				b.is.Equal(got.header.Get("X-Stamp"), first) // the head of the first target stays
			}
		})
	}
}

// The runner before is stopped when another one goes on.
func TestSilentTargetIsStoppedBeforeAnotherGoesOn(t *testing.T) {
	b := newBench(t)
	how := breakOnce(backend.Behaviour{Events: 10, Gap: 20 * time.Second}, backend.Behaviour{Events: 10})
	b.add("e1", "engine", backend.Behaviour{}).Behave(how)
	b.add("e2", "engine", backend.Behaviour{}).Behave(how)
	got := b.do(b.request("POST", "/stream/x", "p"))
	b.is.Equal(got.body, events("r1", 10))
	first := b.backends[b.recorder.tries[0].Target]
	b.eventually("the silent run is cancelled", func() bool { return first.Runs()[0].Cancelled })
}

// Silence alone ends no answer: without another target, or without a retry budget,
// a stream that pauses goes on.
func TestSilentStreamGoesOnWhereNoOtherCanTakeIt(t *testing.T) {
	slow := backend.Behaviour{Events: 3, Gap: time.Second}
	t.Run("no other target", func(t *testing.T) {
		b := newBench(t)
		b.add("e1", "engine", slow)
		got := b.do(b.request("POST", "/stream/x", "p"))
		b.is.NoErr(got.err)
		b.is.Equal(got.body, events("r1", 3))
	})
	t.Run("no retry budget", func(t *testing.T) {
		b := newBench(t)
		b.handler.opts.Retries.SetLimits(retrybudget.Limits{Window: 10 * time.Second})
		b.add("e1", "engine", slow)
		b.add("e2", "engine", slow)
		got := b.do(b.request("POST", "/stream/x", "p"))
		b.is.NoErr(got.err)
		b.is.Equal(got.body, events("r1", 3))
		b.is.Equal(b.runs(), 1)
	})
}

func TestStreamThatMayNotBeRepeatedLooksCut(t *testing.T) {
	b := newBench(t)
	b.add("e1", "engine", backend.Behaviour{Events: 10, BreakAfter: 4})
	b.add("e2", "engine", backend.Behaviour{Events: 10, BreakAfter: 4})
	got := b.do(b.request("POST", "/once/x", "p"))
	b.is.True(got.err != nil) // it must not look whole
	b.is.Equal(got.body, events("r1", 4))
	b.is.Equal(b.runs(), 1)
	b.is.Equal(b.recorder.last(t, "r1").Kind, CutOff)
}

func TestStreamThatBreaksEverywhereLooksCut(t *testing.T) {
	b := newBench(t)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		b.add(id, "engine", backend.Behaviour{Events: 10, BreakAfter: 2})
	}
	got := b.do(b.request("POST", "/stream/x", "p"))
	b.is.True(got.err != nil)
	b.is.Equal(got.body, events("r1", 6))
	b.is.Equal(b.runs(), 3) // no more than the route's attempts
}

func TestCallersOwnResumptionIsPassedOn(t *testing.T) {
	b := newBench(t)
	b.add("e1", "engine", backend.Behaviour{Events: 8})
	req := b.request("POST", "/stream/x", "p")
	req.Header.Set("Last-Event-Id", "5")
	got := b.do(req)
	b.is.Equal(got.body, events("r1", 8)[len(events("r1", 5)):])
}

func TestCallerGoneCancelsTheTarget(t *testing.T) {
	for name, path := range map[string]string{"stream": "/stream/x", "whole answer": "/safe/x"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.add("e1", "engine", backend.Behaviour{Events: 100, Gap: 50 * time.Millisecond})
			b.add("p1", "plain", backend.Behaviour{Delay: 5 * time.Second})
			ctx, cancel := context.WithCancel(context.Background())
			req := b.request("POST", path, "p").WithContext(ctx)
			done := make(chan reply)
			go func() { done <- b.do(req) }()
			b.eventually("it runs", func() bool { return b.runs() == 1 })
			cancel()
			<-done
			b.eventually("the run is cancelled", func() bool {
				for _, e := range b.backends {
					if runs := e.Runs(); len(runs) > 0 && runs[0].Cancelled {
						return true
					}
				}
				return false
			})
			b.is.Equal(b.recorder.last(t, "r1").Kind, CallerGone)
		})
	}
}

func TestTimeoutCutsAStream(t *testing.T) {
	b := newBench(t)
	b.add("e1", "engine", backend.Behaviour{Events: 1000, Gap: 20 * time.Millisecond})
	req := b.request("POST", "/stream/x", "p")
	req.Header.Set("X-Deadline", "300")
	got := b.do(req)
	b.is.True(got.err != nil)
	b.is.True(b.recorder.last(t, "r1").Duration < 2*time.Second)
}

const budgetConfig = `{"version":8,
 "routes":[{"name":"stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"gap_target_ms":100,"service":"engine","max_attempts":3,"resumable":true}],
 "services":[{"name":"engine","engine":{"slots":4,"stride":5}}],
 "organisations":[{"name":"org","keys":["k1"],"prepaid":1000}]}`

func TestBudgetRefusals(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		tokens string
		status int
		kind   Kind
	}{
		{"none within reach", prepaid.ErrExhausted, "10,5", 503, BudgetWait},
		{"larger than the budget", prepaid.ErrTooLarge, "10,5", 402, OverBudget},
		{"worst case not told", nil, "", 400, BadRequest},
		{"worst case no number", nil, "10,-5", 400, BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.configure(budgetConfig)
			b.add("e1", "engine", backend.Behaviour{Events: 1})
			b.budgets.err = c.err
			req := b.request("POST", "/stream/x", "p")
			req.Header.Set("X-Tokens", c.tokens)
			got := b.do(req)
			b.is.Equal(got.status, c.status)
			b.is.Equal(b.recorder.last(t, "r1").Kind, c.kind)
			b.is.Equal(b.arrivals(), 0)
			if c.status == 503 {
				b.is.True(got.header.Get("Retry-After") != "")
			}
		})
	}
}
