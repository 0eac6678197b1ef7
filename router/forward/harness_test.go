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

	"maststage.dev/router/eventlog"
	"maststage.dev/router/overload"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/routing"
	"maststage.dev/router/streampace"
	"maststage.dev/router/target"
	"maststage.dev/router/unread"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/until"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// testHeaders are the names of these tests; the platform's are its own matter.
var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Organisation: "X-Org", ExpectTarget: "X-Expect",
	Usage: "X-Tokens", PromptParts: "X-Parts", LastEventID: "Last-Event-Id", Priority: "X-Priority",
	Stamp: "X-Stamp", NotRun: "X-Not-Run", Limit: "X-Limit", RetryAfter: "Retry-After", Internal: []string{"X-Memory"},
}

var backendNames = backend.Names{
	RequestID: "X-Id", ExpectTarget: "X-Expect", LastEventID: "Last-Event-Id", Stamp: "X-Stamp", NotRun: "X-Not-Run", Limit: "X-Limit",
}

// fakeBudgets counts reservations; free bounds them if it is not negative.
type fakeBudgets struct {
	treasury *prepaid.Allocator
	err      error
}

func (f *fakeBudgets) ReserveFor(ctx context.Context, q prepaid.Request) (*prepaid.Reservation, error) {
	if f.err != nil {
		return nil, f.err
	}
	return f.treasury.ReserveFor(ctx, q)
}

func (f *fakeBudgets) Holding(string) (prepaid.Holding, bool) { return prepaid.Holding{}, false }

// recorder keeps what the handler reports.
type recorder struct {
	mu     sync.Mutex
	ends   []Outcome
	tries  []Attempt
	breaks []TargetExit
}

func (r *recorder) AttemptEnded(t Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries = append(r.tries, t)
}

func (r *recorder) RequestEnded(e Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, e)
}

func (r *recorder) TargetExited(b TargetExit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, b)
}

// last waits for the end of the request.
func (r *recorder) last(t *testing.T, id string) Outcome {
	t.Helper()
	for range 500 {
		r.mu.Lock()
		for _, e := range r.ends {
			if e.RequestID == id {
				r.mu.Unlock()
				return e
			}
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("request %s did not end", id)
	return Outcome{}
}

// tellTries logs how the tries of a failed test went.
func (b *bench) tellTries() {
	if !b.t.Failed() {
		return
	}
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	for _, try := range b.recorder.tries {
		b.t.Logf("try %d at %s: %s after %v, behind %q: %v", try.Number, try.Target, try.Result, try.Duration, try.ResumedAfter, try.Err)
	}
	for _, broke := range b.recorder.breaks {
		b.t.Logf("end of %s seen, ran %v", broke.Target, broke.SinceFirstEvent)
	}
}

// nobody is the other hosts of a host that is alone.
type nobody struct{}

func (nobody) CountingHosts(quarantine.Digest) (others []string, place int) { return nil, 0 }
func (nobody) Report(context.Context, string, []quarantine.Report) error    { return nil }
func (nobody) Cleared(context.Context, quarantine.Digest) bool              { return false }
func (nobody) Broadcast(context.Context, quarantine.Notice)                 {}

// bench is a handler between a caller and backends.
type bench struct {
	t        *testing.T
	is       *is.I
	handler  *Handler
	server   *httptest.Server
	targets  *target.Registry
	budgets  *fakeBudgets
	recorder *recorder
	meter    *streampace.Estimator
	overload *overload.Monitor
	unread   *unread.Tracker
	guard    *quarantine.Guard
	backends map[string]*backend.Backend
	draining atomic.Bool
	takes    atomic.Bool
	nextID   int
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

func newBench(t *testing.T) *bench {
	b := &bench{t: t, is: is.New(t), recorder: &recorder{}, meter: streampace.New(), overload: overload.New(), unread: unread.New(1<<20, func() {}), budgets: &fakeBudgets{}, backends: map[string]*backend.Backend{}}
	b.takes.Store(true)
	b.targets = target.NewRegistry(target.Options{
		Domain: "z1", DrainLimit: time.Second, DialTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute, MaxIdle: 8,
	})
	one := func() int { return 1 }
	b.budgets.treasury = prepaid.New(prepaid.Options{Hosts: one, MaxWait: 20 * time.Millisecond})
	b.guard = quarantine.New(quarantine.Options{
		Host: "h1", Write: func(context.Context, eventlog.Record) error { return nil },
		OnQuarantine: func(d quarantine.Digest) { b.handler.AbortWaiting(d) }, Count: func(string) {}, Go: func(_ string, f func()) { go f() },
	})
	b.guard.SetPeers(nobody{})
	b.handler = New(Options{
		Quarantine: b.guard, Unread: b.unread,
		Names: testHeaders, Targets: b.targets, Budgets: b.budgets, Observer: b.recorder, Meter: b.meter, Overload: b.overload,
		Retries:          retrybudget.NewSet(retrybudget.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, one, time.Time{}),
		CloseConnections: func() bool { return b.draining.Load() || b.overload.IsUnready(time.Now()) }, MayBegin: b.mayBegin,
	})
	b.configure(testConfig)
	b.server = httptest.NewServer(b.handler)
	t.Cleanup(b.server.Close)
	return b
}

// mayBegin says whether requests may begin, as a host that stops does.
func (b *bench) mayBegin(context.Context, time.Time, bool) Kind {
	if b.takes.Load() {
		return OK
	}
	return Stopping
}

func (b *bench) configure(text string) {
	b.t.Helper()
	config, err := routing.Parse([]byte(text))
	b.is.NoErr(err)
	b.handler.SetConfig(config)
}

// add starts a backend of a service and lists it.
func (b *bench) add(id, service string, how backend.Behaviour) *backend.Backend {
	b.t.Helper()
	e, err := backend.Start(id, backendNames, func(backend.Run) backend.Behaviour { return how })
	b.is.NoErr(err)
	b.t.Cleanup(e.Close)
	b.backends[id] = e
	b.targets.Put(target.Entry{ID: id, Service: service, Address: e.Address(), Domain: "z1", Slots: 4})
	return e
}

// request makes a request with an id and a key.
func (b *bench) request(method, path, body string) *http.Request {
	b.t.Helper()
	b.nextID++
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	b.is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("X-Id", fmt.Sprintf("r%d", b.nextID))
	req.Header.Set("X-Key", "k1")
	req.Header.Set("X-Tokens", "100,50")
	return req
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	closed bool  // the connection is to be closed
	err    error // the body broke off
}

func (b *bench) do(req *http.Request) reply {
	b.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), closed: resp.Close, err: err}
}

// runs counts the runs of all backends.
func (b *bench) runs() int {
	n := 0
	for _, e := range b.backends {
		n += len(e.Runs())
	}
	return n
}

// running lists the backends that have run a request by now.
func (b *bench) running() []*backend.Backend {
	var list []*backend.Backend
	for _, e := range b.backends {
		if len(e.Runs()) > 0 {
			list = append(list, e)
		}
	}
	return list
}

func (b *bench) arrivals() int {
	n := 0
	for _, e := range b.backends {
		n += e.Arrivals()
	}
	return n
}

// events is the body of a whole stream.
func events(id string, n int) string {
	var s strings.Builder
	for i := 1; i <= n; i++ {
		s.WriteString(backend.Event(id, i))
	}
	return s.String()
}

// eventually waits until a condition holds.
func (b *bench) eventually(what string, ok func() bool) {
	b.t.Helper()
	until.True(b.t, what, ok)
}

// deadAddress is one on which nobody listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
