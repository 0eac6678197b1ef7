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

// slowCaller is a caller that reads nothing for a while once it has read some writes.
type slowCaller struct {
	*httptest.ResponseRecorder
	after  int           // writes that it reads at once
	pause  time.Duration // before it reads on
	stands chan struct{} // closed when it reads no more
	once   sync.Once
}

func newSlowCaller(after int, pause time.Duration) *slowCaller {
	return &slowCaller{ResponseRecorder: httptest.NewRecorder(), after: after, pause: pause, stands: make(chan struct{})}
}

func (c *slowCaller) Write(p []byte) (int, error) {
	if c.after--; c.after < 0 {
		c.once.Do(func() {
			close(c.stands)
			time.Sleep(c.pause)
		})
	}
	return c.ResponseRecorder.Write(p)
}

// serve lets the handler answer a request of a slow caller.
func (b *bench) serve(c *slowCaller, req *http.Request) {
	req.RequestURI = req.URL.RequestURI()
	b.handler.ServeHTTP(c, req)
}

// A caller that reads slowly holds its own stream up and nothing else: its target isn't given
// up as silent, which would spend a retry, strike a good target and run the request twice.
func TestSlowCallerIsNotTheTargetsSilence(t *testing.T) {
	b := newBench(t)
	b.add("t1", "engine", backend.Behaviour{Events: 40, Gap: 20 * time.Millisecond})
	b.add("t2", "engine", backend.Behaviour{Events: 40, Gap: 20 * time.Millisecond})
	c := newSlowCaller(3, 2*time.Second)
	b.serve(c, b.request("POST", "/stream/x", "prompt"))
	b.is.Equal(c.Body.String(), events("r1", 40))
	b.is.Equal(b.runs(), 1)
	b.is.Equal(b.recorder.last(t, "r1").Attempts, 1)
}

// A target that cuts a stream which nobody read for long is not held to have failed.
func TestTargetThatCutsAnUnreadStreamIsNotToBlame(t *testing.T) {
	is := is.New(t)
	is.Equal((&call{held: 3 * time.Second}).judgement(broken), target.Abandoned)
	is.Equal((&call{held: 100 * time.Millisecond}).judgement(broken), target.Broken)
}

// A target that answered has ended its work, however long its caller takes to read: its
// connection serves other requests, and isn't cut under them as if the target were silent.
func TestSlowCallerOfAWholeAnswerHoldsNoTarget(t *testing.T) {
	b := newBench(t)
	b.add("t1", "plain", backend.Behaviour{Body: "answer", Delay: 50 * time.Millisecond})
	b.add("t2", "plain", backend.Behaviour{Body: "answer", Delay: 50 * time.Millisecond})
	c := newSlowCaller(0, time.Second)
	var all sync.WaitGroup
	slow := b.request("GET", "/safe/x", "")
	all.Go(func() { b.serve(c, slow) })
	<-c.stands
	const others = 60
	for range others / 6 {
		for range 6 { // so that the first request's connection is in use all the time
			req := b.request("GET", "/safe/x", "")
			all.Go(func() {
				if got := b.do(req); got.status != http.StatusOK {
					t.Errorf("status %d", got.status)
				}
			})
		}
		time.Sleep(55 * time.Millisecond)
	}
	all.Wait()
	b.is.Equal(c.Body.String(), "answer")
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	b.is.Equal(len(b.recorder.tries), 1+others)
}

// Nor is an answer cut that is too long to be read whole first.
func TestSlowCallerOfALongAnswerGetsAllOfIt(t *testing.T) {
	b := newBench(t)
	long := strings.Repeat("long ", 200_000)
	b.add("t1", "plain", backend.Behaviour{Body: long})
	b.add("t2", "plain", backend.Behaviour{Body: long})
	c := newSlowCaller(2, time.Second)
	b.serve(c, b.request("GET", "/safe/x", ""))
	b.is.True(c.Body.String() == long)
	b.is.Equal(b.runs(), 1)
}

// stalled is a caller that never reads; its connection's write deadline ends that.
type stalled struct {
	*httptest.ResponseRecorder
	over chan struct{}
}

func (c *stalled) Write([]byte) (int, error) {
	<-c.over
	return 0, os.ErrDeadlineExceeded
}

func (c *stalled) SetWriteDeadline(time.Time) error {
	close(c.over)
	return nil
}

// Hundreds of callers that stop reading for good hold a bounded part of the host's memory. Those
// that waited longest are cut; the rest are not, and who reads is served meanwhile.
func TestCallersThatNeverReadAreCut(t *testing.T) {
	const callers, answer, most = 300, 200 << 10, 8 << 20
	b := newBench(t)
	cuts := new(atomic.Int64)
	b.unread = unread.New(most, func() { cuts.Add(1) })
	b.handler.opts.Unread = b.unread
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.unread.Run(ctx)
	b.add("t1", "plain", backend.Behaviour{Body: strings.Repeat("x", answer)})
	var all sync.WaitGroup
	var waiting []*stalled
	for range callers {
		c := &stalled{httptest.NewRecorder(), make(chan struct{})}
		waiting = append(waiting, c)
		req := b.request("GET", "/safe/x", "")
		req.RequestURI = req.URL.RequestURI()
		all.Go(func() { b.handler.ServeHTTP(c, req) })
	}
	b.eventually("all callers wait", func() bool {
		return b.unread.Held() >= callers*(leastWhole+connectionBytes)
	})
	b.is.True(b.unread.Held() > most)
	b.is.True(b.unread.Held() <= most/2+callers*(leastWhole+1+connectionBytes)) // few are held whole
	b.eventually("what is held is bounded", func() bool { return b.unread.Held() <= most })
	b.is.Equal(b.do(b.request("GET", "/safe/x", "")).status, http.StatusOK)
	b.is.True(b.unread.Held() > most-(answer+connectionBytes)) // no more were cut than needed
	b.is.True(cuts.Load() > 0)
	for _, c := range waiting { // the rest goes
		select {
		case <-c.over:
		default:
			close(c.over)
		}
	}
	all.Wait()
	b.is.Equal(b.unread.Held(), int64(0))
}
