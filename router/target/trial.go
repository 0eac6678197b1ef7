package target

import (
	"slices"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/rollout"
)

// isTrial reports whether the request tests a new version. Targets on trial are not avoided for their failures,
// because the trial has to detect these soon, and just once.
func (w Requirements) isTrial() bool { return w.Versions.Only != "" && w.Versions.Share < 1 }

// trialTargets narrows the candidates of a request on trial to a few targets of the new version, the same ones at
// all hosts. Together they get the load of as many old ones, so that the behaviour of the version under load
// shows before all requests move to it. The lock is held.
func (r *Registry) trialTargets(w Requirements, usable []*Target) []*Target {
	if !w.isTrial() {
		return usable
	}
	matching, others := r.byVersion(w.Service, w.Versions.Only)
	selected := spreadOverDomains(w.Service, matching, rollout.TrialTargets(others, w.Versions.Share))
	return slices.DeleteFunc(usable, func(t *Target) bool { return !slices.Contains(selected, t) })
}

// byVersion lists the ready targets of a version and counts those of other versions. The lock is held.
func (r *Registry) byVersion(service, version string) (matching []*Target, others int) {
	for _, t := range r.services[service] {
		switch {
		case !t.ready():
		case t.Version == version:
			matching = append(matching, t)
		default:
			others++
		}
	}
	return matching, others
}

// spreadOverDomains picks up to count targets, spread evenly over the failure domains as far as their numbers allow.
func spreadOverDomains(key string, targets []*Target, count int) []*Target {
	ranked := rendezvous.Rank(key, targets, func(t *Target) string { return t.ID })
	place := map[*Target]int{} // position within its domain
	inDomain := map[string]int{}
	for _, t := range ranked {
		place[t] = inDomain[t.Domain]
		inDomain[t.Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b *Target) int { return place[a] - place[b] })
	return ranked[:min(len(ranked), count)]
}
