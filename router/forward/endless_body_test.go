package forward

import (
	"net/http"
	"testing"
	"time"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/endless"
)

const (
	failureHead = "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + endless.IDMark + "\r\nX-Stamp: bad\r\n"
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + endless.IDMark + "\r\nX-Not-Run: 1\r\n"
)

// Guards against a response that was forwarded in part as its deadline passed, and then ended as if it were complete.
func TestLongResponseCutByItsDeadlineIsNotWhole(t *testing.T) {
	for name, answer := range map[string]endless.Answer{
		"no length":      {Start: okHead + "\r\n", Repeat: "body"},
		"chunks":         {Start: chunkedHead, Repeat: chunk},
		"failure":        {Start: failureHead + "\r\n", Repeat: "body"},
		"failed, chunks": {Start: failureHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: chunk},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			bad := f.addEndless("plain", answer, fastGap)
			got := f.doEndless(bad, func() *http.Request { return f.request("POST", "/unsafe/x", "b") })
			f.is.True(got.err != nil)
			f.is.True(len(got.body) > 0 || got.status == 0) // else the test shows nothing
			f.is.Equal(bad.Arrivals(), 1)
			f.eventually("the target's connection is closed", func() bool { return bad.Answering() == 0 })
			ended := f.recorder.waitOutcome(t, f.lastID())
			f.is.Equal(ended.Kind, CutOff)
			f.is.True(ended.Duration < f.handler.Config().Match("a.example", "/unsafe/x").Timeout()+endlessMargin)
		})
	}
}

// Guards against a failure without end that is forwarded until the deadline though another target could serve the request.
func TestEndlessFailureIsRetriedElsewhere(t *testing.T) {
	eachEndless(t, map[string]endless.Answer{
		"no length": {Start: failureHead + "\r\n", Repeat: "failed"},
		"chunks":    {Start: failureHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: chunk},
		"length":    {Start: failureHead + "Content-Length: 1000000000\r\n\r\n", Repeat: "failed"},
	}, func(t *testing.T, answer endless.Answer, gap time.Duration) {
		f := newFixture(t)
		bad := f.addEndless("plain", answer, gap)
		f.add("good", "plain", backend.Behaviour{Body: "ok"})
		got := f.doEndless(bad, func() *http.Request { return f.request("GET", "/safe/x", "") })
		f.is.NoErr(got.err)
		f.is.Equal(got.status, 200)
		f.is.Equal(got.body, "ok")
		f.checkBounded(bad, got, f.safeSilence()+endlessMargin)
	})
}

// Guards against a refused request that waits until its deadline for the rest of the refusal: it has not run, so it may go
// elsewhere though it may not be repeated.
func TestEndlessRefusalDoesNotHoldUpTheRequest(t *testing.T) {
	eachEndless(t, map[string]endless.Answer{
		"no length":    {Start: refusalHead + "\r\n", Repeat: "busy"},
		"chunks":       {Start: refusalHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: chunk},
		"long body":    {Start: refusalHead + "Content-Length: 4000\r\n\r\n", Repeat: "busy"},
		"misdirected":  {Start: "HTTP/1.1 421 Misdirected Request\r\nX-Id: " + endless.IDMark + "\r\n\r\n", Repeat: "elsewhere"},
		"after length": {Start: refusalHead + "Content-Length: 4\r\n\r\n", Repeat: "busy"},
	}, func(t *testing.T, answer endless.Answer, gap time.Duration) {
		f := newFixture(t)
		bad := f.addEndless("plain", answer, gap)
		f.add("good", "plain", backend.Behaviour{Body: "ok"})
		got := f.doEndless(bad, func() *http.Request { return f.request("POST", "/unsafe/x", "b") })
		f.is.NoErr(got.err)
		f.is.Equal(got.status, 200)
		f.is.Equal(got.body, "ok")
		f.sweep()
		f.checkBounded(bad, got, f.handler.Config().Match("a.example", "/unsafe/x").Timeout())
	})
}

// sweep lets the registry sweep its connections as a host does, until the test ends.
func (f *fixture) sweep() {
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case now := <-time.After(50 * time.Millisecond):
				f.targets.Sweep(now)
			}
		}
	}()
}

// Guards against bytes behind a complete response that reach a caller, or for which the target's connection is kept.
func TestBytesBehindTheResponseReachNoCaller(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		eachEndless(t, map[string]endless.Answer{
			"length":   {Start: okHead + "Content-Length: 2\r\n\r\nok", Repeat: "more"},
			"chunks":   {Start: chunkedHead + "2\r\nok\r\n0\r\n\r\n", Repeat: "more"},
			"response": {Start: okHead + "Content-Length: 2\r\n\r\nok", Repeat: okHead + "Content-Length: 2\r\n\r\nno"},
		}, func(t *testing.T, answer endless.Answer, gap time.Duration) {
			f := newFixture(t)
			bad := f.addEndless("plain", answer, gap)
			f.sweep()
			got := f.doEndless(bad, func() *http.Request { return f.request("POST", path, "b") })
			f.is.NoErr(got.err)
			f.is.Equal(got.body, "ok")
			f.checkBounded(bad, got, endlessMargin)
		})
	}
}
