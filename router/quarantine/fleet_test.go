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

// The load: a request that ends each target 0.1 s after it begins to run comes again all the
// time, at any host of a fleet, under new ids. Targets are back after three seconds; each
// end breaks what they had under way, of many hosts. The figures of the bounds are those of
// a fleet whose hosts have to know within three seconds.

// Figures of the load.
const (
	simContact   = 3 * time.Second // hosts that had no trouble for so long are in touch
	simCrash     = 100 * time.Millisecond
	simBack      = 3 * time.Second
	simTargets   = 30
	simBystander = 12 // requests of others that one end breaks
	simLogPace   = 3 * time.Second
)

var errCut = errors.New("cut off")

// simFleet is a fleet of guards in one process and in virtual time.
type simFleet struct {
	t        *testing.T
	counting int // hosts that count the ends under a request
	logAway  bool
	asleep   bool // hosts that are cut off stand still, and send nothing

	mu      sync.Mutex
	hosts   []*simHost
	records []eventlog.Record // of the topic
	calls   int
	bytes   int
	ends    []time.Time
	late    int
	targets []time.Time // when each is back
	life    int
}

// simHost is one host.
type simHost struct {
	fleet *simFleet
	name  string
	guard *Guard
	cutAt time.Time // it is cut off from all from then
	until time.Time // to then
	read  int       // records of the topic
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

func (h *simHost) cut(now time.Time) bool { return !now.Before(h.cutAt) && now.Before(h.until) }

// inTouch says whether the host had no trouble for a while.
func (h *simHost) inTouch(now time.Time) bool {
	return h.until.IsZero() || now.Before(h.cutAt) || now.Sub(h.until) >= simContact
}

func (h *simHost) CountingHosts(d Digest) (others []string, place int) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	ranked := rendezvous.Rank(d.String(), h.fleet.hosts, func(o *simHost) string { return o.name })
	ranked = ranked[:min(len(ranked), h.fleet.counting)]
	place = len(ranked)
	for i, o := range ranked {
		if o == h {
			place = i
			continue
		}
		others = append(others, o.name)
	}
	return others, place
}

// call counts a call and gives the host that gets it.
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
		if o.name == name && !o.cut(now) && !h.cut(now) {
			return o, nil
		}
	}
	return nil, errCut
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
	if f.logAway || h.cut(time.Now()) {
		return errCut
	}
	rec.Offset = int64(len(f.records))
	f.records = append(f.records, rec)
	return nil
}

// follow reads the topic until ctx ends.
func (h *simHost) follow(ctx context.Context) {
	for ctx.Err() == nil {
		h.fleet.mu.Lock()
		var changes []replica.Change
		if !h.fleet.logAway && !h.cut(time.Now()) {
			for _, rec := range h.fleet.records[h.read:] {
				changes = append(changes, replica.Change{Record: rec})
			}
			h.read = len(h.fleet.records)
		}
		h.fleet.mu.Unlock()
		h.guard.ApplyChanges(changes)
		time.Sleep(simLogPace)
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

// finish ends the hosts and waits for what they still do.
func (f *simFleet) finish(stop func()) {
	f.mu.Lock()
	f.logAway = false
	f.mu.Unlock()
	stop()
	time.Sleep(30 * time.Second)
}

// send lets a host send the guilty request.
func (f *simFleet) send(h *simHost, guilty Digest) {
	if h.guard.IsQuarantined(guilty) {
		return
	}
	now := time.Now()
	if f.asleep && h.cut(now) {
		return
	}
	f.mu.Lock()
	place := rand.IntN(len(f.targets))
	if now.Before(f.targets[place]) {
		f.mu.Unlock()
		return // nobody is there: not sent
	}
	if len(f.ends) >= 3 && now.Sub(f.ends[2]) > simContact && h.inTouch(now) {
		f.late++
	}
	f.targets[place] = now.Add(simCrash + simBack)
	f.life++
	target := fmt.Sprintf("target-%d-%d", place, f.life)
	f.mu.Unlock()
	time.Sleep(simCrash)
	f.end(h, guilty, target)
}

// end lets a target end: all that it had under way breaks.
func (f *simFleet) end(h *simHost, guilty Digest, target string) {
	f.mu.Lock()
	f.ends = append(f.ends, time.Now())
	hosts := f.hosts
	f.mu.Unlock()
	h.guard.RecordExit(Report{Digest: guilty, Target: target, RequestID: "id", Early: true})
	for range simBystander {
		var d Digest
		for i := range d {
			d[i] = byte(rand.Uint32())
		}
		hosts[rand.IntN(len(hosts))].guard.RecordExit(Report{Digest: d, Target: target, RequestID: "id", Early: rand.IntN(4) == 0})
	}
}

// play sends the guilty request at random hosts for a while.
func (f *simFleet) play(guilty Digest, d, every time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every) {
		f.mu.Lock()
		h := f.hosts[rand.IntN(len(f.hosts))]
		f.mu.Unlock()
		go f.send(h, guilty)
	}
}

var guilty = Content{URI: "/guilty"}.Digest()

// All hosts together send the request at most three times later than allowed.
func TestFleetStopsARequestThatCrashesTargets(t *testing.T) {
	for _, hosts := range []int{1, 2, 8, 87, 300} {
		for _, every := range []time.Duration{250 * time.Millisecond, 20 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts, each %v", hosts, every), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(context.Background())
					f := newSimFleet(t, hosts, 3)
					f.start(ctx)
					f.play(guilty, 25*time.Second, every)
					f.finish(stop)
					t.Logf("%d ends, %d sent late", len(f.ends), f.late)
					is.New(t).True(f.late <= 3)
					is.New(t).True(len(f.ends) >= 3)
				})
			})
		}
	}
}

// The same with a third of the hosts cut off or suspended as it begins, with the log away, and
// with hosts that start in the middle: those that come back or start learn it from the
// log or from others before they are in touch.
func TestFleetStopsItThroughFaults(t *testing.T) {
	for _, c := range []struct {
		name              string
		cut, asleep, away bool
		joinsLater        bool
	}{
		{name: "a third cut off", cut: true}, {name: "a third suspended", cut: true, asleep: true}, {name: "log away", away: true},
		{name: "hosts start later", joinsLater: true}, {name: "cut off, and hosts start later", cut: true, joinsLater: true},
	} {
		for seed := range 5 {
			t.Run(fmt.Sprintf("%s %d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(context.Background())
					f := newSimFleet(t, 60, 3)
					f.logAway, f.asleep = c.away, c.asleep
					now := time.Now()
					if c.cut {
						for _, h := range f.hosts[:20] {
							h.cutAt, h.until = now.Add(time.Duration(rand.IntN(2000))*time.Millisecond), now.Add(9*time.Second)
						}
					}
					f.start(ctx)
					f.play(guilty, 6*time.Second, 100*time.Millisecond)
					if c.joinsLater {
						for range 30 {
							h := f.addHost()
							h.cutAt, h.until = time.Now(), time.Now() // it is in touch later
							h.run(ctx)
							synctest.Wait() // it has read the topic before it is ready
						}
					}
					f.play(guilty, 12*time.Second, 100*time.Millisecond)
					f.finish(stop)
					t.Logf("%d ends, %d sent late", len(f.ends), f.late)
					is.New(t).True(f.late <= 3)
				})
			})
		}
	}
}

// A request that many callers repeat is under way at every end, and never held: it comes
// whole somewhere.
func TestHotRequestIsNeverHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		f := newSimFleet(t, 87, 3)
		f.start(ctx)
		hot := Content{URI: "/hot"}.Digest()
		f.hosts[5].guard.RecordCompletion(hot) // just one host saw it whole
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

// What the two ways cost: to count at three hosts and tell all of the decision, or to tell
// all hosts of each end.
func TestCostOfCountingPlaces(t *testing.T) {
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
				f.play(guilty, 10*time.Second, 250*time.Millisecond)
				f.finish(stop)
				t.Logf("%d hosts, ends counted at %d: %d ends, %d sent late, %d calls, %d kB", hosts, counting, len(f.ends), f.late, f.calls, f.bytes/1000)
				is.New(t).True(f.late <= 3)
			})
		}
	}
}
