package forward

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// advertisedLimit returns the rate limit of the only target that advertises one.
func (f *fixture) advertisedLimit() (perSecond float64, inForce bool) {
	for _, l := range f.targets.Limits() {
		return l.PerSecond, true
	}
	return 0, false
}

// Guards against rate limits that hosts don't read, or assume where a response advertises none.
func TestLimitIsReadFromResponses(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{})
	expect := func(wantInForce bool, want float64, how backend.Behaviour, values ...string) {
		t.Helper()
		how.Limit = values
		e.SetBehaviour(func(backend.Run) backend.Behaviour { return how })
		before := e.Arrivals()
		f.eventually("the previous limit admits a request", func() bool {
			f.do(f.request("GET", "/open/x", ""))
			return e.Arrivals() > before
		})
		perSecond, inForce := f.advertisedLimit()
		f.is.Equal(inForce, wantInForce)
		f.is.Equal(perSecond, want)
	}
	complete := backend.Behaviour{Body: "ok"}
	expect(false, 0, complete)
	expect(false, 0, complete, "-1")
	expect(false, 0, complete, "1e99")
	expect(false, 0, complete, strings.Repeat("9", 1000))
	expect(false, 0, complete, "1", "2")
	expect(false, 0, backend.Behaviour{Body: "ok", NoStamp: true}, "3") // not proven to come from the target
	expect(true, 100, complete, "100")
	expect(true, 150.5, complete, "150.5")
	expect(true, 150.5, complete, "many") // malformed: the previous limit stays
	expect(false, 0, complete)
	expect(true, 200, backend.Behaviour{Refuse: true}, "200")
}

// Guards against recording the rate limit of a target of another service that has taken over the
// address.
func TestLimitOfMisdirectedRequestIsIgnored(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "engine", backend.Behaviour{Body: "ok", Limit: []string{"1"}})
	f.targets.Put(target.Entry{ID: "gone", Service: "plain", Address: e.Address(), Domain: "z1", Slots: 4})
	f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 503)
	f.is.Equal(e.Arrivals(), 1)
	_, inForce := f.advertisedLimit()
	f.is.True(!inForce)
}

// Guards against requests that wait until their deadline, or are reported as possibly run, when the
// rate limits of all targets are used up.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{Body: "ok", Limit: []string{"0.5"}})
	f.is.Equal(f.do(f.request("POST", "/unsafe/x", "")).status, 200)
	began := time.Now()
	req := f.request("POST", "/unsafe/x", "")
	got := f.do(req)
	f.is.Equal(got.status, 503)
	f.is.True(time.Since(began) < 300*time.Millisecond)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	f.is.NoErr(err)
	f.is.True(after >= 1) // the limit admits one request every two seconds
	f.is.Equal(f.recorder.waitOutcome(t, req.Header.Get("X-Id")).Kind, TargetsFull)
	f.is.Equal(e.Arrivals(), 1)
}

// Guards against cutting a broken stream off although a rate limit admits the rest a moment later.
func TestBrokenStreamWaitsForRateLimit(t *testing.T) {
	f := newFixture(t)
	complete := backend.Behaviour{Events: 3, Limit: []string{"2"}}
	for _, id := range []string{"t1", "t2"} {
		f.add(id, "engine", complete)
	}
	for _, e := range f.backends { // so that the host learns both limits
		f.eventually("each target is asked", func() bool {
			f.do(f.request("POST", "/stream/x", ""))
			return e.Arrivals() > 0
		})
	}
	time.Sleep(1100 * time.Millisecond) // both limits admit a request
	broken := backend.Behaviour{Events: 20, Gap: 20 * time.Millisecond, BreakAfter: 5, Limit: []string{"2"}}
	for _, e := range f.backends {
		e.SetBehaviour(func(run backend.Run) backend.Behaviour {
			if run.Header.Get("Last-Event-Id") == "" && run.ID == "long" {
				return broken
			}
			return backend.Behaviour{Events: 20, Limit: []string{"2"}}
		})
	}
	req := f.request("POST", "/stream/x", "")
	req.Header.Set("X-Id", "long")
	response := make(chan reply, 1)
	go func() { response <- f.do(req) }()
	time.Sleep(50 * time.Millisecond)
	f.is.Equal(f.do(f.request("POST", "/stream/x", "")).status, 200) // it uses up the other target's limit
	got := <-response
	f.is.NoErr(got.err)
	f.is.Equal(got.body, events("long", 20))
}

// Guards against a choice of targets that ignores the route's priority, so that scarce capacity goes
// to whichever request comes first, and against retries that wait behind new requests.
func TestPriorityReachesTargetChoice(t *testing.T) {
	f := newFixture(t)
	config := f.handler.Config()
	q := &request{handler: f.handler, config: config, route: config.Match("a.example", "/stream/x"), service: "engine"}
	f.is.Equal(q.route.Priority, 1)
	f.is.Equal(q.requirements(nil).Priority, 1)
	q.possibleRuns = 1
	f.is.Equal(q.requirements(nil).Priority, 0)
}
