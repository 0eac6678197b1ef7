package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Figures of the test of one host that gets most new connections.
const (
	hotWarmUp   = 4 * time.Second
	hotTime     = 8 * time.Second
	hotContact  = 3 * time.Second      // after this time requests are served as before
	hotInterval = 4 * time.Millisecond // between two requests of all callers before, each on a new connection
	hotFaster   = 2                    // how many times as many come meanwhile
	minHotShare = 0.75                 // of the share that was served before
	hotOther    = 0.05                 // share of the new connections that still go to other hosts
)

// Guards against a host that reads more requests than it can serve while the balancer hands it nearly all new connections.
func TestHostWithMostNewConnectionsServes(t *testing.T) {
	for _, c := range []struct {
		name            string
		hosts, maxConns int
	}{
		{"8 hosts", 8, 0}, {"24 hosts", 24, 0}, {"24 hosts, few connections", 24, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorldWith(t, c.hosts, 1, worldOptions{engines: 12, maxConns: c.maxConns})
			time.Sleep(versionsSettle)
			random := rand.New(rand.NewPCG(1, 40))
			var before, during tally
			w.newConnections(hotWarmUp, hotInterval, random, &before, 0, func() *host { return w.hosts[random.IntN(c.hosts)] })
			w.newConnections(hotTime, hotInterval/hotFaster, random, &during, hotContact, func() *host {
				if random.Float64() < hotOther {
					return w.hosts[random.IntN(c.hosts)]
				}
				return w.hosts[3]
			})
			t.Logf("first attempts served: before %d of %d, while one host gets most %d of %d", before.served, before.sent, during.served, during.sent)
			if during.sent < 100 || during.share() < minHotShare*before.share() {
				w.watch.violation("one host", "served %d of %d, before %d of %d", during.served, during.sent, before.served, before.sent)
			}
			w.report(1, nil)
		})
	}
}

// unreadTries is how often a caller tries another host after one that closed its connection unread. If no host reads the
// request, it counts as not served.
const unreadTries = 2

// closedUnread reports whether a connection was closed without any response.
func closedUnread(c call) bool {
	return c.status == 0 && c.err != nil && c.ended.Sub(c.started) < unreadWithin
}

// unreadWithin is the time within which a host closes a connection that it does not read.
const unreadWithin = 100 * time.Millisecond

// newConnections sends requests, each on a connection of its own, and counts the first attempts that hosts read, from skip
// on.
func (w *world) newConnections(length, interval time.Duration, random *rand.Rand, count *tally, skip time.Duration, pick func() *host) {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	var mu sync.Mutex
	begin := time.Now()
	for ctx.Err() == nil {
		h, own := pick(), rand.New(rand.NewPCG(random.Uint64(), 0))
		path := []string{streamPath, streamPath, safePath, unsafePath}[random.IntN(4)]
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: requestLimit}
			c := w.send(client, h, path, largeTenant, own)
			for range unreadTries {
				if !closedUnread(c) {
					break
				}
				c = w.send(client, w.hosts[own.IntN(len(w.hosts))], path, largeTenant, own) // retries reach any host
			}
			if c.started.Sub(begin) < skip {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			count.add(c)
		})
		time.Sleep(interval)
	}
}
