package target

import (
	"time"

	"maststage.dev/lib/rendezvous"
)

// A target that starts while callers are there is cold for some seconds: it bears few
// requests a second, from all hosts together, and fails under many more.

// ColdLimits is what a cold target of a service bears.
type ColdLimits struct {
	PerSecond float64       // requests from all hosts together, in any second; 0: any number
	Duration  time.Duration // from its start
}

// cold is what a host knows of a target's cold time.
type cold struct {
	until time.Time
	share share
}

// SetColdLimits takes over what cold targets of a service bear.
func (r *Registry) SetColdLimits(service string, limits ColdLimits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldLimits[service] = limits
}

// coolFor notes that a target is cold for so long.
func (t *Target) coolFor(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(t.cold.until) {
		t.cold.until = until
	}
}

// isCold says whether a target is cold, as far as its entries tell.
func (t *Target) isCold(now time.Time) bool { return now.Before(t.cold.until) }

// IsCold says whether a target is cold.
func (r *Registry) IsCold(t *Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.isCold(time.Now())
}

// coldAdmits says whether a target may get a request of this host as far as its cold time
// goes; the lock is held.
func (r *Registry) coldAdmits(t *Target, now time.Time) bool {
	limits := r.coldLimits[t.Service]
	if !t.isCold(now) || limits.PerSecond <= 0 {
		return true
	}
	most := int(limits.PerSecond)
	r.shareOf(t, &t.cold.share, rate{perSecond: limits.PerSecond, window: time.Second, most: most, hosts: most}, now)
	return t.cold.share.allows(t, now)
}

// inPlaceOf narrows the choice for a prompt whose place by affinity is a cold target that is
// to be spared: to the cold targets that may get a request, if there are any. None of them has
// the prompt's parts yet, and the warm ones carry the load of all: the next in rank among all is
// nearly always a warm one, so cold targets would stay cold.
func inPlaceOf(spared, usable []*Target, affinity string, now time.Time) []*Target {
	if len(spared) == 0 {
		return usable
	}
	key := rendezvous.NewKey(affinity)
	if highest(key, spared) < highest(key, usable) {
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

// highest is the highest score of targets for a key.
func highest(key rendezvous.Key, targets []*Target) uint64 {
	best := uint64(0)
	for _, t := range targets {
		best = max(best, key.Score(t.ID))
	}
	return best
}
