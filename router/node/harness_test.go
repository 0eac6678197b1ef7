package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/forward"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/suspend"
	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

const (
	topicConfig  = "config"
	topicTargets = "targets"
	topicHosts   = "hosts"
	topicBudgets = "budgets"
	topicArchive = "copies"
	topicStreams = "streams"
	topicUses    = "keyed.uses"
	topicStatus  = "status"

	rolloutPrefix = "rollout/"

	evacuationPrefix = "evacuate/"
)

var headers = forward.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Organisation: "X-Org", ExpectTarget: "X-Expect",
	Usage: "X-Tokens", PromptParts: "X-Parts", LastEventID: "Last-Event-Id", Resumes: "X-Resumes", Priority: "X-Priority",
	Stamp: "X-Stamp", NotRun: "X-Not-Run", Limit: "X-Limit", RetryAfter: "Retry-After",
}

var names = backend.Names{
	RequestID: "X-Id", ExpectTarget: "X-Expect", LastEventID: "Last-Event-Id", Stamp: "X-Stamp", NotRun: "X-Not-Run", Limit: "X-Limit",
}

// testFleet is a number of nodes on one log, with back ends.
type testFleet struct {
	t      *testing.T
	is     *is.I
	log    *memlog.Log
	nextID atomic.Int64
	// addressFor returns where a host finds a target; nil: where its entry says.
	addressFor func(host, target, address string) string
	bounds     string // further settings of the section
}

func newFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, is: is.New(t), log: memlog.New()}
}

// host is one node of a fleet.
type host struct {
	*Node
	name string
	done chan struct{} // closed when the node has stopped
	kill context.CancelFunc
}

// freeAddress returns an unused address. Its IP is random: a port of 127.0.0.1 may become that of another
// program's outgoing connection before the host listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	ip := net.IPv4(127, byte(1+rand.IntN(19)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (f *testFleet) settings(name string, seeds ...string) *settings.Settings {
	f.t.Helper()
	text := fmt.Sprintf(`[host]
name = %s
domain = z1
listen = %s
ready_listen = %s
peer_listen = %s
metrics_listen = %s
seeds = %s
[log]
address = 127.0.0.1:1
partitions = 2
long_poll_ms = 100
timeout_ms = 200
pace_ms = 10
[bounds]
grace_s = 2
%s[budgets]
interval_ms = 50
wait_ms = 100
[output]
`, name, freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), strings.Join(seeds, ","), f.bounds)
	path := filepath.Join(f.t.TempDir(), name+".ini")
	f.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	cfg, err := settings.Load(path)
	f.is.NoErr(err)
	return cfg
}

var incarnations atomic.Int64

func (f *testFleet) start(cfg *settings.Settings) *host {
	f.t.Helper()
	return f.startWith(cfg, suspend.SystemClocks())
}

func (f *testFleet) startWith(cfg *settings.Settings, clocks suspend.Clocks) *host {
	f.t.Helper()
	env := Environment{
		Log: f.log.Host(cfg.Host.Name), Headers: headers,
		ConfigTopic: topicConfig, TargetsTopic: topicTargets, HostsTopic: topicHosts, BudgetsTopic: topicBudgets,
		ArchiveTopic: topicArchive, StreamsTopic: topicStreams, UsesTopic: topicUses, MaxRecordBytes: 1 << 18,
		ConfigKey: "config", ReadyPath: "/ready",
		DecodeConfig: routing.Parse,
		DecodeTarget: func(id string, value []byte) (target.Entry, error) {
			e := target.Entry{ID: id}
			err := json.Unmarshal(value, &e)
			if f.addressFor != nil {
				e.Address = f.addressFor(cfg.Host.Name, id, e.Address)
			}
			return e, err
		},
		StatusTopic: topicStatus,
		DecodeOrder: decodeOrder, EncodeState: encodeState, DecodeState: decodeState,
		DecodeEvacuation: func(rec eventlog.Record) (e routing.Evacuation, ok bool, err error) {
			domain, ok := strings.CutPrefix(rec.Key, evacuationPrefix)
			if string(rec.Value) == "garbled" {
				err = errors.New("garbled")
			}
			return routing.Evacuation{Domain: domain, InForce: len(rec.Value) > 0}, ok, err
		},
	}
	n := newWithClocks(cfg, env, fmt.Sprint(incarnations.Add(1)), clocks)
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{Node: n, name: cfg.Host.Name, done: make(chan struct{}), kill: cancel}
	go func() {
		defer close(h.done)
		if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			f.t.Errorf("%s stopped: %v", cfg.Host.Name, err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-h.done
		if n.server != nil {
			_ = n.server.Close()
		}
		for _, s := range n.auxServers {
			_ = s.Close()
		}
	})
	return h
}

func (f *testFleet) publish(text string) {
	f.log.Put(eventlog.Partition{Topic: topicConfig}, "config", []byte(text))
}

func (f *testFleet) list(e target.Entry) {
	value, err := json.Marshal(e)
	f.is.NoErr(err)
	f.log.Put(eventlog.Partition{Topic: topicTargets}, e.ID, value)
}

// evacuate orders or withdraws the evacuation of a failure domain.
func (f *testFleet) evacuate(domain string, inForce bool) {
	var value []byte
	if inForce {
		value = []byte("{}")
	}
	f.log.Put(eventlog.Partition{Topic: topicConfig}, evacuationPrefix+domain, value)
}

func (f *testFleet) unlist(id string) { f.log.Put(eventlog.Partition{Topic: topicTargets}, id, nil) }

// backend starts a back end of the service s and lists it.
func (f *testFleet) backend(id string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	return f.backendIn("z1", id, how)
}

// backendIn is backend in a failure domain.
func (f *testFleet) backendIn(domain, id string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	b, err := backend.Start(id, names, func(backend.Run) backend.Behaviour { return how })
	f.is.NoErr(err)
	f.t.Cleanup(b.Close)
	f.list(target.Entry{ID: id, Service: "s", Address: b.Address(), Domain: domain, Slots: 4})
	return b
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	until.True(f.t, what, ok)
}

func (f *testFleet) ready(h *host) {
	f.t.Helper()
	f.eventually(h.name+" is ready", func() bool {
		resp, err := http.Get("http://" + h.cfg.Host.ReadyListen + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

type reply struct {
	id     string
	status int
	body   string
	stamp  string
	err    error
}

// call sends a request through a host.
func (f *testFleet) call(h *host, path, key string) reply { return f.callWith(h, path, key, nil) }

// callWith is call with further headers.
func (f *testFleet) callWith(h *host, path, key string, more http.Header) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.cfg.Host.Listen+path, strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "a.example"
	id := fmt.Sprintf("r%d", f.nextID.Add(1))
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Tokens", "60,40")
	maps.Copy(req.Header, more)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, body: string(body), stamp: resp.Header.Get("X-Stamp"), err: err}
}

func config(version int, routes string, more string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","max_conns":60},{"name":"s2"},{"name":"e","engine":{"slots":4,"stride":1}}]%s}`, version, routes, more)
}

const plainRoute = `{"name":"r","host":"a.example","path_prefix":"/r/","kind":"safe","timeout_ms":3000,"service":"s","max_attempts":2}`

func (f *testFleet) waitStatus(h *host, path string, status int) int {
	f.t.Helper()
	got := 0
	f.eventually(fmt.Sprintf("%s answers %d", path, status), func() bool {
		got = f.call(h, path, "").status
		return got == status
	})
	return got
}

const engineRoute = `{"name":"e","host":"a.example","path_prefix":"/e/","kind":"streaming","timeout_ms":5000,"service":"e","max_attempts":2,"resumable":true}`

func (f *testFleet) engine(id string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	b, err := backend.Start(id, names, func(backend.Run) backend.Behaviour { return how })
	f.is.NoErr(err)
	f.t.Cleanup(b.Close)
	f.list(target.Entry{ID: id, Service: "e", Address: b.Address(), Domain: "z1", Slots: 4})
	return b
}
