package forward

import (
	"fmt"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// slowDials makes connections to many targets seem to take so long.
func (b *bench) slowDials(took time.Duration) {
	for i := range 16 {
		b.overload.RecordDial(fmt.Sprint("t", i), took, time.Now())
	}
}

// An overloaded host turns requests away at once, as not run, and closes their
// connections, so that their callers come to another host.
func TestOverloadedHostTurnsRequestsAway(t *testing.T) {
	b := newBench(t)
	b.add("p1", "plain", backend.Behaviour{Body: "x"})
	b.slowDials(time.Minute)
	got := b.do(b.request("GET", "/safe/x", ""))
	b.is.Equal(got.status, 503)
	b.is.Equal(got.header.Get("Retry-After"), "2")
	b.is.True(got.closed)
	b.is.Equal(b.runs(), 0)
	b.is.Equal(b.recorder.last(t, "r1").Kind, HostBusy)
}

// A target that an overloaded host can't reach is not ejected: the host is at fault. A
// host at rest ejects it.
func TestOverloadedHostEjectsNobody(t *testing.T) {
	for name, overloaded := range map[string]bool{"at rest": false, "overloaded": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.targets.Put(target.Entry{ID: "dead", Service: "plain", Address: deadAddress(t), Domain: "z1", Slots: 4})
			b.add("p1", "plain", backend.Behaviour{Body: "x"})
			unreached := func() (n int) {
				for _, try := range b.recorder.tries {
					if try.Target == "dead" && try.Result == notSent.String() {
						n++
					}
				}
				return n
			}
			for range 500 {
				if overloaded {
					b.slowDials(110 * time.Millisecond) // most requests are admitted
				}
				b.do(b.request("GET", "/safe/x", ""))
				if unreached() > brokenBeforeEjection {
					break
				}
				if b.targets.Ejected("dead", time.Now()) {
					break
				}
			}
			b.is.Equal(b.targets.Ejected("dead", time.Now()), !overloaded)
			b.is.True(unreached() >= brokenBeforeEjection)
		})
	}
}

// brokenBeforeEjection is more than enough failures in a row for a target to be ejected.
const brokenBeforeEjection = 2
