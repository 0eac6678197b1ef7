package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/keeper"
	"maststage.dev/router/prepaid"
)

// SetParts takes over which part of all prepaid tokens each organisation has.
func (f *Fleet) SetParts(parts map[string]float64) {
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
	return count, keeper.Is(organisation, f.opts.Self.Name, others, count)
}

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

// lenders lists the addresses of the hosts that are asked for tokens of a budget, those
// that did not answer a moment ago last; nil if each host takes its own slices.
func (f *Fleet) lenders(organisation string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.others()
	hosts := len(others) + 1
	if hosts <= keeper.Group {
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

// Bounds of a loan.
const (
	borrowFrom    = 5                     // hosts asked
	borrowTimeout = 30 * time.Millisecond // for an answer
	keeperTimeout = 90 * time.Millisecond // a keeper may wait for the log or for other keepers
)

// Borrow asks the keepers of the budget, or in a small fleet all hosts, one after
// the other, until they lent enough, for a request of a cost. A loan without an answer is
// recalled.
func (f *Fleet) Borrow(ctx context.Context, organisation string, tokens int64, cost float64) prepaid.Loan {
	if lenders := f.lenders(organisation); lenders != nil {
		return f.borrowFrom(ctx, lenders, keeperTimeout, organisation, tokens, cost)
	}
	return f.borrowFrom(ctx, f.addresses(), borrowTimeout, organisation, tokens, cost)
}

// Gather asks other keepers of a budget for so many of the tokens that they have, until ctx
// ends. Where a request asks all keepers anyway it asks nobody.
func (f *Fleet) Gather(ctx context.Context, organisation string, tokens int64) prepaid.Loan {
	count, _ := f.Keepers(organisation)
	lenders := f.lenders(organisation)
	if count <= borrowFrom || lenders == nil {
		return prepaid.Loan{}
	}
	b := borrowing{fleet: f, timeout: borrowTimeout, hurried: true, organisation: organisation, free: map[string]int64{}}
	for _, address := range lenders[:min(len(lenders), count)] {
		if until, bounded := ctx.Deadline(); b.total.Tokens >= tokens || bounded && time.Until(until) < borrowTimeout {
			break
		}
		b.ask(ctx, address, lendRequest{Tokens: tokens - b.total.Tokens, FreeOnly: true})
	}
	b.log(tokens)
	return b.total
}

// borrowFrom asks hosts in their order. Once a keeper answered, the others are asked only for
// what they have; none is asked any more once a keeper keeps its tokens for smaller requests.
// Where none has enough and together they have, it is gathered.
func (f *Fleet) borrowFrom(ctx context.Context, addresses []string, timeout time.Duration, organisation string, tokens int64, cost float64) prepaid.Loan {
	b := borrowing{fleet: f, timeout: timeout, organisation: organisation, free: map[string]int64{}}
	addresses = addresses[:min(len(addresses), borrowFrom)]
	for _, address := range addresses {
		if b.total.Tokens >= tokens || b.total.Kept || ctx.Err() != nil {
			break
		}
		ask := lendRequest{Tokens: tokens - b.total.Tokens, FreeOnly: b.total.Answered}
		if !ask.FreeOnly {
			ask.Cost = cost // one keeper decides whether the request gives way
		}
		b.ask(ctx, address, ask)
	}
	if !b.total.Kept && b.canGather(tokens) {
		b.gather(ctx, addresses, tokens)
	}
	b.log(tokens)
	return b.total
}

// borrowing is the loans for one request.
type borrowing struct {
	fleet        *Fleet
	timeout      time.Duration // of an answer
	hurried      bool          // that is too short to tell of a host
	organisation string
	total        prepaid.Loan
	free         map[string]int64 // what hosts that lent too little could still lend
}

func (b *borrowing) log(wanted int64) {
	log.WithFields(log.Fields{"organisation": b.organisation, "wanted": wanted, "got": b.total.Tokens, "answered": b.total.Answered, "kept": b.total.Kept}).Debug("borrowed from other hosts")
}

// ask asks one host.
func (b *borrowing) ask(ctx context.Context, address string, ask lendRequest) {
	f := b.fleet
	ask.ID, ask.Organisation = f.recalls.newLoan(), b.organisation
	var got lendResponse
	call, cancel := context.WithTimeout(ctx, b.timeout)
	err := f.calls.do(call, address, pathLend, ask, &got)
	cancel()
	if !b.hurried {
		f.noteSilent(address, err)
	}
	switch {
	case err == nil:
		b.total.Tokens += got.Tokens
		b.total.Answered = b.total.Answered || got.Keeper
		b.total.Kept = b.total.Kept || got.Kept
		// A host that had enough and lent nothing keeps room for larger requests: pieces
		// gathered from it would let small ones take that room.
		if got.Free < ask.Tokens {
			b.free[address] = got.Free
		}
	case !notSent(err):
		f.recalls.add(unanswered{address: address, id: ask.ID})
	}
}

// canGather says whether the hosts that were asked could together lend what is missing.
func (b *borrowing) canGather(tokens int64) bool {
	sum := b.total.Tokens
	for _, free := range b.free {
		sum += free
	}
	return b.total.Tokens < tokens && sum >= tokens
}

// gather borrows parts.
func (b *borrowing) gather(ctx context.Context, addresses []string, tokens int64) {
	for _, address := range addresses {
		part := min(b.free[address], tokens-b.total.Tokens)
		if part > 0 && ctx.Err() == nil {
			b.ask(ctx, address, lendRequest{Tokens: part, FreeOnly: true, Partly: true})
		}
	}
}

// shuffled gives the addresses in random order.
func shuffled(list []string) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
