package forward

import (
	"fmt"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// recordSlowDials records dials of the given duration to many targets.
func (f *fixture) recordSlowDials(took time.Duration) {
	for i := range 16 {
		f.overload.RecordDial(fmt.Sprint("t", i), took, time.Now())
	}
}

// Guards against an overloaded host that keeps requests waiting, reports them as possibly run, or
// keeps their connections open, so that callers don't move to another host.
func TestOverloadedHostRefusesRequests(t *testing.T) {
	f := newFixture(t)
	f.add("p1", "plain", backend.Behaviour{Body: "x"})
	f.recordSlowDials(time.Minute)
	got := f.do(f.request("GET", "/safe/x", ""))
	f.is.Equal(got.status, 503)
	f.is.Equal(got.header.Get("Retry-After"), "2")
	f.is.True(got.closed)
	f.is.Equal(f.runCount(), 0)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, HostBusy)
}

// Guards against ejecting a target that an overloaded host can't reach, where the host is at fault,
// and against not ejecting it if the host is idle.
func TestOverloadedHostEjectsNoTarget(t *testing.T) {
	for name, overloaded := range map[string]bool{"idle": false, "overloaded": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.targets.Put(target.Entry{ID: "dead", Service: "plain", Address: deadAddress(t), Domain: "z1", Slots: 4})
			f.add("p1", "plain", backend.Behaviour{Body: "x"})
			unreached := func() (n int) {
				for _, a := range f.recorder.attempts {
					if a.Target == "dead" && a.Result == notSent.String() {
						n++
					}
				}
				return n
			}
			for range 500 {
				if overloaded {
					f.recordSlowDials(110 * time.Millisecond) // most requests are admitted
				}
				f.do(f.request("GET", "/safe/x", ""))
				if unreached() > failuresToEject {
					break
				}
				if f.targets.Ejected("dead", time.Now()) {
					break
				}
			}
			f.is.Equal(f.targets.Ejected("dead", time.Now()), !overloaded)
			f.is.True(unreached() >= failuresToEject)
		})
	}
}

// failuresToEject is more than enough consecutive failures to eject a target.
const failuresToEject = 2
