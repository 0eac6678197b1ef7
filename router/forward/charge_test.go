package forward

import (
	"net/http"
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/streampace"
	"maststage.dev/standin/backend"
)

const ms = time.Millisecond

// transferredTokens is this host's allocation of the organisation's budget in these tests.
const transferredTokens = 5000

// creditBudget gives the callers' organisation a prepaid budget and this host an allocation of it.
func (f *fixture) creditBudget() {
	f.t.Helper()
	f.configure(testConfig[:len(testConfig)-len(`"priority":1}]}`)] + `"priority":1,"prepaid":1000000}]}`)
	f.budgets.allocator.Configure(7, []prepaid.Budget{{Organisation: "org", Limit: 1000000}}, false)
	f.is.True(f.budgets.allocator.Credit(prepaid.Transfer{ID: "all", Organisation: "org", Tokens: transferredTokens}))
}

// The engine of these tests sends its first event after firstEvent and then one every
// eventGap, each of at most 5 tokens.
const (
	firstEvent = 60 * ms
	eventGap   = 20 * ms
)

// paced sets the engine's pace in a behaviour.
func paced(how backend.Behaviour) backend.Behaviour {
	how.Delay, how.Gap = firstEvent, eventGap
	return how
}

// teachPace makes the estimator learn that pace.
func (f *fixture) teachPace() {
	for range 30 {
		f.streamPace.Observe(streampace.Source{Service: "engine"}, 10*eventGap, 11)
	}
}

// ask makes a request with a prompt of 100 tokens and at most 500 output tokens.
func (f *fixture) ask(path string) *http.Request {
	req := f.request("POST", path, "p")
	req.Header.Set("X-Tokens", "100,500")
	return req
}

// checkCharge checks that a request is charged at least for the events that were generated, and far
// less than its maximum of 600 tokens: a tenth of a second without delivery costs about half of it.
func (f *fixture) checkCharge(end Outcome, generated int) {
	f.t.Helper()
	f.is.True(end.TokensUsed >= 100+5*int64(generated))
	f.is.True(end.TokensUsed < 400)
	f.is.Equal(f.freeTokens(), transferredTokens-end.TokensUsed)
}

// freeTokens returns the tokens of this host that are not reserved.
func (f *fixture) freeTokens() int64 {
	held, _ := f.budgets.allocator.Holding("org")
	return held.Free
}

func TestCompleteStreamIsChargedByItsEvents(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.add("e1", "engine", backend.Behaviour{Events: 3})
	f.is.Equal(f.do(f.ask("/stream/x")).status, 200)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").TokensUsed, int64(115))
	f.is.Equal(f.freeTokens(), int64(transferredTokens-115))
}

func TestBrokenStreamIsChargedForUndeliveredTokens(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.teachPace()
	e := f.add("e1", "engine", paced(backend.Behaviour{Events: 10, BreakAfter: 3, Reset: true}))
	f.do(f.ask("/once/x"))
	end := f.recorder.waitOutcome(t, "r1")
	f.is.Equal(end.Kind, CutOff)
	f.checkCharge(end, e.Runs()[0].Made)
}

// Guards against a charge that is too low where no pace is known yet, or a target is faster than the
// known pace: a broken run is then charged its maximum.
func TestBrokenStreamOfUnknownPaceIsChargedInFull(t *testing.T) {
	for name, know := range map[string]func(*fixture){"none known": func(*fixture) {}, "faster than known": (*fixture).teachPace} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.creditBudget()
			know(f)
			f.add("e1", "engine", backend.Behaviour{Events: 100, BreakAfter: 90, Reset: true})
			f.do(f.ask("/once/x"))
			f.is.Equal(f.recorder.waitOutcome(t, "r1").TokensUsed, int64(600))
		})
	}
}

func TestRunWithoutTokensIsNotCharged(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.add("e1", "engine", backend.Behaviour{Status: 500, Body: "no"})
	f.do(f.ask("/once/x"))
	f.is.Equal(f.recorder.waitOutcome(t, "r1").TokensUsed, int64(0))
	f.is.Equal(f.freeTokens(), int64(transferredTokens))
}

// Guards against a charge that is too low for a silent target that had time to generate all tokens.
func TestSilentTargetIsChargedInFull(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.teachPace()
	f.add("e1", "engine", backend.Behaviour{NoResponse: true})
	req := f.ask("/once/x")
	req.Header.Set("X-Deadline", "1500")
	f.do(req)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").TokensUsed, int64(600))
}

// Guards against charging prompt or events twice when a stream resumes at another target, and against
// not charging what the first target may have generated but not delivered.
func TestResumedStreamIsChargedOnce(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.teachPace()
	behave := breakOnce(paced(backend.Behaviour{Events: 8, BreakAfter: 3, Reset: true}), paced(backend.Behaviour{Events: 8}))
	for _, id := range []string{"e1", "e2"} {
		f.add(id, "engine", backend.Behaviour{}).SetBehaviour(behave)
	}
	f.is.Equal(f.do(f.ask("/stream/x")).body, events("r1", 8))
	f.checkCharge(f.recorder.waitOutcome(t, "r1"), 8)
}

func TestDisconnectedCallerIsChargedForUndeliveredTokens(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.teachPace()
	f.add("e1", "engine", paced(backend.Behaviour{Events: 100}))
	resp, err := http.DefaultTransport.RoundTrip(f.ask("/stream/x"))
	f.is.NoErr(err)
	_, err = resp.Body.Read(make([]byte, 10))
	f.is.NoErr(err)
	resp.Body.Close()
	end := f.recorder.waitOutcome(t, "r1")
	f.is.Equal(end.Kind, CallerGone)
	f.checkCharge(end, 1)
}

// Guards against a run that cost its target a prompt and some events, and is charged nothing because its response was lost before
// any stream observed until then had begun: those had long prompts, and this one has a short one.
func TestLostResponseIsChargedForItsPrompt(t *testing.T) {
	const made = 3 // events that the target may have generated until the response broke off
	head := "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: e1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, how := range map[string]backend.Behaviour{
		"closed before the head":    {Delay: made * eventGap, Raw: &backend.Raw{Close: true}},
		"reset before the head":     {Delay: made * eventGap, Raw: &backend.Raw{Reset: true}},
		"reset after the head":      {Raw: &backend.Raw{Text: head, Pause: made * eventGap, Reset: true}},
		"reset after one event":     {Events: made, Gap: eventGap, BreakAfter: 1, Reset: true},
		"target ended":              {Delay: made * eventGap, Crash: true},
		"no response until the end": {NoResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.creditBudget()
			f.teachPace()
			f.add("e1", "engine", how)
			req := f.ask("/once/x")
			req.Header.Set("X-Deadline", "400")
			f.do(req)
			end := f.recorder.waitOutcome(t, "r1")
			f.is.True(end.TokensUsed >= 100+5*made)
			f.is.Equal(f.freeTokens(), transferredTokens-end.TokensUsed)
		})
	}
}

// Guards against numbers of tokens whose sum overflows, so that a negative reservation adds tokens to a budget.
func TestTokenUsageThatOverflowsIsRefused(t *testing.T) {
	for _, usage := range []string{"9223372036854775807,9223372036844775809", "9223372036854775807,1", "4611686018427387904,4611686018427387904", "1125899906842625,0"} {
		f := newFixture(t)
		f.creditBudget()
		f.add("e1", "engine", backend.Behaviour{Events: 1})
		req := f.ask("/once/x")
		req.Header.Set("X-Tokens", usage)
		f.is.Equal(f.do(req).status, http.StatusBadRequest)
		f.is.Equal(f.runCount(), 0)
		f.is.Equal(f.freeTokens(), int64(transferredTokens))
	}
}
