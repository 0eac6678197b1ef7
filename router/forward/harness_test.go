package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/capacity"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/overload"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/routing"
	"maststage.dev/router/streampace"
	"maststage.dev/router/streamversion"
	"maststage.dev/router/target"
	"maststage.dev/router/unread"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/until"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// testHeaders are header names of these tests only.
var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Organisation: "X-Org", ExpectTarget: "X-Expect",
	Usage: "X-Tokens", PromptParts: "X-Parts", LastEventID: "Last-Event-Id", Resumes: "X-Resumes", Priority: "X-Priority",
	Stamp: "X-Stamp", NotRun: "X-Not-Run", Limit: "X-Limit", Leaving: "X-Leaving", RetryAfter: "Retry-After", Internal: []string{"X-Memory"},
}

var backendNames = backend.Names{
	RequestID: "X-Id", ExpectTarget: "X-Expect", LastEventID: "Last-Event-Id", Stamp: "X-Stamp", NotRun: "X-Not-Run", Limit: "X-Limit",
	Leaving: "X-Leaving",
}

// fakeBudgets reserves tokens in allocator, or fails with err.
type fakeBudgets struct {
	allocator *prepaid.Allocator
	err       error
}

func (f *fakeBudgets) ReserveFor(ctx context.Context, q prepaid.Request) (*prepaid.Reservation, error) {
	if f.err != nil {
		return nil, f.err
	}
	return f.allocator.ReserveFor(ctx, q)
}

func (f *fakeBudgets) Holding(string) (prepaid.Holding, bool) { return prepaid.Holding{}, false }

// recorder records what the handler reports.
type recorder struct {
	mu       sync.Mutex
	outcomes []Outcome
	attempts []Attempt
	exits    []TargetExit

	resumptions []StreamResumption
}

func (r *recorder) AttemptEnded(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *recorder) RequestEnded(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *recorder) StreamResumed(s StreamResumption) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumptions = append(r.resumptions, s)
}

func (r *recorder) TargetExited(e TargetExit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exits = append(r.exits, e)
}

// waitOutcome waits for the outcome of a request.
func (r *recorder) waitOutcome(t *testing.T, id string) Outcome {
	t.Helper()
	for range 500 {
		r.mu.Lock()
		for _, o := range r.outcomes {
			if o.RequestID == id {
				r.mu.Unlock()
				return o
			}
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("request %s did not end", id)
	return Outcome{}
}

// logAttempts logs the attempts of a failed test.
func (f *fixture) logAttempts() {
	if !f.t.Failed() {
		return
	}
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	for _, a := range f.recorder.attempts {
		f.t.Logf("attempt %d at %s: %s after %v, resumed after %q: %v", a.Number, a.Target, a.Result, a.Duration, a.ResumedAfter, a.Err)
	}
	for _, e := range f.recorder.exits {
		f.t.Logf("%s exited, %v after its first event", e.Target, e.SinceFirstEvent)
	}
}

// noPeers stands for the other hosts of a single host.
type noPeers struct{}

func (noPeers) CountingHosts(quarantine.Kind, quarantine.Digest) (others []string, place int) {
	return nil, 0
}
func (noPeers) Report(context.Context, string, []quarantine.Report) error { return nil }
func (noPeers) Cleared(context.Context, quarantine.Digest) bool           { return false }
func (noPeers) Broadcast(context.Context, quarantine.Notice)              {}

func (noPeers) Survived(context.Context, quarantine.Digest) (time.Duration, bool) { return 0, false }

func (noPeers) Holders(streamversion.Key) []string { return nil }
func (noPeers) Tell(context.Context, string, []streamversion.Announcement) error {
	return nil
}
func (noPeers) Ask(context.Context, string, streamversion.Question) (streamversion.Answer, error) {
	return streamversion.Answer{}, nil
}

// fixture is a handler with a caller and backends.
type fixture struct {
	t          *testing.T
	is         *is.I
	handler    *Handler
	server     *httptest.Server
	targets    *target.Registry
	budgets    *fakeBudgets
	recorder   *recorder
	streamPace *streampace.Estimator
	overload   *overload.Monitor
	capacity   *capacity.Host
	unread     *unread.Tracker
	guard      *quarantine.Guard
	streams    *streamversion.Directory
	backends   map[string]*backend.Backend
	draining   atomic.Bool
	admits     atomic.Bool
	endOfHost  atomic.Pointer[time.Time] // nil: it isn't stopping
	configAge  atomic.Int64              // a time.Duration
	nextID     int
}

const testConfig = `{"version":7,
 "routes":[
  {"name":"safe","host":"a.example","path_prefix":"/safe/","kind":"safe","timeout_ms":2000,"target_latency_ms":120,"service":"plain","max_attempts":2},
  {"name":"unsafe","host":"a.example","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":600,"target_latency_ms":300,"service":"plain","max_attempts":3},
  {"name":"stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"gap_target_ms":100,"service":"engine","max_attempts":3,"resumable":true,"priority":1},
  {"name":"once","host":"a.example","path_prefix":"/once/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"gap_target_ms":100,"service":"engine","max_attempts":2},
  {"name":"open","host":"a.example","path_prefix":"/open/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1,"public":true}],
 "services":[{"name":"plain","max_conns":100},{"name":"engine","max_conns":100,"engine":{"slots":4,"stride":5,"kv_capacity":100000}}],
 "limits":{"max_body_bytes":100000},
 "organisations":[{"name":"org","keys":["k1","k2"],"priority":1}]}`

// testConfigAgeLimit is the age above which the configuration of the tests counts as unconfirmed.
const testConfigAgeLimit = time.Second

// testLinkMbps is a link that no test fills unless it means to.
const testLinkMbps = 100

func newFixture(t *testing.T) *fixture {
	f := newFixtureWithoutServer(t)
	f.server = startServer(t, f.handler, nil)
	return f
}

// startServer serves callers as a node does. prepare changes the server before it starts; nil: it is as it is.
func startServer(t *testing.T, h http.Handler, prepare func(s *httptest.Server)) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = ConnContext
	if prepare != nil {
		prepare(s)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// newFixtureWithoutServer returns a fixture whose callers are not served.
func newFixtureWithoutServer(t *testing.T) *fixture {
	f := &fixture{t: t, is: is.New(t), recorder: &recorder{}, streamPace: streampace.New(), overload: overload.New(), capacity: capacity.New(testLinkMbps, func(time.Time) bool { return false }), unread: unread.New(1<<20, func() {}), budgets: &fakeBudgets{}, backends: map[string]*backend.Backend{}}
	f.admits.Store(true)
	f.targets = target.NewRegistry(target.Options{
		Domain: "z1", DrainLimit: time.Second, DialTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute, MaxIdle: 8,
	})
	one := func() int { return 1 }
	f.budgets.allocator = prepaid.New(prepaid.Options{Hosts: one, MaxWait: 20 * time.Millisecond})
	f.guard = quarantine.New(quarantine.Options{
		Host: "h1", Write: func(context.Context, eventlog.Record) error { return nil },
		OnQuarantine: func(d quarantine.Digest) { f.handler.AbortWaiting(d) }, Count: func(string) {}, Go: func(_ string, run func()) { go run() },
	})
	f.guard.SetPeers(noPeers{})
	f.streams = streamversion.New(streamversion.Options{
		Versions: f.targets.RecentVersions, ConfirmedSince: func(time.Time) bool { return true }, Count: func(string) {}, Go: func(_ string, run func()) { go run() },
	})
	f.streams.SetPeers(noPeers{})
	f.handler = New(Options{
		Quarantine: f.guard, Unread: f.unread, StreamVersions: f.streams,
		Names: testHeaders, Targets: f.targets, Budgets: f.budgets, Observer: f.recorder, StreamPace: f.streamPace, Overload: f.overload, Capacity: f.capacity,
		Retries:          retrybudget.NewSet(retrybudget.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, one, time.Time{}),
		CloseConnections: func() bool { return f.draining.Load() || f.overload.IsUnready(time.Now()) }, MayBegin: f.mayBegin, EndsAt: f.endsAt,
		ConfigAge:      func() time.Duration { return time.Duration(f.configAge.Load()) },
		ConfigAgeLimit: func() time.Duration { return testConfigAgeLimit },
	})
	f.configure(testConfig)
	return f
}

// mayBegin implements Options.MayBegin; it refuses as a stopping host does unless admits is set.
func (f *fixture) mayBegin(context.Context, Arrival) Kind {
	if f.admits.Load() {
		return OK
	}
	return Stopping
}

// endsAt implements Options.EndsAt.
func (f *fixture) endsAt() time.Time {
	if at := f.endOfHost.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (f *fixture) configure(text string) {
	f.t.Helper()
	config, err := routing.Parse([]byte(text))
	f.is.NoErr(err)
	f.handler.SetConfig(config)
}

// add starts a backend of a service and registers it as a target.
func (f *fixture) add(id, service string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	e, err := backend.Start(id, backendNames, func(backend.Run) backend.Behaviour { return how })
	f.is.NoErr(err)
	f.t.Cleanup(e.Close)
	f.backends[id] = e
	f.targets.Put(target.Entry{ID: id, Service: service, Address: e.Address(), Domain: "z1", Slots: 4})
	return e
}

// request makes a request with the next id and a key.
func (f *fixture) request(method, path, body string) *http.Request {
	f.t.Helper()
	f.nextID++
	req, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	f.is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("X-Id", fmt.Sprintf("r%d", f.nextID))
	req.Header.Set("X-Key", "k1")
	req.Header.Set("X-Tokens", "100,50")
	return req
}

// lastID returns the id of the newest request.
func (f *fixture) lastID() string { return fmt.Sprintf("r%d", f.nextID) }

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	closed bool  // the connection will be closed
	err    error // no complete response arrived
}

func (f *fixture) do(req *http.Request) reply {
	f.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), closed: resp.Close, err: err}
}

// runCount returns the number of runs at all backends.
func (f *fixture) runCount() int {
	n := 0
	for _, e := range f.backends {
		n += len(e.Runs())
	}
	return n
}

// serveHTTP calls the handler as http.Server does, which recovers from an aborted response.
func (f *fixture) serveHTTP(w http.ResponseWriter, req *http.Request) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	f.handler.ServeHTTP(w, req)
}

// running lists the backends that have run a request.
func (f *fixture) running() []*backend.Backend {
	var list []*backend.Backend
	for _, e := range f.backends {
		if len(e.Runs()) > 0 {
			list = append(list, e)
		}
	}
	return list
}

func (f *fixture) arrivals() int {
	n := 0
	for _, e := range f.backends {
		n += e.Arrivals()
	}
	return n
}

// events returns the body of a complete stream.
func events(id string, n int) string {
	var s strings.Builder
	for i := 1; i <= n; i++ {
		s.WriteString(backend.Event(id, i))
	}
	return s.String()
}

// eventually waits until a condition holds.
func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	until.True(f.t, what, ok)
}

// deadAddress returns an address on which nobody listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
