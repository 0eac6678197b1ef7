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

// View is the membership view.
type View interface {
	Members() []view.Member
	Epoch() uint64
}

// Detector is the failure detector: it sends heartbeats to the members of its region
// and suspects silent ones. It only requests evictions; the log decides on them.
type Detector struct {
	self     string // incarnation
	region   string
	view     View
	pool     *Pool
	status   func() *peerv1.Status
	delisted func(host string) bool // the host is no longer in the platform's membership list
	evict    func(inc string, epoch uint64)
	interval time.Duration
	suspect  time.Duration
	timeout  time.Duration

	mu            sync.Mutex
	peers         map[string]*peerState
	evictionEpoch uint64 // latest epoch in which an eviction was requested
}

// peerState is what the detector knows of a peer.
type peerState struct {
	since   time.Time // first seen in the view
	last    time.Time // last status
	pending bool      // a heartbeat is in flight
	status  *peerv1.Status
}

// Options configures a Detector.
type Options struct {
	Self, Region                    string
	View                            View
	Pool                            *Pool
	Status                          func() *peerv1.Status
	HostDelisted                    func(host string) bool
	Evict                           func(inc string, epoch uint64)
	Interval, SuspectAfter, Timeout time.Duration
}

// NewDetector returns a detector; Run starts it.
func NewDetector(o Options) *Detector {
	return &Detector{
		self: o.Self, region: o.Region, view: o.View, pool: o.Pool, status: o.Status, delisted: o.HostDelisted,
		evict: o.Evict, interval: o.Interval, suspect: o.SuspectAfter, timeout: o.Timeout,
		peers: map[string]*peerState{},
	}
}

// Run sends heartbeats until ctx is done.
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
			d.resetSilence(now)
		}
		last = now
		d.round(ctx, now)
	}
}

// resetSilence counts all peers as just heard of, after this process itself stalled: it
// could not receive their heartbeats.
func (d *Detector) resetSilence(now time.Time) {
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
		d.sendHeartbeat(ctx, m, now)
	}
	d.pool.Keep(wanted)
	d.forgetFormerMembers(members)
	d.requestEviction(members, now)
}

// sendHeartbeat sends a heartbeat unless one is in flight.
func (d *Detector) sendHeartbeat(ctx context.Context, m view.Member, now time.Time) {
	d.mu.Lock()
	h := d.peers[m.Incarnation]
	if h == nil {
		h = &peerState{since: now, last: now}
		d.peers[m.Incarnation] = h
	}
	// A heartbeat exchanges both statuses, so only one host of a pair needs to send it.
	if h.pending || h.status != nil && now.Sub(h.last) < d.interval*9/10 {
		d.mu.Unlock()
		return
	}
	h.pending = true
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
		h.pending = false
		d.mu.Unlock()
		if got != nil {
			d.Heard(got)
		}
	})
}

// Heard records the status of a peer.
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

func (d *Detector) forgetFormerMembers(members []view.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for inc := range d.peers {
		if !slices.ContainsFunc(members, func(m view.Member) bool { return m.Incarnation == inc }) {
			delete(d.peers, inc)
		}
	}
}

// Suspects returns the members silent for longer than SuspectAfter.
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

// Silent reports whether this host suspects a member.
func (d *Detector) Silent(inc string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.peers[inc]
	return h != nil && time.Since(h.last) > d.suspect
}

// Last returns the last status of a member, or nil.
func (d *Detector) Last(inc string) *peerv1.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.peers[inc]; h != nil {
		return h.status
	}
	return nil
}

// requestEviction requests the eviction of at most one suspect per epoch. Fewer than half of
// the members must be suspected, or the platform's list must lack the host, so that the
// minority side of a network partition evicts nobody. Another host must suspect the member too,
// unless no other host is heard from. One of the suspecting hosts, chosen by hash, sends the request.
func (d *Detector) requestEviction(members []view.Member, now time.Time) {
	epoch := d.view.Epoch()
	d.mu.Lock()
	suspects := d.suspects(now)
	target := ""
	for _, inc := range suspects {
		if d.evictionEpoch >= epoch || !d.mayEvict(inc, suspects, members) {
			continue
		}
		target = inc
		d.evictionEpoch = epoch
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
	if 2*len(suspects) >= len(members) && !d.delisted(members[i].Host) {
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
