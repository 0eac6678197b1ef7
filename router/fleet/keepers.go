package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/prepaid"
)

// keeperGroup is how many hosts of a failure domain share one keeper of a budget.
// A fleet of no more hosts has no keepers: each takes its own slices.
const keeperGroup = 8

// Keepers says how many hosts take slices of a budget from the log, and whether
// this host is one of them. In large fleets a few hosts of each failure domain are,
// by rendezvous hashing, and the others borrow from them.
func (f *Fleet) Keepers(organisation string) (count int, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	domains, total := f.domains()
	if total <= keeperGroup {
		return total, true
	}
	for _, n := range domains {
		count += keepersOf(n)
	}
	own := rendezvous.Score(organisation, f.opts.Self.Name)
	above := 0
	for name, k := range f.hosts {
		if f.counts(name, k) && k.host.Domain == f.opts.Self.Domain && rendezvous.Score(organisation, name) > own {
			above++
		}
	}
	return count, above < keepersOf(domains[f.opts.Self.Domain])
}

func keepersOf(hosts int) int { return (hosts + keeperGroup - 1) / keeperGroup }

// First says whether this host is the one of all that has a duty.
func (f *Fleet) First(duty string) bool {
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

// keeperAddresses lists the keepers of a budget in this host's failure domain, those
// that did not answer a moment ago last; nil if each host takes its own slices.
func (f *Fleet) keeperAddresses(organisation string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	domains, total := f.domains()
	if total <= keeperGroup {
		return nil
	}
	ranked := rendezvous.Rank(organisation, f.domainMates(), func(k known) string { return k.host.Name })
	return f.inTurn(organisation, ranked[:min(len(ranked), keepersOf(domains[f.opts.Self.Domain]))])
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
	var good, silent []string
	for i := range hosts {
		start := int(rendezvous.Score(duty, f.opts.Self.Name) % uint64(len(hosts)))
		address := hosts[(start+i)%len(hosts)].host.Address
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

func (f *Fleet) noteSilent(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.silent, address)
		return
	}
	f.silent[address] = time.Now()
}

// Bounds of a loan.
const (
	borrowFrom    = 5                     // hosts asked
	borrowKeepers = 2                     // keepers asked
	borrowTimeout = 30 * time.Millisecond // for an answer
	keeperTimeout = 60 * time.Millisecond // a keeper may wait for the log
)

// Borrow asks the keepers of the budget, or in a small fleet all hosts, one after
// the other, until they lent enough. A loan without an answer is recalled.
func (f *Fleet) Borrow(ctx context.Context, organisation string, tokens, better int64) prepaid.Loan {
	keepers := f.keeperAddresses(organisation)
	if keepers != nil {
		return f.borrowFrom(ctx, keepers[:min(len(keepers), borrowKeepers)], keeperTimeout, organisation, tokens, better)
	}
	list := f.addresses()
	return f.borrowFrom(ctx, list[:min(len(list), borrowFrom)], borrowTimeout, organisation, tokens, tokens)
}

func (f *Fleet) borrowFrom(ctx context.Context, addresses []string, timeout time.Duration, organisation string, tokens, better int64) prepaid.Loan {
	var total prepaid.Loan
	for _, address := range addresses {
		if total.Tokens >= tokens || ctx.Err() != nil {
			break
		}
		ask := lendRequest{ID: f.recalls.newLoan(), Organisation: organisation, Tokens: tokens - total.Tokens, Better: better - total.Tokens}
		var got lendResponse
		call, cancel := context.WithTimeout(ctx, timeout)
		err := f.calls.do(call, address, pathLend, ask, &got)
		cancel()
		f.noteSilent(address, err)
		if err == nil {
			total.Tokens += got.Tokens
			total.Answered = total.Answered || got.Keeper
		} else if !notSent(err) {
			f.recalls.add(unanswered{address: address, id: ask.ID})
		}
	}
	log.WithFields(log.Fields{"organisation": organisation, "wanted": tokens, "got": total.Tokens, "answered": total.Answered}).Debug("borrowed from other hosts")
	return total
}

// shuffled gives the addresses in random order.
func shuffled(list []string) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
