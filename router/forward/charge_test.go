package forward

import (
	"net/http"
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/standin/backend"
)

const ms = time.Millisecond

// fundedTokens is what the host of these tests holds of its callers' budget.
const fundedTokens = 5000

// fund gives the callers' organisation a prepaid budget and this host a part of it.
func (b *bench) fund() {
	b.t.Helper()
	b.configure(testConfig[:len(testConfig)-len(`"priority":1}]}`)] + `"priority":1,"prepaid":1000000}]}`)
	b.budgets.treasury.Configure(7, []prepaid.Budget{{Organisation: "org", Limit: 1000000}}, false)
	b.is.True(b.budgets.treasury.Credit(prepaid.Transfer{ID: "all", Organisation: "org", Tokens: fundedTokens}))
}

// The engine of these tests makes its first event after firstEvent and then one each
// eventGap, of at most 5 tokens.
const (
	firstEvent = 60 * ms
	eventGap   = 20 * ms
)

// paced makes an engine behave so; more may be set.
func paced(how backend.Behaviour) backend.Behaviour {
	how.Delay, how.Gap = firstEvent, eventGap
	return how
}

// knowPace makes the meter know that pace.
func (b *bench) knowPace() {
	for range 30 {
		b.meter.Observe("engine", firstEvent, 10*eventGap, 11)
	}
}

// ask makes a request with a prompt of 100 tokens that may make 500.
func (b *bench) ask(path string) *http.Request {
	req := b.request("POST", path, "p")
	req.Header.Set("X-Tokens", "100,500")
	return req
}

// charged checks that what a request counts covers the events that were made and is far
// from its worst case of 600 tokens: half of it, where a tenth of a second is due.
func (b *bench) charged(end Outcome, made int) {
	b.t.Helper()
	b.is.True(end.TokensUsed >= 100+5*int64(made))
	b.is.True(end.TokensUsed < 400)
	b.is.Equal(b.free(), fundedTokens-end.TokensUsed)
}

// free is what is not reserved.
func (b *bench) free() int64 {
	held, _ := b.budgets.treasury.Holding("org")
	return held.Free
}

func TestWholeStreamIsChargedByItsEvents(t *testing.T) {
	b := newBench(t)
	b.fund()
	b.add("e1", "engine", backend.Behaviour{Events: 3})
	b.is.Equal(b.do(b.ask("/stream/x")).status, 200)
	b.is.Equal(b.recorder.last(t, "r1").TokensUsed, int64(115))
	b.is.Equal(b.free(), int64(fundedTokens-115))
}

func TestBrokenStreamIsChargedByWhatItsTargetMayHaveMade(t *testing.T) {
	b := newBench(t)
	b.fund()
	b.knowPace()
	e := b.add("e1", "engine", paced(backend.Behaviour{Events: 10, BreakAfter: 3, Reset: true}))
	b.do(b.ask("/once/x"))
	end := b.recorder.last(t, "r1")
	b.is.Equal(end.Kind, CutOff)
	b.charged(end, e.Runs()[0].Made)
}

// Until a pace is known, and where a target proves faster than that, a run that broke off
// counts with its worst case.
func TestBrokenStreamOfUnknownPaceIsChargedInFull(t *testing.T) {
	for name, know := range map[string]func(*bench){"none known": func(*bench) {}, "faster than known": (*bench).knowPace} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.fund()
			know(b)
			b.add("e1", "engine", backend.Behaviour{Events: 100, BreakAfter: 90, Reset: true})
			b.do(b.ask("/once/x"))
			b.is.Equal(b.recorder.last(t, "r1").TokensUsed, int64(600))
		})
	}
}

func TestRunThatBrokeOffBeforeItsFirstTokenIsNotCharged(t *testing.T) {
	b := newBench(t)
	b.fund()
	for range 30 {
		b.meter.Observe("engine", time.Minute, 2*time.Second, 11)
	}
	b.add("e1", "engine", backend.Behaviour{Status: 500, Body: "no"})
	b.do(b.ask("/once/x"))
	b.is.Equal(b.recorder.last(t, "r1").TokensUsed, int64(0))
	b.is.Equal(b.free(), int64(fundedTokens))
}

// A run that was given much time may have made all of its tokens.
func TestMuteTargetIsChargedInFull(t *testing.T) {
	b := newBench(t)
	b.fund()
	b.knowPace()
	b.add("e1", "engine", backend.Behaviour{Mute: true})
	req := b.ask("/once/x")
	req.Header.Set("X-Deadline", "1500")
	b.do(req)
	b.is.Equal(b.recorder.last(t, "r1").TokensUsed, int64(600))
}

// A stream that goes on elsewhere is charged its prompt once, its events once, and what
// the target before may have made.
func TestResumedStreamIsChargedOnce(t *testing.T) {
	b := newBench(t)
	b.fund()
	b.knowPace()
	behave := breakOnce(paced(backend.Behaviour{Events: 8, BreakAfter: 3, Reset: true}), paced(backend.Behaviour{Events: 8}))
	for _, id := range []string{"e1", "e2"} {
		b.add(id, "engine", backend.Behaviour{}).Behave(behave)
	}
	b.is.Equal(b.do(b.ask("/stream/x")).body, events("r1", 8))
	b.charged(b.recorder.last(t, "r1"), 8)
}

func TestCallerThatLeavesIsChargedWhatItMayHaveGot(t *testing.T) {
	b := newBench(t)
	b.fund()
	b.knowPace()
	b.add("e1", "engine", paced(backend.Behaviour{Events: 100}))
	resp, err := http.DefaultTransport.RoundTrip(b.ask("/stream/x"))
	b.is.NoErr(err)
	_, err = resp.Body.Read(make([]byte, 10))
	b.is.NoErr(err)
	resp.Body.Close()
	end := b.recorder.last(t, "r1")
	b.is.Equal(end.Kind, CallerGone)
	b.charged(end, 1)
}
