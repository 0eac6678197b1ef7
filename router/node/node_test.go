package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/forward"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
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
)

var headers = forward.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Organisation: "X-Org", ExpectTarget: "X-Expect",
	Usage: "X-Tokens", PromptParts: "X-Parts", LastEventID: "Last-Event-Id", Priority: "X-Priority",
	Stamp: "X-Stamp", NotRun: "X-Not-Run", RetryAfter: "Retry-After",
}

var names = backend.Names{
	RequestID: "X-Id", ExpectTarget: "X-Expect", LastEventID: "Last-Event-Id", Stamp: "X-Stamp", NotRun: "X-Not-Run",
}

// testFleet is some nodes on one log, with back ends.
type testFleet struct {
	t      *testing.T
	is     *is.I
	log    *memlog.Log
	nextID atomic.Int64
}

func newFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, is: is.New(t), log: memlog.New()}
}

// host is one node of a fleet.
type host struct {
	*Node
	name string
	done chan struct{} // closed when the node has ended
	kill context.CancelFunc
}

// freeAddress gives an address that nobody uses. Its IP is drawn anew: a port of
// 127.0.0.1 may become that of another program's outgoing connection before the host
// listens there.
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
[budgets]
interval_ms = 50
wait_ms = 100
[output]
`, name, freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), strings.Join(seeds, ","))
	path := filepath.Join(f.t.TempDir(), name+".ini")
	f.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	cfg, err := settings.Load(path)
	f.is.NoErr(err)
	return cfg
}

var incarnations atomic.Int64

func (f *testFleet) start(cfg *settings.Settings) *host {
	f.t.Helper()
	outside := Outside{
		Log: f.log.Host(cfg.Host.Name), Headers: headers,
		ConfigTopic: topicConfig, TargetsTopic: topicTargets, HostsTopic: topicHosts, BudgetsTopic: topicBudgets,
		ArchiveTopic: topicArchive, MaxRecordBytes: 1 << 18,
		ConfigKey: "config", ReadyPath: "/ready",
		DecodeConfig: routing.Parse,
		DecodeTarget: func(id string, value []byte) (target.Entry, error) {
			e := target.Entry{ID: id}
			return e, json.Unmarshal(value, &e)
		},
	}
	n := New(cfg, outside, fmt.Sprint(incarnations.Add(1)))
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{Node: n, name: cfg.Host.Name, done: make(chan struct{}), kill: cancel}
	go func() {
		defer close(h.done)
		if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			f.t.Errorf("%s ended: %v", cfg.Host.Name, err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-h.done
		if n.server != nil {
			_ = n.server.Close()
		}
		for _, s := range n.aux {
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

func (f *testFleet) unlist(id string) { f.log.Put(eventlog.Partition{Topic: topicTargets}, id, nil) }

// backend starts a back end of the service s and lists it.
func (f *testFleet) backend(id string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	b, err := backend.Start(id, names, func(backend.Run) backend.Behaviour { return how })
	f.is.NoErr(err)
	f.t.Cleanup(b.Close)
	f.list(target.Entry{ID: id, Service: "s", Address: b.Address(), Domain: "z1", Slots: 4})
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
	status int
	body   string
	stamp  string
	err    error
}

// call sends a request through a host.
func (f *testFleet) call(h *host, path, key string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.cfg.Host.Listen+path, strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "a.example"
	req.Header.Set("X-Id", fmt.Sprintf("r%d", f.nextID.Add(1)))
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Tokens", "60,40")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), stamp: resp.Header.Get("X-Stamp"), err: err}
}

func config(version int, routes string, more string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","max_conns":60},{"name":"s2"},{"name":"e","engine":{"slots":4,"stride":1}}]%s}`, version, routes, more)
}

const plainRoute = `{"name":"r","host":"a.example","path_prefix":"/r/","kind":"safe","timeout_ms":3000,"service":"s","max_attempts":2}`

func TestServesAndFollowsTheConfiguration(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.is.Equal(f.waitStatus(h, "/r/x", 503), 503) // no configuration yet: not run
	f.publish(config(1, plainRoute, ""))
	b := f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "").body == "one" })
	f.is.True(len(b.Runs()) > 0)

	f.publish(config(5, strings.Replace(plainRoute, "/r/", "/new/", 1), ""))
	f.eventually("the new route", func() bool { return f.call(h, "/new/x", "").status == 200 })
	f.is.Equal(f.call(h, "/r/x", "").status, 404)

	// An older version and one that can't be read change nothing.
	f.publish(config(4, plainRoute, ""))
	f.publish("{")
	time.Sleep(100 * time.Millisecond)
	f.is.Equal(f.call(h, "/r/x", "").status, 404)
	f.is.Equal(f.call(h, "/new/x", "").status, 200)
}

func (f *testFleet) waitStatus(h *host, path string, status int) int {
	f.t.Helper()
	got := 0
	f.eventually(fmt.Sprintf("%s answers %d", path, status), func() bool {
		got = f.call(h, path, "").status
		return got == status
	})
	return got
}

func TestRevokedKeyIsRefused(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.publish(config(1, plainRoute, `,"organisations":[{"name":"o","keys":["k1","k2"]}]`))
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "k1").status == 200 })
	f.publish(config(2, plainRoute, `,"organisations":[{"name":"o","keys":["k2"]}]`))
	f.eventually("the key is refused", func() bool { return f.call(h, "/r/x", "k1").status == 401 })
	f.is.Equal(f.call(h, "/r/x", "k2").status, 200)
}

// A host that the log turns away takes configuration and list from others.
func TestOthersPassTheLogOn(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			a := f.start(f.settings("a"))
			f.log.SetFault("b", fault)
			b := f.start(f.settings("b", a.cfg.Host.PeerListen))
			f.publish(config(1, plainRoute, ""))
			f.backend("t1", backend.Behaviour{Body: "one"})
			f.ready(a)
			f.ready(b) // though it never reached the log
			f.eventually("b serves", func() bool { return f.call(b, "/r/x", "").body == "one" })
			f.publish(config(2, strings.Replace(plainRoute, "/r/", "/new/", 1), ""))
			f.backend("t2", backend.Behaviour{Body: "two"})
			f.unlist("t1")
			f.eventually("b has the new route and target", func() bool { return f.call(b, "/new/x", "").body == "two" })
		})
	}
}

func TestGoesOnWithoutTheLog(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "").body == "one" })
	f.log.SetFault("", memlog.Fault{Silent: true})
	time.Sleep(500 * time.Millisecond)
	for range 5 {
		f.is.Equal(f.call(h, "/r/x", "").body, "one")
	}
	f.is.True(h.Ready())
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

// Over several hosts, one of them killed, no more is run than was prepaid.
func TestBudgetHoldsAcrossHostsAndKills(t *testing.T) {
	f := newFleet(t)
	const limit = 5000 // 50 requests of 100 tokens at most, 62 in fact
	f.publish(config(1, engineRoute, fmt.Sprintf(`,"organisations":[{"name":"o","keys":["k"],"prepaid":%d}]`, limit)))
	e := f.engine("e1", backend.Behaviour{Events: 20})
	a := f.start(f.settings("a"))
	b := f.start(f.settings("b"))
	f.ready(a)
	f.ready(b)
	served := 0
	for range 10 {
		for _, h := range []*host{a, b} {
			if f.call(h, "/e/x", "k").status == 200 {
				served++
			}
		}
	}
	f.is.Equal(served, 20)
	b.kill()
	<-b.done
	c := f.start(f.settings("b"))
	f.ready(c)
	refused := 0
	for range 60 {
		for _, h := range []*host{a, c} {
			switch got := f.call(h, "/e/x", "k"); got.status {
			case 200:
				served++
			case 503:
				refused++
			default:
				f.t.Fatalf("status %d %v", got.status, got.err)
			}
		}
	}
	const used = 60 + 20 // tokens in, and out
	f.is.Equal(len(e.Runs()), served)
	f.is.True(served*used <= limit)
	f.is.True(refused > 0)
}

// A planned stop answers what it has taken on, streams included, and gives tokens
// and place back.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, engineRoute+","+plainRoute, `,"organisations":[{"name":"o","keys":["k"],"prepaid":100000}]`))
	f.engine("e1", backend.Behaviour{Events: 10, Gap: 50 * time.Millisecond})
	f.backend("t1", backend.Behaviour{Body: "one", Delay: 200 * time.Millisecond})
	h := f.start(f.settings("h1"))
	f.ready(h)
	replies := make(chan reply, 20)
	for range 10 {
		go func() { replies <- f.call(h, "/e/x", "k") }()
		go func() { replies <- f.call(h, "/r/x", "k") }()
	}
	f.eventually("all are under way", func() bool { return h.handler.Open() == 20 })
	h.Stop()
	f.is.True(!h.Ready())
	f.is.Equal(f.call(h, "/r/x", "k").status, 200) // what still comes is served
	for range 20 {
		got := <-replies
		f.is.NoErr(got.err)
		f.is.Equal(got.status, 200)
	}
	select {
	case <-h.done:
	case <-time.After(3 * time.Second):
		t.Fatal("not ended within its grace time")
	}
	if _, listed := f.log.Get(eventlog.Partition{Topic: topicHosts}, "h1"); listed {
		t.Fatal("still announced")
	}
	granted := int64(0)
	for i := range 2 {
		if rec, ok := f.log.Get(eventlog.Partition{Topic: topicBudgets, Number: i}, "o"); ok {
			var account struct{ Granted int64 }
			f.is.NoErr(json.Unmarshal(rec.Value, &account))
			granted = account.Granted
		}
	}
	f.is.Equal(granted, int64(10*(60+10))) // what the streams used
}

// A host that stops while the log is out of reach hands its tokens to another.
func TestPlannedStopWithoutTheLogHandsOver(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, engineRoute, `,"organisations":[{"name":"o","keys":["k"],"prepaid":100000}]`))
	a, b := f.start(f.settings("a")), f.start(f.settings("b"))
	f.ready(a)
	f.ready(b)
	free := func(h *host) int64 {
		held, _ := h.treasury.Holding("o")
		return held.Free
	}
	f.eventually("both hold a slice and know each other", func() bool {
		return free(a) > 0 && free(b) > 0 && a.fleet.Size() == 2 && b.fleet.Size() == 2
	})
	f.log.SetFault("", memlog.Fault{Silent: true})
	f.eventually("the loss is noticed", func() bool { up, _ := a.configCopy.Up(); return !up })
	sum := free(a) + free(b)
	a.Stop()
	<-a.done
	f.is.Equal(free(b), sum)
	f.is.Equal(free(a), int64(0))
}

// A host whose own link is full is not ready, so that its callers are balanced elsewhere.
func TestOverloadedHostIsNotReady(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	h := f.start(f.settings("h1"))
	f.ready(h)
	for i := range 10 {
		h.overload.Dialled(fmt.Sprint("t", i), time.Second, time.Now())
	}
	f.is.True(!h.Ready())
}

// A stopping host refuses what it could not finish, as not run.
func TestStopRefusesLateRequests(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Delay: 100 * time.Millisecond})
	h := f.start(f.settings("h1"))
	f.ready(h)
	past := time.Now().Add(-h.stopPart(answerTime))
	h.stopBegan.Store(&past)
	f.is.Equal(f.call(h, "/r/x", "").status, 503)
	f.is.True(!h.Takes(true) && !h.Takes(false))
	between := time.Now().Add(-h.stopPart(streamTime))
	h.stopBegan.Store(&between)
	f.is.True(!h.Takes(true) && h.Takes(false))
}

func TestReload(t *testing.T) {
	f := newFleet(t)
	cfg := f.settings("h1")
	h := f.start(cfg)
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "s.ini")
		f.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	base := fmt.Sprintf("[host]\nname=h1\ndomain=z1\nlisten=%s\nready_listen=%s\npeer_listen=%s\n[log]\naddress=127.0.0.1:1\n",
		cfg.Host.Listen, cfg.Host.ReadyListen, cfg.Host.PeerListen)
	h.Reload(write(base + "[bounds]\nretry_slack=0\nretry_ratio=0\n[output]\nlevel=warning\n"))
	f.is.Equal(log.GetLevel(), log.WarnLevel)
	f.is.True(!h.retries.Of("s").Spend(time.Now()))
	h.Reload(write(base + "[bounds]\nretry_slack=bad\n")) // changes nothing
	f.is.Equal(h.latest.Bounds.RetrySlack, 0.0)
	h.Reload(filepath.Join(t.TempDir(), "missing.ini"))
	f.is.Equal(h.latest.Bounds.RetrySlack, 0.0)
	log.SetLevel(log.InfoLevel)
}

func TestMetrics(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, `,"organisations":[{"name":"o","keys":["k"],"prepaid":1000}]`))
	f.backend("t1", backend.Behaviour{Body: "one"})
	h := f.start(f.settings("h1"))
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "k").status == 200 })
	resp, err := http.Get("http://" + h.cfg.Host.MetricsListen + "/metrics")
	f.is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	f.is.NoErr(err)
	for _, want := range []string{"maststage_requests_total{", "maststage_request_seconds_bucket{", "maststage_config_version 1", "maststage_targets_ready 1", "maststage_budget_limit_tokens{organisation=\"o\"} 1000"} {
		f.is.True(strings.Contains(string(text), want))
	}
}
