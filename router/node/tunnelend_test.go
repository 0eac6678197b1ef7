package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/gate"
)

// Guards against a stream without framing that is taken for whole though its target exited midway, as the connection to it goes
// through another host and this host can't tell whether the target is there.
func TestUnframedStreamOfATargetThatExitsIsNotWholeThroughAnotherHost(t *testing.T) {
	for name, cut := range map[string]func(g *gate.Gate){
		"refused": (*gate.Gate).ShutNew,
		"new ones hang": func(g *gate.Gate) {
			g.StallNew()
			g.Freeze()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.bounds = "retry_ratio = 1\n"
			var gates []*gate.Gate
			f.addressFor = func(host, _, address string) string {
				if host != "h0" {
					return address
				}
				g := gate.Open(t, "127.0.0.1", address)
				gates = append(gates, g)
				return g.Address()
			}
			f.publish(config(1, strings.Replace(cutStreamRoute, `"resumable":true`, `"resumable":false`, 1), ""))
			for i := range cutTargets {
				f.engine(fmt.Sprintf("e%d", i), backend.Behaviour{}).SetBehaviour(func(run backend.Run) backend.Behaviour {
					how := backend.Behaviour{Events: 10, Gap: 20 * time.Millisecond, NoLength: true}
					if run.URI == "/e/exits" {
						how.CrashAfter = 3
					}
					return how
				})
			}
			h, other := f.start(f.settings("h0")), f.start(f.settings("h1"))
			f.ready(h)
			f.ready(other)
			f.eventually("h0 knows h1", func() bool { return len(h.fleet.TunnelHosts(h.targets.RegionOf)) == 1 })
			f.is.Equal(f.call(h, "/e/x", "").status, 200)
			for _, g := range gates {
				cut(g)
			}
			began := time.Now()
			f.eventually("h1 carries connections", func() bool {
				return f.call(h, "/e/x", "").status == 200 && h.tunnels.OpenedSince("e", began)
			})

			whole := f.call(h, "/e/x", "")
			f.is.NoErr(whole.err)
			f.is.True(strings.Contains(whole.body, "id: 10\n"))
			got := f.call(h, "/e/exits", "")
			if got.err == nil && got.status == 200 {
				t.Errorf("the caller takes this for a whole response: %q", got.body)
			}
			f.is.True(strings.Contains(got.body, "id: 3\n"))
		})
	}
}
