package target

import (
	"math"
	"math/rand/v2"
	"time"
)

// If all targets of a service that could take a request advertise limits, more requests may arrive than they
// accept together. Then this host sheds load by priority: a random part of a priority's requests is admitted,
// as many as fit the rate that the more urgent requests of the last seconds leave. Each priority keeps a
// minimum share, so that none starves. A request that is shed gets a refusal with a retry time at once.

// Parameters of load shedding.
const (
	priorities       = 10              // 0 is the most urgent
	arrivalDecay     = 4 * time.Second // time in which the weight of past arrivals falls to 1/e
	minPriorityShare = 0.1             // of this host's rate, for a priority to which the more urgent ones leave nothing
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = 10 * time.Second
)

// shedder tracks the requests for a service whose targets all advertise limits.
type shedder struct {
	at           time.Time
	arrivalRates [priorities]float64   // by priority, in requests per second, smoothed
	nextRetry    [priorities]time.Time // by priority, the latest retry time given to a refused request
}

func priorityOf(w Requirements) int { return min(max(w.Priority, 0), priorities-1) }

// record counts the arrival of a request.
func (q *shedder) record(priority int, now time.Time) {
	if !q.at.IsZero() {
		kept := math.Exp(-now.Sub(q.at).Seconds() / arrivalDecay.Seconds())
		for i := range q.arrivalRates {
			q.arrivalRates[i] *= kept
		}
	}
	q.at = now
	q.arrivalRates[priority] += 1 / arrivalDecay.Seconds()
}

// moreUrgentRate is the arrival rate of requests more urgent than the priority.
func (q *shedder) moreUrgentRate(priority int) (perSecond float64) {
	for _, seen := range q.arrivalRates[:priority] {
		perSecond += seen
	}
	return perSecond
}

// remainingRate is what the more urgent requests leave of a rate, or the minimum share of the priority.
func (q *shedder) remainingRate(priority int, perSecond float64) float64 {
	return max(perSecond-q.moreUrgentRate(priority), minPriorityShare*perSecond)
}

// admit reports whether a request is admitted at a host that may send perSecond requests.
func (q *shedder) admit(priority int, perSecond float64) bool {
	return q.moreUrgentRate(priority) == 0 || rand.Float64()*q.arrivalRates[priority] < q.remainingRate(priority, perSecond)
}

// retryAfter returns the time after which a refused request is likely to be admitted, later than the refused
// ones of its priority before it.
func (q *shedder) retryAfter(priority int, perSecond float64, now time.Time) time.Duration {
	left := q.remainingRate(priority, perSecond)
	last := now
	if q.nextRetry[priority].After(now) {
		last = q.nextRetry[priority]
	}
	after := maxRetryAfter
	if left > 0 {
		after = last.Sub(now) + time.Duration(min(1/left, maxRetryAfter.Seconds())*float64(time.Second))
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	q.nextRetry[priority] = now.Add(after)
	return after
}

// sheds reports whether a request is shed in favour of more urgent ones, because all targets that may take it
// advertise limits. The lock is held.
func (r *Registry) sheds(w Requirements, usable []*Target, now time.Time) bool {
	for _, t := range usable {
		if !t.limit.inForce {
			return false
		}
	}
	if !r.allLimited(w, now) {
		return false
	}
	q := r.shedderOf(w.Service)
	q.record(priorityOf(w), now)
	perSecond, _ := r.limitRates(w.Service, now)
	return !q.admit(priorityOf(w), perSecond)
}

// allLimited reports whether there are ready targets that may take the request and all of them advertise limits.
// Targets that asked for a pause don't count. The lock is held.
func (r *Registry) allLimited(w Requirements, now time.Time) bool {
	anyLimited := false
	for _, t := range r.services[w.Service] {
		if !t.ready() || !r.eligible(w, t, now) || t.inBackoff(now) {
			continue
		}
		if !t.limit.inForce {
			return false
		}
		anyLimited = true
	}
	return anyLimited
}

func (r *Registry) shedderOf(service string) *shedder {
	q := r.shedders[service]
	if q == nil {
		q = &shedder{}
		r.shedders[service] = q
	}
	return q
}

// limitRates returns how many requests per second the targets of a service that advertise limits accept from
// this host and from all hosts. The lock is held.
func (r *Registry) limitRates(service string, now time.Time) (own, total float64) {
	for _, t := range r.services[service] {
		if !t.ready() || !t.limit.inForce || t.inBackoff(now) {
			continue
		}
		total += t.limit.perSecond
		if s := t.limit.share; s.selected {
			own += 1 / s.pause.Seconds()
		}
	}
	return own, total
}

// LimitsExhausted describes why no target takes a request: all that could advertise limits, and this host's share
// of these is used up.
type LimitsExhausted struct {
	RetryAfter time.Duration // time after which the request is likely to be admitted
	HasShare   bool          // this host has a share of the limits
}

// LimitsExhaustedFor reports whether a request finds no target because all that could take it advertise limits.
func (r *Registry) LimitsExhaustedFor(w Requirements) (f LimitsExhausted, exhausted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.allLimited(w, now) {
		return f, false
	}
	own, total := r.limitRates(w.Service, now)
	f.HasShare = own > 0
	if !f.HasShare {
		own = total / float64(max(r.opts.Hosts(), 1))
	}
	f.RetryAfter = r.shedderOf(w.Service).retryAfter(priorityOf(w), own, now)
	return f, true
}

// HasLimitShare reports whether all targets that could take a request advertise limits and this host has a share
// of them, so that waiting may help.
func (r *Registry) HasLimitShare(w Requirements) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	own, _ := r.limitRates(w.Service, now)
	return own > 0 && r.allLimited(w, now)
}
