package forward

import (
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// answers makes a backend respond to all requests in the same way.
func answers(e *backend.Backend, how backend.Behaviour) {
	e.SetBehaviour(func(backend.Run) backend.Behaviour { return how })
}

// doUntilArrival sends requests until one more reaches the backend, and returns the response to that one.
func (f *fixture) doUntilArrival(e *backend.Backend, path string) reply {
	f.t.Helper()
	before := e.Arrivals()
	for range 100 {
		if got := f.do(f.request("GET", path, "")); e.Arrivals() > before {
			return got
		}
	}
	f.t.Fatal("no request reached the target")
	return reply{}
}

// entryOf is the entry of a backend that says that it is ready.
func entryOf(id, service string, e *backend.Backend) target.Entry {
	return target.Entry{ID: id, Service: service, Address: e.Address(), Domain: "z1", Slots: 4}
}

// Guards against new requests to a target whose responses announced its exit while its entry, read late or again, still
// says that it is ready.
func TestTargetThatAnnouncesItsExitGetsNoNewRequests(t *testing.T) {
	f := newFixture(t)
	leaving := f.add("t1", "plain", backend.Behaviour{Body: "ok", Leaving: true})
	f.add("t2", "plain", backend.Behaviour{Body: "ok"})
	f.is.Equal(f.doUntilArrival(leaving, "/open/x").status, 200)
	known := leaving.Arrivals()
	for range 50 {
		f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200)
	}
	f.targets.Put(entryOf("t1", "plain", leaving))
	for range 50 {
		f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200)
	}
	f.targets.Remove("t1")
	f.targets.Put(entryOf("t1", "plain", leaving))
	for range 50 {
		f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200)
	}
	f.is.Equal(leaving.Arrivals(), known)
}

// Guards against retries of refused or broken requests, and resumed streams, at a target that announced its exit.
func TestRetriesAvoidTargetThatAnnouncedItsExit(t *testing.T) {
	f := newFixture(t)
	leaving := f.add("e1", "engine", backend.Behaviour{Events: 2, Leaving: true})
	f.add("e2", "engine", backend.Behaviour{Events: 2})
	f.doUntilArrival(leaving, "/stream/x")
	time.Sleep(1100 * time.Millisecond) // longer than a leaving target may be the last resort
	known := leaving.Arrivals()
	for _, how := range []backend.Behaviour{
		{Refuse: true}, {Events: 9, BreakAfter: 3, Reset: true}, {Status: 500, Body: "failure"},
	} {
		answers(f.backends["e2"], how)
		f.do(f.request("GET", "/stream/x", ""))
	}
	f.is.Equal(leaving.Arrivals(), known)
}

// Guards against callers that wait for, or are sent to, targets that all announced their exits.
func TestCallersAreRefusedAtOnceWhenAllTargetsAnnouncedTheirExit(t *testing.T) {
	f := newFixture(t)
	only := f.add("t1", "plain", backend.Behaviour{Body: "ok", Leaving: true})
	f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200)
	time.Sleep(1100 * time.Millisecond) // longer than a leaving target may be the last resort
	known, began := only.Arrivals(), time.Now()
	f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 503)
	f.is.True(time.Since(began) < 300*time.Millisecond)
	f.is.Equal(only.Arrivals(), known)
}

// Guards against a stream that is cut off because its target announces its exit.
func TestStreamAtTargetThatAnnouncesItsExitRunsToItsEnd(t *testing.T) {
	f := newFixture(t)
	f.add("e1", "engine", backend.Behaviour{Events: 30, Gap: 50 * time.Millisecond, Leaving: true})
	req := f.request("GET", "/stream/x", "")
	got := f.do(req)
	f.is.NoErr(got.err)
	f.is.Equal(got.body, events(req.Header.Get("X-Id"), 30))
}

// Guards against a target that announced its exit and stays unused in its next incarnation.
func TestNextIncarnationOfLeavingTargetIsUsed(t *testing.T) {
	f := newFixture(t)
	e := f.add("t1", "plain", backend.Behaviour{Body: "ok", Leaving: true})
	start := time.UnixMilli(1_000_000)
	put := func() {
		entry := entryOf("t1", "plain", e)
		entry.StartedAt = start
		f.targets.Put(entry)
	}
	put()
	f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200)
	time.Sleep(1100 * time.Millisecond) // longer than a leaving target may be the last resort
	answers(e, backend.Behaviour{Body: "ok"})
	start = start.Add(time.Minute)
	put()
	f.is.Equal(f.do(f.request("GET", "/open/x", "")).status, 200)
}
