package target

import (
	"math"
	"math/rand/v2"
	"time"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
)

// Requirements is what a request asks of a target.
type Requirements struct {
	Service      string
	Affinity     string // shared parts of the prompt; empty: none
	PromptTokens float64
	Exclude      map[string]bool // ids tried already
	Versions     rollout.Rule    // that a target may have
	Priority     int             // of urgency, 0 comes first
	Regions      routing.Regions // in which a target may lie
}

// Figures of the choice.
const (
	affinityBound = 1.6  // times the mean load that a target with the prompt's parts may have
	affinitySlack = 10.0 // requests that it may have above that
	farLoad       = 0.3  // what another failure domain counts as, in requests
	// otherRegionLoad is what another region counts as, in requests: the way there and back
	// takes as long as a short answer.
	otherRegionLoad = 1.5
	workUnit        = 6000 // prompt tokens that count as one more request
	coldLoad        = 2.0  // what a cold target counts as, times its load
)

// Choose picks a target, nil if none can take the request. A choice counts against what a
// cold target or one that names a limit bears.
func (r *Registry) Choose(w Requirements) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.choose(w, now)
	if t != nil {
		t.paced = now
		if t.limit.inForce {
			t.limit.sent++
		}
	}
	return t
}

// HasCandidate says whether a target could take the request.
func (r *Registry) HasCandidate(w Requirements) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.usable(w, time.Now())) > 0
}

// choose picks a target; the lock is held.
func (r *Registry) choose(w Requirements, now time.Time) *Target {
	usable, spared := r.candidates(w, now)
	usable = r.onTrial(w, usable)
	if r.rationed(w, usable, now) || len(usable) == 0 {
		return nil
	}
	if w.onTrial() {
		return usable[rand.IntN(len(usable))] // each tells as much as any other
	}
	if r.isLong(w) {
		usable = r.withoutStalled(w.Service, usable, now)
	}
	if w.Affinity != "" {
		if t := r.byAffinity(w, inPlaceOf(spared, usable, w.Affinity, now), now); t != nil {
			return t
		}
	}
	return r.leastLoaded(w.Service, usable, now)
}

// usable lists the targets that may take the request.
func (r *Registry) usable(w Requirements, now time.Time) []*Target {
	usable, _ := r.candidates(w, now)
	return usable
}

// candidates lists the targets that may take the request: the ready ones that are
// neither ejected, nor full, nor quiet, nor ended; else the ready ones; else those that left a moment
// ago. Evacuated targets are never among them, nor those of regions or versions that are not allowed,
// nor those that name a limit and have enough, nor the cold ones that have enough, which are listed
// apart.
func (r *Registry) candidates(w Requirements, now time.Time) (usable, spared []*Target) {
	all := r.services[w.Service]
	good := make([]*Target, 0, len(all))
	var ejected, leaving []*Target
	for _, t := range all {
		if !r.mayServe(w, t, now) {
			continue
		}
		switch {
		case !r.admits(t, now):
			if t.isCold(now) {
				spared = append(spared, t)
			}
		case !t.listed || t.state != Ready:
			if now.Sub(t.leftAt) < r.opts.DrainLimit {
				leaving = append(leaving, t)
			}
		case !w.onTrial() && now.Before(t.health.until) || now.Before(t.health.shedUntil) || t.quiet(now) || t.gone(now):
			ejected = append(ejected, t)
		default:
			good = append(good, t)
		}
	}
	switch {
	case len(good) > 0:
		return good, spared
	case len(ejected) > 0:
		return ejected, spared
	}
	return leaving, spared
}

// mayServe says whether a target is one that the request may go to at all; the lock is held.
func (r *Registry) mayServe(w Requirements, t *Target, now time.Time) bool {
	return !w.Exclude[t.ID] && !r.evacuations[t.Domain].left(t.ID, now) && w.Regions.Contains(r.opts.Regions[t.Domain]) && w.Versions.Allows(t.Version)
}

// load is how busy a target is, in requests of this host.
func (t *Target) load(stats *serviceStats, now time.Time) float64 {
	load := float64(t.outstanding) + t.work/workUnit
	if slowness := t.slowness(stats.latency, now); slowness > 1 {
		load = (load + 1) * slowness
	}
	if t.isCold(now) {
		load = (load + 1) * coldLoad
	}
	return load
}

// byAffinity picks the target that ranks first for the prompt's shared parts
// among those that are not much busier than the rest.
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
	var best *Target
	var score uint64
	for i, t := range usable {
		if loads[i] > bound {
			continue
		}
		if s := key.Score(t.ID); best == nil || s > score {
			best, score = t, s
		}
	}
	return best
}

// distance is what a target's place counts as, in requests.
func (r *Registry) distance(t *Target) float64 {
	switch {
	case t.Domain == r.opts.Domain:
		return 0
	case r.opts.Regions[t.Domain] == r.opts.Regions[r.opts.Domain]:
		return farLoad
	}
	return otherRegionLoad
}

// leastLoaded picks the least busy target, this host's failure domain before others, and its
// region before others, at random among equals.
func (r *Registry) leastLoaded(service string, usable []*Target, now time.Time) *Target {
	stats := r.statsOf(service)
	var best *Target
	least := math.Inf(1)
	ties := 0
	for _, t := range usable {
		load := t.load(stats, now) / float64(t.slots)
		load += r.distance(t) / float64(t.slots)
		switch {
		case load < least:
			best, least, ties = t, load, 1
		case load == least:
			ties++
			if rand.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}
