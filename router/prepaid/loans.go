package prepaid

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
)

// LoanRequest is what a host asks of another.
type LoanRequest struct {
	// ID is unique among all loans. With it the borrower may recall a loan that it
	// got no answer to; empty: it can't.
	ID           string
	Organisation string
	Tokens       int64 // needed
	Better       int64 // wanted if they can be spared
}

// Loan is what other hosts lent.
type Loan struct {
	Tokens int64
	// Answered means that a keeper of the budget answered: if it lent too little,
	// there is no more within its reach.
	Answered bool
}

// Figures of loans.
const (
	borrowWait  = 90 * time.Millisecond  // bounds the requests to other hosts
	borrowPause = 250 * time.Millisecond // hosts are not asked again after they had too little
	lendPart    = 0.9                    // of the free tokens, lent at most at once
	lendWait    = 30 * time.Millisecond  // a keeper waits so long for the log
	betterTime  = 4.0                    // seconds of demand that a borrower asks for
	handOvers   = 16                     // budgets handed over at a time; each may wait for a silent host
	idleTime    = 3 * time.Second        // without a request, after which tokens are given back
)

// keeps says how many hosts take slices of a budget and whether this one does: as
// a keeper for others, or because its own demand is worth it. The lock is held.
func (t *Treasury) keeps(organisation string, w *wallet) (count int, self bool) {
	if t.opts.Keepers == nil {
		return max(t.opts.Hosts(), 1), true
	}
	count, self = t.opts.Keepers(organisation)
	return count, self || w.busy(time.Now())
}

// keeper says whether this host takes slices of a budget.
func (t *Treasury) keeper(organisation string) bool {
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
func (t *Treasury) borrow(organisation string, tokens int64) (got *Reservation, answered bool, err error) {
	if t.opts.Borrow == nil {
		return nil, false, nil
	}
	missing, better, refused := t.missing(organisation, tokens, time.Now())
	if missing == 0 || refused {
		return nil, refused, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowWait)
	defer cancel()
	loan := t.opts.Borrow(ctx, organisation, missing, better)
	t.takeLoan(organisation, missing, loan)
	got, err = t.try(organisation, tokens)
	return got, loan.Answered, err
}

// missing is what the wallet lacks for a request, and what it had better ask for.
// refused says that other hosts had too little a moment ago.
func (t *Treasury) missing(organisation string, tokens int64, now time.Time) (missing, better int64, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil || !w.spendable() {
		return 0, 0, false
	}
	w.decay(now)
	missing = max(tokens-w.free, 0)
	return missing, missing + int64(w.demand*betterTime), now.Sub(w.refused) < borrowPause
}

// takeLoan takes in a loan.
func (t *Treasury) takeLoan(organisation string, wanted int64, loan Loan) {
	if loan.Tokens > 0 {
		t.credit(organisation, loan.Tokens)
	}
	if loan.Tokens >= wanted || !loan.Answered {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.wallets[organisation]; w != nil {
		w.refused = time.Now()
	}
}

// Lend takes tokens out of this host's slice for another host: as many as are better
// for it if it can spare them, else as many as it can up to those needed. A keeper
// waits a moment for a slice. What is lent is gone from here, whether or not the
// other host gets it, unless it recalls the loan.
func (t *Treasury) Lend(ctx context.Context, ask LoanRequest) Loan {
	keeper := t.keeper(ask.Organisation)
	if ctx.Err() != nil {
		return Loan{}
	}
	if lent := t.lendFree(ask, keeper); lent >= ask.Tokens || !keeper {
		return Loan{Tokens: lent, Answered: keeper}
	}
	got, err := t.reserveOwn(ctx, ask.Organisation, ask.Tokens, lendWait)
	if err != nil {
		return Loan{Answered: true}
	}
	return Loan{Tokens: t.lendReserved(ask.ID, got), Answered: true}
}

// lendFree lends of what is free. A keeper lends all that is asked for or nothing,
// since it may wait for more.
func (t *Treasury) lendFree(ask LoanRequest, keeper bool) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[ask.Organisation]
	if w == nil || ask.Tokens <= 0 || t.closing || len(w.waiting) > 0 || !w.spendable() || t.loans.recalled(ask.ID) {
		return 0
	}
	spare := int64(lendPart * float64(w.free))
	lent := min(ask.Tokens, spare)
	if keeper {
		if spare < ask.Tokens {
			return 0
		}
		lent = max(ask.Tokens, min(ask.Better, spare/2))
		w.note(lent, time.Now())
	}
	w.free -= lent
	t.loans.lent(ask.ID, ask.Organisation, lent)
	return lent
}

// lendReserved turns a reservation into a loan.
func (t *Treasury) lendReserved(id string, r *Reservation) int64 {
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
	t.loans.lent(id, r.organisation, r.tokens)
	return r.tokens
}

// Recall takes back a loan whose borrower got no answer and never uses it. It may
// come before the request for the loan, which then lends nothing, and more than once.
func (t *Treasury) Recall(id string) (tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loan := t.loans.recall(id)
	w := t.wallets[loan.organisation]
	if w == nil {
		return 0
	}
	w.free += loan.tokens
	t.wake()
	return loan.tokens
}

// giveIdle gives the tokens of budgets that this host is no keeper of and has not
// used for a while to a keeper.
func (t *Treasury) giveIdle(ctx context.Context, c *clerk) {
	if t.opts.GiveBack == nil {
		return
	}
	idle := t.takeIdle(c, time.Now())
	if len(idle) == 0 {
		return
	}
	// Beside the clerk: a keeper that does not answer must not hold up its rounds.
	guard.Go("idle tokens", func() {
		for organisation, tokens := range idle {
			// Without an answer they count as spent.
			took := t.opts.GiveBack(ctx, organisation, tokens)
			log.WithFields(log.Fields{"organisation": organisation, "tokens": tokens, "took": took}).Debug("idle tokens given back")
		}
	})
}

// takeIdle debits idle tokens of a clerk's budgets.
func (t *Treasury) takeIdle(c *clerk, now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := map[string]int64{}
	for organisation, w := range t.wallets {
		if t.clerkOf(organisation) != c || w.free == 0 || now.Sub(w.used) < idleTime || !w.spendable() {
			continue
		}
		if _, keeper := t.keeps(organisation, w); !keeper {
			idle[organisation] = w.free
			w.free = 0
		}
	}
	return idle
}

// HandOver gives all free tokens to other hosts and takes no more; give says
// whether one took them. Without an answer in time they count as spent.
func (t *Treasury) HandOver(ctx context.Context, give func(ctx context.Context, organisation string, tokens int64) bool) {
	t.mu.Lock()
	t.closing = true
	free := map[string]int64{}
	for organisation, w := range t.wallets {
		if w.free > 0 && w.spendable() {
			free[organisation] = w.free
			w.free = 0
		}
	}
	t.mu.Unlock()
	var all sync.WaitGroup
	turns := make(chan struct{}, handOvers)
	for organisation, tokens := range free {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			took := give(ctx, organisation, tokens)
			log.WithFields(log.Fields{"organisation": organisation, "tokens": tokens, "took": took}).Info("free tokens handed over")
		})
	}
	all.Wait()
}

// Gift is tokens that one host gives to another.
type Gift struct {
	ID           string // unique among all gifts; a giver without an answer repeats it
	Organisation string
	Tokens       int64
}

// Credit takes in a gift, however often it comes, once; it says whether the gift was
// taken. A host that is stopping or does not know the budget takes none.
func (t *Treasury) Credit(g Gift) (took bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer, known := t.gifts.answer(g.ID); known {
		return answer
	}
	w := t.wallets[g.Organisation]
	took = !t.closing && w != nil && g.Tokens > 0
	t.gifts.note(g.ID, took)
	if took {
		w.free += g.Tokens
		t.wake()
	}
	return took
}

func (t *Treasury) credit(organisation string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.wallets[organisation]; w != nil {
		w.free += tokens
		t.wake()
	}
}
