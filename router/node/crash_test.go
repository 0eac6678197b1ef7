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

// The incident behind these tests: one request, under a new id each time and at any host, crashed each
// target that began to run it. It was sent to 12 and more targets after three had crashed, which
// interrupted the requests in flight there. Each host forgot the request after its response and knew
// nothing of the attempts of others, so none ever saw more than one or two crashes. Log lines with the
// digest showed that it was this request, and not load, a caller's abort or a fault of our connections:
// each crash had the same digest, and no other digest came twice in a row.

// Parameters of the pools of crashing targets.
const (
	crashPath    = "/e/crash"
	hotPath      = "/e/hot"
	crashDelay   = 20 * time.Millisecond // from the start of a run to the crash
	unlistDelay  = 150 * time.Millisecond
	restartDelay = 250 * time.Millisecond
	// gracePeriod is how long after the third exit hosts may still send the request.
	gracePeriod  = time.Second
	maxLateSends = 3 // sent later than that, by all hosts together
)

// crashPool is a set of targets of the service e that crash on a request and restart.
type crashPool struct {
	f *testFleet

	mu       sync.Mutex
	closed   bool
	arrivals []time.Time // of the crashing request
	exits    []time.Time
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

// start starts and lists an incarnation.
func (p *crashPool) start(slot, incarnation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	id := fmt.Sprintf("c%d-%d", slot, incarnation)
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
		p.exits = append(p.exits, time.Now())
		p.mu.Unlock()
		time.Sleep(unlistDelay)
		p.f.unlist(id)
		time.Sleep(restartDelay - unlistDelay)
		p.start(slot, incarnation+1)
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

// thirdExit is when the third target exited; ok is false before.
func (p *crashPool) thirdExit() (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.exits) < 3 {
		return at, false
	}
	return p.exits[2], true
}

// sentLate counts the arrivals of the crashing request that came later than allowed, and the exits.
func (p *crashPool) sentLate() (late, exits int) {
	third, ok := p.thirdExit()
	if !ok {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		if at.Sub(third) > gracePeriod {
			late++
		}
	}
	return late, len(p.exits)
}

// crashTraffic is concurrent callers at random hosts.
type crashTraffic struct {
	f     *testFleet
	hosts []*host

	mu      sync.Mutex
	replies map[string][]timedReply // by kind
}

type timedReply struct {
	reply
	began time.Time
}

// run sends the crashing request at intervals, together with one often repeated request and many
// distinct ones, until ctx ends.
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

// completed counts the replies of a kind that began after the given time, and the complete ones.
func (c *crashTraffic) completed(kind string, after time.Time) (all, complete int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replies[kind] {
		if r.began.Before(after) {
			continue
		}
		all++
		if r.err == nil && r.status == http.StatusOK && strings.Count(r.body, "data:") == 20 {
			complete++
		}
	}
	return all, complete
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

// crashFleet starts hosts that know each other, and a pool.
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

// playCrashes runs traffic until some time after the third exit.
func playCrashes(f *testFleet, hosts []*host, pool *crashPool, rest time.Duration) *crashTraffic {
	f.t.Helper()
	traffic := &crashTraffic{f: f, hosts: hosts, replies: map[string][]timedReply{}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		traffic.run(ctx, 100*time.Millisecond)
	}()
	f.eventually("three targets have exited", func() bool { _, ok := pool.thirdExit(); return ok })
	time.Sleep(gracePeriod + rest)
	stop()
	<-done
	return traffic
}

// No host sends a request that crashes each target to any target for long, and other requests, the often
// repeated one included, complete.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	f, hosts, pool := crashFleet(t, 6, 9)
	traffic := playCrashes(f, hosts, pool, 2*time.Second)
	late, exits := pool.sentLate()
	third, _ := pool.thirdExit()
	own, ownComplete := traffic.completed("own", third.Add(gracePeriod))
	hot, hotComplete := traffic.completed(hotPath, third.Add(gracePeriod))
	t.Logf("%d targets exited, %d sends too late; %d of %d and %d of %d other requests complete", exits, late, ownComplete, own, hotComplete, hot)
	f.is.True(late <= maxLateSends)
	f.is.True(own > 50 && hot > 50)
	f.is.Equal(ownComplete, own)
	f.is.Equal(hotComplete, hot)
	f.is.Equal(traffic.refusals(hotPath), 0)
}

// stopped sends the request through each host: it must reach no target, and the replies must say that it
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

// The log is unavailable from the start: hosts notify each other. A host that starts meanwhile, with only
// another host to ask, knows the request before it is ready.
func TestCrashingRequestIsStoppedDuringALogOutage(t *testing.T) {
	f, hosts, pool := crashFleet(t, 4, 8)
	f.log.SetFault("", memlog.Fault{Refuse: true})
	playCrashes(f, hosts, pool, 200*time.Millisecond)
	late, exits := pool.sentLate()
	t.Logf("%d targets exited, %d sends too late", exits, late)
	f.is.True(late <= maxLateSends)
	pool.stopped(hosts...)
	starting := f.start(f.settings("young", hosts[0].cfg.Host.PeerListen))
	f.ready(starting)
	pool.stopped(starting)
	f.log.SetFault("", memlog.Fault{})
	f.eventually("the log has the entry", func() bool { return len(hosts[0].guard.Unpersisted()) == 0 })
}

// Hosts that can't reach the log, or that can't be reached for a while, learn of the request when they can.
func TestUnreachableHostsLearnOfCrashingRequests(t *testing.T) {
	f, hosts, pool := crashFleet(t, 5, 8)
	offline := hosts[4]
	f.log.SetFault(offline.name, memlog.Fault{Silent: true})
	isolated := hosts[3]
	for _, s := range isolated.auxServers { // its replies to other hosts are cut, too
		_ = s.Close()
	}
	playCrashes(f, hosts[:3], pool, 200*time.Millisecond)
	late, _ := pool.sentLate()
	f.is.True(late <= maxLateSends)
	pool.stopped(hosts[0], hosts[1], hosts[2], offline)
	f.eventually("the isolated host reads it from the log", func() bool { return isolated.guard.Len() > 0 })
	pool.stopped(isolated)
}

// The quarantine outlives all hosts, until an operator deletes its record.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	f, hosts, pool := crashFleet(t, 3, 8)
	playCrashes(f, hosts, pool, 200*time.Millisecond)
	f.eventually("the log has the entry", func() bool { return len(hosts[0].guard.Unpersisted()) == 0 })
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
