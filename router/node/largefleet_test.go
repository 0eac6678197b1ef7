package node

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/suspend"
	"maststage.dev/router/target"
	"maststage.dev/standin/memlog"
)

var largeFleetHosts = flag.Int("fleet.hosts", 330, "hosts of the simulated large fleet")

// What the log gives each host of a large fleet, and what the hosts read there. The whole list takes the log longer than
// hosts have until their callers come, if each host reads it.
const (
	readsPerHost     = 16.0     // calls a second
	bandwidthPerHost = 81_000.0 // bytes a second
	configBytes      = 85_000
	listBytes        = 2_000_000
	targetsPerHost   = 2
	heartbeatsPeriod = 3 * time.Second // of each target
	wideHosts        = 20              // one in so many hosts has a fast link
	wideMbps         = 1000.0
	thinMbps         = 20.0
	hostLatency      = time.Millisecond // of a call between hosts
)

// Times within which the hosts of a large fleet have to know.
const (
	startTime  = 20 * time.Second // after a start of all
	changeTime = 5 * time.Second  // after a change of the configuration
)

// simulatedFleet is a large fleet in one process and in virtual time: nodes without servers, on a log that gives them
// all together what a real one gives.
type simulatedFleet struct {
	t        *testing.T
	log      *memlog.Log
	settings settings.Settings // of each host but for its names and its link
	nodes    []*Node
	links    links
	version  int64
}

// links carries the calls between hosts.
type links struct {
	mu      sync.Mutex
	hosts   map[string]*link
	latency time.Duration
	cut     func(from, to string) bool // whether packets between two addresses are lost; nil: none are
}

// transport carries the calls of one host.
type transport struct {
	*links
	from string // the host's address
}

// link is a host's link and what its host serves.
type link struct {
	handler http.Handler
	mbps    float64
	free    time.Time     // when what is queued has been sent
	queue   time.Duration // how long packets wait at the link, each way
}

// RoundTrip implements http.RoundTripper.
func (l *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	to, cut := l.hosts[r.URL.Host], l.cut != nil && l.cut(l.from, r.URL.Host)
	l.mu.Unlock()
	if to == nil {
		return nil, fmt.Errorf("no host at %s", r.URL.Host)
	}
	if cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if err := pause(r.Context(), l.latencyTo(to)); err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	to.handler.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	if err := pause(r.Context(), l.latencyTo(to)+l.send(to, len(body))); err != nil {
		return nil, err
	}
	response := recorder.Result()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// latencyTo returns the latency of one way between this host and another.
func (l *transport) latencyTo(to *link) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency + l.hosts[l.from].queue + to.queue
}

// send queues bytes on a link and returns when they have been sent.
func (l *links) send(from *link, size int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if from.free.Before(now) {
		from.free = now
	}
	from.free = from.free.Add(time.Duration(float64(size) * 8 / from.mbps * float64(time.Microsecond)))
	return from.free.Sub(now)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startFleet starts a fleet of the given size.
func startFleet(ctx context.Context, t *testing.T, hosts int) *simulatedFleet {
	f := &simulatedFleet{t: t, settings: *newFleet(t).settings("any"), log: memlog.New(), links: links{hosts: map[string]*link{}, latency: hostLatency}}
	f.log.SetLimits(memlog.Limits{ReadsPerSecond: readsPerHost * float64(hosts), ReadBandwidth: bandwidthPerHost * float64(hosts), AppendTime: 2 * time.Second / time.Duration(hosts)})
	for i := range targetsPerHost * hosts {
		f.heartbeat(i, hosts)
	}
	f.configure()
	for i := range hosts {
		f.start(ctx, i)
	}
	go f.heartbeats(ctx, hosts)
	return f
}

// start starts host i.
func (f *simulatedFleet) start(ctx context.Context, i int) {
	name, address := fmt.Sprintf("h%d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
	mbps := thinMbps
	if i%wideHosts == 0 {
		mbps = wideMbps
	}
	cfg := f.settings
	cfg.Host.Name, cfg.Host.Domain, cfg.Host.PeerListen = name, fmt.Sprintf("z%d", i%5), address
	cfg.Log = settings.Log{Partitions: 24, RecordBytes: 1 << 18, LongPollMs: 1000, TimeoutMs: 1000, PaceMs: 450}
	cfg.Capacity.LinkMbps = mbps
	start := time.Now()
	elapsed := func() time.Duration { return time.Since(start) }
	view := f.log.Host(name)
	n := newWithClocks(&cfg, Environment{
		Log: view, Groups: view, Headers: headers, PeerTransport: &transport{links: &f.links, from: address},
		ConfigTopic: topicConfig, TargetsTopic: topicTargets, HostsTopic: topicHosts, BudgetsTopic: topicBudgets,
		ArchiveTopic: topicArchive, MaxRecordBytes: 1 << 18, ConfigKey: "config", ReadyPath: "/ready",
		DecodeConfig: routing.Parse,
		DecodeTarget: func(id string, value []byte) (target.Entry, error) {
			e := target.Entry{ID: id}
			err := json.Unmarshal(bytes.TrimRight(value, " "), &e)
			return e, err
		},
		StatusTopic: topicStatus, DecodeOrder: decodeOrder, EncodeState: encodeState, DecodeState: decodeState,
	}, "1", suspend.Clocks{Monotonic: elapsed, Boot: elapsed})
	f.links.mu.Lock()
	f.links.hosts[address] = &link{handler: n.fleet.Handler(), mbps: mbps}
	f.links.mu.Unlock()
	f.nodes = append(f.nodes, n)
	n.startTasks(ctx)
}

// configure publishes the next version of the configuration.
func (f *simulatedFleet) configure() {
	f.version++
	var organisations []string
	for i := range 20 {
		organisations = append(organisations, fmt.Sprintf(`{"name":"o%d","keys":["k%d"],"prepaid":1000000000}`, i, i))
	}
	text := config(int(f.version), plainRoute+","+engineRoute, `,"organisations":[`+strings.Join(organisations, ",")+`]`)
	f.log.Put(eventlog.Partition{Topic: topicConfig}, "config", padded(text, configBytes))
}

// heartbeat writes the entry of target i.
func (f *simulatedFleet) heartbeat(i, hosts int) {
	id := fmt.Sprintf("t%d", i)
	value, err := json.Marshal(target.Entry{ID: id, Service: "e", Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Domain: fmt.Sprintf("z%d", i%5), Slots: 4})
	if err != nil {
		f.t.Fatal(err)
	}
	f.log.Put(eventlog.Partition{Topic: topicTargets}, id, padded(string(value), listBytes/(targetsPerHost*hosts)))
}

// heartbeats writes the entries of all targets again and again until ctx ends.
func (f *simulatedFleet) heartbeats(ctx context.Context, hosts int) {
	targets := targetsPerHost * hosts
	for i := 0; ctx.Err() == nil; i = (i + 1) % targets {
		f.heartbeat(i, hosts)
		_ = pause(ctx, heartbeatsPeriod/time.Duration(targets))
	}
}

// padded is a text filled up with blanks.
func padded(text string, size int) []byte {
	return []byte(text + strings.Repeat(" ", max(size-len(text), 0)))
}

// outdated counts the hosts that have not applied the newest configuration.
func (f *simulatedFleet) outdated() (hosts int) {
	for _, n := range f.nodes {
		if c := n.handler.Config(); c == nil || c.Version < f.version {
			hosts++
		}
	}
	return hosts
}

// unready counts the hosts that lack the newest configuration or a target.
func (f *simulatedFleet) unready() (hosts int) {
	for _, n := range f.nodes {
		if c := n.handler.Config(); c == nil || c.Version < f.version || n.targets.TotalReady() < targetsPerHost*len(f.nodes) {
			hosts++
		}
	}
	return hosts
}

// until waits until count is 0, at most for the given time, and returns how long that took.
func (f *simulatedFleet) until(what string, most time.Duration, count func() int) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < most {
		if count() == 0 {
			took := time.Since(began)
			f.t.Logf("%s: %v", what, took)
			return took
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("%s: %d of %d hosts are missing after %v; load of the log since: %+v", what, count(), len(f.nodes), most, f.log.TakeLoad())
	return most
}

// Guards against hosts of a large fleet that serve by an old configuration, and turn proper requests away by it,
// because all of them read the log and so keep it overloaded.
func TestLargeFleetKnowsTheNewestConfigurationInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, t, *largeFleetHosts)
		f.until("start", startTime, f.unready)
		time.Sleep(startTime)

		f.log.TakeLoad()
		for range 3 {
			f.configure()
			f.until("change", changeTime, f.outdated)
			time.Sleep(changeTime)
		}
		load := f.log.TakeLoad()
		t.Logf("load of the log in some %v: %+v", 3*changeTime, load)
		is.Equal(load.Refused, 0)

		f.log.SetFault("", memlog.Fault{Refuse: true})
		time.Sleep(2 * changeTime)
		f.log.SetFault("", memlog.Fault{})
		f.configure()
		f.until("change after an outage of the log", changeTime, f.outdated)
		cancel()
		synctest.Wait()
	})
}
