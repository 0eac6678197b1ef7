package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Figures of the probes.
const (
	probePause   = 250 * time.Millisecond
	configWithin = 2 * time.Second // a configuration is in force everywhere
)

// probe asks a host again and again which configuration is in force.
func (w *world) probe(ctx context.Context, h *host) {
	client := newClient()
	random := rand.New(rand.NewPCG(1, uint64(h.number)))
	served, starts := int64(0), 0
	for ctx.Err() == nil {
		h.mu.Lock()
		if h.starts != starts {
			served, starts = 0, h.starts
		}
		started := h.started
		h.mu.Unlock()
		version, published := w.watch.newestVersion()
		switch w.has(client, h, version, random) {
		case http.StatusOK:
			served = max(served, version)
		case http.StatusNotFound:
			w.late(h, version, published, started)
		}
		if served > 1 && w.has(client, h, served, random) == http.StatusNotFound && h.same(starts) {
			w.watch.violation("configuration", "%s went back behind version %d", h.name, served)
		}
		time.Sleep(probePause)
	}
}

// late notes a configuration that is not in force in time at a host that no fault
// strikes.
func (w *world) late(h *host, version int64, published, started time.Time) {
	now := time.Now()
	if version == 1 || now.Sub(published) < configWithin+slack || started.After(published) || !w.watch.calm(published, now) {
		return
	}
	w.watch.violation("configuration", "%s does not serve version %d after %v", h.name, version, now.Sub(published).Round(time.Millisecond))
}

// has asks for the route that a version added and gives the status, 0 without an
// answer.
func (w *world) has(client *http.Client, h *host, version int64, random *rand.Rand) int {
	c := w.send(client, h, fmt.Sprintf("%s%d/", versionPrefix, version), "", random)
	w.watch.call(c)
	return c.status
}

// same says whether the host's process is still the one of a start.
func (h *host) same(starts int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts == starts
}

// recoverWithin bounds the recovery after all faults are over. It is far above what
// the platform asks for, so that a busy machine does not matter.
const recoverWithin = 40 * time.Second

// recovered checks that all hosts serve again, with the newest configuration, and that
// none sends anything to targets that left.
func (w *world) recovered() {
	for i := range 2 {
		targetLeaves(w, event{pick: i, part: float64(i)})
	}
	left := time.Now()
	w.setKey(false)
	version, _ := w.watch.newestVersion()
	client := newClient()
	random := rand.New(rand.NewPCG(1, 1))
	for _, h := range w.hosts {
		w.eventually(h, "serves", func() bool {
			for _, path := range []string{streamPath, safePath, unsafePath} {
				c := w.send(client, h, path, largeTenant, random)
				w.watch.call(c)
				if c.status != http.StatusOK || c.err != nil {
					return false
				}
			}
			return true
		})
		w.eventually(h, "has the newest configuration", func() bool { return w.has(client, h, version, random) == http.StatusOK })
		w.eventually(h, "refuses the key that was taken away", func() bool {
			c := w.send(client, h, safePath, revokedTenant, random)
			w.watch.call(c)
			return c.status == http.StatusUnauthorized
		})
	}
	time.Sleep(time.Until(left.Add(drainWithin + slack)))
	w.watch.recovered()
	time.Sleep(lastTraffic)
}

// lastTraffic is how long traffic goes on when all is well again.
const lastTraffic = time.Second

func (w *world) eventually(h *host, what string, cond func() bool) {
	for deadline := time.Now().Add(recoverWithin); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if cond() {
			return
		}
	}
	w.watch.violation("recovery", "%s: not %v after all faults: %s", h.name, recoverWithin, what)
}
