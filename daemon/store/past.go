package store

import (
	"slices"
	"time"

	"maststage.dev/fold/view"
)

const (
	// keepPast is how long the members of an earlier view are remembered: as long as hosts
	// keep whole answers by default.
	keepPast = time.Minute
	maxPast  = 32 // views; more changes in a minute leave out the oldest
)

// pastView is the members that were in force until a time.
type pastView struct {
	members []view.Member
	until   time.Time
}

// remember keeps the members of a view that is no longer in force; s.mu is held.
func (s *Store) remember(before view.View) {
	if s.state.View.Epoch == before.Epoch {
		return
	}
	now := time.Now()
	s.past = append(s.past, pastView{members: before.Members, until: now})
	expired := 0
	for expired < len(s.past) && (now.Sub(s.past[expired].until) > keepPast || len(s.past)-expired > maxPast) {
		expired++
	}
	s.past = slices.Delete(s.past, 0, expired)
}

// PastReplicas lists who answered for an id in the views of the last minute and does not now, the
// latest first. A run that one of them began may still be there.
func (s *Store) PastReplicas(id, region string) []view.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	seen := map[string]bool{}
	for _, m := range s.state.View.Replicas(id, region) {
		seen[m.Incarnation] = true
	}
	var out []view.Member
	for _, p := range slices.Backward(s.past) {
		if time.Since(p.until) > keepPast {
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
