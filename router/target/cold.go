package target

import (
	"time"

	"maststage.dev/lib/rendezvous"
)

// A target that starts while callers are there is cold for some seconds: it bears few
// requests a second, from all hosts together, and fails under many more. Hosts don't ask
// each other; a few hosts for each cold target, the same ones in every host's view, send it
// a bounded number each, and the others pass it over.
//
// The other way is an even share of the rate at each host, whose sum is random: simulated at 87
// hosts that aim at 9.9 requests a second, 59 of 3,000 cold targets got over 19 in some
// second, and none only where they aimed at 5. Elected hosts may aim at 17.

// ColdLimits is what a cold target of a service bears.
type ColdLimits struct {
	PerSecond float64       // requests from all hosts together, in any second; 0: any number
	Lasts     time.Duration // from its start
}

// Figures of cold targets.
const (
	// coldMargin lengthens the pause between two requests of a host, so that their ways
	// don't bring them closer together than a second allows.
	coldMargin = 1.02
	// coldLook is how long a host that is not elected passes a cold target over.
	coldLook = 500 * time.Millisecond
)

// cold is what a host knows of a target's cold time.
type cold struct {
	until time.Time
	next  time.Time // nothing is sent before
	pause time.Duration
}

// SetCold takes over what cold targets of a service bear.
func (r *Registry) SetCold(service string, limits ColdLimits) {
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

// Cold says whether a target is cold.
func (r *Registry) Cold(t *Target) bool {
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
	if now.Before(t.cold.next) {
		return false
	}
	hosts, elected := r.opts.Elected(t.ID, max(int(limits.PerSecond), 1))
	if !elected {
		t.cold.next = now.Add(coldLook)
		return false
	}
	each := max(int(limits.PerSecond)/max(hosts, 1), 1)
	t.cold.pause = time.Duration(coldMargin * float64(time.Second) / float64(each))
	return true
}

// inPlaceOf narrows the choice for a prompt whose place by affinity is a cold target that is
// to be spared: to the cold targets that may get a request, if there are any. None of them
// has the prompt's parts yet, and the warm ones carry the load of all: left to the next in
// rank among all, nine in ten of the requests that cold targets could take went to warm ones.
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

// noteCold counts a request that goes to a target; the lock is held.
func (r *Registry) noteCold(t *Target, now time.Time) {
	if t.isCold(now) {
		t.cold.next = now.Add(t.cold.pause)
	}
}
