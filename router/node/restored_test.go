package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// routeVersion is a configuration that serves only the path of its own version.
func routeVersion(version int, path string) string {
	return config(version, strings.Replace(plainRoute, "/r/", path, 1), "")
}

// restore replaces the log by a copy after a moment in which it answers nobody.
func (f *testFleet) restore(copied memlog.Snapshot) {
	f.log.SetFault("", memlog.Fault{Refuse: true})
	time.Sleep(300 * time.Millisecond)
	f.log.Restore(copied)
	f.log.SetFault("", memlog.Fault{})
}

// configBound is how long after its acknowledgement a configuration may not be in force on all hosts.
const configBound = 2 * time.Second

// Guards against a configuration that is ignored, or replaced by an older one, since the log came back from a copy that
// lacks earlier versions.
func TestConfigurationIsAppliedAfterTheLogWasRestored(t *testing.T) {
	f := newFleet(t)
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.publish(routeVersion(1, "/v1/"))
	var hosts []*host
	for _, name := range []string{"a", "b", "c"} {
		h := f.start(f.settings(name))
		f.ready(h)
		hosts = append(hosts, h)
	}
	serve := func(path string) {
		t.Helper()
		began := time.Now()
		for _, h := range hosts {
			f.eventually(path+" is served", func() bool { return f.call(h, path+"x", "").status == 200 })
		}
		f.is.True(time.Since(began) < configBound)
	}
	copied := f.log.Snapshot()
	for version := 2; version <= 9; version++ {
		f.publish(routeVersion(version, "/old/"))
	}
	f.publish(routeVersion(10, "/v10/"))
	serve("/v10/")

	f.restore(copied)
	time.Sleep(500 * time.Millisecond)
	for _, h := range hosts {
		f.is.Equal(f.call(h, "/v10/x", "").status, 200) // acknowledged, and not superseded
		f.is.Equal(f.call(h, "/v1/x", "").status, 404)
	}
	f.publish(routeVersion(10, "/v10/")) // the operator writes it again
	f.publish(routeVersion(12, "/v12/"))
	serve("/v12/")

	// Once more, and a host that starts afterwards.
	copied = f.log.Snapshot()
	f.publish(routeVersion(13, "/old/"))
	f.publish(routeVersion(14, "/v14/"))
	serve("/v14/")
	f.restore(copied)
	f.publish(routeVersion(15, "/v15/"))
	serve("/v15/")
	late := f.start(f.settings("d"))
	f.ready(late)
	hosts = append(hosts, late)
	serve("/v15/")
}

// Guards against a leaving target that an older entry, back in the restored log, puts into use again.
func TestTargetThatLeftStaysUnusedAfterTheLogWasRestored(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	leaving := f.backend("t1", backend.Behaviour{Body: "one"})
	f.backend("t2", backend.Behaviour{Body: "two"})
	h := f.start(f.settings("a"))
	f.ready(h)
	f.eventually("both targets are used", func() bool {
		f.call(h, "/r/x", "")
		return len(leaving.Runs()) > 0
	})
	copied := f.log.Snapshot()
	f.list(target.Entry{ID: "t1", Service: "s", Address: leaving.Address(), Domain: "z1", Slots: 4, State: target.Draining})
	f.eventually("the host knows that it drains", func() bool { return h.targets.CountReady("s") == 1 })
	f.restore(copied)
	known := leaving.Arrivals()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.is.Equal(f.call(h, "/r/x", "").status, 200)
	}
	f.is.Equal(leaving.Arrivals(), known)
}

// Guards against a withdrawn evacuation that is in force again since the restored log has the order.
func TestWithdrawnEvacuationStaysWithdrawnAfterTheLogWasRestored(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	f.backendIn("z1", "t1", backend.Behaviour{Body: "one"})
	f.evacuate("z1", true)
	h := f.start(f.settings("a"))
	f.ready(h)
	f.eventually("the evacuation is in force", func() bool { return h.targets.CountEvacuatedDomains() == 1 })
	copied := f.log.Snapshot()
	f.evacuate("z1", false)
	f.eventually("the evacuation is withdrawn", func() bool { return h.targets.CountEvacuatedDomains() == 0 })
	f.restore(copied)
	time.Sleep(500 * time.Millisecond)
	f.is.Equal(h.targets.CountEvacuatedDomains(), 0)
	f.evacuate("z1", true)
	f.eventually("the next order is followed", func() bool { return h.targets.CountEvacuatedDomains() == 1 })
}

// Guards against tokens that are spent twice since the restored log lacks grants, with requests at all hosts meanwhile.
func TestBudgetIsNotOverspentAfterTheLogWasRestored(t *testing.T) {
	f := newFleet(t)
	const limit, used = 20_000, 80 // 60 tokens in and 20 out
	f.publish(config(1, engineRoute, fmt.Sprintf(`,"organisations":[{"name":"o","keys":["k"],"prepaid":%d}]`, limit)))
	e := f.engine("e1", backend.Behaviour{Events: 20})
	var hosts []*host
	for _, name := range []string{"a", "b", "c"} {
		h := f.start(f.settings(name))
		f.ready(h)
		hosts = append(hosts, h)
	}
	call := func(n int) {
		for range n {
			for _, h := range hosts {
				f.call(h, "/e/x", "k")
			}
		}
	}
	call(5)
	copied := f.log.Snapshot()
	call(40)
	f.restore(copied)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		call(5)
	}
	f.t.Logf("%d requests of %d tokens ran", len(e.Runs()), used)
	f.is.True(len(e.Runs())*used <= limit)
	f.is.True(len(e.Runs())*used >= limit*8/10)
	for _, h := range hosts {
		f.is.True(h.fleet.HostsConfirmed(1))
	}
}

// Guards against notices between hosts that a restored log lacks, so that hosts started later do not know them, and
// against all hosts writing them again.
func TestLostNoticesAreWrittenAgainByOneHost(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Body: "one"})
	var hosts []*host
	for _, name := range []string{"a", "b", "c"} {
		h := f.start(f.settings(name))
		f.ready(h)
		hosts = append(hosts, h)
	}
	digest := strings.Repeat("ab", 16)
	p, key := eventlog.Partition{Topic: topicHosts}, quarantine.KeyPrefix+digest
	copied := f.log.Snapshot()
	f.log.Put(p, key, fmt.Appendf(nil, `{"digest":%q,"host":"a"}`, digest))
	f.eventually("all hosts know the notice", func() bool {
		for _, h := range hosts {
			if h.guard.Len() != 1 {
				return false
			}
		}
		return true
	})
	f.restore(copied)
	f.eventually("the notice is back", func() bool {
		_, ok := f.log.Get(p, key)
		return ok
	})
	first, _ := f.log.Get(p, key)
	time.Sleep(2 * time.Second)
	again, _ := f.log.Get(p, key)
	f.is.Equal(again.Position, first.Position)
	for _, h := range hosts {
		f.is.Equal(h.guard.Len(), 1)
		_, announced := f.log.Get(p, h.name)
		f.is.True(announced)
	}
}
