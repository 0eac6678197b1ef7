package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

func TestServesByTheNewestConfiguration(t *testing.T) {
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

	// An older version and an invalid one change nothing.
	f.publish(config(4, plainRoute, ""))
	f.publish("{")
	time.Sleep(100 * time.Millisecond)
	f.is.Equal(f.call(h, "/r/x", "").status, 404)
	f.is.Equal(f.call(h, "/new/x", "").status, 200)
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

// A host that can't reach the log gets configuration and targets from other hosts.
func TestHostWithoutLogCatchesUpFromOthers(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			a := f.start(f.settings("a"))
			f.log.SetFault("b", fault)
			b := f.start(f.settings("b", a.cfg.Host.PeerListen))
			f.publish(config(1, plainRoute, ""))
			f.backend("t1", backend.Behaviour{Body: "one"})
			f.ready(a)
			f.ready(b) // although it never reached the log
			f.eventually("b serves", func() bool { return f.call(b, "/r/x", "").body == "one" })
			f.publish(config(2, strings.Replace(plainRoute, "/r/", "/new/", 1), ""))
			f.backend("t2", backend.Behaviour{Body: "two"})
			f.unlist("t1")
			f.eventually("b has the new route and target", func() bool { return f.call(b, "/new/x", "").body == "two" })
		})
	}
}

func TestServesDuringALogOutage(t *testing.T) {
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

// The log returns three versions at once, as after an outage: the second doubles a budget and the third
// sets it back. Only the third is applied, but the budget must get the limits of both: otherwise this
// host, and all others that read the same, would count the second as missed and have to ask others or
// wait for the account.
func TestLimitsOfSkippedVersionsAreSeen(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.backend("b1", backend.Behaviour{})
	f.publish(limitConfig(1, 1000))
	a := f.start(f.settings("a"))
	f.ready(a)

	f.log.SetFault("a", memlog.Fault{Refuse: true})
	f.eventually("the log is unavailable", func() bool { up, _ := a.configReplica.Up(); return !up })
	f.publish(limitConfig(2, 2000))
	f.publish(limitConfig(3, 1000))
	f.log.SetFault("a", memlog.Fault{})
	f.eventually("the newest version is applied", func() bool { return a.handler.Config().Version == 3 })
	history := a.allocator.History()
	is.Equal(history.Since, int64(1)) // nothing was missed
	is.Equal(history.Lowered["o"], int64(3))
}

// limitConfig is a configuration in which the organisation o has a budget.
func limitConfig(version, limit int) string {
	return config(version, plainRoute, fmt.Sprintf(`,"organisations":[{"name":"o","keys":["k"],"prepaid":%d}]`, limit))
}

// Configurations that arrive faster than they are decoded are dropped from the oldest on, and the budgets
// are notified of the gap.
func TestPendingConfigurationsAreBounded(t *testing.T) {
	is := is.New(t)
	var q configQueue
	large := make([]byte, maxPendingConfigBytes/2)
	q.add(configChange{value: large})
	q.add(configChange{value: large})
	is.Equal(len(q.takeAll()), 2)
	for range 3 {
		q.add(configChange{value: large})
	}
	waiting := q.takeAll()
	is.Equal(len(waiting), 2)
	is.True(waiting[0].gap)
	is.True(!waiting[1].gap)
	is.Equal(len(q.takeAll()), 0)
	q.add(configChange{value: make([]byte, 2*maxPendingConfigBytes)})
	is.Equal(len(q.takeAll()), 1) // the newest is always kept
}

// addedRoute is a route that a later version adds.
var addedRoute = strings.Replace(plainRoute, "/r/", "/new/", 1)

// Guards against a host without the log that says of a route which was added meanwhile that there is none.
func TestHostWithoutConfirmationRefusesForNow(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.bounds = "config_ms = 800\n"
			h := f.start(f.settings("h1"))
			f.publish(config(1, plainRoute, ""))
			f.backend("t1", backend.Behaviour{Body: "one"})
			f.ready(h)
			f.eventually("it serves", func() bool { return f.call(h, "/r/x", "").status == 200 })
			f.is.Equal(f.call(h, "/new/x", "").status, 404)

			f.log.SetFault("", fault)
			f.publish(config(2, plainRoute+","+addedRoute, ""))
			f.eventually("its configuration is old", func() bool { return h.configReplica.Age() > h.configAgeLimit() })
			for range 20 {
				f.is.Equal(f.call(h, "/new/x", "").status, 503)
				f.is.Equal(f.call(h, "/r/x", "").status, 200)
				time.Sleep(20 * time.Millisecond)
			}
			f.log.SetFault("", memlog.Fault{})
			f.eventually("it serves the added route", func() bool { return f.call(h, "/new/x", "").status == 200 })
			f.eventually("it knows again that there is no such route", func() bool { return f.call(h, "/none/x", "").status == 404 })
		})
	}
}

// Guards against a host that stays unsure, or behind, although another one tells it that its configuration is the newest.
func TestConfirmationFromAnotherHostCounts(t *testing.T) {
	f := newFleet(t)
	a := f.start(f.settings("a"))
	b := f.start(f.settings("b", a.cfg.Host.PeerListen))
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(a)
	f.ready(b)
	f.eventually("b serves", func() bool { return f.call(b, "/r/x", "").status == 200 })
	f.log.SetFault("b", memlog.Fault{Silent: true})
	refusesForGood := func() {
		f.t.Helper()
		for end := time.Now().Add(2 * b.configAgeLimit()); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			f.is.Equal(f.call(b, "/none/x", "").status, 404)
		}
	}
	refusesForGood()
	f.publish(config(2, plainRoute+","+addedRoute, ""))
	f.eventually("b serves the added route", func() bool { return f.call(b, "/new/x", "").status == 200 })
	refusesForGood()

	f.log.SetFault("a", memlog.Fault{Silent: true})
	f.eventually("nobody can tell", func() bool { return f.call(b, "/none/x", "").status == 503 })
}

// Guards against a revoked key that passes while nobody confirms the configuration.
func TestRevokedKeyIsRefusedWithoutTheLog(t *testing.T) {
	f := newFleet(t)
	f.bounds = "config_ms = 800\n"
	h := f.start(f.settings("h1"))
	f.publish(config(1, plainRoute, `,"organisations":[{"name":"o","keys":["k1","k2"]}]`))
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "k1").status == 200 })
	f.publish(config(2, plainRoute, `,"organisations":[{"name":"o","keys":["k2"]}]`))
	f.eventually("the key is refused", func() bool { return f.call(h, "/r/x", "k1").status == 401 })

	f.log.SetFault("", memlog.Fault{Silent: true})
	refusals := map[int]int{}
	for end := time.Now().Add(3 * h.configAgeLimit()); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		refusals[f.call(h, "/r/x", "k1").status]++
		f.is.Equal(f.call(h, "/r/x", "k2").status, 200)
	}
	f.is.Equal(len(refusals), 2) // first 401, then 503
	f.is.True(refusals[401] > 0)
	f.is.True(refusals[503] > 0)
	f.log.SetFault("", memlog.Fault{})
	f.eventually("the key is refused for good again", func() bool { return f.call(h, "/r/x", "k1").status == 401 })
}
