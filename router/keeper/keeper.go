// Package keeper chooses the keepers of an organisation: the hosts that hold its tokens and lend
// them to all other hosts.
//
// Pattern: a pool sharded by owner. In a large fleet each host gets a few requests per second of
// many organisations. If each held tokens for its own requests, most tokens would be on hosts where
// the next request does not arrive, unreachable while the log is unavailable, and all of them would
// be lost with their hosts. So only a few hosts hold them, more for a larger organisation, and the
// others borrow for each request.
//
// Hosts need no messages to agree on the keepers: all rank the hosts alike, by rendezvous hashing.
// A host that is asked although it is not a keeper, because those ranked before it do not respond,
// acts as one.
package keeper

import (
	"cmp"
	"math"
	"slices"

	"maststage.dev/lib/rendezvous"
)

const (
	// SmallFleet is the largest number of hosts at which each host obtains its own allocations.
	SmallFleet = 8
	// hostsPerKeeper is how many hosts one keeper serves. A loan costs it some 0.2 ms of CPU time,
	// and a host asks for 3 to 4 per second: 12 hosts take under 1% of a core.
	hostsPerKeeper = 12
	// spareLenders is how many hosts are asked in addition to the keepers: for tokens they hold, or
	// in place of silent keepers.
	spareLenders = 4
)

// Count returns the number of keepers of an organisation that has the given share (0 to 1) of all
// tokens.
func Count(hosts int, share float64) int {
	if hosts <= SmallFleet {
		return hosts
	}
	return min(max(int(math.Ceil(share*float64(hosts)/hostsPerKeeper)), 1), hosts)
}

// IsKeeper reports whether host self is a keeper; others names the hosts, with or without self.
func IsKeeper(organisation, self string, others []string, count int) bool {
	key := rendezvous.NewKey(organisation)
	ownScore := key.Score(self)
	higher := 0
	for _, name := range others {
		if name != self && key.Score(name) > ownScore {
			higher++
		}
	}
	return higher < count
}

// Lenders returns the hosts that self asks for tokens, in order: first the keepers, starting with a
// different one at each host to spread the load, then some spares.
func Lenders(organisation, self string, others []string, count int) []string {
	hosts := topRanked(organisation, others, count+spareLenders)
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

// rankedHost is a host and its score for an organisation.
type rankedHost struct {
	name  string
	score uint64
}

// topRanked returns the n names with the highest scores, highest first. It runs for each request
// that borrows, so it keeps only these and sorts nothing else.
func topRanked(organisation string, names []string, n int) []string {
	key := rendezvous.NewKey(organisation)
	best := make([]rankedHost, 0, n+1)
	for _, name := range names {
		score := key.Score(name)
		if len(best) == n && score <= best[n-1].score {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, score, func(r rankedHost, score uint64) int { return cmp.Compare(score, r.score) })
		best = slices.Insert(best, index, rankedHost{name, score})
		best = best[:min(len(best), n)]
	}
	list := make([]string, len(best))
	for i, r := range best {
		list[i] = r.name
	}
	return list
}
