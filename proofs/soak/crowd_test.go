package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"maststage.dev/platform"
)

// Figures of crowds: callers of one organisation that all use one host and ask for more than its link carries.
const (
	crowdKind     = "crowd"
	thinEvery     = 3 // one seed in this many has hosts with thin links, and crowds
	thinLinkMbps  = 2.0
	maxCrowds     = 3
	minCrowd      = 3
	crowdSpread   = 12
	minCrowdTime  = time.Second
	crowdTimeSpan = 4 * time.Second
	crowdPause    = 100 * time.Millisecond // after a refusal
)

// hasThinHosts reports whether some hosts of a seed have thin links.
func hasThinHosts(seed uint64) bool { return rand.New(rand.NewPCG(seed, 11)).IntN(thinEvery) == 0 }

// capacitySettings is the section of a thin host's settings with the speed of its link. The link itself is as fast as
// any: a host judges by the bytes that it relays.
func (h *host) capacitySettings() string {
	if !h.world.options.thinHosts || h.number%2 != 0 {
		return ""
	}
	return fmt.Sprintf("[capacity]\nlink_mbps = %g\n", thinLinkMbps)
}

// crowds draws the crowds of a seed. They are not faults: no guarantee to other callers depends on them.
func crowds(seed uint64) []event {
	if !hasThinHosts(seed) {
		return nil
	}
	return draw(rand.New(rand.NewPCG(seed, 12)), crowdKind, maxCrowds, minCrowdTime, crowdTimeSpan)
}

// crowd lets callers of one organisation ask a thin host for large responses, one after the other.
func crowd(w *world, e event) {
	h := w.hosts[e.pick%len(w.hosts)/2*2]
	ctx, stop := context.WithTimeout(context.Background(), e.length)
	defer stop()
	var all sync.WaitGroup
	for range minCrowd + int(e.part*crowdSpread) {
		all.Go(func() {
			client := newClient()
			for ctx.Err() == nil {
				if !w.fetchLarge(ctx, client, h) {
					time.Sleep(crowdPause)
				}
			}
		})
	}
	all.Wait()
}

// fetchLarge asks a host for a large response and reads it. It reports whether it came. A success has to be whole.
func (w *world) fetchLarge(ctx context.Context, client *http.Client, h *host) bool {
	id := fmt.Sprintf("%s-%d", w.network, lastRequest.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.listen+safePath+largeQuery, nil)
	if err != nil {
		panic(err)
	}
	req.Host = callersHost
	req.Header.Set(platform.Headers.RequestID, id)
	req.Header.Set(platform.Headers.Key, keyOf(largeTenant))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	if string(body) != largeBody {
		w.watch.violation("whole answer", "%s of a crowd got %d bytes of %d as a success", id, len(body), len(largeBody))
	}
	return true
}

// isReady reports whether the host calls itself ready.
func (h *host) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + h.ready + platform.Environment("", 0).ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
