package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/gate"
)

// Guards against a stream without framing that is taken for whole though its target exited midway, as the connection to it goes
// through another host and this host can't tell whether the target is there.
func TestUnframedStreamOfATargetThatExitsIsNotWholeThroughAnotherHost(t *testing.T) {
	f := newFleet(t)
	f.bounds = "retry_ratio = 1\n"
	var mu sync.Mutex
	gates := map[string]*gate.Gate{} // by target
	f.addressFor = func(host, target, address string) string {
		mu.Lock()
		defer mu.Unlock()
		if host != "h0" {
			return address
		}
		if gates[target] == nil {
			gates[target] = gate.Open(t, "127.0.0.1", address)
		}
		return gates[target].Address()
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
	mu.Lock()
	for _, g := range gates {
		g.StallNew()
		g.Freeze()
	}
	mu.Unlock()
	began := time.Now()
	f.eventually("h1 carries connections", func() bool {
		go f.call(h, "/e/x", "") // a few requests show the host what has happened
		time.Sleep(detectionPause)
		return h.tunnels.OpenedSince("e", began)
	})

	whole := f.call(h, "/e/x", "")
	f.is.NoErr(whole.err)
	f.is.True(strings.Contains(whole.body, "id: 10\n"))
	got := f.call(h, "/e/exits", "")
	if got.err == nil && got.status == 200 {
		t.Errorf("the caller takes this for a whole response: %q", got.body)
	}
	f.is.True(strings.Contains(got.body, "id: 3\n"))
}
