package target_test

import (
	"fmt"
	"testing"

	"maststage.dev/router/limit"
	"maststage.dev/router/target"
)

// BenchmarkChooseBesideLimits measures a choice among a hundred targets, of which the given number advertise limits,
// on a host of a fleet of a thousand.
func BenchmarkChooseBesideLimits(b *testing.B) {
	for _, limited := range []int{0, 10} {
		b.Run(fmt.Sprint(limited), func(b *testing.B) {
			h := newHost("front-0")
			h.addPeers(hosts(0, 1000))
			for i := range 100 {
				h.targets.Put(target.Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Slots: 64})
			}
			for i := range limited {
				h.targets.ApplyLimitNotice(limit.Notice{Target: fmt.Sprint("t", i), PerSecond: 5, InForce: true})
			}
			for b.Loop() {
				c := h.targets.Choose(target.Requirements{Service: "s"})
				h.targets.BeginRequest(c, 0)
				h.targets.EndRequest(c, 0, target.Succeeded)
			}
		})
	}
}
