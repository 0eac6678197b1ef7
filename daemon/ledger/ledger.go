// Package ledger is a host's part of the prepaid budgets. An incarnation takes
// slices of a budget through the log, reserves the worst case of each request
// out of them before it is dispatched, and settles the actual use after. What
// it holds is spent as far as everybody else is concerned, so no clock and no
// partition can lead to overspend. All counts are tokens.
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

// Budgets is what the ledger asks of the fold.
type Budgets interface {
	// Left is what a budget can still grant, and whether it is declared.
	Left(name string) (left int64, ok bool)
	// Sharers is how many hosts may draw on a budget.
	Sharers() int
	// Total is the whole budget.
	Total(name string) (total uint64, ok bool)
}

// Lender asks other hosts for tokens; it returns how many it got.
type Lender interface {
	Borrow(ctx context.Context, budget string, tokens uint64) uint64
}

// Ledger holds the slices of one incarnation.
type Ledger struct {
	inc     string
	cfg     settings.Budgets
	out     Outbox
	budgets Budgets
	lender  Lender
	logUp   func() bool

	mu       sync.Mutex
	accounts map[string]*account
	down     time.Duration   // since when the log is away, in which this process ran
	credited map[string]bool // loans taken in of which only one of reply and log has told
}

// account is the slice of one budget.
type account struct {
	name     string
	avail    uint64        // neither reserved nor used
	reserved uint64        // for requests in progress
	used     uint64        // not settled in the log yet
	granted  uint64        // ever, through the log
	asking   bool          // a Take is on its way through the log
	empty    bool          // the last Take was granted nothing
	rate     float64       // reserved per second, smoothed
	window   uint64        // reserved since the last tick
	largest  uint64        // reservation since the account was idle
	last     time.Time     // last reservation
	changed  chan struct{} // closed and replaced when avail or empty change
}

// New makes the ledger of an incarnation.
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

// Tokens is how many are set aside.
func (r *Reservation) Tokens() uint64 { return r.tokens }

// Close settles the reservation: used tokens are gone, the rest is free again.
// A use above the reservation is settled in full and logged as an error.
func (r *Reservation) Close(used uint64) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if used > r.tokens {
		log.WithFields(log.Fields{"budget": r.acc.name, "used": used, "reserved": r.tokens}).
			Error("a target used more than was reserved")
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

// grantSoon is how long a slice takes to come from a log that answers. An outage shows as such
// only later.
const grantSoon = 300 * time.Millisecond

// Reserve sets tokens of a budget aside. It waits for a slice, up to the
// setting wait, as long as there is somebody to get one from. Errors are of
// kind Budget, Overloaded (the log's outbox is full) or NotFound.
func (l *Ledger) Reserve(ctx context.Context, name string, tokens uint64) (*Reservation, error) {
	left, ok := l.budgets.Left(name)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no budget %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Wait)
	defer cancel()
	borrowed, late := false, false
	slow := time.NewTimer(grantSoon)
	defer slow.Stop()
	for {
		l.mu.Lock()
		a := l.account(name)
		if a.avail >= tokens {
			r := l.grab(a, tokens, left)
			l.mu.Unlock()
			return r, nil
		}
		short := tokens - a.avail
		if err := l.ask(a, short, left); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		away := !l.logUp()
		needsLoan := a.empty || away || late
		// An outage that has just begun may be over within the wait.
		hopeless := a.empty || away && l.down >= l.cfg.Wait
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
			late = true
		case <-ctx.Done():
			return nil, l.refusal(name, tokens)
		}
		left, _ = l.budgets.Left(name)
	}
}

func (l *Ledger) refusal(name string, tokens uint64) error {
	return errkind.New(errkind.Budget, "budget %q: no host in reach has %d tokens of it to spare", name, tokens)
}

// grab reserves what is there and asks for the next slice in good time.
func (l *Ledger) grab(a *account, tokens uint64, left int64) *Reservation {
	a.avail -= tokens
	a.reserved += tokens
	a.window += tokens
	a.largest = max(a.largest, tokens)
	a.last = time.Now()
	if low := l.sliceSize(a, 0, left) / 2; a.avail < low && !a.empty {
		if err := l.ask(a, 0, left); err != nil {
			log.WithError(err).Warn("can't ask for the next slice")
		}
	}
	return &Reservation{ledger: l, acc: a, tokens: tokens}
}

// ask puts a Take into the log unless one is on its way.
func (l *Ledger) ask(a *account, short uint64, left int64) error {
	if l.cfg.FixedShare > 0 && a.granted > 0 {
		a.empty = true
		return nil
	}
	if a.asking || left <= 0 {
		a.empty = a.empty || left <= 0
		return nil
	}
	want := l.sliceSize(a, short, left)
	if want == 0 {
		return nil
	}
	take := &peerv1.Take{Budget: a.name, Tokens: want, Least: 1}
	if err := l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Take{Take: take}}); err != nil {
		return err
	}
	a.asking = true
	return nil
}

// sliceSize is the demand of some seconds, at most a part of this host's even
// share of what is left, so that slices shrink near the end of the budget, and
// never less than what is short now.
//
// Demand is at least a few requests of the largest size: a host that serves one now
// and then holds enough for the next ones while the log is away.
func (l *Ledger) sliceSize(a *account, short uint64, left int64) uint64 {
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

// spareRequests is how many requests of the largest size a slice covers at least.
const spareRequests = 4

// demand is what the account is to hold, where the budget has plenty.
func (l *Ledger) demand(a *account) uint64 {
	if l.cfg.SliceSeconds <= 0 {
		return 0
	}
	return max(uint64(a.rate*float64(l.cfg.SliceSeconds)), spareRequests*a.largest)
}

// account finds or makes the account of a budget; l.mu is held.
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

// Event hears of grants and loans to this incarnation.
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
	a.asking = false
	a.avail += tokens
	a.granted += tokens
	a.empty = tokens == 0
	a.signal()
}

// published lets budgets be tried again: they may have been raised.
func (l *Ledger) published() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.empty = false
		a.signal()
	}
}

// Credit takes a loan in, once for each id: the reply of the giver and its
// record in the log both tell of it, and either may be lost or late.
func (l *Ledger) Credit(id, name string, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.credited[id] {
		delete(l.credited, id) // both have told
		return
	}
	l.credited[id] = true
	a := l.account(name)
	a.avail += tokens
	a.signal()
}

// Lend gives tokens to another incarnation: they are debited here before the
// reply leaves, so that a lost reply can't double them.
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

// Tick reports use to the log and gives back what is idle, unless the log is away: it would
// be out of use until that is back. dt is the time since the last tick.
func (l *Ledger) Tick(now time.Time, dt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	up := l.watchLog(dt)
	for _, a := range l.accounts {
		a.smooth(dt)
		l.settle(a)
		if up {
			l.giveBack(a, l.surplus(a, now))
		}
	}
}

// watchLog says whether the log is up, and counts for how long it has been away. A longer time between two ticks than usual
// is a standstill of this process, which tells nothing of the log.
func (l *Ledger) watchLog(dt time.Duration) (up bool) {
	if l.logUp() {
		l.down = 0
		return true
	}
	l.down += min(dt, 2*l.cfg.SettleEvery)
	return false
}

// smoothing is the weight of the newest tick in the demand.
const smoothing = 0.2

func (a *account) smooth(dt time.Duration) {
	now := float64(a.window) / max(dt.Seconds(), 0.001)
	a.rate += smoothing * (now - a.rate)
	a.window = 0
}

// surplus is what the account holds beyond its demand: all of it when idle, and
// near the end of the budget what it won't use soon.
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

// settle reports use; it stays for the next tick if the outbox is full.
func (l *Ledger) settle(a *account) {
	if a.used == 0 {
		return
	}
	s := &peerv1.Settle{Budget: a.name, Tokens: a.used}
	if l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Settle{Settle: s}}) == nil {
		a.used = 0
	}
}

func (l *Ledger) giveBack(a *account, n uint64) {
	if n == 0 {
		return
	}
	r := &peerv1.Return{Budget: a.name, Tokens: n}
	if l.out.Put(&peerv1.Record{Kind: &peerv1.Record_Return{Return: r}}) == nil {
		a.avail -= n
		a.empty = false
	}
}

// ReturnAll settles and gives back all that is not reserved. It says whether
// reservations remain.
func (l *Ledger) ReturnAll() (reserved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.settle(a)
		l.giveBack(a, a.avail)
		reserved = reserved || a.reserved > 0
	}
	return reserved
}

// Holding is what the ledger has of a budget, free and reserved.
func (l *Ledger) Holding(name string) (avail, reserved uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 0, 0
	}
	return a.avail, a.reserved
}
