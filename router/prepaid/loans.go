package prepaid

import (
	"context"
	"errors"
	"time"
)

// LoanRequest is what a host asks of another.
type LoanRequest struct {
	// ID is unique among all loans. With it the borrower may recall a loan that it
	// got no answer to; empty: it can't.
	ID           string
	Organisation string
	Tokens       int64 // needed
	// Cost is that of the request that the loan is for; 0: not known, it never gives way.
	Cost float64
	// FreeOnly asks for what the host has; else it takes a slice for the loan if need be,
	// and is a keeper of the budget from then on.
	FreeOnly bool
	// AllowPartial takes less than what is needed too: others lend the rest.
	AllowPartial bool
}

// Loan is what other hosts lent.
type Loan struct {
	Tokens int64
	// Authoritative means that a keeper answered for the whole budget: if it lent too little,
	// the log has no more either, and only what hosts hold is left.
	Authoritative bool
	// Free is what the lender could still lend, where it lent too little.
	Free int64
	// Shed means that a keeper keeps the last tokens for smaller requests; nobody else needs
	// to be asked.
	Shed bool
}

// Figures of loans.
const (
	borrowWait  = 150 * time.Millisecond // bounds the requests to other hosts
	borrowPause = 250 * time.Millisecond // hosts are not asked again for as much after they had too little
	lendPart    = 0.9                    // of the free tokens that a host holds for itself, lent at most at once
	lendWait    = 60 * time.Millisecond  // a keeper waits so long for the log and other keepers
	keeperTime  = 5 * time.Second        // a host that was asked for a loan is a keeper for so long
	handOvers   = 16                     // budgets handed over at a time; each may wait for a silent host
	idleTime    = 3 * time.Second        // without a request, after which tokens are given back
)

// keeps says how many hosts take slices of a budget and whether this one does: as a
// keeper, because others took it for one, or because its own demand is worth it. The lock
// is held.
func (t *Allocator) keeps(organisation string, w *wallet) (count int, self bool) {
	if t.opts.Keepers == nil {
		return max(t.opts.Hosts(), 1), true
	}
	count, self = t.opts.Keepers(organisation)
	now := time.Now()
	return count, self || now.Sub(w.asked) < keeperTime || w.busy(now)
}

// sparse says whether few of many hosts take slices of a budget; the lock is held.
func (t *Allocator) sparse(count int) bool { return count < t.opts.Hosts() }

// keeper says whether this host takes slices of a budget.
func (t *Allocator) keeper(organisation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil {
		return false
	}
	_, self := t.keeps(organisation, w)
	return self
}

// borrow asks other hosts for what the wallet lacks.
func (t *Allocator) borrow(q Request) (got *Reservation, answered bool, err error) {
	organisation, tokens := q.Organisation, q.Tokens
	if t.opts.Borrow == nil {
		return nil, false, nil
	}
	missing, refused := t.missing(organisation, tokens, time.Now())
	if missing == 0 || refused {
		return nil, refused, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowWait)
	defer cancel()
	loan := t.opts.Borrow(ctx, organisation, missing, q.cost())
	t.takeLoan(organisation, missing, loan)
	if loan.Shed {
		return nil, true, ErrShed
	}
	got, err = t.try(organisation, tokens)
	return got, loan.Authoritative, err
}

// missing is what the wallet lacks for a request. Nothing is borrowed beyond it: what a host
// holds that is no keeper is out of others' reach. refused says that other hosts had too
// little for as much a moment ago.
func (t *Allocator) missing(organisation string, tokens int64, now time.Time) (missing int64, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil || !w.spendable() {
		return 0, false
	}
	missing = max(tokens-w.free, 0)
	if !t.hasRoom(organisation, w, tokens) {
		missing = max(w.room(now)-w.free, missing)
	}
	return missing, now.Sub(w.refused) < borrowPause && missing >= w.refusedFor
}

// takeLoan takes in a loan.
func (t *Allocator) takeLoan(organisation string, wanted int64, loan Loan) {
	if loan.Tokens > 0 {
		t.credit(organisation, loan.Tokens)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil {
		return
	}
	if loan.Tokens < wanted && loan.Authoritative {
		w.refused, w.refusedFor = time.Now(), wanted-loan.Tokens
	}
}

// Lend takes tokens out of this host's slice for another host, up to those needed. A keeper
// waits a moment for a slice. What is lent is gone from here, whether or not the
// other host gets it, unless it recalls the loan.
func (t *Allocator) Lend(ctx context.Context, ask LoanRequest) Loan {
	loan := t.lend(ctx, ask)
	if loan.Tokens < ask.Tokens {
		loan.Free = t.lendable(ask.Organisation)
	}
	return loan
}

func (t *Allocator) lend(ctx context.Context, ask LoanRequest) Loan {
	keeper := t.takeOver(ask)
	if ctx.Err() != nil {
		return Loan{}
	}
	if keeper && t.shed(ask.Organisation, ask.Cost, ask.Tokens) {
		return Loan{Authoritative: true, Shed: true}
	}
	if lent := t.lendFree(ask, keeper); lent >= ask.Tokens || !keeper || ask.FreeOnly {
		return Loan{Tokens: lent, Authoritative: keeper}
	}
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	got, err := t.reserveOwn(ctx, ask.Organisation, ask.Tokens, lendWait)
	if errors.Is(err, ErrExhausted) {
		got = t.gather(ctx, ask)
	}
	if got == nil {
		// Only a budget that has no more is a no for all: where this host can't reach the
		// log, another one may.
		return Loan{Authoritative: t.exhausted(ask.Organisation, ask.Tokens)}
	}
	return Loan{Tokens: t.lendReserved(ask.ID, got), Authoritative: true}
}

// gather gets what a loan lacks from other keepers, for a keeper that ran dry: the host that
// asked does not ask all of them. nil: they have too little.
func (t *Allocator) gather(ctx context.Context, ask LoanRequest) *Reservation {
	if t.opts.BorrowFromKeepers == nil || ctx.Err() != nil {
		return nil
	}
	missing, refused := t.missing(ask.Organisation, ask.Tokens, time.Now())
	if refused {
		return nil
	}
	if missing > 0 {
		loan := t.opts.BorrowFromKeepers(ctx, ask.Organisation, missing)
		t.takeLoan(ask.Organisation, missing, loan)
	}
	got, _ := t.try(ask.Organisation, ask.Tokens)
	return got
}

// lendable is what this host could lend at once.
func (t *Allocator) lendable(organisation string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil || t.closing || !w.spendable() {
		return 0
	}
	return w.spare()
}

// takeOver notes that another host takes this one for a keeper, and says whether it is one.
func (t *Allocator) takeOver(ask LoanRequest) (keeper bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[ask.Organisation]
	if w == nil || t.closing {
		return false
	}
	if !ask.FreeOnly {
		w.asked = time.Now()
	}
	_, keeper = t.keeps(ask.Organisation, w)
	return keeper
}

// lendFree lends of what is free. A keeper lends all that is asked for or nothing,
// since it may wait for more.
func (t *Allocator) lendFree(ask LoanRequest, keeper bool) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[ask.Organisation]
	if w == nil || ask.Tokens <= 0 || t.closing || !w.spendable() || t.loans.recalled(ask.ID) {
		return 0
	}
	count, _ := t.keeps(ask.Organisation, w)
	if len(w.waiting) > 0 && !t.sparse(count) {
		return 0
	}
	spare := w.spare()
	lent := min(ask.Tokens, spare)
	if keeper && !ask.AllowPartial && (lent < ask.Tokens || !t.hasRoom(ask.Organisation, w, ask.Tokens)) {
		w.turned.note(ask.Tokens, time.Now())
		return 0
	}
	if keeper {
		w.noteLoan(lent, ask.Tokens, time.Now())
	}
	w.free -= lent
	w.flows.Lent += lent
	t.loans.lent(ask.ID, ask.Organisation, lent)
	t.refillSoon(ask.Organisation, w)
	return lent
}

// lendReserved turns a reservation into a loan.
func (t *Allocator) lendReserved(id string, r *Reservation) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[r.organisation]
	if w == nil || r.settled {
		return 0
	}
	r.settled = true
	w.reserved -= r.tokens
	if t.loans.recalled(id) {
		w.free += r.tokens
		t.wake()
		return 0
	}
	w.flows.Lent += r.tokens
	t.loans.lent(id, r.organisation, r.tokens)
	return r.tokens
}

// Recall takes back a loan whose borrower got no answer and never uses it. It may
// come before the request for the loan, which then lends nothing, and more than once.
func (t *Allocator) Recall(id string) (tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loan := t.loans.recall(id)
	w := t.wallets[loan.organisation]
	if w == nil {
		return 0
	}
	w.free += loan.tokens
	w.flows.Recalled += loan.tokens
	t.wake()
	return loan.tokens
}

func (t *Allocator) credit(organisation string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.wallets[organisation]; w != nil {
		w.free += tokens
		w.flows.Borrowed += tokens
		t.wake()
	}
}
