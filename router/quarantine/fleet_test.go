package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// The load: a request that crashes each target 0.1 s after it begins to run arrives all the time, at
// any host, under new ids. Targets restart within three seconds; each exit interrupts their requests
// from many hosts. The bounds are those of a fleet whose hosts must know the request within three
// seconds.

// Parameters of the load.
const (
	simReconnect  = 3 * time.Second // hosts without trouble for this long count as connected
	simCrash      = 100 * time.Millisecond
	simRestart    = 3 * time.Second
	simTargets    = 30
	simBystanders = 12 // other requests that one exit interrupts
	simLogPoll    = 3 * time.Second
)

var errDisconnected = errors.New("disconnected")

// simFleet is a fleet of guards in one process and in virtual time.
type simFleet struct {
	t              *testing.T
	counting       int // number of hosts that count the exits under a request
	logUnavailable bool
	paused         bool // disconnected hosts are paused and send nothing

	mu          sync.Mutex
	hosts       []*simHost
	records     []eventlog.Record // of the topic
	calls       int
	bytes       int
	exits       []time.Time
	sentLate    int
	targets     []time.Time // when each has restarted
	incarnation int
}

// simHost is one host.
type simHost struct {
	fleet          *simFleet
	name           string
	guard          *Guard
	disconnectedAt time.Time // it is disconnected from all others from then
	reconnectedAt  time.Time // until then
	read           int       // records of the topic
}

func newSimFleet(t *testing.T, hosts, counting int) *simFleet {
	f := &simFleet{t: t, counting: counting, targets: make([]time.Time, simTargets)}
	for range hosts {
		f.addHost()
	}
	return f
}

func (f *simFleet) addHost() *simHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &simHost{fleet: f, name: fmt.Sprintf("host-%d", len(f.hosts))}
	h.guard = New(Options{
		Host: h.name, Write: h.write, OnQuarantine: func(Digest) {}, Count: func(string) {}, Go: func(_ string, do func()) { go do() },
	})
	h.guard.SetPeers(h)
	f.hosts = append(f.hosts, h)
	return h
}

func (h *simHost) disconnected(now time.Time) bool {
	return !now.Before(h.disconnectedAt) && now.Before(h.reconnectedAt)
}

// connected reports whether the host had no trouble for a while.
func (h *simHost) connected(now time.Time) bool {
	return h.reconnectedAt.IsZero() || now.Before(h.disconnectedAt) || now.Sub(h.reconnectedAt) >= simReconnect
}

func (h *simHost) CountingHosts(_ Kind, d Digest) (others []string, rank int) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	ranked := rendezvous.Rank(d.String(), h.fleet.hosts, func(o *simHost) string { return o.name })
	ranked = ranked[:min(len(ranked), h.fleet.counting)]
	rank = len(ranked)
	for i, o := range ranked {
		if o == h {
			rank = i
			continue
		}
		others = append(others, o.name)
	}
	return others, rank
}

// call counts a call and returns the host that receives it.
func (h *simHost) call(name string, ask any) (*simHost, error) {
	data, err := json.Marshal(ask)
	if err != nil {
		return nil, err
	}
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.bytes += len(data)
	now := time.Now()
	for _, o := range f.hosts {
		if o.name == name && !o.disconnected(now) && !h.disconnected(now) {
			return o, nil
		}
	}
	return nil, errDisconnected
}

func (h *simHost) Report(_ context.Context, address string, reports []Report) error {
	o, err := h.call(address, reports)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Millisecond)
	o.guard.AddReports(reports)
	return nil
}

func (h *simHost) others() (names []string) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, o := range h.fleet.hosts {
		if o != h {
			names = append(names, o.name)
		}
	}
	return names
}

func (h *simHost) Cleared(_ context.Context, d Digest) bool {
	for _, name := range h.others() {
		if o, err := h.call(name, d); err == nil && o.guard.IsCleared(d) {
			return true
		}
	}
	time.Sleep(20 * time.Millisecond)
	return false
}

func (h *simHost) Survived(_ context.Context, part Digest) (ago time.Duration, ok bool) {
	for _, name := range append(h.others(), h.name) {
		o, err := h.call(name, part)
		if err != nil {
			continue
		}
		if age, survived := o.guard.SurvivedAgo(part); survived && (!ok || age < ago) {
			ago, ok = age, true
		}
	}
	time.Sleep(20 * time.Millisecond)
	return ago, ok
}

func (h *simHost) Broadcast(_ context.Context, n Notice) {
	for _, name := range h.others() {
		if o, err := h.call(name, n); err == nil {
			o.guard.HandleNotice(n)
		}
	}
}

func (h *simHost) write(_ context.Context, rec eventlog.Record) error {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logUnavailable || h.disconnected(time.Now()) {
		return errDisconnected
	}
	rec.Position.Offset = int64(len(f.records))
	f.records = append(f.records, rec)
	return nil
}

// follow reads the topic until ctx ends.
func (h *simHost) follow(ctx context.Context) {
	for ctx.Err() == nil {
		h.fleet.mu.Lock()
		var changes []replica.Change
		if !h.fleet.logUnavailable && !h.disconnected(time.Now()) {
			for _, rec := range h.fleet.records[h.read:] {
				changes = append(changes, replica.Change{Record: rec})
			}
			h.read = len(h.fleet.records)
		}
		h.fleet.mu.Unlock()
		h.guard.ApplyChanges(changes)
		time.Sleep(simLogPoll)
	}
}

// start runs the hosts until ctx ends.
func (f *simFleet) start(ctx context.Context) {
	for _, h := range f.hosts {
		h.run(ctx)
	}
}

func (h *simHost) run(ctx context.Context) {
	go h.guard.Run(ctx)
	go h.follow(ctx)
}

// finish stops the hosts and waits for their goroutines.
func (f *simFleet) finish(stop func()) {
	f.mu.Lock()
	f.logUnavailable = false
	f.mu.Unlock()
	stop()
	time.Sleep(30 * time.Second)
}

// send sends the crashing request through a host.
func (f *simFleet) send(h *simHost, crasher Digest) {
	if h.guard.IsQuarantined(crasher) {
		return
	}
	now := time.Now()
	if f.paused && h.disconnected(now) {
		return
	}
	f.mu.Lock()
	slot := rand.IntN(len(f.targets))
	if now.Before(f.targets[slot]) {
		f.mu.Unlock()
		return // the target has not restarted: not sent
	}
	if len(f.exits) >= 3 && now.Sub(f.exits[2]) > simReconnect && h.connected(now) {
		f.sentLate++
	}
	f.targets[slot] = now.Add(simCrash + simRestart)
	f.incarnation++
	target := fmt.Sprintf("target-%d-%d", slot, f.incarnation)
	f.mu.Unlock()
	time.Sleep(simCrash)
	f.exitTarget(h, crasher, target)
}

// exitTarget makes a target exit, which interrupts all its requests.
func (f *simFleet) exitTarget(h *simHost, crasher Digest, target string) {
	f.mu.Lock()
	f.exits = append(f.exits, time.Now())
	hosts := f.hosts
	f.mu.Unlock()
	h.guard.RecordExit(Report{Digest: crasher, Target: target, RequestID: "id", Early: true})
	for range simBystanders {
		var d Digest
		for i := range d {
			d[i] = byte(rand.Uint32())
		}
		hosts[rand.IntN(len(hosts))].guard.RecordExit(Report{Digest: d, Target: target, RequestID: "id", Early: rand.IntN(4) == 0})
	}
}

// sendFor sends the crashing request through random hosts for a while.
func (f *simFleet) sendFor(crasher Digest, d, every time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every) {
		f.mu.Lock()
		h := f.hosts[rand.IntN(len(f.hosts))]
		f.mu.Unlock()
		go f.send(h, crasher)
	}
}

var crasher = Content{URI: "/guilty"}.Digest()

// All hosts together send the request too late at most three times.
func TestFleetStopsARequestThatCrashesTargets(t *testing.T) {
	for _, hosts := range []int{1, 2, 8, 87, 300} {
		for _, every := range []time.Duration{250 * time.Millisecond, 20 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts, each %v", hosts, every), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(context.Background())
					f := newSimFleet(t, hosts, 3)
					f.start(ctx)
					f.sendFor(crasher, 25*time.Second, every)
					f.finish(stop)
					t.Logf("%d exits, %d sent late", len(f.exits), f.sentLate)
					is.New(t).True(f.sentLate <= 3)
					is.New(t).True(len(f.exits) >= 3)
				})
			})
		}
	}
}

// The same while a third of the hosts is disconnected or paused from the start, while the log is
// unavailable, and with hosts that start in the middle: hosts that return or start learn of the request
// from the log or from others before they count as connected.
func TestFleetStopsCrashingRequestDespiteFaults(t *testing.T) {
	for _, c := range []struct {
		name                              string
		disconnect, pause, logUnavailable bool
		joinsLater                        bool
	}{
		{name: "a third disconnected", disconnect: true}, {name: "a third paused", disconnect: true, pause: true}, {name: "log unavailable", logUnavailable: true},
		{name: "hosts start later", joinsLater: true}, {name: "a third disconnected, and hosts start later", disconnect: true, joinsLater: true},
	} {
		for seed := range 5 {
			t.Run(fmt.Sprintf("%s %d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(context.Background())
					f := newSimFleet(t, 60, 3)
					f.logUnavailable, f.paused = c.logUnavailable, c.pause
					now := time.Now()
					if c.disconnect {
						for _, h := range f.hosts[:20] {
							h.disconnectedAt, h.reconnectedAt = now.Add(time.Duration(rand.IntN(2000))*time.Millisecond), now.Add(9*time.Second)
						}
					}
					f.start(ctx)
					f.sendFor(crasher, 6*time.Second, 100*time.Millisecond)
					if c.joinsLater {
						for range 30 {
							h := f.addHost()
							h.disconnectedAt, h.reconnectedAt = time.Now(), time.Now() // it is connected later
							h.run(ctx)
							synctest.Wait() // it has read the topic before it is ready
						}
					}
					f.sendFor(crasher, 12*time.Second, 100*time.Millisecond)
					f.finish(stop)
					t.Logf("%d exits, %d sent late", len(f.exits), f.sentLate)
					is.New(t).True(f.sentLate <= 3)
				})
			})
		}
	}
}

// A request that many callers repeat is in flight at every exit and must not be quarantined, as it
// completes somewhere.
func TestHotRequestIsNeverQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		f := newSimFleet(t, 87, 3)
		f.start(ctx)
		hot := Content{URI: "/hot"}.Digest()
		f.hosts[5].guard.RecordCompletion(hot) // just one host saw it complete
		for i := range 12 {
			for n := range 20 {
				f.hosts[10+n].guard.RecordExit(Report{Digest: hot, Target: fmt.Sprintf("target-%d", i), Early: true})
			}
			time.Sleep(time.Second)
			for _, h := range f.hosts {
				is.True(!h.guard.IsQuarantined(hot))
			}
		}
		f.finish(stop)
	})
}

// Compares the costs of both designs: counting at three hosts that notify all of the decision, or
// reporting each exit to all hosts.
func TestCostOfCountingHosts(t *testing.T) {
	for _, hosts := range []int{8, 87, 300} {
		for _, everywhere := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				counting := 3
				if everywhere {
					counting = hosts
				}
				f := newSimFleet(t, hosts, counting)
				f.start(ctx)
				f.sendFor(crasher, 10*time.Second, 250*time.Millisecond)
				f.finish(stop)
				t.Logf("%d hosts, exits counted at %d: %d exits, %d sent late, %d calls, %d kB", hosts, counting, len(f.exits), f.sentLate, f.calls, f.bytes/1000)
				is.New(t).True(f.sentLate <= 3)
			})
		}
	}
}
