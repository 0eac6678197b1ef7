package fleet

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/prepaid"
)

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

// BorrowFromKeepers asks other keepers of a budget for so many of the tokens that they have, until ctx
// ends. Where a request asks all keepers anyway it asks nobody.
func (f *Fleet) BorrowFromKeepers(ctx context.Context, organisation string, tokens int64) prepaid.Loan {
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
		if b.total.Tokens >= tokens || b.total.Shed || ctx.Err() != nil {
			break
		}
		ask := lendRequest{Tokens: tokens - b.total.Tokens, FreeOnly: b.total.Authoritative}
		if !ask.FreeOnly {
			ask.Cost = cost // one keeper decides whether the request gives way
		}
		b.ask(ctx, address, ask)
	}
	if !b.total.Shed && b.canGather(tokens) {
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
	log.WithFields(log.Fields{"organisation": b.organisation, "wanted": wanted, "got": b.total.Tokens, "answered": b.total.Authoritative, "kept": b.total.Shed}).Debug("borrowed from other hosts")
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
		b.total.Authoritative = b.total.Authoritative || got.Keeper
		b.total.Shed = b.total.Shed || got.Kept
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
