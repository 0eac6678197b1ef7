package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/quarantine"
	"maststage.dev/standin/backend"
)

// addCrashing adds n targets that exit when they begin to run a request.
func (f *fixture) addCrashing(n int) {
	for i := range n {
		f.add(fmt.Sprintf("crashing-%d", i), "engine", backend.Behaviour{Crash: true, Delay: 5 * time.Millisecond})
	}
}

// ended counts the backends that have exited.
func (f *fixture) ended() int {
	n := 0
	for _, e := range f.backends {
		select {
		case <-e.Done():
			n++
		default:
		}
	}
	return n
}

// Guards against a host that retries a request at a third target after two have exited while
// running it.
func TestRequestCrashesAtMostTwoTargets(t *testing.T) {
	f := newFixture(t)
	f.addCrashing(4)
	got := f.do(f.request("POST", "/stream/x", "deadly"))
	f.is.Equal(got.status, http.StatusBadGateway) // it may have run
	f.is.Equal(f.ended(), 2)
	f.eventually("both exits are reported", func() bool {
		f.recorder.mu.Lock()
		defer f.recorder.mu.Unlock()
		return len(f.recorder.exits) == 2
	})
}

// Guards against sending a quarantined request under another id, against a response from which the
// caller can't tell that it has not run or that a retry is useless, and against refusing other
// requests of the same caller and path.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	f := newFixture(t)
	f.addCrashing(5)
	for range 2 {
		f.do(f.request("POST", "/stream/x", "deadly"))
	}
	f.eventually("it is quarantined", func() bool { return f.guard.Len() == 1 })
	f.add("good", "engine", backend.Behaviour{Events: 3})
	runs, arrivals := f.runCount(), f.arrivals()
	got := f.do(f.request("POST", "/stream/x", "deadly"))
	f.is.Equal(got.status, http.StatusServiceUnavailable) // guarantees that it has not run
	f.is.Equal(got.header.Get("Retry-After"), "3600")
	f.is.Equal(f.arrivals(), arrivals)
	f.is.Equal(f.runCount(), runs)
	f.is.Equal(f.recorder.waitOutcome(t, fmt.Sprintf("r%d", f.nextID)).Kind, Quarantined)
	f.eventually("another body is served", func() bool {
		return f.do(f.request("POST", "/stream/x", "harmless")).status == http.StatusOK
	})
	other := f.request("POST", "/stream/x", "deadly")
	other.Header.Set("X-Key", "none")
	f.is.Equal(f.do(other).status, http.StatusUnauthorized)
}

// Guards against attempts that go on waiting at a target once their request is quarantined: the
// target may not have begun to run them.
func TestWaitingAttemptsOfQuarantinedRequestAreAborted(t *testing.T) {
	f := newFixture(t)
	f.add("slow", "engine", backend.Behaviour{Events: 3, Delay: 3 * time.Second})
	replies := make(chan reply, 1)
	req := f.request("POST", "/stream/x", "deadly")
	go func() { replies <- f.do(req) }()
	f.eventually("it waits at the target", func() bool { return f.arrivals() == 1 })
	d := quarantine.Content{Organisation: "org", Method: "POST", Host: "a.example", URI: "/stream/x", Body: []byte("deadly")}.Digest()
	f.guard.HandleNotice(quarantine.Notice{Entry: quarantine.Entry{Digest: d}})
	got := <-replies
	f.is.Equal(got.status, http.StatusBadGateway)
	f.eventually("the target's run is cancelled", func() bool { return f.backends["slow"].Runs()[0].Cancelled })
	f.is.Equal(f.arrivals(), 1)
}

// Guards against clearing a request by a response that doesn't prove a run: an error may be sent
// before the run, and an unframed response looks complete when its target exits.
func TestOnlyCompleteSuccessClearsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		how     backend.Behaviour
		cleared bool
	}{
		"whole":     {backend.Behaviour{Events: 3}, true},
		"failure":   {backend.Behaviour{Status: 504, Body: "late"}, false},
		"no length": {backend.Behaviour{Events: 3, NoLength: true}, false},
		"cut":       {backend.Behaviour{Events: 3, BreakAfter: 2}, false},
		"refused":   {backend.Behaviour{Refuse: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.add("t", "engine", c.how)
			f.do(f.request("POST", "/once/x", "body"))
			d := quarantine.Content{Organisation: "org", Method: "POST", Host: "a.example", URI: "/once/x", Body: []byte("body")}.Digest()
			f.recorder.waitOutcome(t, "r1")
			f.is.Equal(f.guard.IsCleared(d), c.cleared)
		})
	}
}

// Guards against cutting a stream off after target exits that it can't have caused, since it had
// been running for a while: it resumes at a fourth target though its route allows three attempts.
func TestUnrelatedTargetExitsCostNoAttempt(t *testing.T) {
	f := newFixture(t)
	t.Cleanup(func() { f.logAttempts() })
	for i := range 4 {
		f.add(fmt.Sprint("t", i), "engine", backend.Behaviour{Events: 150, Gap: 10 * time.Millisecond})
	}
	replies := make(chan reply, 1)
	req := f.request("POST", "/stream/x", "long")
	go func() { replies <- f.do(req) }()
	is := is.New(t)
	for attempts := 1; attempts <= 3; attempts++ {
		f.eventually("the next target runs it", func() bool { return f.runCount() == attempts })
		time.Sleep(400 * time.Millisecond)
		for _, e := range f.running() {
			e.Close()
		}
	}
	got := <-replies
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(f.runCount(), 4)
	is.Equal(f.guard.Len(), 0)
}

// partedRequest is a request of which no two are alike, with the given parts before its last one.
func (f *fixture) partedRequest(parts string) *http.Request {
	f.t.Helper()
	req := f.request("POST", "/stream/x", fmt.Sprint("body ", f.nextID))
	req.Header.Set("X-Parts", fmt.Sprintf("%s,%x:10", parts, f.nextID))
	return req
}

// Guards against requests that crash target after target as no two are alike but for a part of their prompts, and against
// refusing requests that share their other parts.
func TestPartThatCrashesTargetsIsNotSent(t *testing.T) {
	f := newFixture(t)
	f.add("good", "engine", backend.Behaviour{Events: 3})
	f.eventually("the other parts are known", func() bool {
		return f.do(f.partedRequest("a:30,c:20,b:20")).err == nil
	})
	f.targets.Remove("good")
	f.addCrashing(5)
	for range 3 {
		f.do(f.partedRequest("a:30,bad:20,b:20"))
	}
	f.eventually("the part is quarantined", func() bool { return f.guard.Len() > 0 })
	f.is.True(f.ended() <= 4) // the first request ended two
	f.add("new", "engine", backend.Behaviour{Events: 3})
	arrivals := f.arrivals()
	got := f.do(f.partedRequest("bad:20"))
	f.is.Equal(got.status, http.StatusServiceUnavailable)
	f.is.Equal(got.header.Get("Retry-After"), "3600")
	f.is.Equal(f.arrivals(), arrivals)
	outcome := f.recorder.waitOutcome(t, f.lastID())
	f.is.Equal(outcome.Kind, Quarantined)
	f.is.True(outcome.QuarantinedAs != outcome.Digest)
	f.eventually("other parts are served", func() bool {
		return f.do(f.partedRequest("a:30,c:20,b:20")).status == http.StatusOK
	})
	f.eventually("the last part is the request's own", func() bool {
		req := f.request("POST", "/stream/x", "last")
		req.Header.Set("X-Parts", "a:30,bad:20")
		return f.do(req).status == http.StatusOK
	})
}
