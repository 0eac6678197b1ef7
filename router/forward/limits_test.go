package forward

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// limitOf is the limit of the only target that names one.
func (b *bench) limitOf() (perSecond float64, inForce bool) {
	for _, l := range b.targets.Limits() {
		return l.PerSecond, true
	}
	return 0, false
}

// Guards against limits that hosts don't read, or make up where an answer names none.
func TestLimitIsReadFromAnswers(t *testing.T) {
	b := newBench(t)
	e := b.add("t1", "plain", backend.Behaviour{})
	expect := func(wantInForce bool, want float64, how backend.Behaviour, values ...string) {
		t.Helper()
		how.Limit = values
		e.Behave(func(backend.Run) backend.Behaviour { return how })
		before := e.Arrivals()
		b.eventually("the limit before leaves room for a request", func() bool {
			b.do(b.request("GET", "/open/x", ""))
			return e.Arrivals() > before
		})
		perSecond, inForce := b.limitOf()
		b.is.Equal(inForce, wantInForce)
		b.is.Equal(perSecond, want)
	}
	whole := backend.Behaviour{Body: "ok"}
	expect(false, 0, whole)
	expect(false, 0, whole, "-1")
	expect(false, 0, whole, "1e99")
	expect(false, 0, whole, strings.Repeat("9", 1000))
	expect(false, 0, whole, "1", "2")
	expect(false, 0, backend.Behaviour{Body: "ok", NoStamp: true}, "3") // not the target's own
	expect(true, 100, whole, "100")
	expect(true, 150.5, whole, "150.5")
	expect(true, 150.5, whole, "many") // tells nothing
	expect(false, 0, whole)
	expect(true, 200, backend.Behaviour{Refuse: true}, "200")
}

// Guards against taking over the limit of a target of another service that has the address now.
func TestLimitOfAMisdirectedRequestIsNotTakenOver(t *testing.T) {
	b := newBench(t)
	e := b.add("t1", "engine", backend.Behaviour{Body: "ok", Limit: []string{"1"}})
	b.targets.Put(target.Entry{ID: "gone", Service: "plain", Address: e.Address(), Domain: "z1", Slots: 4})
	b.is.Equal(b.do(b.request("GET", "/open/x", "")).status, 503)
	b.is.Equal(e.Arrivals(), 1)
	_, inForce := b.limitOf()
	b.is.True(!inForce)
}

// Guards against requests that wait until their time is over, or are told that they may have run,
// where all targets name limits that are used up.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	e := b.add("t1", "plain", backend.Behaviour{Body: "ok", Limit: []string{"0.5"}})
	b.is.Equal(b.do(b.request("POST", "/unsafe/x", "")).status, 200)
	began := time.Now()
	req := b.request("POST", "/unsafe/x", "")
	got := b.do(req)
	b.is.Equal(got.status, 503)
	b.is.True(time.Since(began) < 300*time.Millisecond)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	b.is.NoErr(err)
	b.is.True(after >= 1) // a place comes free every two seconds
	b.is.Equal(b.recorder.last(t, req.Header.Get("X-Id")).Kind, TargetsFull)
	b.is.Equal(e.Arrivals(), 1)
}

// Guards against streams that are cut though the place for the rest comes free a moment later.
func TestBrokenStreamWaitsForAPlace(t *testing.T) {
	b := newBench(t)
	whole := backend.Behaviour{Events: 3, Limit: []string{"2"}}
	for _, id := range []string{"t1", "t2"} {
		b.add(id, "engine", whole)
	}
	for _, e := range b.backends { // the host hears of both limits
		b.eventually("each target is asked", func() bool {
			b.do(b.request("POST", "/stream/x", ""))
			return e.Arrivals() > 0
		})
	}
	time.Sleep(1100 * time.Millisecond) // both have a place
	broken := backend.Behaviour{Events: 20, Gap: 20 * time.Millisecond, BreakAfter: 5, Limit: []string{"2"}}
	for _, e := range b.backends {
		e.Behave(func(run backend.Run) backend.Behaviour {
			if run.Header.Get("Last-Event-Id") == "" && run.ID == "long" {
				return broken
			}
			return backend.Behaviour{Events: 20, Limit: []string{"2"}}
		})
	}
	req := b.request("POST", "/stream/x", "")
	req.Header.Set("X-Id", "long")
	answer := make(chan reply, 1)
	go func() { answer <- b.do(req) }()
	time.Sleep(50 * time.Millisecond)
	b.is.Equal(b.do(b.request("POST", "/stream/x", "")).status, 200) // it takes the other place
	got := <-answer
	b.is.NoErr(got.err)
	b.is.Equal(got.body, events("long", 20))
}

// Guards against a choice that doesn't know how urgent requests are, so that places of targets in need go
// to whichever comes first, and against answers under way that wait behind new requests.
func TestUrgencyReachesTheChoiceOfATarget(t *testing.T) {
	b := newBench(t)
	config := b.handler.Config()
	q := &request{handler: b.handler, config: config, route: config.Match("a.example", "/stream/x"), service: "engine"}
	b.is.Equal(q.route.Priority, 1)
	b.is.Equal(q.want(nil).Priority, 1)
	q.ran = 1
	b.is.Equal(q.want(nil).Priority, 0)
}
