package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// noVersion is a version that is never published.
const noVersion = -1

// Figures of the probes.
const (
	probePause   = 250 * time.Millisecond
	configWithin = 2 * time.Second // after this time a configuration is in force on all hosts
)

// probe repeatedly checks which configuration is in force on a host, and that it is never an older one
// than before.
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
		switch w.versionStatus(client, h, version, random) {
		case http.StatusOK:
			served = max(served, version)
		case http.StatusNotFound:
			w.checkConfigAge(h, version, published, started)
		case http.StatusServiceUnavailable:
			// A host that can't tell whether its configuration is the newest refuses a route of no version likewise.
			if w.versionStatus(client, h, noVersion, random) == http.StatusServiceUnavailable {
				w.checkConfigAge(h, version, published, started)
			}
		}
		if served > 1 && w.versionStatus(client, h, served, random) == http.StatusNotFound && h.isStart(starts) {
			w.watch.violation("configuration", "%s reverted to a version before %d", h.name, served)
		}
		time.Sleep(probePause)
	}
}

// checkConfigAge records a violation if a configuration is not in force in time on a host and there
// was no fault.
func (w *world) checkConfigAge(h *host, version int64, published, started time.Time) {
	now := time.Now()
	if version == 1 || now.Sub(published) < configWithin+slack || started.After(published) || !w.watch.faultFree(published, now) {
		return
	}
	w.watch.violation("configuration", "%s does not serve version %d after %v", h.name, version, now.Sub(published).Round(time.Millisecond))
}

// versionStatus requests the route that a version added and returns the status, 0 without a response.
func (w *world) versionStatus(client *http.Client, h *host, version int64, random *rand.Rand) int {
	c := w.send(client, h, fmt.Sprintf("%s%d/", versionPrefix, version), "", random)
	w.watch.call(c)
	return c.status
}

// isStart reports whether the host was started this many times so far: it was not restarted since
// starts was read.
func (h *host) isStart(starts int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts == starts
}

// recoverWithin bounds the recovery after all faults are over. It is far above what the platform
// requires, so that a busy machine does not matter.
const recoverWithin = 40 * time.Second

// recovered checks that all hosts serve again with the newest configuration. It lets two targets leave
// first, so that later checks cover requests to targets that left.
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
		w.eventually(h, "has the newest configuration", func() bool { return w.versionStatus(client, h, version, random) == http.StatusOK })
		w.eventually(h, "refuses the revoked key", func() bool {
			c := w.send(client, h, safePath, revokedTenant, random)
			w.watch.call(c)
			return c.status == http.StatusUnauthorized
		})
	}
	for _, h := range w.hosts {
		w.eventually(h, "is ready", func() bool { return h.isReady(client) })
	}
	time.Sleep(time.Until(left.Add(drainWithin + slack)))
	w.watch.recovered()
	time.Sleep(lastTraffic)
}

// lastTraffic is how long traffic continues after recovery.
const lastTraffic = time.Second

func (w *world) eventually(h *host, what string, cond func() bool) {
	for deadline := time.Now().Add(recoverWithin); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if cond() {
			return
		}
	}
	w.watch.violation("recovery", "%s: condition not met within %v after all faults: %s", h.name, recoverWithin, what)
}
