package forward

import (
	"net/http"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// addVersion starts an engine target of a software version.
func (f *fixture) addVersion(id, version string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	e := f.add(id, "engine", how)
	f.targets.Put(target.Entry{ID: id, Service: "engine", Address: e.Address(), Domain: "z1", Slots: 4, Version: version})
	return e
}

// takeUp makes the request of a caller that takes up the stream of an earlier attempt.
func (f *fixture) takeUp(first, lastEvent string) *http.Request {
	f.t.Helper()
	req := f.request("POST", "/stream/x", "p")
	if first != "" {
		req.Header.Set("X-Resumes", first)
	}
	if lastEvent != "" {
		req.Header.Set("Last-Event-Id", lastEvent)
	}
	return req
}

// Guards against a host that resumes a broken stream, within its response, at a target of another version.
func TestBrokenStreamResumesAtItsVersion(t *testing.T) {
	for range 8 {
		f := newFixture(t)
		f.addVersion("old", "v1", backend.Behaviour{Events: 10, BreakAfter: 4})
		got := f.do(f.request("POST", "/stream/x", "p")) // begins at the only target there is
		f.is.True(got.err != nil)

		how := breakOnce(backend.Behaviour{Events: 10, BreakAfter: 4}, backend.Behaviour{Events: 10})
		f.targets.Remove("old")
		f.addVersion("a", "v2", backend.Behaviour{}).SetBehaviour(how)
		f.addVersion("b", "v2", backend.Behaviour{}).SetBehaviour(how)
		for _, id := range []string{"c", "d", "e"} {
			f.addVersion(id, "v3", backend.Behaviour{Events: 10, BreakAfter: 4})
		}
		got = f.do(f.request("POST", "/stream/x", "p"))
		versions := map[string]bool{}
		f.recorder.mu.Lock()
		for _, a := range f.recorder.attempts[1:] {
			versions[a.Version] = true
		}
		f.recorder.mu.Unlock()
		f.is.Equal(len(versions), 1)
		f.is.True(got.err == nil || versions["v3"])
	}
}

// Guards against a stream that is cut off only after a wait, or goes on elsewhere, as the last target of its version is gone.
func TestStreamWhoseVersionIsGoneIsCutOffAtOnce(t *testing.T) {
	f := newFixture(t)
	f.addVersion("a", "v1", backend.Behaviour{Events: 10, BreakAfter: 4})
	started := time.Now()
	f.addVersion("b", "v2", backend.Behaviour{Refuse: true}) // so that all streams begin at v1
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.True(got.err != nil)
	f.is.Equal(got.body, events("r1", 4))
	f.is.True(time.Since(started) < time.Second)
	f.is.Equal(len(f.backends["b"].Runs()), 0)
}

// Guards against binding a request to the version of a target that failed before the first event.
func TestAnyVersionMayServeBeforeTheFirstEvent(t *testing.T) {
	f := newFixture(t)
	how := breakOnce(backend.Behaviour{Status: http.StatusInternalServerError, Body: "failed"}, backend.Behaviour{Events: 10})
	f.addVersion("b", "v1", backend.Behaviour{}).SetBehaviour(how)
	f.addVersion("c", "v2", backend.Behaviour{}).SetBehaviour(how)
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.NoErr(got.err)
	f.is.Equal(got.body, events("r1", 10))
}

// Guards against a stream that its caller takes up and that goes on at another version, or is refused although a target of
// its version serves.
func TestStreamTakenUpByItsCallerGoesOnAtItsVersion(t *testing.T) {
	f := newFixture(t)
	f.addVersion("old", "v1", backend.Behaviour{Events: 10, BreakAfter: 4})
	f.do(f.request("POST", "/stream/x", "p")) // r1 is cut off after four events
	for _, id := range []string{"new-1", "new-2", "new-3"} {
		f.addVersion(id, "v2", backend.Behaviour{Events: 10})
	}
	f.backends["old"].SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Events: 10} })
	time.Sleep(600 * time.Millisecond) // until the target is no longer ejected
	got := f.do(f.takeUp("r1", "4"))
	f.is.NoErr(got.err)
	f.is.Equal(got.header.Get("X-Stamp"), "old")
	f.is.Equal(got.body, events("r2", 10)[len(events("r2", 4)):])

	f.targets.Remove("old")
	f.targets.Sweep(time.Now().Add(2 * time.Second))
	f.eventually("the version is gone", func() bool { return !f.targets.HasVersion("engine", "v1") })
	arrivals := f.arrivals()
	started := time.Now()
	got = f.do(f.takeUp("r1", "4"))
	f.is.Equal(got.status, http.StatusServiceUnavailable) // it has not run
	f.is.True(got.header.Get("Retry-After") != "")
	f.is.True(time.Since(started) < 500*time.Millisecond)
	f.is.Equal(f.recorder.waitOutcome(t, "r3").Kind, VersionGone)
	f.is.Equal(f.arrivals(), arrivals)
}

// Guards against going on with a stream that nobody knows while there are two versions, whatever the caller says of it.
func TestUnknownStreamIsRefused(t *testing.T) {
	f := newFixture(t)
	f.addVersion("a", "v1", backend.Behaviour{Events: 10})
	f.addVersion("b", "v2", backend.Behaviour{Events: 10})
	for _, first := range []string{"", "never sent"} {
		got := f.do(f.takeUp(first, "4"))
		f.is.Equal(got.status, http.StatusServiceUnavailable)
		f.is.Equal(f.recorder.waitOutcome(t, f.lastID()).Kind, StreamUnknown)
	}
	f.is.Equal(f.arrivals(), 0)
	got := f.do(f.takeUp("never sent", "")) // without an event it begins anew
	f.is.NoErr(got.err)
	f.is.Equal(got.status, http.StatusOK)
}

const splitConfig = `{"version":8,
 "routes":[{"name":"stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"gap_target_ms":100,"max_attempts":3,"resumable":true,
  "split":[{"service":"engine","weight":1},{"service":"other","weight":1}]}],
 "services":[{"name":"engine","engine":{"slots":4,"stride":5}},{"name":"other","engine":{"slots":4,"stride":5}}]}`

// Guards against a stream of a route that is split over services, and that goes on at another service than the one that
// began it.
func TestStreamTakenUpByItsCallerGoesOnAtItsService(t *testing.T) {
	f := newFixture(t)
	f.configure(splitConfig)
	f.add("e1", "engine", backend.Behaviour{Events: 10})
	f.add("o1", "other", backend.Behaviour{Events: 10})
	for range 6 {
		began := f.do(f.request("POST", "/stream/x", "p"))
		f.is.NoErr(began.err)
		first := f.lastID()
		got := f.do(f.takeUp(first, "4"))
		f.is.NoErr(got.err)
		f.is.Equal(got.header.Get("X-Stamp"), began.header.Get("X-Stamp"))
	}
}
