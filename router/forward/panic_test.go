package forward

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"maststage.dev/router/permit"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/rollout"
	"maststage.dev/router/streamversion"
	"maststage.dev/router/target"
	"maststage.dev/router/tunnel"
	"maststage.dev/standin/backend"
)

// panicPoint is a place in the path of a request.
type panicPoint string

// The places, in the order in which a request comes to them.
const (
	atAdmission  panicPoint = "at admission"
	atChoice     panicPoint = "at the choice of a target"
	asSent       panicPoint = "as the request is sent"
	atHead       panicPoint = "at the head of the target's response"
	atFirstEvent panicPoint = "at the first event"
	inWrite      panicPoint = "in a write to the caller"
	atSurvival   panicPoint = "as the target has survived"
	atAttemptEnd panicPoint = "at the end of the attempt"
	atRequestEnd panicPoint = "at the end of the request"
)

// panicker panics, once, as a request comes to a place.
type panicker struct {
	point    panicPoint
	panicked atomic.Bool
}

func (p *panicker) reach(point panicPoint) {
	if point == p.point && !p.panicked.Swap(true) {
		panic("test: " + string(point))
	}
}

type panicObserver struct {
	Observer
	*panicker
}

func (o panicObserver) AttemptEnded(a Attempt) { o.reach(atAttemptEnd); o.Observer.AttemptEnded(a) }
func (o panicObserver) RequestEnded(e Outcome) { o.reach(atRequestEnd); o.Observer.RequestEnded(e) }

type panicRollouts struct {
	Rollouts
	*panicker
}

func (r panicRollouts) Rule(q rollout.Request) rollout.Rule {
	r.reach(atChoice)
	return r.Rollouts.Rule(q)
}

func (r panicRollouts) Sent(q rollout.Request, version string) {
	r.reach(asSent)
	r.Rollouts.Sent(q, version)
}

type panicQuarantine struct {
	Quarantine
	*panicker
}

func (g panicQuarantine) IsQuarantined(d quarantine.Digest) bool {
	g.reach(atAdmission)
	return g.Quarantine.IsQuarantined(d)
}

func (g panicQuarantine) RecordSurvival(parts []quarantine.Part) {
	g.reach(atSurvival)
	g.Quarantine.RecordSurvival(parts)
}

type panicStreams struct {
	StreamVersions
	*panicker
}

func (s panicStreams) Began(k streamversion.Key, route string, o streamversion.Origin, keep time.Duration) {
	s.reach(atFirstEvent)
	s.StreamVersions.Began(k, route, o, keep)
}

// panicWriter panics once this many bytes were written to the caller.
type panicWriter struct {
	http.ResponseWriter
	*panicker
	left int
}

func (w *panicWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *panicWriter) Write(p []byte) (int, error) {
	if w.left -= len(p); w.left < 0 {
		w.reach(inWrite)
	}
	return w.ResponseWriter.Write(p)
}

// panicAt makes the handler panic, once, at a place; in a write after some bytes.
func (f *fixture) panicAt(point panicPoint, afterBytes int) *panicker {
	p := &panicker{point: point}
	o := &f.handler.opts
	o.Observer, o.Rollouts, o.Quarantine = panicObserver{o.Observer, p}, panicRollouts{o.Rollouts, p}, panicQuarantine{o.Quarantine, p}
	o.StreamVersions = panicStreams{o.StreamVersions, p}
	o.DecodeBrittle = func(http.Header) (Brittleness, error) {
		p.reach(atHead)
		return Brittleness{Brittle: true, Tolerance: 3}, nil
	}
	panics := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handler.ServeHTTP(&panicWriter{ResponseWriter: w, panicker: p, left: afterBytes}, r)
	})
	f.server = startServer(f.t, panics, func(s *httptest.Server) { s.Config.ErrorLog = stdlog.New(io.Discard, "", 0) })
	return p
}

// checkBooks checks that a request that has panicked holds nothing any more, of its target either.
func (f *fixture) checkBooks(t *target.Target) {
	f.t.Helper()
	f.eventually("no request is in flight", func() bool { return f.handler.InFlight() == 0 })
	f.is.Equal(f.unread.Held(), int64(0)) // bytes held for callers
	held, _ := f.budgets.allocator.Holding("org")
	f.is.Equal(held.Reserved, int64(0)) // tokens
	f.targets.CloseIdle()
	f.is.Equal(t.Pool.OpenConns(), 0)
	const limit = 10 * time.Millisecond
	time.Sleep(2 * limit)
	f.is.True(!f.targets.JudgeSilence(t, limit)) // no request waits for its response
	f.targets.Remove(t.ID)
	f.targets.Sweep(time.Now().Add(time.Minute))
	_, err := f.targets.DialFor(context.Background(), t.ID)
	f.is.True(errors.Is(err, tunnel.ErrUnknownTarget)) // it is forgotten only without outstanding requests
}

// Guards against a panic that ends a response as whole, or that leaves tokens, memory, a connection or a target's load behind.
func TestPanicEndsNoResponseAsWholeAndHoldsNothing(t *testing.T) {
	stream := backend.Behaviour{Events: 14, Gap: 50 * ms}
	short, long := backend.Behaviour{Body: "whole"}, backend.Behaviour{Body: strings.Repeat("x", 4<<20)}
	buffered := backend.Behaviour{Body: strings.Repeat("x", maxBuffered)}
	for _, c := range []struct {
		path  string
		how   backend.Behaviour
		point panicPoint
		after int // bytes
	}{
		{"/stream/x", stream, atAdmission, 0},
		{"/stream/x", stream, atChoice, 0},
		{"/stream/x", stream, asSent, 0},
		{"/stream/x", stream, atHead, 0},
		{"/stream/x", stream, atFirstEvent, 0},
		{"/stream/x", stream, inWrite, 0},
		{"/stream/x", stream, inWrite, 100},
		{"/stream/x", stream, atSurvival, 0},
		{"/stream/x", stream, atAttemptEnd, 0},
		{"/stream/x", stream, atRequestEnd, 0},
		{"/unsafe/short", short, atChoice, 0},
		{"/unsafe/short", short, asSent, 0},
		{"/unsafe/short", short, atHead, 0},
		{"/unsafe/short", short, inWrite, 0},
		{"/unsafe/short", short, atAttemptEnd, 0},
		{"/safe/buffered", buffered, atAttemptEnd, 0},
		{"/safe/buffered", buffered, inWrite, 0},
		{"/safe/long", long, atHead, 0},
		{"/safe/long", long, inWrite, 0},
		{"/safe/long", long, inWrite, 1 << 20},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(strings.Join([]string{c.path, string(c.point), protocol}, ", "), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.creditBudget()
				p := f.panicAt(c.point, c.after)
				service, whole := "plain", c.how.Body
				if c.how.Events > 0 {
					service, whole = "engine", events("r1", c.how.Events)
				}
				f.add("t1", service, c.how)
				used := f.targets.Choose(target.Requirements{Service: service})
				got := f.call(protocol, c.path, "Content-Length: 1\r\n", "p").readAll()
				f.is.True(p.panicked.Load())
				resp, body, err := got.response()
				if got.looksWhole() && body != whole {
					t.Errorf("the caller takes this for a whole response (%s, %v): %.300q, reset: %t", resp.Status, err, got.bytes, got.reset)
				}
				f.checkBooks(used)
			})
		}
	}
}

// Guards against tokens that are free again though the target generated some of them before the panic.
func TestRequestThatPanicsIsCharged(t *testing.T) {
	f := newFixture(t)
	f.creditBudget()
	f.teachPace()
	f.panicAt(inWrite, 100)
	e := f.add("t1", "engine", paced(backend.Behaviour{Events: 100}))
	f.call("HTTP/1.1", "/stream/x", "Content-Length: 1\r\n", "p").readAll()
	f.eventually("no request is in flight", func() bool { return f.handler.InFlight() == 0 })
	f.is.True(transferredTokens-f.freeTokens() >= 100+5)
	f.eventually("the run is cancelled", func() bool { return e.Runs()[0].Cancelled })
}

// Guards against a target that counts as waiting for a caller for good, so that its silence doesn't show.
func TestTargetIsSilentAfterAPanicInAWrite(t *testing.T) {
	f := newFixture(t)
	f.panicAt(inWrite, 0)
	f.add("t1", "engine", backend.Behaviour{Events: 3})
	want := target.Requirements{Service: "engine"}
	t1 := f.targets.Choose(want)
	f.call("HTTP/1.1", "/stream/x", "Content-Length: 1\r\n", "p").readAll()
	f.eventually("no request is in flight", func() bool { return f.handler.InFlight() == 0 })
	f.add("t2", "engine", backend.Behaviour{Events: 3})
	t2 := f.targets.Choose(target.Requirements{Service: "engine", Exclude: map[string]bool{"t1": true}})
	f.targets.BeginRequest(t1, 0)
	for range 3 {
		f.targets.BeginRequest(t2, 0)
	}
	f.eventually("the silent target is avoided, though the other one is busier", func() bool {
		t2.RecordActivity(time.Now())
		return f.targets.Choose(want) == t2
	})
}

// Guards against a place at a brittle target that is taken for good.
func TestPermitEndsWithAPanic(t *testing.T) {
	f := newFixture(t)
	f.panicAt(asSent, 0)
	places := permit.NewServer("key")
	t.Cleanup(places.Close)
	f.handler.opts.Permits = permit.NewClient(permit.Options{
		Self: "h1", Server: places, Schedulers: func(string) ([]permit.Host, int) { return []permit.Host{{Name: "h1"}}, 0 },
	})
	f.add("t1", "engine", backend.Behaviour{Events: 3})
	t1 := f.targets.Choose(target.Requirements{Service: "engine"})
	f.targets.RecordBrittle(t1, true, 3)
	f.eventually("requests need permits", func() bool { return f.targets.NeedsPermit(t1) })
	for range 2 {
		f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nContent-Length: 1\r\n", "p").readAll()
		f.eventually("the place is free again", func() bool { return f.handler.InFlight() == 0 && places.InUse() == 0 })
	}
	f.is.Equal(len(f.running()), 1) // the request after the one that panicked got a permit
}
