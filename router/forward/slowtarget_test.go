package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/target"
	"maststage.dev/router/unread"
	"maststage.dev/router/unsent"
	"maststage.dev/standin/backend"
)

const (
	longBody       = 50_000
	longBodyMemory = longBody + connectionOverheadBytes
)

// slowReader is a target that reads request bodies only while it is open, and then in pieces with a pause
// before each.
type slowReader struct {
	open  chan struct{}
	over  chan struct{} // closed when the test ends
	pause time.Duration
	runs  atomic.Int64
}

func (s *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.open:
	case <-s.over:
		return
	}
	for {
		time.Sleep(s.pause)
		if _, err := io.CopyN(io.Discard, r.Body, 10_000); err == io.EOF {
			break
		} else if err != nil {
			return
		}
	}
	s.runs.Add(1)
	w.Header().Set("X-Stamp", "1")
	_, _ = io.WriteString(w, "done")
}

// addSlowReader starts a slowReader that reads nothing until its channel is closed. Its connections buffer
// as little as ones over a network.
func (f *fixture) addSlowReader(id string, pause time.Duration) *slowReader {
	f.t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	s := &slowReader{open: make(chan struct{}), over: make(chan struct{}), pause: pause}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: s}}
	server.Start()
	f.t.Cleanup(func() {
		close(s.over)
		server.CloseClientConnections()
		server.Close()
	})
	f.targets.Put(target.Entry{ID: id, Service: "plain", Address: listener.Addr().String(), Domain: "z1", Slots: 4})
	return s
}

// uploadConfig has routes whose targets may be silent for long.
const uploadConfig = `{"version":8,
 "routes":[
  {"name":"safe","host":"a.example","path_prefix":"/safe/","kind":"safe","timeout_ms":20000,"target_latency_ms":8000,"service":"plain","max_attempts":3},
  {"name":"unsafe","host":"a.example","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":20000,"target_latency_ms":8000,"service":"plain","max_attempts":3}],
 "services":[{"name":"plain","max_conns":1000}],
 "limits":{"max_body_bytes":100000},
 "organisations":[{"name":"org","keys":["k1"],"priority":1}]}`

// newUploadFixture returns a fixture that bounds the unread bodies.
func newUploadFixture(t *testing.T, limits unsent.Limits) (f *fixture, tracker *unsent.Tracker, aborted *atomic.Int64) {
	f = newFixture(t)
	f.configure(uploadConfig)
	aborted = new(atomic.Int64)
	tracker = unsent.New(limits, func() { aborted.Add(1) })
	f.handler.opts.Unsent = tracker
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tracker.Run(ctx)
	return f, tracker, aborted
}

// upload starts requests with long bodies, one after the other; done counts those that were answered with success.
func (f *fixture) upload(path string, n int, every time.Duration, done *atomic.Int64) *sync.WaitGroup {
	var all sync.WaitGroup
	for range n {
		time.Sleep(every)
		req := f.request("POST", path, strings.Repeat("x", longBody))
		all.Go(func() {
			if f.do(req).status == http.StatusOK {
				done.Add(1)
			}
		})
	}
	return &all
}

// Load test: hundreds of long bodies arrive while three of four targets read nothing. The others must not wait, what is
// held stays within the bound, and the bodies that wait are moved or, once the targets read again, served there.
func TestBodiesForTargetsThatReadNothingHoldUpNoOthers(t *testing.T) {
	const early, requests = 24, 400
	limits := unsent.Limits{Total: 2 << 20, PerTarget: 512 << 10}
	f, tracker, aborted := newUploadFixture(t, limits)
	var stuck []*slowReader
	for _, id := range []string{"stuck1", "stuck2", "stuck3"} {
		stuck = append(stuck, f.addSlowReader(id, 0))
	}
	var done, doneEarly atomic.Int64
	// On a busy machine the last of them may be refused: by then the targets count as ones that don't read.
	first := f.upload("/safe/x", early, 0, &doneEarly)
	f.eventually("bodies wait at the stuck targets", func() bool { return tracker.Held() > limits.Total/2 })
	f.add("good", "plain", backend.Behaviour{Body: "done"})
	start := time.Now()
	all := f.upload("/safe/x", requests, 5*time.Millisecond, &done)
	f.eventually("all but the bodies at stuck targets are served", func() bool {
		f.is.True(tracker.Held() <= limits.Total)
		return done.Load() >= requests-3*limits.PerTarget/longBodyMemory
	})
	served := time.Since(start)
	f.eventually("bodies beyond half of the bound are moved", func() bool { return tracker.Held() <= limits.Total/2 })
	t.Logf("%d bodies moved, %d served before that in %v", aborted.Load(), done.Load(), served)
	f.is.True(aborted.Load() > 0)
	f.is.Equal(f.do(f.request("POST", "/unsafe/x", strings.Repeat("x", longBody))).status, http.StatusOK)
	for _, s := range stuck {
		close(s.open)
	}
	first.Wait()
	all.Wait()
	f.is.Equal(done.Load(), int64(requests))
	f.is.True(doneEarly.Load()*longBodyMemory > limits.Total/2)
	f.is.Equal(tracker.Held(), int64(0))
}

// Guards against a request that runs twice, or whose caller is told that it did not run, since it was
// aborted when its target had a part of it.
func TestPartlyReadBodyIsNotSentAgainUnlessRepeatable(t *testing.T) {
	limits := unsent.Limits{Total: 2 * longBodyMemory, PerTarget: longBodyMemory}
	for _, c := range []struct {
		path     string
		status   int
		attempts int
	}{{"/unsafe/x", finalResponses[TargetFailed].status, 1}, {"/safe/x", http.StatusOK, 2}} {
		f, tracker, aborted := newUploadFixture(t, limits)
		f.addSlowReader("stuck", 0)
		body, ok := tracker.Begin("elsewhere", longBodyMemory, time.Now())
		f.is.True(ok)
		req := f.request("POST", c.path, strings.Repeat("x", longBody))
		replies := make(chan reply, 1)
		go func() { replies <- f.do(req) }()
		f.eventually("the body is on its way", func() bool { return tracker.Held() == 2*longBodyMemory })
		f.add("good", "plain", backend.Behaviour{Body: "done"})
		f.is.Equal((<-replies).status, c.status)
		f.is.Equal(f.recorder.waitOutcome(t, req.Header.Get("X-Id")).Attempts, c.attempts)
		f.is.Equal(aborted.Load(), int64(1))
		body.Read()
		f.is.Equal(tracker.Held(), int64(0))
	}
}

// Guards against a target that reads slowly and loses its requests, or gets none.
func TestTargetThatReadsSlowlyKeepsItsRequests(t *testing.T) {
	limits := unsent.Limits{Total: 80 * longBodyMemory, PerTarget: 20 * longBodyMemory}
	f, tracker, aborted := newUploadFixture(t, limits)
	slow := f.addSlowReader("slow", 20*time.Millisecond)
	close(slow.open)
	f.add("good", "plain", backend.Behaviour{Body: "done"})
	var done atomic.Int64
	all := f.upload("/unsafe/x", 100, 5*time.Millisecond, &done)
	all.Wait()
	f.is.Equal(done.Load(), int64(100))
	f.is.True(slow.runs.Load() > 0)
	f.is.Equal(aborted.Load(), int64(0))
	f.is.Equal(tracker.Held(), int64(0))
}

// Guards against a target that is avoided although it reads again, and against a refusal of requests that
// claims that they ran while all targets read nothing.
func TestTargetThatReadsAgainGetsLongBodies(t *testing.T) {
	limits := unsent.Limits{Total: 8 * longBodyMemory, PerTarget: 4 * longBodyMemory}
	f, tracker, _ := newUploadFixture(t, limits)
	only := f.addSlowReader("only", 0)
	var done atomic.Int64
	all := f.upload("/unsafe/x", 4, 0, &done)
	f.eventually("the target has too many unread bodies", func() bool { return tracker.Held() == 4*longBodyMemory })
	time.Sleep(300 * time.Millisecond) // until it counts as one that does not read
	refused := f.request("POST", "/unsafe/x", strings.Repeat("x", longBody))
	f.is.Equal(f.do(refused).status, http.StatusServiceUnavailable)
	f.is.Equal(f.recorder.waitOutcome(t, refused.Header.Get("X-Id")).Attempts, 0)
	close(only.open)
	all.Wait()
	f.is.Equal(f.do(f.request("POST", "/unsafe/x", strings.Repeat("x", longBody))).status, http.StatusOK)
	f.is.Equal(done.Load(), int64(4))
	f.is.Equal(only.runs.Load(), int64(5)) // the refused one did not run
}

// Guards against callers and targets that read nothing at once and hold up others together.
func TestSlowCallersBesideSlowTargets(t *testing.T) {
	is := is.New(t)
	limits := unsent.Limits{Total: 40 * longBodyMemory, PerTarget: 4 * longBodyMemory}
	f, tracker, _ := newUploadFixture(t, limits)
	f.handler.opts.Unread = unread.New(1<<20, func() {})
	stuck := f.addSlowReader("stuck", 0)
	f.add("good", "plain", backend.Behaviour{Body: strings.Repeat("x", 20_000)})
	var all sync.WaitGroup
	var callers []*stalledCaller
	for range 50 {
		c := &stalledCaller{httptest.NewRecorder(), make(chan struct{})}
		callers = append(callers, c)
		req := f.request("POST", "/safe/x", strings.Repeat("x", longBody))
		req.RequestURI = req.URL.RequestURI()
		all.Go(func() { f.serveHTTP(c, req) })
		time.Sleep(5 * time.Millisecond)
	}
	f.eventually("all other callers have their answers before them", func() bool {
		return int64(f.runCount())+tracker.Held()/longBodyMemory == 50
	})
	is.True(tracker.Held() > 0 && tracker.Held() <= limits.Total)
	is.Equal(f.do(f.request("POST", "/safe/x", strings.Repeat("x", longBody))).status, http.StatusOK)
	close(stuck.open)
	for _, c := range callers {
		close(c.over)
	}
	all.Wait()
	is.Equal(tracker.Held(), int64(0))
	is.Equal(f.handler.opts.Unread.Held(), int64(0))
}
