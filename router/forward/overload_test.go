package forward

import (
	"fmt"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// overloaded makes connections to many targets seem to take long.
func (b *bench) overloaded() {
	for i := range 200 {
		b.overload.Dialled(fmt.Sprint("t", i%8), time.Minute, time.Now())
	}
}

// An overloaded host turns requests away at once, as not run, and closes their
// connections, so that their callers come to another host.
func TestOverloadedHostTurnsRequestsAway(t *testing.T) {
	b := newBench(t)
	b.add("p1", "plain", backend.Behaviour{Body: "x"})
	b.overloaded()
	got := b.do(b.request("GET", "/safe/x", ""))
	b.is.Equal(got.status, 503)
	b.is.Equal(got.header.Get("Retry-After"), "0.05")
	b.is.True(got.closed)
	b.is.Equal(b.runs(), 0)
	b.is.Equal(b.recorder.last(t, "r1").Kind, HostBusy)
}

// A target that an overloaded host can't reach is not ejected: the host is at fault.
func TestOverloadedHostEjectsNobody(t *testing.T) {
	b := newBench(t)
	dead := target.Entry{ID: "dead", Service: "plain", Address: deadAddress(t), Domain: "z1", Slots: 4}
	b.targets.Put(dead)
	b.add("p1", "plain", backend.Behaviour{Body: "x"})
	fail := func() bool {
		for range 20 {
			b.do(b.request("GET", "/safe/x", ""))
		}
		chosen := b.targets.Choose(target.Want{Service: "plain", Exclude: map[string]bool{"p1": true}})
		return chosen != nil && b.targets.Ejected("dead", time.Now())
	}
	b.is.True(fail()) // a host at rest ejects it
	b.targets.Remove("dead")
	dead.ID = "dead2"
	b.targets.Put(dead)
	b.overloaded()
	for range 20 {
		b.do(b.request("GET", "/safe/x", ""))
	}
	b.is.True(!b.targets.Ejected("dead2", time.Now()))
}
