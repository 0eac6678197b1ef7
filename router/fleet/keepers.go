package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/keeper"
)

// SetBudgetShares takes over which part of all prepaid tokens each organisation has.
func (f *Fleet) SetBudgetShares(parts map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts = parts
}

// Keepers says how many hosts hold tokens of a budget, and whether this host is one of
// them. In a small fleet all are; in a large one few are, and the others borrow from them.
func (f *Fleet) Keepers(organisation string) (count int, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.others()
	count = keeper.Count(len(others)+1, f.parts[organisation])
	return count, keeper.IsKeeper(organisation, f.opts.Self.Name, others, count)
}

// IsPrimary says whether this host is the one of all that has a duty.
func (f *Fleet) IsPrimary(duty string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := rendezvous.Score(duty, f.opts.Self.Name)
	for name, k := range f.hosts {
		if f.counts(name, k) && rendezvous.Score(duty, name) > own {
			return false
		}
	}
	return true
}

// counts says whether a host other than this one takes part; the lock is held.
func (f *Fleet) counts(name string, k known) bool {
	return name != f.opts.Self.Name && time.Since(k.seen) < forgetAfter
}

// domains counts the hosts of each failure domain and in all, this one included.
func (f *Fleet) domains() (domains map[string]int, total int) {
	domains = map[string]int{f.opts.Self.Domain: 1}
	total = 1
	for name, k := range f.hosts {
		if f.counts(name, k) {
			domains[k.host.Domain]++
			total++
		}
	}
	return domains, total
}

// lenders lists the addresses of the hosts that are asked for tokens of a budget, those
// that did not answer a moment ago last; nil if each host takes its own slices.
func (f *Fleet) lenders(organisation string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.others()
	hosts := len(others) + 1
	if hosts <= keeper.SmallFleet {
		return nil
	}
	names := keeper.Lenders(organisation, f.opts.Self.Name, others, keeper.Count(hosts, f.parts[organisation]))
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		addresses = append(addresses, f.hosts[name].host.Address)
	}
	return f.silentLast(addresses)
}

// othersFor is how long the list of the other hosts is used: each request that needs tokens
// asks for it, and hosts come and go within seconds.
const othersFor = 200 * time.Millisecond

// others lists the names of the other hosts that take part, as of a moment ago; the lock is
// held.
func (f *Fleet) others() []string {
	if now := time.Now(); now.Sub(f.othersAt) > othersFor {
		f.othersAt, f.othersThen = now, f.otherNames()
	}
	return f.othersThen
}

func (f *Fleet) otherNames() []string {
	names := make([]string, 0, len(f.hosts))
	for name, k := range f.hosts {
		if f.counts(name, k) {
			names = append(names, name)
		}
	}
	return names
}

// domainMates lists the other hosts of this host's failure domain; the lock is held.
func (f *Fleet) domainMates() []known {
	var same []known
	for name, k := range f.hosts {
		if f.counts(name, k) && k.host.Domain == f.opts.Self.Domain {
			same = append(same, k)
		}
	}
	return same
}

// inTurn lists the addresses of hosts that share a duty, beginning with another one at
// each host that asks; those that did not answer a moment ago are last. The lock is held.
func (f *Fleet) inTurn(duty string, hosts []known) []string {
	addresses := make([]string, 0, len(hosts))
	for i := range hosts {
		start := int(rendezvous.Score(duty, f.opts.Self.Name) % uint64(len(hosts)))
		addresses = append(addresses, hosts[(start+i)%len(hosts)].host.Address)
	}
	return f.silentLast(addresses)
}

// silentLast puts the addresses that did not answer a moment ago last; the lock is held.
func (f *Fleet) silentLast(addresses []string) []string {
	var good, silent []string
	for _, address := range addresses {
		if f.silentNow(address) {
			silent = append(silent, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, silent...)
}

// silentPause is how long a host that did not answer is asked last.
const silentPause = 2 * time.Second

// silentNow says whether a host did not answer a moment ago; the lock is held.
func (f *Fleet) silentNow(address string) bool { return time.Since(f.silent[address]) < silentPause }

// wasSilent says whether a host did not answer a moment ago.
func (f *Fleet) wasSilent(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silentNow(address)
}

// noteSilent notes whether a host answered a call. One that can't serve it is there all the same.
func (f *Fleet) noteSilent(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var status *statusError
	if err == nil || errors.As(err, &status) {
		delete(f.silent, address)
		return
	}
	f.silent[address] = time.Now()
}

// shuffled gives the addresses in random order.
func shuffled(list []string) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
