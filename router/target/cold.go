package target

import (
	"time"

	"maststage.dev/lib/rendezvous"
)

// A target that starts under load is cold for some seconds: it can take few requests a second, from all
// hosts together, and fails under many more.

// ColdLimits bound what a cold target of a service gets.
type ColdLimits struct {
	PerSecond float64       // requests from all hosts together within any second; 0 means no limit
	Duration  time.Duration // from the target's start
}

// cold is what this host knows of a target's cold period.
type cold struct {
	until time.Time
	share share
}

// SetColdLimits sets the limits of a service's cold targets.
func (r *Registry) SetColdLimits(service string, limits ColdLimits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldLimits[service] = limits
}

// markCold extends the target's cold period to at least d from now.
func (t *Target) markCold(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(t.cold.until) {
		t.cold.until = until
	}
}

// isCold reports whether the target is cold. The lock is held.
func (t *Target) isCold(now time.Time) bool { return now.Before(t.cold.until) }

// IsCold reports whether the target is cold.
func (r *Registry) IsCold(t *Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.isCold(time.Now())
}

// coldAdmits reports whether the limits of cold targets let this host send the target a request. The lock
// is held.
func (r *Registry) coldAdmits(t *Target, now time.Time) bool {
	limits := r.coldLimits[t.Service]
	if !t.isCold(now) || limits.PerSecond <= 0 {
		return true
	}
	most := int(limits.PerSecond)
	r.refreshShare(t, &t.cold.share, rate{perSecond: limits.PerSecond, window: time.Second, maxPerWindow: most, hosts: most}, now)
	return t.cold.share.allows(t, now)
}

// preferCold narrows the candidates when the target that ranks first by affinity is cold and held back. It
// returns the cold ones among them, if any: no cold target has the prompt's parts yet, while the next in
// rank among all candidates is nearly always a warm target, so cold targets would never warm up.
func preferCold(heldBack, usable []*Target, affinity string, now time.Time) []*Target {
	if len(heldBack) == 0 {
		return usable
	}
	key := rendezvous.NewKey(affinity)
	if highestScore(key, heldBack) < highestScore(key, usable) {
		return usable
	}
	var cold []*Target
	for _, t := range usable {
		if t.isCold(now) {
			cold = append(cold, t)
		}
	}
	if len(cold) == 0 {
		return usable
	}
	return cold
}

// highestScore returns the highest score of the targets for a key.
func highestScore(key rendezvous.Key, targets []*Target) uint64 {
	best := uint64(0)
	for _, t := range targets {
		best = max(best, key.Score(t.ID))
	}
	return best
}
