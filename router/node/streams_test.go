package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/fleet"
	"maststage.dev/router/streamversion"
	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// engineRoutes is a configuration with a number of routes of streams.
func engineRoutes(count int) string {
	var routes []string
	for i := range count {
		routes = append(routes, strings.NewReplacer(`"name":"e"`, fmt.Sprintf(`"name":"e%d"`, i), "/e/", fmt.Sprintf("/e%d/", i)).Replace(engineRoute))
	}
	return config(1, strings.Join(routes, ","), "")
}

// listVersion lists a target of the service e that does not respond.
func (f *testFleet) listVersion(id, version string) {
	f.list(target.Entry{ID: id, Service: "e", Address: "127.0.0.1:1", Domain: "z1", Slots: 4, Version: version})
}

// Guards against a host that takes a new fleet, of which another host starts seconds later, for one whose hosts were all
// lost: it then rations the prepaid budgets until their next top-up.
func TestLateHostOfANewFleetDoesNotTakeAllHostsForLost(t *testing.T) {
	f := newFleet(t)
	f.engine("t1", backend.Behaviour{Body: "x"})
	f.publish(engineRoutes(8))
	a, b := f.start(f.settings("a")), f.start(f.settings("b"))
	f.ready(a)
	f.ready(b)
	time.Sleep(2 * time.Second)
	late := f.start(f.settings("c"))
	f.ready(late)
	f.eventually("it knows the others", func() bool { return late.fleet.Size() == 3 })
	time.Sleep(time.Second)
	f.is.True(!late.fleet.AllHostsLost())
}

// announceEarlier writes an announcement of a host of an earlier build.
func (f *testFleet) announceEarlier(name, address string, sequence int64) {
	value, err := json.Marshal(fleet.Host{Name: name, Incarnation: "old", Address: address, Domain: "z1", Sequence: sequence, StreamVersions: true})
	f.is.NoErr(err)
	f.log.Put(eventlog.Partition{Topic: topicHosts}, name, value)
}

// Guards against joined streams as all hosts of an earlier build, which kept no records of versions, are replaced at once.
func TestFleetReplacedAtOnceByThisBuildDoesNotKnowThePast(t *testing.T) {
	for name, left := range map[string]bool{"stopped": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.listVersion("t2", "v2") // v1 left as the hosts were replaced
			f.publish(config(1, engineRoute, ""))
			names := []string{"a", "b", "c"}
			for i := range 20 {
				for _, host := range names {
					f.announceEarlier(host, "127.0.0.1:1", int64(i))
				}
			}
			if left {
				for _, host := range names {
					f.log.Put(eventlog.Partition{Topic: topicHosts}, host, nil)
				}
			}
			began := time.Now()
			var hosts []*host
			for _, host := range names {
				hosts = append(hosts, f.start(f.settings(host)))
			}
			for _, h := range hosts {
				f.ready(h)
			}
			for i := 0; time.Since(began) < 8*time.Second; i++ {
				found := hosts[0].streams.Find(context.Background(), streamversion.KeyOf("", fmt.Sprint(i)), "e", []string{"e"})
				if found.Verdict == streamversion.Found {
					t.Fatalf("a stream that may have begun at v1 goes on at %s %v after the start: %+v", found.Origin.Version, time.Since(began).Round(time.Millisecond), found)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// Guards against joined streams at a host that was just cut off from the log, and counts its list as the newest for 2 s.
func TestHostThatWasJustCutOffAsksForStreams(t *testing.T) {
	f := newFleet(t)
	f.listVersion("t1", "v1")
	f.publish(config(1, engineRoute, ""))
	names := []string{"a", "b", "c", "d", "e"}
	var hosts []*host
	for _, name := range names {
		hosts = append(hosts, f.start(f.settings(name)))
	}
	for _, h := range hosts {
		f.ready(h)
		f.eventually("it knows the others", func() bool { return h.fleet.Size() == len(names) })
	}
	time.Sleep(time.Second)
	cut, carrier := hosts[0], hosts[1]
	key := streamversion.KeyOf("", "1")
	for i := 2; slices.Contains(carrier.fleet.Holders(key)[:2], cut.cfg.Host.PeerListen); i++ {
		key = streamversion.KeyOf("", fmt.Sprint(i))
	}
	f.log.SetFault("a", memlog.Fault{Refuse: true})
	at := time.Now()
	f.listVersion("t2", "v2")
	f.eventually("the carrier knows v2", func() bool { return len(carrier.targets.RecentVersions("e")) == 2 })
	carrier.streams.Began(key, "e", streamversion.Origin{Service: "e", Version: "v2"}, time.Minute)
	time.Sleep(100 * time.Millisecond) // its holders know it
	found := cut.streams.Find(context.Background(), key, "e", []string{"e"})
	t.Logf("%v after the cut: %+v", time.Since(at).Round(time.Millisecond), found)
	f.is.Equal(found.Origin.Version, "v2")
}
