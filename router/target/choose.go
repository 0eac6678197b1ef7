package target

import (
	"math"
	"math/rand/v2"
	"time"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/balance"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
)

// Requirements are what a request needs of its target.
type Requirements struct {
	Service      string
	Affinity     string // key of the prompt's shared parts; empty if none
	PromptTokens float64
	SharedTokens float64 // of PromptTokens, those in shared parts
	// LatencyObjective is the time in which the response should begin; 0 if there is none.
	LatencyObjective time.Duration
	Exclude          map[string]bool // ids of targets already tried
	Versions         rollout.Rule    // allowed versions
	Resumes          bool            // events of the stream have arrived, from a target of Version
	Version          string          // software version
	Priority         int             // 0 is the most urgent
	Regions          routing.Regions // allowed regions
}

// Figures of the choice.
const (
	affinityBound   = 1.6  // multiple of the mean load up to which affinity decides
	affinitySlack   = 10.0 // requests allowed on top of that
	otherDomainLoad = 0.3  // load added to a target in another failure domain, in requests
	// otherRegionLoad is the load added to a target in another region, in requests: the round trip takes
	// as long as a short response.
	otherRegionLoad  = 1.5
	tokensPerRequest = 6000 // prompt tokens that count as one more request
	coldLoadFactor   = 2.0  // multiplies the load of a cold target
)

// Choose picks a target, or nil if none can take the request. The choice uses up this host's share of
// the rate of a cold target or of one that advertises a limit.
func (r *Registry) Choose(w Requirements) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.choose(w, now)
	if t != nil {
		t.pauseFrom = now
		if w.Affinity != "" {
			r.balance.RecordRequest(w.Service, w.Affinity, w.PromptTokens-w.SharedTokens, now)
		}
		if t.backoff.untested {
			t.backoff.testedAt = now
		}
		if t.limit.inForce {
			t.limit.sent++
		}
	}
	return t
}

// HasCandidate reports whether a target could take the request. It uses up no share.
func (r *Registry) HasCandidate(w Requirements) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.usable(w, time.Now())) > 0
}

// choose picks a target. The lock is held.
func (r *Registry) choose(w Requirements, now time.Time) *Target {
	usable, heldBack := r.candidates(w, now)
	usable = r.trialTargets(w, usable)
	if r.sheds(w, usable, now) || len(usable) == 0 {
		return nil
	}
	if w.isTrial() {
		return usable[rand.IntN(len(usable))] // results of all targets on trial count the same
	}
	if r.isLong(w) {
		usable = r.withoutStalled(w.Service, usable, now)
	}
	if w.Affinity != "" {
		if t := r.byAffinity(w, preferCold(heldBack, usable, w.Affinity, now), now); t != nil {
			return t
		}
	}
	return r.leastLoaded(w.Service, usable, now)
}

// usable lists the targets that may take the request. The lock is held.
func (r *Registry) usable(w Requirements, now time.Time) []*Target {
	usable, _ := r.candidates(w, now)
	return usable
}

// candidates lists the targets that may take the request: the ready ones that are not ejected, full,
// silent, exited, not reached of late or under test after a pause; if there are none, the other ready ones; if there are none of
// these either, those that left less than the drain limit ago. It never lists evacuated targets, those whose
// region or version isn't allowed, those that asked for a pause, or those whose share of a rate is used up.
// Cold targets among the latter are listed in heldBack. The lock is held.
func (r *Registry) candidates(w Requirements, now time.Time) (usable, heldBack []*Target) {
	all := r.services[w.Service]
	good := make([]*Target, 0, len(all))
	var ejected, leaving []*Target
	for _, t := range all {
		if !r.eligible(w, t, now) || t.inBackoff(now) {
			continue
		}
		switch {
		case !r.admits(t, now):
			if t.isCold(now) {
				heldBack = append(heldBack, t)
			}
		case !t.ready():
			if now.Sub(t.leavingSince) < r.opts.DrainLimit {
				leaving = append(leaving, t)
			}
		case !w.isTrial() && now.Before(t.health.ejectedUntil) || now.Before(t.health.fullUntil) || now.Before(t.health.unreachedUntil) || t.silent(now) || t.recentlyExited(now) || t.underTest(now):
			ejected = append(ejected, t)
		default:
			good = append(good, t)
		}
	}
	switch {
	case len(good) > 0:
		return good, heldBack
	case len(ejected) > 0:
		return ejected, heldBack
	}
	return leaving, heldBack
}

// eligible reports whether the request may go to the target at all, whatever its load and health. The
// lock is held.
func (r *Registry) eligible(w Requirements, t *Target, now time.Time) bool {
	return !w.Exclude[t.ID] && !r.evacuations[t.Domain].hasLeft(t.ID, now) && w.Regions.Contains(r.opts.Regions[t.Domain]) && w.Versions.Allows(t.Version) && w.mayResume(t)
}

// mayResume reports whether the target may go on with the stream, if it has begun. A process that has exited may have
// been replaced, under the same id, by one of another version.
func (w Requirements) mayResume(t *Target) bool {
	return !w.Resumes || t.Version == w.Version && !t.exited
}

// load returns the target's load in requests of this host. Slow and cold targets count as busier.
func (t *Target) load(stats *serviceStats, now time.Time) float64 {
	load := float64(t.outstanding) + t.pendingTokens/tokensPerRequest
	if slowness := t.slowness(stats.medianLatency, now); slowness > 1 {
		load = (load + 1) * slowness
	}
	if t.isCold(now) {
		load = (load + 1) * coldLoadFactor
	}
	return load
}

// byAffinity picks a target that ranks first for the prompt's shared parts, by its part in the service's work, among
// those that are not much busier than the rest.
func (r *Registry) byAffinity(w Requirements, usable []*Target, now time.Time) *Target {
	stats := r.statsOf(w.Service)
	loads := make([]float64, len(usable))
	total := 0.0
	for i, t := range usable {
		loads[i] = t.load(stats, now)
		total += loads[i]
	}
	bound := affinityBound*total/float64(len(usable)) + affinitySlack
	key := rendezvous.NewKey(w.Affinity)
	r.updateSpeeds(w.Service, now)
	work := r.workOf(w)
	spread := r.balance.Targets(w.Service, w.Affinity, now)
	first := newRanking(max(spread, 2))
	for i, t := range usable {
		if loads[i] <= bound {
			first.add(t, weightedScore(key, t.ID, t.weights[work]))
		}
	}
	if spread > 1 {
		return first.random()
	}
	return r.firstInTime(w, first)
}

// distance is the load added for a target's location, in requests.
func (r *Registry) distance(t *Target) float64 {
	switch {
	case t.Domain == r.opts.Domain:
		return 0
	case r.opts.Regions[t.Domain] == r.opts.Regions[r.opts.Domain]:
		return otherDomainLoad
	}
	return otherRegionLoad
}

// leastLoaded picks the target with the least load for its slots and speed, preferring this host's failure domain,
// then its region, at random by speed among equals.
func (r *Registry) leastLoaded(service string, usable []*Target, now time.Time) *Target {
	stats := r.statsOf(service)
	var best *Target
	least := math.Inf(1)
	r.updateSpeeds(service, now)
	ties := 0.0 // their weight
	for _, t := range usable {
		load := t.load(stats, now) / (float64(t.slots) * t.weights[balance.Light])
		load += r.distance(t) / float64(t.slots)
		switch {
		case load < least:
			best, least, ties = t, load, t.weights[balance.Light]
		case load == least:
			ties += t.weights[balance.Light]
			if rand.Float64()*ties < t.weights[balance.Light] {
				best = t
			}
		}
	}
	return best
}
