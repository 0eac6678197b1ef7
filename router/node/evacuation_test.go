package node

import (
	"testing"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// only reports whether ten calls through a host were all served by one target.
func (f *testFleet) only(h *host, body string) bool {
	for range 10 {
		if f.call(h, "/r/x", "").body != body {
			return false
		}
	}
	return true
}

// evacuationFleet is a log with one target in each of two failure domains.
func evacuationFleet(t *testing.T) *testFleet {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	f.backendIn("z1", "t1", backend.Behaviour{Body: "one"})
	f.backendIn("z2", "t2", backend.Behaviour{Body: "two"})
	return f
}

func TestEvacuationIsFollowedAndWithdrawn(t *testing.T) {
	f := evacuationFleet(t)
	h := f.start(f.settings("h1"))
	f.ready(h)
	f.eventually("both serve", func() bool { return f.only(h, "one") }) // its own domain, one at a time
	f.evacuate("z1", true)
	f.eventually("the other domain serves", func() bool { return f.only(h, "two") })

	// With all domains evacuated no target is left, and requests are refused at once.
	f.evacuate("z2", true)
	f.is.Equal(f.waitStatus(h, "/r/x", 503), 503)
	f.evacuate("z1", false)
	f.eventually("z1 serves again", func() bool { return f.only(h, "one") })

	// Invalid records and records of unknown domains change nothing.
	f.log.Put(eventlog.Partition{Topic: topicConfig}, evacuationPrefix+"z1", []byte("garbled"))
	f.evacuate("elsewhere", true)
	f.evacuate("z2", false)
	f.eventually("both are back", func() bool { return h.targets.CountEvacuatedDomains() == 1 })
	// Not at the first try: on a busy machine a target that was slow once is passed over for a moment.
	f.eventually("its own domain serves", func() bool { return f.only(h, "one") })
}

// A host that can't reach the log learns of evacuations and of their ends from other hosts.
func TestHostWithoutLogLearnsOfEvacuations(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			f := evacuationFleet(t)
			a := f.start(f.settings("a"))
			b := f.start(f.settings("b", a.cfg.Host.PeerListen))
			f.ready(a)
			f.ready(b)
			f.log.SetFault("b", fault)
			f.evacuate("z1", true)
			f.eventually("b leaves the domain", func() bool { return f.only(b, "two") })
			f.evacuate("z1", false)
			f.eventually("b uses the domain again", func() bool { return f.only(b, "one") })
		})
	}
}

// A starting host knows of evacuations before it is ready, even if the log's history is trimmed or only a
// snapshot of the topic can be read.
func TestStartingHostKnowsOfEvacuations(t *testing.T) {
	config := eventlog.Partition{Topic: topicConfig}
	for name, fault := range map[string]func(f *testFleet){
		"log":                 func(*testFleet) {},
		"history trimmed":     func(f *testFleet) { f.log.Trim(config) },
		"snapshot of a topic": func(f *testFleet) { f.log.SetPartitionFault(config, memlog.Fault{Refuse: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := evacuationFleet(t)
			f.evacuate("z1", true)
			a := f.start(f.settings("a"))
			f.ready(a)
			f.eventually("snapshots are written", func() bool {
				_, ok := f.log.Get(eventlog.Partition{Topic: topicArchive}, topicConfig)
				return ok
			})
			fault(f)
			b := f.start(f.settings("b"))
			f.ready(b)
			f.is.True(f.only(b, "two"))
		})
	}
}

// An evacuation that ended in a trimmed part of the log's history ends at this host, too.
func TestEndOfAnEvacuationIsSeenInAGap(t *testing.T) {
	f := evacuationFleet(t)
	h := f.start(f.settings("h1"))
	f.ready(h)
	f.evacuate("z1", true)
	f.eventually("the other domain serves", func() bool { return f.only(h, "two") })
	f.log.SetFault("h1", memlog.Fault{Refuse: true})
	f.evacuate("z1", false)
	f.log.Trim(eventlog.Partition{Topic: topicConfig})
	f.log.SetFault("h1", memlog.Fault{})
	f.eventually("z1 serves again", func() bool { return f.only(h, "one") })
}
