// Package ledger holds a host's allocations of the prepaid budgets. An incarnation
// takes allocations of a budget through the log, reserves the worst case of each
// request from them before it is dispatched, and settles the actual use afterwards.
// For all other hosts an allocation counts as spent, so neither clock errors nor
// partitions can lead to overspending. All counts are tokens.
package ledger

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/settings"
	"maststage.dev/fold"
	"maststage.dev/lib/errkind"
)

// Outbox queues records for the log.
type Outbox interface {
	Put(...*peerv1.Record) error
}

// Budgets is the folded state of the log that the ledger reads.
type Budgets interface {
	// Left returns what a budget can still grant, and whether it is declared.
	Left(name string) (left int64, ok bool)
	// Sharers returns how many hosts may draw on a budget.
	Sharers() int
	// Total returns the whole budget, and whether it is declared.
	Total(name string) (total uint64, ok bool)
}

// Lender borrows tokens from other hosts and returns how many it got.
type Lender interface {
	Borrow(ctx context.Context, budget string, tokens uint64) uint64
}

// Ledger holds the allocations of one incarnation.
type Ledger struct {
	inc     string
	cfg     settings.Budgets
	out     Outbox
	budgets Budgets
	lender  Lender
	logUp   func() bool

	mu       sync.Mutex
	accounts map[string]*account
	outage   time.Duration   // time this process has run since the log became unavailable
	credited map[string]bool // loans credited after only one of reply and log record has arrived
}

// account is the allocation from one budget.
type account struct {
	name      string
	avail     uint64        // neither reserved nor used
	reserved  uint64        // for requests in progress
	used      uint64        // not settled in the log yet
	granted   uint64        // in all, through the log
	taking    bool          // a Take is in flight through the log
	exhausted bool          // the last Take was granted nothing, or the budget has none left
	rate      float64       // tokens reserved per second, smoothed
	window    uint64        // reserved since the last tick
	largest   uint64        // largest reservation since the account was last idle
	last      time.Time     // last reservation
	changed   chan struct{} // closed and replaced when avail or exhausted changes
}

// New returns the ledger of an incarnation.
func New(inc string, cfg settings.Budgets, out Outbox, b Budgets, l Lender, logUp func() bool) *Ledger {
	return &Ledger{
		inc: inc, cfg: cfg, out: out, budgets: b, lender: l, logUp: logUp,
		accounts: map[string]*account{},
		credited: map[string]bool{},
	}
}

// Reservation is tokens set aside for one request.
type Reservation struct {
	ledger *Ledger
	acc    *account
	tokens uint64
}

// Tokens returns how many are set aside.
func (r *Reservation) Tokens() uint64 { return r.tokens }

// Close settles the reservation: used tokens are spent, the rest becomes available
// again. Use above the reservation is settled in full and logged as an error.
func (r *Reservation) Close(used uint64) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if used > r.tokens {
		log.WithFields(log.Fields{"budget": r.acc.name, "used": used, "reserved": r.tokens}).
			Error("target used more tokens than were reserved")
		over := min(used-r.tokens, r.acc.avail)
		r.acc.avail -= over
	} else {
		r.acc.avail += r.tokens - used
	}
	r.acc.reserved -= r.tokens
	r.acc.used += used
	r.tokens = 0
	r.acc.signal()
}

// Grow adds tokens to the reservation.
func (r *Reservation) Grow(ctx context.Context, tokens uint64) error {
	more, err := r.ledger.Reserve(ctx, r.acc.name, tokens)
	if err != nil {
		return err
	}
	r.tokens += more.tokens
	return nil
}

// promptGrant is the time within which a responsive log grants an allocation. logUp reports an
// outage only later than that.
const promptGrant = 300 * time.Millisecond

// Reserve sets tokens of a budget aside. It waits for an allocation, up to the
// setting wait, as long as the log or another host may provide one. Errors are of
// kind Budget, Overloaded (the log's outbox is full) or NotFound.
func (l *Ledger) Reserve(ctx context.Context, name string, tokens uint64) (*Reservation, error) {
	left, ok := l.budgets.Left(name)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no budget %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Wait)
	defer cancel()
	borrowed, overdue := false, false
	slow := time.NewTimer(promptGrant)
	defer slow.Stop()
	for {
		l.mu.Lock()
		a := l.account(name)
		if a.avail >= tokens {
			r := l.reserveAvailable(a, tokens, left)
			l.mu.Unlock()
			return r, nil
		}
		short := tokens - a.avail
		if err := l.requestAllocation(a, short, left); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		unavailable := !l.logUp()
		needsLoan := a.exhausted || unavailable || overdue
		// An outage that has only just begun may end within the wait.
		hopeless := a.exhausted || unavailable && l.outage >= l.cfg.Wait
		busy := a.reserved > 0
		changed := a.changed
		l.mu.Unlock()

		if needsLoan && l.cfg.Borrow && !borrowed {
			borrowed = true
			if l.lender.Borrow(ctx, name, short) > 0 {
				continue
			}
		}
		if hopeless && !busy {
			return nil, l.refusal(name, tokens)
		}
		select {
		case <-changed:
		case <-slow.C:
			overdue = true
		case <-ctx.Done():
			return nil, l.refusal(name, tokens)
		}
		left, _ = l.budgets.Left(name)
	}
}

func (l *Ledger) refusal(name string, tokens uint64) error {
	return errkind.New(errkind.Budget, "budget %q: no host in reach has %d tokens of it to spare", name, tokens)
}

// reserveAvailable reserves available tokens and requests the next allocation before this one runs out;
// l.mu is held.
func (l *Ledger) reserveAvailable(a *account, tokens uint64, left int64) *Reservation {
	a.avail -= tokens
	a.reserved += tokens
	a.window += tokens
	a.largest = max(a.largest, tokens)
	a.last = time.Now()
	if low := l.allocationSize(a, 0, left) / 2; a.avail < low && !a.exhausted {
		if err := l.requestAllocation(a, 0, left); err != nil {
			log.WithError(err).Warn("cannot request the next allocation")
		}
	}
	return &Reservation{ledger: l, acc: a, tokens: tokens}
}

// requestAllocation queues a Take for the log unless one is in flight; l.mu is held.
func (l *Ledger) requestAllocation(a *account, short uint64, left int64) error {
	if l.cfg.FixedShare > 0 && a.granted > 0 {
		a.exhausted = true
		return nil
	}
	if a.taking || left <= 0 {
		a.exhausted = a.exhausted || left <= 0
		return nil
	}
	want := l.allocationSize(a, short, left)
	if want == 0 {
		return nil
	}
	take := &peerv1.Take{Budget: a.name, Tokens: want, Least: 1}
	if err := l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Take{Take: take}}); err != nil {
		return err
	}
	a.taking = true
	return nil
}

// allocationSize returns the size of the next allocation: the demand of SliceSeconds, at
// most MaxSlice and a part of this host's even share of what is left, so that allocations
// shrink as the budget nears exhaustion, and at least the tokens that are short now. With
// FixedShare it is that share of the whole budget.
//
// The demand covers at least a few requests of the largest size, so that a host with
// occasional requests holds enough for the next ones while the log is unavailable.
func (l *Ledger) allocationSize(a *account, short uint64, left int64) uint64 {
	if left <= 0 {
		return 0
	}
	if l.cfg.FixedShare > 0 {
		total, _ := l.budgets.Total(a.name)
		return total * uint64(l.cfg.FixedShare) / 100
	}
	size := l.demand(a)
	share := uint64(left) / uint64(max(l.cfg.LeftDivisor, 1)*max(l.budgets.Sharers(), 1))
	size = min(size, uint64(l.cfg.MaxSlice), share)
	return max(size, short)
}

// spareRequests is the least number of largest requests that an allocation covers.
const spareRequests = 4

// demand returns what the account should hold when the budget is not scarce.
func (l *Ledger) demand(a *account) uint64 {
	if l.cfg.SliceSeconds <= 0 {
		return 0
	}
	return max(uint64(a.rate*float64(l.cfg.SliceSeconds)), spareRequests*a.largest)
}

// account returns the account of a budget, creating it if needed; l.mu is held.
func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, changed: make(chan struct{})}
		l.accounts[name] = a
	}
	return a
}

func (a *account) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Event handles grants and loans to this incarnation, and new configurations.
func (l *Ledger) Event(e fold.Event) {
	switch k := e.(type) {
	case fold.Granted:
		if k.Incarnation == l.inc {
			l.granted(k.Budget, k.Tokens)
		}
	case fold.Moved:
		if k.To == l.inc {
			l.Credit(k.ID, k.Budget, k.Tokens)
		}
	case fold.Published:
		l.published()
	}
}

func (l *Ledger) granted(name string, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	a.taking = false
	a.avail += tokens
	a.granted += tokens
	a.exhausted = tokens == 0
	a.signal()
}

// published clears the exhausted marks: budgets may have been raised.
func (l *Ledger) published() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.exhausted = false
		a.signal()
	}
}

// Credit adds a loan, once per id: both the lender's reply and its record in the
// log report it, and either may be lost or late.
func (l *Ledger) Credit(id, name string, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.credited[id] {
		delete(l.credited, id) // both reports have arrived
		return
	}
	l.credited[id] = true
	a := l.account(name)
	a.avail += tokens
	a.signal()
}

// Lend gives tokens to another incarnation and returns how many. They are debited
// here before the reply is sent, so that a lost reply cannot duplicate them.
func (l *Ledger) Lend(id, to, name string, tokens uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 0
	}
	n := min(tokens, a.avail)
	if n == 0 {
		return 0
	}
	move := &peerv1.Move{Id: id, Budget: name, To: to, Tokens: n}
	if l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Move{Move: move}}) != nil {
		return 0
	}
	a.avail -= n
	return n
}

// Tick reports use to the log and returns idle tokens, the latter only while the log is
// available: nobody could use them until it is back. dt is the time since the last tick.
func (l *Ledger) Tick(now time.Time, dt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	up := l.watchLog(dt)
	for _, a := range l.accounts {
		a.smooth(dt)
		l.settle(a)
		if up {
			l.returnTokens(a, l.surplus(a, now))
		}
	}
}

// watchLog reports whether the log is available, and counts how long it has been unavailable.
// An unusually long time between two ticks means that this process stalled, which says nothing
// about the log.
func (l *Ledger) watchLog(dt time.Duration) (up bool) {
	if l.logUp() {
		l.outage = 0
		return true
	}
	l.outage += min(dt, 2*l.cfg.SettleEvery)
	return false
}

// smoothing is the weight of the newest tick in the demand.
const smoothing = 0.2

func (a *account) smooth(dt time.Duration) {
	now := float64(a.window) / max(dt.Seconds(), 0.001)
	a.rate += smoothing * (now - a.rate)
	a.window = 0
}

// surplus returns what the account holds beyond its demand: everything when idle, and
// near the exhaustion of the budget what it will not use soon. A fixed share has no surplus.
func (l *Ledger) surplus(a *account, now time.Time) uint64 {
	if l.cfg.FixedShare > 0 {
		return 0
	}
	if now.Sub(a.last) > l.cfg.IdleAfter {
		a.largest = 0
		return a.avail
	}
	left, _ := l.budgets.Left(a.name)
	keep := l.demand(a)
	if left <= int64(keep) && a.avail > 2*keep && a.reserved == 0 {
		return a.avail - keep
	}
	return 0
}

// settle reports use to the log. If the outbox is full, the use is kept for the next tick.
func (l *Ledger) settle(a *account) {
	if a.used == 0 {
		return
	}
	s := &peerv1.Settle{Budget: a.name, Tokens: a.used}
	if l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Settle{Settle: s}}) == nil {
		a.used = 0
	}
}

func (l *Ledger) returnTokens(a *account, n uint64) {
	if n == 0 {
		return
	}
	r := &peerv1.Return{Budget: a.name, Tokens: n}
	if l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Return{Return: r}}) == nil {
		a.avail -= n
		a.exhausted = false
	}
}

// ReturnAll settles use and returns all tokens that are not reserved. It reports
// whether reservations remain.
func (l *Ledger) ReturnAll() (reserved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.settle(a)
		l.returnTokens(a, a.avail)
		reserved = reserved || a.reserved > 0
	}
	return reserved
}

// Holding returns the ledger's available and reserved tokens of a budget.
func (l *Ledger) Holding(name string) (avail, reserved uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 0, 0
	}
	return a.avail, a.reserved
}
