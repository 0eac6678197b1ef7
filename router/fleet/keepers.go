package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/keeper"
)

// SetBudgetShares sets each organisation's share (0 to 1) of all prepaid tokens.
func (f *Fleet) SetBudgetShares(shares map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budgetShares = shares
}

// Keepers returns how many hosts hold tokens of a budget, and whether this host is one of
// them. In a small fleet all are; in a large one few are, and the others borrow from them.
func (f *Fleet) Keepers(organisation string) (count int, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.activePeers()
	count = keeper.Count(len(others)+1, f.budgetShares[organisation])
	return count, keeper.IsKeeper(organisation, f.opts.Self.Name, others, count)
}

// IsPrimary reports whether this host is the only one, of all active hosts, to perform a duty.
func (f *Fleet) IsPrimary(duty string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := rendezvous.Score(duty, f.opts.Self.Name)
	for name, peer := range f.hosts {
		if f.isActive(name, peer) && rendezvous.Score(duty, name) > own {
			return false
		}
	}
	return true
}

// isActive reports whether a host is not this one and has not expired; the lock is held.
func (f *Fleet) isActive(name string, peer peerState) bool {
	return name != f.opts.Self.Name && time.Since(peer.lastSeen) < peerExpiry
}

// domainSizes counts the active hosts in each failure domain and in total, this host included;
// the lock is held.
func (f *Fleet) domainSizes() (domains map[string]int, total int) {
	domains = map[string]int{f.opts.Self.Domain: 1}
	total = 1
	for name, peer := range f.hosts {
		if f.isActive(name, peer) {
			domains[peer.host.Domain]++
			total++
		}
	}
	return domains, total
}

// lenders lists the addresses of the hosts to ask for tokens of a budget: keepers, other holders and spares, recently
// silent ones last. It is nil in a small fleet, where each host takes tokens from the log itself.
func (f *Fleet) lenders(organisation string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.activePeers()
	hosts := len(others) + 1
	if hosts <= keeper.SmallFleet {
		return nil
	}
	count := keeper.Count(hosts, f.budgetShares[organisation])
	names := f.withHolders(keeper.Lenders(organisation, f.opts.Self.Name, others, count), count, organisation)
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		addresses = append(addresses, f.hosts[name].host.Address)
	}
	return f.silentLast(addresses)
}

// activePeersTTL is how long the list of active peers is cached: each request that needs tokens
// reads it, and hosts join and leave within seconds.
const activePeersTTL = 200 * time.Millisecond

// activePeers lists the names of the other active hosts, from a short-lived cache; the lock is
// held.
func (f *Fleet) activePeers() []string {
	if now := time.Now(); now.Sub(f.cachedPeersAt) > activePeersTTL {
		f.cachedPeersAt, f.cachedPeers = now, f.listActivePeers()
	}
	return f.cachedPeers
}

func (f *Fleet) listActivePeers() []string {
	names := make([]string, 0, len(f.hosts))
	for name, peer := range f.hosts {
		if f.isActive(name, peer) {
			names = append(names, name)
		}
	}
	return names
}

// domainPeers lists the other active hosts in this host's failure domain; the lock is held.
func (f *Fleet) domainPeers() []peerState {
	var same []peerState
	for name, peer := range f.hosts {
		if f.isActive(name, peer) && peer.host.Domain == f.opts.Self.Domain {
			same = append(same, peer)
		}
	}
	return same
}

// rotatedAddresses lists the addresses of hosts that share a duty. The starting point depends on
// this host's name and the turn, to spread the load; recently silent hosts come last. The lock is held.
func (f *Fleet) rotatedAddresses(duty string, hosts []peerState, turn int) []string {
	addresses := make([]string, 0, len(hosts))
	for i := range hosts {
		start := int((rendezvous.Score(duty, f.opts.Self.Name) + uint64(turn)) % uint64(len(hosts)))
		addresses = append(addresses, hosts[(start+i)%len(hosts)].host.Address)
	}
	return f.silentLast(addresses)
}

// silentLast moves the addresses of recently silent hosts to the end; the lock is held.
func (f *Fleet) silentLast(addresses []string) []string {
	var good, silent []string
	for _, address := range addresses {
		if f.recentlySilentLocked(address) {
			silent = append(silent, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, silent...)
}

// silentWindow is how long a host that did not respond is asked last.
const silentWindow = 2 * time.Second

// recentlySilentLocked reports whether a host did not respond within silentWindow; the lock is held.
func (f *Fleet) recentlySilentLocked(address string) bool {
	return time.Since(f.silentSince[address]) < silentWindow
}

// recentlySilent reports whether a host did not respond within silentWindow.
func (f *Fleet) recentlySilent(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recentlySilentLocked(address)
}

// recordCallResult notes whether a host responded to a call. One that cannot serve the call is
// reachable all the same.
func (f *Fleet) recordCallResult(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var status *statusError
	if err == nil || errors.As(err, &status) {
		delete(f.silentSince, address)
		return
	}
	f.silentSince[address] = time.Now()
}

// shuffled shuffles list in place and returns it.
func shuffled(list []string) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
