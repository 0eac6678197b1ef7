// Package keeper chooses the hosts that hold the tokens of an organisation for all others.
//
// Pattern: a pool that is sharded by owner. In a large fleet each host sees a few requests a
// second of many organisations. Where each held tokens for its own, most of them would lie
// where the next request does not arrive, out of reach while the log is away, and all of
// them would die with their hosts. So few hosts hold them, the more the larger an
// organisation is, and the others borrow for each request.
//
// It needs no word between hosts: all rank the hosts alike, by rendezvous hashing, and a
// host that is asked out of turn, since those before it are silent, takes over.
package keeper

import (
	"cmp"
	"math"
	"slices"

	"maststage.dev/lib/rendezvous"
)

const (
	// SmallFleet is how many hosts a fleet may have in which each takes its own slices.
	SmallFleet = 8
	// hostsPerKeeper is how many hosts' requests one keeper bears. A loan costs it some
	// 0.2 ms of a core, and a host asks for 3 to 4 a second: 12 hosts take under 1% of a core.
	hostsPerKeeper = 12
	// spares are asked beside the keepers: for what they hold, or in place of silent ones.
	spares = 4
)

// Count is how many keepers an organisation has that has a part (0 to 1) of all tokens.
func Count(hosts int, part float64) int {
	if hosts <= SmallFleet {
		return hosts
	}
	return min(max(int(math.Ceil(part*float64(hosts)/hostsPerKeeper)), 1), hosts)
}

// IsKeeper says whether the host self is a keeper among all hosts; others are their names.
func IsKeeper(organisation, self string, others []string, count int) bool {
	key := rendezvous.NewKey(organisation)
	own := key.Score(self)
	above := 0
	for _, name := range others {
		if name != self && key.Score(name) > own {
			above++
		}
	}
	return above < count
}

// Lenders lists the hosts that self asks for tokens, in its order: the keepers, beginning
// with another one at each host that asks, and then some spares.
func Lenders(organisation, self string, others []string, count int) []string {
	hosts := first(organisation, others, count+spares)
	count = min(count, len(hosts))
	if count == 0 {
		return nil
	}
	list := make([]string, 0, len(hosts))
	start := int(rendezvous.Score(organisation, self) % uint64(count))
	for i := range count {
		list = append(list, hosts[(start+i)%count])
	}
	return append(list, hosts[count:]...)
}

// ranked is a host and its score for an organisation.
type ranked struct {
	name  string
	score uint64
}

// first lists the n names with the highest scores, the highest first. Each request that
// borrows needs it, so it keeps just these and sorts nothing else.
func first(organisation string, names []string, n int) []string {
	key := rendezvous.NewKey(organisation)
	best := make([]ranked, 0, n+1)
	for _, name := range names {
		score := key.Score(name)
		if len(best) == n && score <= best[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, score, func(r ranked, score uint64) int { return cmp.Compare(score, r.score) })
		best = slices.Insert(best, at, ranked{name, score})
		best = best[:min(len(best), n)]
	}
	list := make([]string, len(best))
	for i, r := range best {
		list[i] = r.name
	}
	return list
}
