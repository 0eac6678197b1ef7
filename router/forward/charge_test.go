package forward

import (
	"net/http"
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/standin/backend"
)

const ms = time.Millisecond

// fund gives the callers' organisation a prepaid budget and this host all of it.
func (b *bench) fund(tokens int64) {
	b.t.Helper()
	b.configure(testConfig[:len(testConfig)-len(`"priority":1}]}`)] + `"priority":1,"prepaid":1000000}]}`)
	b.budgets.treasury.Configure(7, []prepaid.Budget{{Organisation: "org", Limit: 1000000}}, false)
	b.is.True(b.budgets.treasury.Credit(prepaid.Gift{ID: "all", Organisation: "org", Tokens: tokens}))
}

// knowPace makes the meter know the engine's pace: at least 25 ms to the first event and
// at least 100 ms for each one after it.
func (b *bench) knowPace() {
	for range 30 {
		b.meter.Note("engine", 50*ms, 2*time.Second, 11)
	}
}

// free is what is not reserved.
func (b *bench) free() int64 {
	held, _ := b.budgets.treasury.Holding("org")
	return held.Free
}

// The requests of these tests have a prompt of 100 tokens and make at most 50; an event
// holds at most 5.

func TestWholeStreamIsChargedByItsEvents(t *testing.T) {
	b := newBench(t)
	b.fund(1000)
	b.add("e1", "engine", backend.Behaviour{Events: 3})
	b.is.Equal(b.do(b.request("POST", "/stream/x", "p")).status, 200)
	b.is.Equal(b.recorder.last(t, "r1").Used, int64(115))
	b.is.Equal(b.free(), int64(885))
}

func TestBrokenStreamIsChargedByWhatItsTargetMayHaveMade(t *testing.T) {
	b := newBench(t)
	b.fund(1000)
	e := b.add("e1", "engine", backend.Behaviour{Events: 10, BreakAfter: 3, Reset: true})
	b.do(b.request("POST", "/once/x", "p"))
	b.is.Equal(b.recorder.last(t, "r1").Used, int64(150)) // no pace is known yet
	b.knowPace()
	b.do(b.request("POST", "/once/x", "p"))
	end := b.recorder.last(t, "r2")
	b.is.Equal(end.Kind, CutOff)
	b.is.True(end.Used <= 120) // three events that came, and one that may be lost
	b.is.True(end.Used >= 100+5*int64(e.Runs()[1].Made))
}

func TestRunThatBrokeOffBeforeItsFirstTokenIsNotCharged(t *testing.T) {
	b := newBench(t)
	b.fund(1000)
	for range 30 {
		b.meter.Note("engine", time.Minute, 2*time.Second, 11)
	}
	b.add("e1", "engine", backend.Behaviour{Status: 500, Body: "no"})
	b.do(b.request("POST", "/once/x", "p"))
	b.is.Equal(b.recorder.last(t, "r1").Used, int64(0))
	b.is.Equal(b.free(), int64(1000))
}

// A run that was silent for long may have made all of its tokens.
func TestMuteTargetIsChargedInFull(t *testing.T) {
	b := newBench(t)
	b.fund(1000)
	b.knowPace()
	b.add("e1", "engine", backend.Behaviour{Mute: true})
	req := b.request("POST", "/once/x", "p")
	req.Header.Set("X-Deadline", "1500")
	b.do(req)
	b.is.Equal(b.recorder.last(t, "r1").Used, int64(150))
}

// A stream that goes on elsewhere is charged its prompt once, its events once, and what
// the target before may have made.
func TestResumedStreamIsChargedOnce(t *testing.T) {
	b := newBench(t)
	b.fund(1000)
	b.knowPace()
	behave := breakOnce(backend.Behaviour{Events: 8, BreakAfter: 3, Reset: true}, backend.Behaviour{Events: 8})
	for _, id := range []string{"e1", "e2"} {
		b.add(id, "engine", backend.Behaviour{}).Behave(behave)
	}
	got := b.do(b.request("POST", "/stream/x", "p"))
	b.is.Equal(got.body, events("r1", 8))
	b.is.Equal(b.recorder.last(t, "r1").Used, int64(145)) // eight events and one that may be lost
}

func TestCallerThatLeavesIsChargedWhatItMayHaveGot(t *testing.T) {
	b := newBench(t)
	b.fund(1000)
	b.knowPace()
	b.add("e1", "engine", backend.Behaviour{Events: 100, Gap: 20 * ms})
	req := b.request("POST", "/stream/x", "p")
	resp, err := http.DefaultTransport.RoundTrip(req)
	b.is.NoErr(err)
	first := make([]byte, 10)
	_, err = resp.Body.Read(first)
	b.is.NoErr(err)
	resp.Body.Close()
	end := b.recorder.last(t, "r1")
	b.is.Equal(end.Kind, CallerGone)
	b.is.True(end.Used >= 110 && end.Used < 150)
}
