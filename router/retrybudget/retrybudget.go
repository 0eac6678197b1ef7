// Package retrybudget limits the retries that this host sends to a service, so that the retries of
// all hosts together stay within a fraction of the requests plus a fixed slack in any window. Each
// host counts its own requests and uses an even share of the slack.
package retrybudget

import (
	"sync"
	"time"
)

// Limits are the bounds for the whole fleet.
type Limits struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries, of all hosts together
	Window time.Duration // both hold in any span of this length
}

// safetyFactor is the fraction of the fleet's bounds that hosts use, to allow for what they can't
// see of each other.
const safetyFactor = 0.8

// slotsPerWindow divides the window into slots. The budget looks back one slot further, so that any
// window is covered.
const slotsPerWindow = 10

// Budget limits the retries to one service. Its zero value is not usable; call New.
type Budget struct {
	hosts func() int
	start time.Time

	mu       sync.Mutex
	limits   Limits
	requests slotCounter
	retries  slotCounter
}

// New returns the budget of a host that started at start; hosts returns how many hosts share it, 0
// if that is unknown.
func New(l Limits, hosts func() int, start time.Time) *Budget {
	return &Budget{limits: l, hosts: hosts, start: start}
}

// slackShare is this host's share of the slack. It is zero for one window after the start, since a
// previous process on the same host may have spent that share.
func (b *Budget) slackShare(now time.Time) float64 {
	hosts := b.hosts()
	if hosts <= 0 || now.Sub(b.start) <= b.limits.Window {
		return 0
	}
	return b.limits.Slack / float64(hosts)
}

// slotCounter counts events by time slot in a ring.
type slotCounter struct {
	counts [slotsPerWindow + 1]float64
	newest int64 // number of the newest slot
}

func (r *slotCounter) advance(now int64) {
	if now-r.newest > slotsPerWindow {
		r.counts = [slotsPerWindow + 1]float64{}
		r.newest = now
	}
	for r.newest < now {
		r.newest++
		r.counts[r.newest%(slotsPerWindow+1)] = 0
	}
}

func (r *slotCounter) add(now int64) {
	r.advance(now)
	r.counts[now%(slotsPerWindow+1)]++
}

// sum adds up the newest n slots.
func (r *slotCounter) sum(now int64, n int) float64 {
	r.advance(now)
	total := 0.0
	for i := range n {
		total += r.counts[(now-int64(i)+slotsPerWindow+1)%(slotsPerWindow+1)]
	}
	return total
}

// setLimits changes the bounds. If the window's length changes, the counts are reset.
func (b *Budget) setLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.requests, b.retries = slotCounter{}, slotCounter{}
	}
	b.limits = l
}

func (b *Budget) slot(now time.Time) int64 {
	return now.UnixNano() / (int64(b.limits.Window) / slotsPerWindow)
}

// CountRequest counts a request from a client.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(b.slot(now))
}

// Spend takes one retry from the budget and reports whether it had one.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.available(now) {
		return false
	}
	b.retries.add(b.slot(now))
	return true
}

// Available reports whether the budget has a retry now.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(now)
}

// available is Available. The lock is held.
func (b *Budget) available(now time.Time) bool {
	slot := b.slot(now)
	// Requests count over the window without its oldest part, retries over more than the window:
	// both err on the safe side.
	allowed := safetyFactor * (b.limits.Ratio*b.requests.sum(slot, slotsPerWindow) + b.slackShare(now))
	return b.retries.sum(slot, slotsPerWindow+1)+1 <= allowed
}

// Set holds a budget for each service.
type Set struct {
	hosts func() int
	start time.Time

	mu      sync.Mutex
	limits  Limits
	budgets map[string]*Budget
}

// NewSet returns an empty set; the arguments are those of New.
func NewSet(l Limits, hosts func() int, start time.Time) *Set {
	return &Set{limits: l, hosts: hosts, start: start, budgets: map[string]*Budget{}}
}

// ForService returns the budget of a service.
func (s *Set) ForService(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = New(s.limits, s.hosts, s.start)
		s.budgets[service] = b
	}
	return b
}

// SetLimits changes the bounds of all services.
func (s *Set) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	for _, b := range s.budgets {
		b.setLimits(l)
	}
}
