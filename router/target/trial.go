package target

import (
	"slices"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/rollout"
)

// onTrial says whether the request is to show how a version does. Its targets are not passed over for
// their failures then: those are what is to be found out, soon and once.
func (w Requirements) onTrial() bool { return w.Versions.Only != "" && w.Versions.Share < 1 }

// onTrial narrows the targets for a request that goes to a version on trial to a few, the same
// ones at all hosts: they bear together the load that as many old ones have, so that what a
// version does under load shows before the move. The lock is held.
func (r *Registry) onTrial(w Requirements, usable []*Target) []*Target {
	if !w.onTrial() {
		return usable
	}
	fresh, old := r.byVersion(w.Service, w.Versions.Only)
	few := firstOfDomains(w.Service, fresh, rollout.TrialTargets(old, w.Versions.Share))
	return slices.DeleteFunc(usable, func(t *Target) bool { return !slices.Contains(few, t) })
}

// byVersion lists the ready targets of a version and counts those of others; the lock is held.
func (r *Registry) byVersion(service, version string) (of []*Target, others int) {
	for _, t := range r.services[service] {
		switch {
		case !t.listed || t.state != Ready:
		case t.Version == version:
			of = append(of, t)
		default:
			others++
		}
	}
	return of, others
}

// firstOfDomains picks so many targets, of each failure domain as many as of any other as far as
// they go.
func firstOfDomains(key string, targets []*Target, count int) []*Target {
	ranked := rendezvous.Rank(key, targets, func(t *Target) string { return t.ID })
	place := map[*Target]int{} // in its domain
	inDomain := map[string]int{}
	for _, t := range ranked {
		place[t] = inDomain[t.Domain]
		inDomain[t.Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b *Target) int { return place[a] - place[b] })
	return ranked[:min(len(ranked), count)]
}
