// Package view derives the set of live incarnations from the log.
//
// Ownership of request ids moves when the view changes. A host that gains ids
// must first know every intent for them that a surviving member holds and that
// isn't in the log yet. So each change opens a transition. It is settled once every
// surviving member of the last settled view has logged a Flushed record of the
// new epoch, after the intents it held. For the proof see
// docs/design/at-most-once.md.
package view

import (
	"slices"
	"strings"

	"maststage.dev/lib/rendezvous"
)

const (
	// Replicas is the number of incarnations responsible for an id, the owner included.
	Replicas = 3
	// keepEvicted is the maximum number of ended incarnations that are remembered.
	keepEvicted = 4096
)

// Member is one live incarnation.
type Member struct {
	Incarnation string
	Host        string
	Address     string // IP:port for peers
	Domain      string // failure domain
	Region      string
	Leaving     bool // finishes the requests it has, but owns no ids
}

// View is the set of members and the state of a transition. The zero value is an empty view.
type View struct {
	Epoch   uint64 // number of changes so far
	Members []Member
	Stable  []Member          // the last settled view
	Flushed map[string]uint64 // epoch up to which an incarnation has flushed
	Evicted []string          // ended incarnations, oldest first
}

// Join adds a member. An older incarnation of the same host ends and is returned.
func (v *View) Join(m Member) (ended string) {
	if v.Has(m.Incarnation) || v.WasEvicted(m.Incarnation) {
		return ""
	}
	for _, old := range v.Members {
		if old.Host == m.Host {
			ended = old.Incarnation
		}
	}
	if ended != "" {
		v.drop(ended)
	}
	v.Members = append(slices.Clip(v.Members), m) // readers share the old slice
	v.changed()
	return ended
}

// Evict ends an incarnation if epoch is the current one, so that two hosts can't
// evict each other from the same view.
func (v *View) Evict(inc string, epoch uint64) bool {
	if epoch != v.Epoch || !v.Has(inc) {
		return false
	}
	v.drop(inc)
	v.changed()
	return true
}

// Leave marks a member as leaving, or ends it if final.
func (v *View) Leave(inc string, final bool) bool {
	i := v.index(inc)
	if i < 0 {
		return false
	}
	if final {
		v.drop(inc)
		v.changed()
		return true
	}
	if v.Members[i].Leaving {
		return false
	}
	v.Members = slices.Clone(v.Members)
	v.Members[i].Leaving = true
	v.changed()
	return true
}

// Flush records that inc has logged all intents that it held before epoch.
func (v *View) Flush(inc string, epoch uint64) {
	if !v.Has(inc) {
		return
	}
	if v.Flushed == nil {
		v.Flushed = map[string]uint64{}
	}
	v.Flushed[inc] = max(v.Flushed[inc], epoch)
	v.settle()
}

// Has reports whether inc is a member.
func (v *View) Has(inc string) bool { return v.index(inc) >= 0 }

// WasEvicted reports whether inc has ended.
func (v *View) WasEvicted(inc string) bool { return slices.Contains(v.Evicted, inc) }

// Member returns the member with this incarnation.
func (v *View) Member(inc string) (Member, bool) {
	i := v.index(inc)
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Replicas lists the members of a region that are responsible for an id: the owner,
// then its successors, in distinct failure domains as far as possible.
func (v *View) Replicas(id, region string) []Member {
	return replicas(v.Members, id, region)
}

// Settled reports whether the replicas of an id know every intent that was held for it.
func (v *View) Settled(id, region string) bool {
	if v.settled() {
		return true
	}
	now := replicas(v.Members, id, region)
	then := replicas(v.Stable, id, region)
	return slices.EqualFunc(now, then, func(a, b Member) bool { return a.Incarnation == b.Incarnation })
}

func (v *View) settled() bool { return sameMembers(v.Stable, v.Members) }

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool {
		return x.Incarnation == y.Incarnation && x.Leaving == y.Leaving
	})
}

// candidate is a member, by its index, with its score for an id.
type candidate struct {
	score uint64
	index int
}

// replicas picks the members with the highest scores: first at most one in each failure
// domain, then any. It doesn't sort all members, since it runs for each request.
func replicas(members []Member, id, region string) []Member {
	left := make([]candidate, 0, len(members))
	for i, m := range members {
		if m.Region == region && !m.Leaving {
			left = append(left, candidate{rendezvous.Score(id, m.Incarnation), i})
		}
	}
	picked := make([]Member, 0, Replicas)
	for _, anyDomain := range []bool{false, true} {
		for len(picked) < Replicas {
			best := highest(members, left, picked, anyDomain)
			if best < 0 {
				break
			}
			picked = append(picked, members[left[best].index])
			left = slices.Delete(left, best, best+1)
		}
	}
	return picked
}

// highest returns the index of the candidate with the highest score whose domain is not
// picked yet, or of any domain if anyDomain; -1 if there is none.
func highest(members []Member, left []candidate, picked []Member, anyDomain bool) int {
	best := -1
	for i, c := range left {
		if best >= 0 && c.score <= left[best].score {
			continue
		}
		if !anyDomain && hasDomain(picked, members[c.index].Domain) {
			continue
		}
		best = i
	}
	return best
}

func hasDomain(ms []Member, domain string) bool {
	for i := range ms {
		if ms[i].Domain == domain {
			return true
		}
	}
	return false
}

func (v *View) index(inc string) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Incarnation == inc })
}

func (v *View) drop(inc string) {
	i := v.index(inc)
	if i < 0 {
		return
	}
	v.Members = slices.Delete(slices.Clone(v.Members), i, i+1)
	delete(v.Flushed, inc)
	v.Evicted = append(slices.Clone(v.Evicted), inc)
	if n := len(v.Evicted) - keepEvicted; n > 0 {
		v.Evicted = v.Evicted[n:]
	}
}

func (v *View) changed() {
	v.Epoch++
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	v.settle()
}

// settle ends the transition if every surviving member of the stable view has
// flushed up to the current epoch.
func (v *View) settle() {
	for _, m := range v.Stable {
		if v.Has(m.Incarnation) && v.Flushed[m.Incarnation] < v.Epoch {
			return
		}
	}
	v.Stable = slices.Clone(v.Members)
}
