package store

import (
	"slices"
	"time"

	"maststage.dev/fold/view"
)

const (
	// pastViewTTL is how long the members of an earlier view are remembered: as long as hosts
	// keep whole responses by default.
	pastViewTTL  = time.Minute
	maxPastViews = 32 // beyond this number the oldest view is forgotten early
)

// pastView holds the members of a former view and the time at which it ended.
type pastView struct {
	members []view.Member
	until   time.Time
}

// rememberView keeps the members of a view that was replaced; s.mu is held.
func (s *Store) rememberView(before view.View) {
	if s.state.View.Epoch == before.Epoch {
		return
	}
	now := time.Now()
	s.past = append(s.past, pastView{members: before.Members, until: now})
	expired := 0
	for expired < len(s.past) && (now.Sub(s.past[expired].until) > pastViewTTL || len(s.past)-expired > maxPastViews) {
		expired++
	}
	s.past = slices.Delete(s.past, 0, expired)
}

// PastReplicas returns the members that were replicas of an id in the views of the last minute and
// no longer are, latest view first. A run that one of them started may still be there.
func (s *Store) PastReplicas(id, region string) []view.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	seen := map[string]bool{}
	for _, m := range s.state.View.Replicas(id, region) {
		seen[m.Incarnation] = true
	}
	var out []view.Member
	for _, p := range slices.Backward(s.past) {
		if time.Since(p.until) > pastViewTTL {
			break
		}
		v := view.View{Members: p.members}
		for _, m := range v.Replicas(id, region) {
			if !seen[m.Incarnation] {
				seen[m.Incarnation] = true
				out = append(out, m)
			}
		}
	}
	return out
}
