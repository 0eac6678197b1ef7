package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/target"
	"maststage.dev/router/unread"
	"maststage.dev/standin/backend"
)

// slowCaller is a caller that stops reading for a while after some writes.
type slowCaller struct {
	*httptest.ResponseRecorder
	after   int           // number of writes that it reads at once
	pause   time.Duration // before it continues to read
	stopped chan struct{} // closed when it stops reading
	once    sync.Once
}

func newSlowCaller(after int, pause time.Duration) *slowCaller {
	return &slowCaller{ResponseRecorder: httptest.NewRecorder(), after: after, pause: pause, stopped: make(chan struct{})}
}

func (c *slowCaller) Write(p []byte) (int, error) {
	if c.after--; c.after < 0 {
		c.once.Do(func() {
			close(c.stopped)
			time.Sleep(c.pause)
		})
	}
	return c.ResponseRecorder.Write(p)
}

// serve runs the handler for a request of a slow caller.
func (f *fixture) serve(c *slowCaller, req *http.Request) {
	req.RequestURI = req.URL.RequestURI()
	f.serveHTTP(c, req)
}

// Guards against taking the target of a slow caller for silent, which would spend a retry, count as
// a failure of a healthy target and run the request twice.
func TestSlowCallerDoesNotMakeTargetSilent(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "engine", backend.Behaviour{Events: 40, Gap: 20 * time.Millisecond})
	f.add("t2", "engine", backend.Behaviour{Events: 40, Gap: 20 * time.Millisecond})
	c := newSlowCaller(3, 2*time.Second)
	f.serve(c, f.request("POST", "/stream/x", "prompt"))
	f.is.Equal(c.Body.String(), events("r1", 40))
	f.is.Equal(f.runCount(), 1)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Attempts, 1)
}

// Guards against counting a stream that the target aborted, because its caller had not read it for
// long, as the target's failure.
func TestTargetIsNotBlamedForAbortingUnreadStream(t *testing.T) {
	is := is.New(t)
	is.Equal((&attempt{callerDelay: 3 * time.Second}).targetResult(broken), target.Abandoned)
	is.Equal((&attempt{callerDelay: 100 * time.Millisecond}).targetResult(broken), target.Broken)
}

// Guards against a slow caller that keeps its target's connection busy after the target has sent its
// response, or has it aborted under other requests as if the target were silent.
func TestSlowCallerDoesNotOccupyTarget(t *testing.T) {
	f := newFixture(t)
	f.add("t1", "plain", backend.Behaviour{Body: "answer", Delay: 50 * time.Millisecond})
	f.add("t2", "plain", backend.Behaviour{Body: "answer", Delay: 50 * time.Millisecond})
	c := newSlowCaller(0, time.Second)
	var all sync.WaitGroup
	slow := f.request("GET", "/safe/x", "")
	all.Go(func() { f.serve(c, slow) })
	<-c.stopped
	const others = 60
	for range others / 6 {
		for range 6 { // so that the first request's connection is always in use
			req := f.request("GET", "/safe/x", "")
			all.Go(func() {
				if got := f.do(req); got.status != http.StatusOK {
					t.Errorf("status %d", got.status)
				}
			})
		}
		time.Sleep(55 * time.Millisecond)
	}
	all.Wait()
	f.is.Equal(c.Body.String(), "answer")
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	f.is.Equal(len(f.recorder.attempts), 1+others)
}

// Guards against cutting off a response that is too long to be buffered because its caller reads slowly.
func TestSlowCallerGetsWholeLongResponse(t *testing.T) {
	f := newFixture(t)
	long := strings.Repeat("long ", 200_000)
	f.add("t1", "plain", backend.Behaviour{Body: long})
	f.add("t2", "plain", backend.Behaviour{Body: long})
	c := newSlowCaller(2, time.Second)
	f.serve(c, f.request("GET", "/safe/x", ""))
	f.is.True(c.Body.String() == long)
	f.is.Equal(f.runCount(), 1)
}

// stalledCaller is a caller that never reads; the connection's write deadline ends its writes.
type stalledCaller struct {
	*httptest.ResponseRecorder
	over chan struct{}
}

func (c *stalledCaller) Write([]byte) (int, error) {
	<-c.over
	return 0, os.ErrDeadlineExceeded
}

func (c *stalledCaller) SetWriteDeadline(time.Time) error {
	close(c.over)
	return nil
}

// Guards against hundreds of callers that never read exhausting the host's memory, against aborting
// more of them than needed, and against refusing callers that read meanwhile.
func TestCallersThatNeverReadAreAborted(t *testing.T) {
	const callers, responseBytes, maxBytes = 300, 200 << 10, 8 << 20
	f := newFixture(t)
	cuts := new(atomic.Int64)
	f.unread = unread.New(maxBytes, func() { cuts.Add(1) })
	f.handler.opts.Unread = f.unread
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.unread.Run(ctx)
	f.add("t1", "plain", backend.Behaviour{Body: strings.Repeat("x", responseBytes)})
	var all sync.WaitGroup
	var waiting []*stalledCaller
	for range callers {
		c := &stalledCaller{httptest.NewRecorder(), make(chan struct{})}
		waiting = append(waiting, c)
		req := f.request("GET", "/safe/x", "")
		req.RequestURI = req.URL.RequestURI()
		all.Go(func() { f.serveHTTP(c, req) })
	}
	f.eventually("all callers block their writes", func() bool {
		return f.unread.Held() >= callers*(alwaysBuffered+connectionOverheadBytes)
	})
	f.is.True(f.unread.Held() > maxBytes)
	f.is.True(f.unread.Held() <= maxBytes/2+callers*(alwaysBuffered+1+connectionOverheadBytes)) // few are buffered whole
	f.eventually("the memory held is bounded", func() bool { return f.unread.Held() <= maxBytes })
	f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, http.StatusOK)
	f.is.True(f.unread.Held() > maxBytes-(responseBytes+connectionOverheadBytes)) // no more were aborted than needed
	f.is.True(cuts.Load() > 0)
	for _, c := range waiting { // release the rest
		select {
		case <-c.over:
		default:
			close(c.over)
		}
	}
	all.Wait()
	f.is.Equal(f.unread.Held(), int64(0))
}
