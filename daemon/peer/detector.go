package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold/view"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/rendezvous"
)

// View lists the members of the fold's view.
type View interface {
	Members() []view.Member
	Epoch() uint64
}

// Detector sends heartbeats to the members of its region and notes who is
// silent. Its word decides nothing by itself: an eviction goes through the log.
type Detector struct {
	self     string // incarnation
	region   string
	view     View
	pool     *Pool
	status   func() *peerv1.Status
	gone     func(host string) bool // the platform no longer lists the host
	evict    func(inc string, epoch uint64)
	interval time.Duration
	suspect  time.Duration
	timeout  time.Duration

	mu    sync.Mutex
	peers map[string]*heard
	asked uint64 // epoch in which an eviction was asked for
}

// heard is what is known of a peer.
type heard struct {
	since  time.Time // first seen in the view
	last   time.Time // last status
	busy   bool      // a heartbeat is on its way
	status *peerv1.Status
}

// Options are the parts and times a detector needs.
type Options struct {
	Self, Region                    string
	View                            View
	Pool                            *Pool
	Status                          func() *peerv1.Status
	HostDelisted                    func(host string) bool
	Evict                           func(inc string, epoch uint64)
	Interval, SuspectAfter, Timeout time.Duration
}

// NewDetector makes a detector; Run starts it.
func NewDetector(o Options) *Detector {
	return &Detector{
		self: o.Self, region: o.Region, view: o.View, pool: o.Pool, status: o.Status, gone: o.HostDelisted,
		evict: o.Evict, interval: o.Interval, suspect: o.SuspectAfter, timeout: o.Timeout,
		peers: map[string]*heard{},
	}
}

// Run sends heartbeats until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	tick := time.NewTicker(d.interval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > d.suspect/2 {
			d.paused(now)
		}
		last = now
		d.round(ctx, now)
	}
}

// paused forgives all peers after this process itself stood still: their
// silence was ours.
func (d *Detector) paused(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.peers {
		h.last = now
	}
}

func (d *Detector) round(ctx context.Context, now time.Time) {
	members := d.view.Members()
	wanted := map[string]bool{}
	for _, m := range members {
		wanted[m.Address] = true
		if m.Incarnation == d.self || m.Region != d.region {
			continue
		}
		d.beat(ctx, m, now)
	}
	d.pool.Keep(wanted)
	d.forget(members)
	d.judge(members, now)
}

// beat sends one heartbeat unless one is on its way.
func (d *Detector) beat(ctx context.Context, m view.Member, now time.Time) {
	d.mu.Lock()
	h := d.peers[m.Incarnation]
	if h == nil {
		h = &heard{since: now, last: now}
		d.peers[m.Incarnation] = h
	}
	// A heartbeat carries both statuses, so one of each pair need send it.
	if h.busy || h.status != nil && now.Sub(h.last) < d.interval*9/10 {
		d.mu.Unlock()
		return
	}
	h.busy = true
	d.mu.Unlock()
	guard.Go("heartbeat", func() {
		c, cancel := context.WithTimeout(ctx, d.timeout)
		defer cancel()
		var got *peerv1.Status
		if client, err := d.pool.Client(m.Address); err == nil {
			if r, err := client.Ping(c, &peerv1.PingRequest{Status: d.status()}); err == nil {
				got = r.Status
			}
		}
		d.mu.Lock()
		h.busy = false
		d.mu.Unlock()
		if got != nil {
			d.Heard(got)
		}
	})
}

// Heard notes the status of a peer.
func (d *Detector) Heard(s *peerv1.Status) {
	if s == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.peers[s.Incarnation]; h != nil {
		h.last = time.Now()
		h.status = s
	}
}

func (d *Detector) forget(members []view.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for inc := range d.peers {
		if !slices.ContainsFunc(members, func(m view.Member) bool { return m.Incarnation == inc }) {
			delete(d.peers, inc)
		}
	}
}

// Suspects lists members not heard of for long.
func (d *Detector) Suspects() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects(time.Now())
}

func (d *Detector) suspects(now time.Time) []string {
	var out []string
	for inc, h := range d.peers {
		if now.Sub(h.last) > d.suspect {
			out = append(out, inc)
		}
	}
	slices.Sort(out)
	return out
}

// Silent says whether a member is suspected here.
func (d *Detector) Silent(inc string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.peers[inc]
	return h != nil && time.Since(h.last) > d.suspect
}

// Last gives the last status of a member, nil if there was none.
func (d *Detector) Last(inc string) *peerv1.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.peers[inc]; h != nil {
		return h.status
	}
	return nil
}

// judge asks for the eviction of a suspect, one in an epoch. It takes fewer
// than half of the members suspected, or the platform's word that the host is
// gone, so that the smaller side of a cut evicts nobody; and a second witness
// where there is one. One of the witnesses asks, chosen by hash.
func (d *Detector) judge(members []view.Member, now time.Time) {
	epoch := d.view.Epoch()
	d.mu.Lock()
	suspects := d.suspects(now)
	target := ""
	for _, inc := range suspects {
		if d.asked >= epoch || !d.mayEvict(inc, suspects, members) {
			continue
		}
		target = inc
		d.asked = epoch
		break
	}
	d.mu.Unlock()
	if target != "" {
		d.evict(target, epoch)
	}
}

func (d *Detector) mayEvict(inc string, suspects []string, members []view.Member) bool {
	i := slices.IndexFunc(members, func(m view.Member) bool { return m.Incarnation == inc })
	if i < 0 {
		return false
	}
	if 2*len(suspects) >= len(members) && !d.gone(members[i].Host) {
		return false
	}
	witnesses := []string{d.self}
	others := 0
	for peer, h := range d.peers {
		if slices.Contains(suspects, peer) || h.status == nil {
			continue
		}
		others++
		if slices.Contains(h.status.Suspects, inc) {
			witnesses = append(witnesses, peer)
		}
	}
	if others > 0 && len(witnesses) < 2 {
		return false
	}
	ranked := rendezvous.Rank(inc, witnesses, func(s string) string { return s })
	return ranked[0] == d.self
}
