package fleet

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/prepaid"
)

// Bounds on borrowing for one request.
const (
	maxLenders    = 5                     // hosts asked for one request
	borrowTimeout = 30 * time.Millisecond // for a response
	keeperTimeout = 90 * time.Millisecond // longer, since a keeper may wait for the log or for other keepers
)

// Borrow asks hosts for tokens, one after the other, until they have lent enough for a request: the
// keepers of the budget (the hosts that hold its unspent tokens and lend them to the others), or all
// hosts in a small fleet. Loans without a response are recalled.
func (f *Fleet) Borrow(ctx context.Context, organisation string, tokens int64, q prepaid.Request) prepaid.Loan {
	if lenders := f.lenders(organisation); lenders != nil {
		return f.borrowFrom(ctx, lenders, keeperTimeout, organisation, tokens, q)
	}
	return f.borrowFrom(ctx, f.addresses(), borrowTimeout, organisation, tokens, q)
}

// BorrowFromKeepers asks other keepers of a budget for free tokens until ctx ends. It asks
// nobody if each request asks all keepers anyway.
func (f *Fleet) BorrowFromKeepers(ctx context.Context, organisation string, tokens int64) prepaid.Loan {
	count, _ := f.Keepers(organisation)
	lenders := f.lenders(organisation)
	if count <= maxLenders || lenders == nil {
		return prepaid.Loan{}
	}
	b := borrower{fleet: f, timeout: borrowTimeout, shortTimeout: true, organisation: organisation, available: map[string]int64{}}
	for _, address := range lenders[:min(len(lenders), count)] {
		if until, bounded := ctx.Deadline(); b.total.Tokens >= tokens || bounded && time.Until(until) < borrowTimeout {
			break
		}
		b.askLender(ctx, address, lendRequest{Tokens: tokens - b.total.Tokens, FreeOnly: true})
	}
	b.logResult(tokens)
	return b.total
}

// borrowFrom asks hosts in the given order. Once a keeper has answered for the whole budget, the
// others are asked only for tokens that they hold; once a keeper sheds the request, no more
// hosts are asked. If no host holds enough but all together do, their parts are borrowed.
func (f *Fleet) borrowFrom(ctx context.Context, addresses []string, timeout time.Duration, organisation string, tokens int64, q prepaid.Request) prepaid.Loan {
	b := borrower{fleet: f, timeout: timeout, organisation: organisation, available: map[string]int64{}}
	addresses = addresses[:min(len(addresses), maxLenders)]
	for _, address := range addresses {
		if b.total.Tokens >= tokens || b.total.Shed || ctx.Err() != nil {
			break
		}
		request := lendRequest{Tokens: tokens - b.total.Tokens, FreeOnly: b.total.Authoritative, Priority: &q.Priority}
		if !request.FreeOnly {
			request.Cost = q.Cost() // one keeper decides whether the request is shed
		}
		b.askLender(ctx, address, request)
	}
	if !b.total.Shed && b.partialsSuffice(tokens) {
		b.borrowPartials(ctx, addresses, tokens)
	}
	b.logResult(tokens)
	return b.total
}

// borrower collects the loans for one request.
type borrower struct {
	fleet        *Fleet
	timeout      time.Duration // of a call
	shortTimeout bool          // timeout is too short to conclude that a host is silent
	organisation string
	total        prepaid.Loan
	available    map[string]int64 // what hosts that lent too little could still lend, by address
}

func (b *borrower) logResult(wanted int64) {
	log.WithFields(log.Fields{"organisation": b.organisation, "wanted": wanted, "got": b.total.Tokens, "answered": b.total.Authoritative, "kept": b.total.Shed}).Debug("borrowed from other hosts")
}

// askLender asks one host for a loan.
func (b *borrower) askLender(ctx context.Context, address string, request lendRequest) {
	f := b.fleet
	request.ID, request.Organisation = f.recalls.newLoanID(), b.organisation
	var response lendResponse
	call, cancel := context.WithTimeout(ctx, b.timeout)
	err := f.client.callWithTimeout(call, address, pathLend, request, &response)
	cancel()
	if !b.shortTimeout {
		f.recordCallResult(address, err)
	}
	switch {
	case err == nil:
		b.total.Tokens += response.Tokens
		b.total.Authoritative = b.total.Authoritative || response.Keeper
		b.total.Shed = b.total.Shed || response.Shed
		// A host that held enough and lent nothing reserves its tokens for larger requests.
		// Borrowing them in parts would let small requests use them up.
		if response.Free < request.Tokens {
			b.available[address] = response.Free
		}
	case !notSent(err):
		f.recalls.add(pendingRecall{address: address, id: request.ID})
	}
}

// partialsSuffice reports whether the hosts that were asked could together lend what is missing.
func (b *borrower) partialsSuffice(tokens int64) bool {
	sum := b.total.Tokens
	for _, free := range b.available {
		sum += free
	}
	return b.total.Tokens < tokens && sum >= tokens
}

// borrowPartials borrows the missing tokens in parts from several hosts.
func (b *borrower) borrowPartials(ctx context.Context, addresses []string, tokens int64) {
	for _, address := range addresses {
		part := min(b.available[address], tokens-b.total.Tokens)
		if part > 0 && ctx.Err() == nil {
			b.askLender(ctx, address, lendRequest{Tokens: part, FreeOnly: true, AllowPartial: true})
		}
	}
}
