package prepaid

import "time"

// Reservation is tokens set aside for one request.
type Reservation struct {
	allocator    *Allocator
	organisation string
	tokens       int64
	settled      bool
}

// Extend sets more tokens aside for the same request, without waiting.
func (r *Reservation) Extend(tokens int64) bool {
	a := r.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[r.organisation]
	if al == nil {
		return true
	}
	if al.free < tokens || !al.spendable() {
		return false
	}
	al.free -= tokens
	al.reserved += tokens
	r.tokens += tokens
	return true
}

// Tokens is how many tokens are set aside.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle ends the reservation: the used tokens are spent and the rest is free again. Calls after
// the first have no effect.
func (r *Reservation) Settle(used int64) {
	a := r.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[r.organisation]
	if al == nil || r.settled {
		return
	}
	r.settled = true
	used = min(used, r.tokens)
	al.reserved -= r.tokens
	al.free += r.tokens - used
	al.totals.Used += used
	al.adjustDemand(used-r.tokens, time.Now())
	if used < r.tokens && len(al.waiting) > 0 {
		a.notifyWaiters()
	}
}
