// Package retrybudget bounds how often this host sends requests to a service
// again, so that the sum over all hosts stays within a share of the requests plus
// a fixed slack in any window. Each host counts its own requests and takes an even
// part of the slack.
package retrybudget

import (
	"sync"
	"time"
)

// Limits are the fleet's bounds.
type Limits struct {
	Ratio  float64       // arrivals beyond the first, for each request
	Slack  float64       // arrivals beyond the first, of all hosts together
	Window time.Duration // any span of this length
}

// safety is the part of the fleet's bounds that hosts use, for what they can't
// see of each other.
const safety = 0.8

// slots divide the window; the budget looks back one slot further, so that any
// window is covered.
const slots = 10

// Budget counts one service. Its zero value is not ready; use New.
type Budget struct {
	hosts func() int
	start time.Time

	mu       sync.Mutex
	limits   Limits
	requests ring
	repeats  ring
}

// New makes a budget of a host that was started at start; hosts tells how many hosts
// share it, 0 if that is not known.
func New(l Limits, hosts func() int, start time.Time) *Budget {
	return &Budget{limits: l, hosts: hosts, start: start}
}

// slack is this host's part of the slack. For a window after its start it is none,
// since a process before it on the same host may have spent that part.
func (b *Budget) slack(now time.Time) float64 {
	hosts := b.hosts()
	if hosts <= 0 || now.Sub(b.start) <= b.limits.Window {
		return 0
	}
	return b.limits.Slack / float64(hosts)
}

// ring counts events by slots of time.
type ring struct {
	counts [slots + 1]float64
	newest int64 // number of the newest slot
}

func (r *ring) advance(now int64) {
	if now-r.newest > slots {
		r.counts = [slots + 1]float64{}
		r.newest = now
	}
	for r.newest < now {
		r.newest++
		r.counts[r.newest%(slots+1)] = 0
	}
}

func (r *ring) add(now int64) {
	r.advance(now)
	r.counts[now%(slots+1)]++
}

// sum counts the newest n slots.
func (r *ring) sum(now int64, n int) float64 {
	r.advance(now)
	total := 0.0
	for i := range n {
		total += r.counts[(now-int64(i)+slots+1)%(slots+1)]
	}
	return total
}

// setLimits changes the bounds. Counts of a window of another length start anew.
func (b *Budget) setLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.requests, b.repeats = ring{}, ring{}
	}
	b.limits = l
}

func (b *Budget) slot(now time.Time) int64 {
	return now.UnixNano() / (int64(b.limits.Window) / slots)
}

// CountRequest counts a request from a client.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(b.slot(now))
}

// Spend takes one repeat if the budget has it.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot(now)
	// Requests of the whole window but its oldest part count, repeats of more
	// than the window: both on the safe side.
	allowed := safety * (b.limits.Ratio*b.requests.sum(slot, slots) + b.slack(now))
	if b.repeats.sum(slot, slots+1)+1 > allowed {
		return false
	}
	b.repeats.add(slot)
	return true
}

// Set holds a budget for each service.
type Set struct {
	hosts func() int
	start time.Time

	mu      sync.Mutex
	limits  Limits
	budgets map[string]*Budget
}

// NewSet makes an empty set; the arguments are those of New.
func NewSet(l Limits, hosts func() int, start time.Time) *Set {
	return &Set{limits: l, hosts: hosts, start: start, budgets: map[string]*Budget{}}
}

// ForService gives the budget of a service.
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
