package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/suspend"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// pausable is the clocks of a host that a test suspends.
type pausable struct {
	clocks    suspend.Clocks
	suspended atomic.Int64
}

func newPausable() *pausable {
	p := &pausable{clocks: suspend.SystemClocks()}
	boot := p.clocks.Boot
	p.clocks.Boot = func() time.Duration { return boot() + time.Duration(p.suspended.Load()) }
	return p
}

// suspend advances time without the host's monotonic clock.
func (p *pausable) suspend(d time.Duration) { p.suspended.Add(int64(d)) }

// A host that was suspended must not serve by its old state: configuration, keys and targets have changed
// meanwhile. It refreshes them first and then serves by the current state.
func TestSuspendedHostCatchesUpFirst(t *testing.T) {
	f := newFleet(t)
	clocks := newPausable()
	f.publish(config(1, plainRoute, `,"organisations":[{"name":"o","keys":["k1","k2"]}]`))
	old := f.backend("t1", backend.Behaviour{Body: "one"})
	h := f.startWith(f.settings("h1"), clocks.clocks)
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "k1").body == "one" })

	// Changes during the suspension don't reach the host.
	f.log.SetFault(h.name, memlog.Fault{Silent: true})
	f.publish(config(2, plainRoute, `,"organisations":[{"name":"o","keys":["k2"]}]`))
	f.unlist("t1")
	f.backend("t2", backend.Behaviour{Body: "two"})
	before := old.Arrivals()
	clocks.suspend(10 * time.Second)
	h.suspensions.Check()
	f.is.True(!h.Ready())
	f.is.Equal(f.call(h, "/r/x", "k1").status, http.StatusServiceUnavailable) // not by the old key
	f.log.SetFault(h.name, memlog.Fault{})
	back := time.Now()
	f.eventually("it serves by the current state", func() bool { return f.call(h, "/r/x", "k2").body == "two" })
	f.is.True(time.Since(back) < time.Second) // not only when the hosts' topic is polled
	f.is.True(h.Ready())
	f.is.Equal(f.call(h, "/r/x", "k1").status, http.StatusUnauthorized)
	f.is.Equal(old.Arrivals(), before)
	_, elected := h.elected("duty", 1)
	f.is.True(!elected) // others may have taken its place
}

// If nobody reports what it missed, a host that returns serves by its old state after a while.
func TestSuspendedHostServesAgainWithoutTheLog(t *testing.T) {
	f := newFleet(t)
	clocks := newPausable()
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Body: "one"})
	h := f.startWith(f.settings("h1"), clocks.clocks)
	f.ready(h)
	f.log.SetFault("", memlog.Fault{Silent: true})
	clocks.suspend(10 * time.Second)
	h.suspensions.Check()
	woke := time.Now()
	f.is.True(!h.Ready())
	f.eventually("it is ready", h.Ready)
	f.is.True(time.Since(woke) >= maxCatchUp)
	f.is.Equal(f.call(h, "/r/x", "").body, "one")
}

// Other hosts report what it missed while it can't reach the log.
func TestSuspendedHostCatchesUpFromOthers(t *testing.T) {
	f := newFleet(t)
	clocks := newPausable()
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Body: "one"})
	a := f.start(f.settings("a"))
	h := f.startWith(f.settings("h1", a.cfg.Host.PeerListen), clocks.clocks)
	f.ready(a)
	f.ready(h)
	f.log.SetFault(h.name, memlog.Fault{Refuse: true})
	f.publish(config(2, strings.Replace(plainRoute, "/r/", "/new/", 1), ""))
	clocks.suspend(10 * time.Second)
	h.suspensions.Check()
	woke := time.Now()
	f.eventually("it serves by the current state", func() bool { return f.call(h, "/new/x", "").status == http.StatusOK })
	f.is.True(h.Ready())
	f.is.True(time.Since(woke) < maxCatchUp)
	_, told := f.log.Get(eventlog.Partition{Topic: topicConfig}, "config")
	f.is.True(told)
}

// The caller's deadline counts the time of a suspension: a target gets just the time that is left.
func TestDeadlineCountsASuspension(t *testing.T) {
	f := newFleet(t)
	clocks := newPausable()
	f.publish(config(1, plainRoute, ""))
	warm := f.backend("t0", backend.Behaviour{Body: "warm"})
	h := f.startWith(f.settings("h1"), clocks.clocks)
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "").body == "warm" })
	for range 10 { // this many allow a retry
		f.call(h, "/r/x", "")
	}
	slow := f.backend("t1", backend.Behaviour{Delay: 300 * time.Millisecond, BreakAfter: 1, Body: "broken"})
	f.unlist(warm.ID)
	f.eventually("only the slow one is left", func() bool { return h.targets.TotalReady() == 1 })
	time.Sleep(100 * time.Millisecond)
	answered := make(chan reply, 1)
	go func() { answered <- f.call(h, "/r/x", "") }()
	f.eventually("it is in flight", func() bool { return slow.Arrivals() == 1 })
	good := f.backend("t2", backend.Behaviour{Body: "two"})
	f.eventually("another target", func() bool { return h.targets.TotalReady() == 2 })
	clocks.suspend(time.Second) // of the three that the route allows
	h.suspensions.Check()
	f.is.Equal((<-answered).body, "two")
	left, err := time.ParseDuration(good.Runs()[0].Header.Get("X-Deadline") + "ms")
	f.is.NoErr(err)
	f.is.True(left < 1800*time.Millisecond)
}
