package node

import (
	"testing"
	"time"

	"maststage.dev/standin/backend"
)

// limitedFleet is three hosts that know each other, with two targets of which one advertises a rate limit.
type limitedFleet struct {
	*testFleet
	hosts   []*host
	limited *backend.Backend
}

func newLimitedFleet(t *testing.T) *limitedFleet {
	f := &limitedFleet{testFleet: newFleet(t)}
	f.publish(config(1, plainRoute, ""))
	f.limited = f.backend("t1", backend.Behaviour{Body: "ok"})
	f.backend("t2", backend.Behaviour{Body: "ok"})
	first := f.settings("h1")
	f.hosts = append(f.hosts, f.start(first))
	for _, name := range []string{"h2", "h3"} {
		f.hosts = append(f.hosts, f.start(f.settings(name, first.Host.PeerListen)))
	}
	for _, h := range f.hosts {
		f.ready(h)
	}
	return f
}

// advertise sets the rate limit that the target advertises; no values: no limit.
func (f *limitedFleet) advertise(values ...string) {
	f.limited.SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Body: "ok", Limit: values} })
}

// sendFor sends requests through all hosts for a while, and counts those that reached the target.
func (f *limitedFleet) sendFor(d time.Duration) int {
	f.t.Helper()
	before := f.limited.Arrivals()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, h := range f.hosts {
			f.is.Equal(f.call(h, "/r/x", "").status, 200)
		}
	}
	return f.limited.Arrivals() - before
}

// Guards against hosts that each send the whole limit, that don't notify each other of it, and that send
// a target nothing after its limit has ended.
func TestHostsKeepToALimitTogether(t *testing.T) {
	f := newLimitedFleet(t)
	f.sendFor(7 * time.Second) // until they share duties
	f.advertise("2")
	f.sendFor(2 * time.Second)
	got := f.sendFor(4 * time.Second)
	t.Logf("%d requests in 4 s at a limit of 2 a second", got)
	f.is.True(got <= 17)
	f.is.True(got >= 4)
	for _, h := range f.hosts {
		f.is.Equal(len(h.targets.Limits()), 1)
	}
	f.advertise()
	f.eventually("all hosts know that the limit has ended", func() bool {
		f.sendFor(200 * time.Millisecond)
		for _, h := range f.hosts {
			if len(h.targets.Limits()) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a starting host that sends a target its usual load before it has learned of a limit.
func TestStartingHostKnowsOfLimits(t *testing.T) {
	f := newLimitedFleet(t)
	f.advertise("0.5")
	f.eventually("the limit is in the log", func() bool {
		f.sendFor(100 * time.Millisecond)
		for _, h := range f.hosts {
			if limits := h.targets.Limits(); len(limits) == 0 || !limits[0].Published {
				return false
			}
		}
		return true
	})
	late := f.start(f.settings("h4", f.hosts[0].cfg.Host.PeerListen))
	f.ready(late)
	before := f.limited.Arrivals()
	for range 30 {
		f.is.Equal(f.call(late, "/r/x", "").status, 200)
	}
	f.is.Equal(f.limited.Arrivals(), before)
}
