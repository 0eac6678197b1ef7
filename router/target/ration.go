package target

import (
	"math"
	"math/rand/v2"
	"time"
)

// Where all targets of a service that could take a request name limits, more requests may come than
// they take together. Then this host's part is divided by urgency: what the more urgent requests of
// the last seconds leave is drawn by lot among the others, which always get a little, so that none
// starves. What gets no place is turned away at once and told when to come back.

// Figures of rations.
const (
	ranks        = 10              // of urgency, 0 comes first
	rationMemory = 4 * time.Second // in which what was seen of a rank fades to a third
	leastRation  = 0.1             // of the part, for a rank that the more urgent ones leave nothing
	leastReturn  = 200 * time.Millisecond
	mostReturn   = 10 * time.Second
)

// ration is what this host sees of the requests for a service whose targets all name limits.
type ration struct {
	at   time.Time
	seen [ranks]float64   // requests a second, smoothed
	line [ranks]time.Time // when the last request that was turned away may come back
}

func rankOf(w Requirements) int { return min(max(w.Priority, 0), ranks-1) }

// note counts a request.
func (q *ration) note(rank int, now time.Time) {
	if !q.at.IsZero() {
		kept := math.Exp(-now.Sub(q.at).Seconds() / rationMemory.Seconds())
		for i := range q.seen {
			q.seen[i] *= kept
		}
	}
	q.at = now
	q.seen[rank] += 1 / rationMemory.Seconds()
}

// moreUrgent is how many requests a second go before those of a rank.
func (q *ration) moreUrgent(rank int) (perSecond float64) {
	for _, seen := range q.seen[:rank] {
		perSecond += seen
	}
	return perSecond
}

// left is what the more urgent requests leave of so many a second, or the least that a rank gets.
func (q *ration) left(rank int, perSecond float64) float64 {
	return max(perSecond-q.moreUrgent(rank), leastRation*perSecond)
}

// draw says whether a request may take a place of a host that has so many a second.
func (q *ration) draw(rank int, perSecond float64) bool {
	return q.moreUrgent(rank) == 0 || rand.Float64()*q.seen[rank] < q.left(rank, perSecond)
}

// comeBack is after how long a request that is turned away finds a place: behind those of its rank
// that were turned away before it.
func (q *ration) comeBack(rank int, perSecond float64, now time.Time) time.Duration {
	left := q.left(rank, perSecond)
	last := now
	if q.line[rank].After(now) {
		last = q.line[rank]
	}
	after := mostReturn
	if left > 0 {
		after = last.Sub(now) + time.Duration(min(1/left, mostReturn.Seconds())*float64(time.Second))
	}
	after = min(max(after, leastReturn), mostReturn)
	q.line[rank] = now.Add(after)
	return after
}

// rationed says whether a request has to give way to more urgent ones, since all targets that may take
// it name limits. The lock is held.
func (r *Registry) rationed(w Requirements, usable []*Target, now time.Time) bool {
	for _, t := range usable {
		if !t.limit.inForce {
			return false
		}
	}
	if !r.allLimited(w, now) {
		return false
	}
	q := r.rationOf(w.Service)
	q.note(rankOf(w), now)
	places, _ := r.places(w.Service)
	return !q.draw(rankOf(w), places)
}

// allLimited says whether there are ready targets that a request may go to, and all of them name
// limits. The lock is held.
func (r *Registry) allLimited(w Requirements, now time.Time) bool {
	limited := false
	for _, t := range r.services[w.Service] {
		if !t.listed || t.state != Ready || !r.mayServe(w, t, now) {
			continue
		}
		if !t.limit.inForce {
			return false
		}
		limited = true
	}
	return limited
}

func (r *Registry) rationOf(service string) *ration {
	q := r.rations[service]
	if q == nil {
		q = &ration{}
		r.rations[service] = q
	}
	return q
}

// places is how many requests a second the targets of a service that name limits take from this host,
// and how many from all hosts; the lock is held.
func (r *Registry) places(service string) (own, all float64) {
	for _, t := range r.services[service] {
		if !t.listed || t.state != Ready || !t.limit.inForce {
			continue
		}
		all += t.limit.perSecond
		if s := t.limit.share; s.self {
			own += 1 / s.pause.Seconds()
		}
	}
	return own, all
}

// LimitsExhausted is why no target takes a request: those that could name limits, and this host's part of these
// is used up.
type LimitsExhausted struct {
	RetryAfter time.Duration // when a place is likely to be free
	HasShare   bool          // this host has a part
}

// LimitsExhaustedFor says whether a request finds no target since those that could take it name limits.
func (r *Registry) LimitsExhaustedFor(w Requirements) (f LimitsExhausted, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.allLimited(w, now) {
		return f, false
	}
	own, all := r.places(w.Service)
	f.HasShare = own > 0
	if !f.HasShare {
		own = all / float64(max(r.opts.Hosts(), 1))
	}
	f.RetryAfter = r.rationOf(w.Service).comeBack(rankOf(w), own, now)
	return f, true
}

// HasLimitShare says whether this host may send requests, though not now, where all targets that could
// take one name limits.
func (r *Registry) HasLimitShare(w Requirements) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, _ := r.places(w.Service)
	return own > 0 && r.allLimited(w, time.Now())
}
