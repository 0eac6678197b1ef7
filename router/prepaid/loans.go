package prepaid

import (
	"context"
	"errors"
	"time"
)

// LoanRequest asks another host for a loan.
type LoanRequest struct {
	// ID is unique among all loans. The borrower uses it to recall a loan that it got no response
	// to; if it is empty, the loan can't be recalled.
	ID           string
	Organisation string
	Tokens       int64 // number of tokens needed
	// Cost is the cost of the request that the loan is for; 0: unknown, and the request is never
	// shed.
	Cost float64
	// Priority is that of the request; nil: unknown, and tokens are not reserved for others.
	Priority *int
	// FreeOnly asks only for tokens that the host already holds. Otherwise it obtains an allocation
	// for the loan if needed, and acts as a keeper of the budget from then on.
	FreeOnly bool
	// AllowPartial accepts fewer tokens than needed, since other hosts lend the rest.
	AllowPartial bool
}

// Loan is what other hosts lent.
type Loan struct {
	Tokens int64
	// Authoritative means that a keeper answered for the whole budget: if it lent too little, the
	// log has no more either, and only tokens held by hosts are left.
	Authoritative bool
	// Free is how much the lender could still lend, if it lent too little.
	Free int64
	// Shed means that a keeper reserves the last tokens for requests of lower cost; no other host
	// needs to be asked.
	Shed bool
}

// Parameters of loans and transfers.
const (
	borrowTimeout        = 150 * time.Millisecond // bounds the calls to other hosts for one loan
	borrowBackoff        = 250 * time.Millisecond // before hosts that had too little are asked for as much again
	lendShare            = 0.9                    // of a non-keeper's free tokens, lent at most at once
	lendTimeout          = 60 * time.Millisecond  // how long a keeper waits for the log and other keepers
	keeperPeriod         = 5 * time.Second        // how long a host that was asked for a loan acts as a keeper
	maxParallelTransfers = 16                     // each may wait for a silent host
	idlePeriod           = 3 * time.Second        // without a request, after which tokens are returned or transferred
)

// keepers returns how many hosts obtain allocations of a budget and whether this one does: as a
// keeper, because others treated it as one, or because its own demand justifies it. The lock is
// held.
func (a *Allocator) keepers(organisation string, al *allocation) (count int, self bool) {
	if a.opts.Keepers == nil {
		return max(a.opts.Hosts(), 1), true
	}
	count, self = a.opts.Keepers(organisation)
	now := time.Now()
	return count, self || now.Sub(al.keeperAskedAt) < keeperPeriod || al.busy(now)
}

// fewKeepers reports whether few of many hosts obtain allocations of a budget. The lock is held.
func (a *Allocator) fewKeepers(count int) bool { return count < a.opts.Hosts() }

// isKeeper reports whether this host obtains allocations of a budget.
func (a *Allocator) isKeeper(organisation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil {
		return false
	}
	_, self := a.keepers(organisation, al)
	return self
}

// borrow asks other hosts for the tokens that the allocation lacks.
func (a *Allocator) borrow(q Request) (got *Reservation, authoritative bool, err error) {
	organisation, tokens := q.Organisation, q.Tokens
	if a.opts.Borrow == nil {
		return nil, false, nil
	}
	shortfall, recentlyDenied := a.shortfall(organisation, tokens, time.Now())
	if shortfall == 0 || recentlyDenied {
		return nil, recentlyDenied, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	loan := a.opts.Borrow(ctx, organisation, shortfall, q)
	if loan.Shed {
		a.acceptLoan(organisation, shortfall, loan)
		return nil, true, ErrShed
	}
	got, err = a.reserveWithLoan(organisation, tokens, shortfall, loan)
	return got, loan.Authoritative, err
}

// reserveWithLoan accepts a loan and reserves the tokens of the request that it is for, so that nobody else gets them in between.
func (a *Allocator) reserveWithLoan(organisation string, tokens, wanted int64, loan Loan) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acceptLoanLocked(organisation, wanted, loan)
	return a.tryReserveLocked(organisation, tokens)
}

// shortfall is how many tokens the allocation lacks for a request. No more than that is borrowed,
// since others can't reach what a non-keeper holds. recentlyDenied says that other hosts had too
// few tokens for as much a moment ago.
func (a *Allocator) shortfall(organisation string, tokens int64, now time.Time) (shortfall int64, recentlyDenied bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil || !al.spendable() {
		return 0, false
	}
	shortfall = max(tokens-al.free, 0)
	if !a.leavesHeadroom(organisation, al, tokens) {
		shortfall = max(al.headroom(now)-al.free, shortfall)
	}
	return shortfall, now.Sub(al.borrowDeniedAt) < borrowBackoff && shortfall >= al.borrowDeniedTokens
}

// acceptLoan credits a loan and records if it was too small.
func (a *Allocator) acceptLoan(organisation string, wanted int64, loan Loan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acceptLoanLocked(organisation, wanted, loan)
}

// acceptLoanLocked is acceptLoan; the lock is held.
func (a *Allocator) acceptLoanLocked(organisation string, wanted int64, loan Loan) {
	al := a.allocations[organisation]
	if al == nil {
		return
	}
	if loan.Tokens > 0 {
		al.free += loan.Tokens
		al.totals.Borrowed += loan.Tokens
		al.obtainedAt = time.Now()
		a.notifyWaiters()
	}
	if loan.Tokens < wanted && loan.Authoritative {
		al.borrowDeniedAt, al.borrowDeniedTokens = time.Now(), wanted-loan.Tokens
	}
}

// Lend takes tokens out of this host's allocation for another host, at most as many as it needs. A
// keeper waits briefly for an allocation. The tokens are debited here whether or not the other host
// gets them, unless it recalls the loan.
func (a *Allocator) Lend(ctx context.Context, request LoanRequest) Loan {
	loan := a.lend(ctx, request)
	if loan.Tokens < request.Tokens {
		loan.Free = a.lendable(request.Organisation)
	}
	return loan
}

func (a *Allocator) lend(ctx context.Context, request LoanRequest) Loan {
	keeper := a.noteKeeperRequest(request)
	if ctx.Err() != nil {
		return Loan{}
	}
	if keeper && a.shouldShed(request.Organisation, request.Cost, request.Tokens) {
		return Loan{Authoritative: true, Shed: true}
	}
	if keeper && request.Priority != nil {
		if refused, alone := a.refusesScarce(request.Organisation, *request.Priority, request.Tokens); refused {
			return Loan{Shed: alone}
		}
	}
	if lent := a.lendFree(request, keeper); lent >= request.Tokens || !keeper || request.FreeOnly {
		return Loan{Tokens: lent, Authoritative: keeper}
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	got, err := a.reserveFromLog(ctx, request.Organisation, request.Tokens, lendTimeout)
	if errors.Is(err, ErrExhausted) {
		got = a.borrowFromKeepers(ctx, request)
	}
	if got == nil {
		// Only an exhausted account is a denial for the whole budget: if this host can't reach the
		// log, another one may.
		return Loan{Authoritative: a.exhausted(request.Organisation, request.Tokens)}
	}
	return Loan{Tokens: a.lendReserved(request.ID, got), Authoritative: true}
}

// borrowFromKeepers obtains what a loan lacks from other keepers when this one ran dry, since the
// borrower does not ask all keepers. It returns nil if they have too little.
func (a *Allocator) borrowFromKeepers(ctx context.Context, request LoanRequest) *Reservation {
	if a.opts.BorrowFromKeepers == nil || ctx.Err() != nil {
		return nil
	}
	shortfall, recentlyDenied := a.shortfall(request.Organisation, request.Tokens, time.Now())
	if recentlyDenied {
		return nil
	}
	loan := Loan{}
	if shortfall > 0 {
		loan = a.opts.BorrowFromKeepers(ctx, request.Organisation, shortfall)
	}
	got, _ := a.reserveWithLoan(request.Organisation, request.Tokens, shortfall, loan)
	return got
}

// lendable is how many tokens this host could lend at once.
func (a *Allocator) lendable(organisation string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil || a.closing || !al.spendable() {
		return 0
	}
	return al.lendableTokens()
}

// noteKeeperRequest records that another host treats this one as a keeper, and reports whether it
// is one.
func (a *Allocator) noteKeeperRequest(request LoanRequest) (keeper bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[request.Organisation]
	if al == nil || a.closing {
		return false
	}
	if !request.FreeOnly {
		al.keeperAskedAt = time.Now()
	}
	_, keeper = a.keepers(request.Organisation, al)
	return keeper
}

// lendFree lends free tokens. A keeper lends all that is requested or nothing, since it may wait
// for more.
func (a *Allocator) lendFree(request LoanRequest, keeper bool) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[request.Organisation]
	if al == nil || request.Tokens <= 0 || a.closing || !al.spendable() || a.loans.recalled(request.ID) {
		return 0
	}
	if !a.lendsBesideWaiting(request.Organisation, al) {
		return 0
	}
	lendable := al.lendableTokens()
	lent := min(request.Tokens, lendable)
	if keeper && !request.AllowPartial && (lent < request.Tokens || !a.leavesHeadroom(request.Organisation, al, request.Tokens)) {
		al.denied.record(request.Tokens, time.Now())
		return 0
	}
	if keeper {
		al.recordLoanDemand(lent, request.Tokens, time.Now())
	}
	al.free -= lent
	al.totals.Lent += lent
	a.loans.add(request.ID, request.Organisation, lent)
	a.refillIfLow(request.Organisation, al)
	return lent
}

// lendsBesideWaiting reports whether no request of this host waits for its tokens, or requests of other hosts have the same claim to
// them: at one of few keepers, which hold the tokens of all. Elsewhere tokens that were taken for a waiting request are not lent.
// The lock is held.
func (a *Allocator) lendsBesideWaiting(organisation string, al *allocation) bool {
	if len(al.waiting) == 0 {
		return true
	}
	count, keeper := a.keepers(organisation, al)
	return keeper && a.fewKeepers(count)
}

// lendReserved turns a reservation into a loan.
func (a *Allocator) lendReserved(id string, r *Reservation) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[r.organisation]
	if al == nil || r.settled {
		return 0
	}
	r.settled = true
	al.reserved -= r.tokens
	if a.loans.recalled(id) {
		al.free += r.tokens
		a.notifyWaiters()
		return 0
	}
	al.totals.Lent += r.tokens
	a.loans.add(id, r.organisation, r.tokens)
	return r.tokens
}

// Recall takes back a loan whose borrower got no response and does not use it. It may arrive before
// the request for the loan, which then lends nothing, and more than once.
func (a *Allocator) Recall(id string) (tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	loan := a.loans.recall(id)
	al := a.allocations[loan.organisation]
	if al == nil {
		return 0
	}
	al.free += loan.tokens
	al.totals.Recalled += loan.tokens
	a.notifyWaiters()
	return loan.tokens
}
