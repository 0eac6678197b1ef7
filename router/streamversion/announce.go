package streamversion

import (
	"context"
	"maps"
	"slices"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
)

// Timing of announcements.
const (
	// announceDelay batches announcements to the same host.
	announceDelay = 2 * time.Millisecond
	// checkInterval is the time between two checks whether a service has more than one version by now.
	checkInterval   = 200 * time.Millisecond
	sweepInterval   = time.Second
	announceTimeout = 500 * time.Millisecond
	// holders is how many other hosts are told of a stream.
	holders = 2
)

// Run announces streams until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		case <-d.wake:
			wait.For(ctx, announceDelay)
		}
		d.announce(ctx)
		if now := time.Now(); now.Sub(swept) > sweepInterval {
			swept = now
			d.sweep(now)
		}
	}
}

func (d *Directory) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.sweep(now)
	for route, keys := range d.pending {
		for k := range keys {
			if d.table.streams[k] == nil {
				delete(keys, k)
			}
		}
		if len(keys) == 0 {
			delete(d.pending, route)
		}
	}
}

// announce tells the holders of the streams that they have to know, and has them recorded in the log.
func (d *Directory) announce(ctx context.Context) {
	due := d.takeDue()
	if d.opts.Journal != nil {
		d.opts.Journal.Add(due)
	}
	for rank := range holders {
		d.tellAll(ctx, due, rank)
	}
}

// tellAll tells the host of a rank among the holders of each stream.
func (d *Directory) tellAll(ctx context.Context, streams []Announcement, rank int) {
	byHolder := map[string][]Announcement{}
	for _, a := range streams {
		if list := d.peers.Holders(a.Key); rank < min(len(list), maxAsked) {
			byHolder[list[rank]] = append(byHolder[list[rank]], a)
		}
	}
	for address, told := range byHolder {
		d.opts.Go("stream versions", func() { d.tell(ctx, address, told, rank) })
	}
}

// takeDue takes the streams that are to be announced now off the pending ones.
func (d *Directory) takeDue() (due []Announcement) {
	now := time.Now()
	for _, route := range d.pendingRoutes() {
		d.mu.Lock()
		for k := range d.pending[route] {
			s := d.table.get(k, now)
			delete(d.pending[route], k)
			if s == nil || s.ambiguous {
				continue // what is ambiguous here need not be at the holders, where the first origin counts as well
			}
			s.announced = true
			due = append(due, Announcement{Key: k, Origin: s.origin, KeepMs: s.expires.Sub(now).Milliseconds()})
		}
		d.mu.Unlock()
	}
	return due
}

// pendingRoutes lists the routes with streams that were not announced, of which streams may have begun at several origins.
func (d *Directory) pendingRoutes() []string {
	d.mu.Lock()
	pending := map[string]map[string]bool{} // services by route
	for route, keys := range d.pending {
		pending[route] = map[string]bool{}
		for k := range keys {
			if s := d.table.streams[k]; s != nil {
				pending[route][s.origin.Service] = true
			}
		}
	}
	d.mu.Unlock()
	var several []string
	for route, services := range pending {
		if d.several(route, slices.Collect(maps.Keys(services))) {
			several = append(several, route)
		}
	}
	return several
}

// tell tells a host of streams, and the next one in its place if it does not respond.
func (d *Directory) tell(ctx context.Context, address string, streams []Announcement, rank int) {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := d.peers.Tell(call, address, streams)
	if err == nil {
		d.opts.Count(`stream_version_announcements_total{outcome="ok"}`)
		return
	}
	d.opts.Count(`stream_version_announcements_total{outcome="failed"}`)
	if ok, skipped := d.failureLog.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"peer": address, "streams": len(streams), "skipped": skipped}).WithError(err).Info("telling another host of stream versions failed")
	}
	if ctx.Err() == nil {
		d.tellAll(ctx, streams, rank+holders)
	}
}
