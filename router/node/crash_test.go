package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// What was seen: one request, under a new id each time and at any host, ended each target
// that began to run it. It was sent to 12 and more targets after three had ended, and what
// they had under way broke with them. Each host forgot the request with its answer and knew
// nothing of the others' tries, so nobody ever had more than one or two ends in hand. That
// it was one request, and not load, a caller's stop or a fault of our connections, the lines
// with its digest proved: they name the same one at each end, and no other one twice in a row.

// Figures of the pools of targets that crash.
const (
	crashPath    = "/e/crash"
	hotPath      = "/e/hot"
	crashDelay   = 20 * time.Millisecond // from the begin of a run to the crash
	entryLapses  = 150 * time.Millisecond
	targetIsBack = 250 * time.Millisecond
	// contactTime is how long after the third end hosts may go on sending.
	contactTime = time.Second
	mostRetries = 3 // that are sent later, by all hosts together
)

// crashPool is a set of targets of the service e that crash on a request and come back.
type crashPool struct {
	f *testFleet

	mu       sync.Mutex
	closed   bool
	arrivals []time.Time // of the request that crashes
	ends     []time.Time
	backends []*backend.Backend
}

func newCrashPool(f *testFleet, targets int) *crashPool {
	p := &crashPool{f: f}
	for i := range targets {
		p.start(i, 0)
	}
	f.t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
		for _, b := range p.backends {
			b.Close()
		}
	})
	return p
}

// start starts an incarnation and lists it.
func (p *crashPool) start(place, life int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	id := fmt.Sprintf("c%d-%d", place, life)
	b, err := backend.Start(id, names, p.behave)
	if err != nil {
		p.f.t.Error(err)
		return
	}
	p.backends = append(p.backends, b)
	p.f.list(target.Entry{ID: id, Service: "e", Address: b.Address(), Domain: "z1", Slots: 8})
	go func() {
		<-b.Done()
		p.mu.Lock()
		p.ends = append(p.ends, time.Now())
		p.mu.Unlock()
		time.Sleep(entryLapses)
		p.f.unlist(id)
		time.Sleep(targetIsBack - entryLapses)
		p.start(place, life+1)
	}()
}

func (p *crashPool) behave(run backend.Run) backend.Behaviour {
	if run.URI != crashPath {
		return backend.Behaviour{Events: 20, Gap: 5 * time.Millisecond, Delay: 5 * time.Millisecond}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, time.Now())
	return backend.Behaviour{Crash: true, Delay: crashDelay}
}

// third is when the third target ended; ok is false before.
func (p *crashPool) third() (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ends) < 3 {
		return at, false
	}
	return p.ends[2], true
}

// late counts the arrivals of the crashing request at targets later than allowed, and
// the ends.
func (p *crashPool) late() (late, ends int) {
	third, ok := p.third()
	if !ok {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		if at.Sub(third) > contactTime {
			late++
		}
	}
	return late, len(p.ends)
}

// crashTraffic is callers beside each other at random hosts.
type crashTraffic struct {
	f     *testFleet
	hosts []*host

	mu      sync.Mutex
	replies map[string][]timedReply // by path of its kind
}

type timedReply struct {
	reply
	began time.Time
}

// run sends the crashing request every so often, a hot one and ones of their own beside it,
// until ctx ends.
func (c *crashTraffic) run(ctx context.Context, every time.Duration) {
	var all sync.WaitGroup
	loop := func(kind string, path func() string, pause time.Duration) {
		all.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				got := c.f.call(c.hosts[rand.IntN(len(c.hosts))], path(), "")
				c.mu.Lock()
				c.replies[kind] = append(c.replies[kind], timedReply{got, began})
				c.mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	loop(crashPath, func() string { return crashPath }, every)
	for range 4 {
		loop(hotPath, func() string { return hotPath }, 10*time.Millisecond)
		loop("own", func() string { return fmt.Sprintf("/e/own/%d", rand.Uint64()) }, 10*time.Millisecond)
	}
	all.Wait()
}

// whole counts the replies of a kind that began after a moment, and those that came whole.
func (c *crashTraffic) whole(kind string, after time.Time) (all, whole int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replies[kind] {
		if r.began.Before(after) {
			continue
		}
		all++
		if r.err == nil && r.status == http.StatusOK && strings.Count(r.body, "data:") == 20 {
			whole++
		}
	}
	return all, whole
}

// refusals counts the replies of a kind that said that nothing ran.
func (c *crashTraffic) refusals(kind string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replies[kind] {
		if r.status == http.StatusServiceUnavailable {
			n++
		}
	}
	return n
}

// crashFleet starts hosts that know each other and a pool.
func crashFleet(t *testing.T, hosts, targets int) (*testFleet, []*host, *crashPool) {
	f := newFleet(t)
	f.publish(config(1, engineRoute, ""))
	pool := newCrashPool(f, targets)
	first := f.start(f.settings("h0"))
	all := []*host{first}
	for i := 1; i < hosts; i++ {
		all = append(all, f.start(f.settings(fmt.Sprintf("h%d", i), first.cfg.Host.PeerListen)))
	}
	for _, h := range all {
		f.ready(h)
	}
	f.eventually("all hosts know each other", func() bool {
		for _, h := range all {
			if h.fleet.Size() < hosts {
				return false
			}
		}
		return true
	})
	return f, all, pool
}

// play lets traffic run until some time after the third end.
func playCrashes(f *testFleet, hosts []*host, pool *crashPool, rest time.Duration) *crashTraffic {
	f.t.Helper()
	traffic := &crashTraffic{f: f, hosts: hosts, replies: map[string][]timedReply{}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		traffic.run(ctx, 100*time.Millisecond)
	}()
	f.eventually("three targets have ended", func() bool { _, ok := pool.third(); return ok })
	time.Sleep(contactTime + rest)
	stop()
	<-done
	return traffic
}

// A request that crashes each target that runs it is soon sent to none, by no host, and the
// requests beside it, the often repeated one too, come back whole.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	f, hosts, pool := crashFleet(t, 6, 9)
	traffic := playCrashes(f, hosts, pool, 2*time.Second)
	late, ends := pool.late()
	third, _ := pool.third()
	own, ownWhole := traffic.whole("own", third.Add(contactTime))
	hot, hotWhole := traffic.whole(hotPath, third.Add(contactTime))
	t.Logf("%d targets ended, %d sends too late; %d of %d and %d of %d requests beside it whole", ends, late, ownWhole, own, hotWhole, hot)
	f.is.True(late <= mostRetries)
	f.is.True(own > 50 && hot > 50)
	f.is.Equal(ownWhole, own)
	f.is.Equal(hotWhole, hot)
	f.is.Equal(traffic.refusals(hotPath), 0)
}

// stopped sends the request at each host: none reaches a target, and all are told that it
// has not run.
func (p *crashPool) stopped(hosts ...*host) {
	p.f.t.Helper()
	p.mu.Lock()
	before := len(p.arrivals)
	p.mu.Unlock()
	for _, h := range hosts {
		p.f.is.Equal(p.f.call(h, crashPath, "").status, http.StatusServiceUnavailable)
		p.f.is.True(h.guard.Len() > 0)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.f.is.Equal(len(p.arrivals), before)
}

// The log is away as it begins: hosts tell each other. A host that starts then, and has
// nothing but another host, knows it before it is ready.
func TestCrashesWhileTheLogIsAway(t *testing.T) {
	f, hosts, pool := crashFleet(t, 4, 8)
	f.log.SetFault("", memlog.Fault{Refuse: true})
	playCrashes(f, hosts, pool, 200*time.Millisecond)
	late, ends := pool.late()
	t.Logf("%d targets ended, %d sends too late", ends, late)
	f.is.True(late <= mostRetries)
	pool.stopped(hosts...)
	young := f.start(f.settings("young", hosts[0].cfg.Host.PeerListen))
	f.ready(young)
	pool.stopped(young)
	f.log.SetFault("", memlog.Fault{})
	f.eventually("the log has it", func() bool { return len(hosts[0].guard.Unpersisted()) == 0 })
}

// Hosts that the log turns away, or that nobody reaches for a while, learn it when they can.
func TestCrashesBesideHostsThatAreCutOff(t *testing.T) {
	f, hosts, pool := crashFleet(t, 5, 8)
	away := hosts[4]
	f.log.SetFault(away.name, memlog.Fault{Silent: true})
	deaf := hosts[3]
	for _, s := range deaf.aux { // its answers to other hosts, too
		_ = s.Close()
	}
	playCrashes(f, hosts[:3], pool, 200*time.Millisecond)
	late, _ := pool.late()
	f.is.True(late <= mostRetries)
	pool.stopped(hosts[0], hosts[1], hosts[2], away)
	f.eventually("the deaf host reads it from the log", func() bool { return deaf.guard.Len() > 0 })
	pool.stopped(deaf)
}

// It lasts beyond all hosts, until an operator deletes its record.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	f, hosts, pool := crashFleet(t, 3, 8)
	playCrashes(f, hosts, pool, 200*time.Millisecond)
	f.eventually("the log has it", func() bool { return len(hosts[0].guard.Unpersisted()) == 0 })
	for _, h := range hosts {
		h.kill()
		<-h.done
	}
	next := f.start(f.settings("next"))
	f.ready(next)
	pool.stopped(next)
	for _, e := range next.guard.Entries() {
		f.log.Put(eventlog.Partition{Topic: topicHosts}, quarantine.KeyPrefix+e.Digest.String(), nil)
	}
	f.eventually("it is lifted", func() bool { return next.guard.Len() == 0 })
}
