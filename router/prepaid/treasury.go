package prepaid

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// Errors of Reserve.
var (
	// ErrTooLarge means that the request is larger than the whole budget.
	ErrTooLarge = errors.New("prepaid: the request does not fit into the budget")
	// ErrExhausted means that the host has no tokens for the request now.
	ErrExhausted = errors.New("prepaid: no tokens within reach")
)

// Options configure a Treasury.
type Options struct {
	Log             eventlog.Log
	Topic           string
	Partitions      int
	Host            string // name and incarnation, unique for each start
	Sizing          Sizing
	Timeout         time.Duration // of a call to the log
	RefreshInterval time.Duration // between looks at the accounts of a partition
	MaxWait         time.Duration // a request waits so long for tokens
	RetryDelay      time.Duration // pause after a call without an answer; 0: 80 ms
	Hosts           func() int    // how many hosts share the budgets
	// Keepers says how many hosts take slices of a budget from the log, and whether
	// this host is one of them; the others borrow. nil: all hosts are.
	Keepers func(organisation string) (count int, self bool)
	// Borrow asks other hosts for so many tokens for a request of a cost; nil: no other
	// host is asked.
	Borrow func(ctx context.Context, organisation string, tokens int64, cost float64) Loan
	// BorrowFromKeepers asks other keepers for so many of the tokens that they have, of a budget with more
	// keepers than a request asks; nil: none is asked.
	BorrowFromKeepers func(ctx context.Context, organisation string, tokens int64) Loan
	// TransferIdle gives idle tokens of a host that is no keeper to one; nil: never.
	TransferIdle func(ctx context.Context, organisation string, tokens int64) bool
	// BeforeTransfer is told what is left of a budget here, before idle tokens of it are on their way to
	// another host: a host that ends then would be taken to have them still. nil: nobody is.
	BeforeTransfer func(h Holding)
	// FetchHistory asks another host, a different one each time, what it saw of the limits
	// since a version; nil: none is asked.
	FetchHistory func(ctx context.Context, since int64) (h LimitHistory, ok bool)
	// AllHostsLost says whether all hosts were lost, so that what is left of the budgets has to
	// last until they are topped up; nil: it always has to.
	AllHostsLost func() bool
	// LogAvailable says whether the log answers reads of this host; nil: it always does.
	LogAvailable func() bool
	// OnCall counts calls to the log by outcome.
	OnCall func(outcome string)
}

// Allocator holds this host's slices of all budgets.
type Allocator struct {
	opts Options

	mu      sync.Mutex
	wallets map[string]*wallet
	changed chan struct{} // closed and replaced when a wallet gains tokens
	clerks  []*clerk
	loans   *loanBook
	gifts   *giftBook
	nextOp  int64
	closing bool

	history LimitHistory
	gap     gap
	gapped  chan struct{} // full: versions were missed
}

// New makes a treasury without budgets; Run serves it.
func New(opts Options) *Allocator {
	if opts.RetryDelay <= 0 {
		opts.RetryDelay = defaultAgain
	}
	t := &Allocator{opts: opts, wallets: map[string]*wallet{}, changed: make(chan struct{}), loans: newLoanBook(), gifts: newGiftBook(),
		history: LimitHistory{Lowered: map[string]int64{}}, gapped: make(chan struct{}, 1)}
	for i := range max(opts.Partitions, 1) {
		t.clerks = append(t.clerks, newClerk(t, i))
	}
	return t
}

const defaultAgain = 80 * time.Millisecond

// Run keeps the slices until ctx ends.
func (t *Allocator) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, c := range t.clerks {
		all.Go(func() { c.run(ctx) })
	}
	all.Go(func() { t.fillGaps(ctx) })
	all.Wait()
}

// SetSizing changes how slices are sized.
func (t *Allocator) SetSizing(p Sizing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opts.Sizing = p
}

// Budget is the prepaid amount of an organisation by a configuration.
type Budget struct {
	Organisation string
	Limit        int64
}

// Configure takes over the budgets of a configuration. missed says that versions
// may have been skipped before it.
func (t *Allocator) Configure(version int64, budgets []Budget, missed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range budgets {
		w := t.wallets[b.Organisation]
		if w == nil {
			w = &wallet{}
			t.wallets[b.Organisation] = w
		}
		if version <= w.version {
			continue
		}
		w.setLimit(b.Limit, version, missed)
		if w.verify == version && w.unseen == 0 {
			t.noteLowered(b.Organisation, version)
		}
	}
	if version > t.history.UpTo {
		t.noteVersion(version, missed)
	}
	if t.gap.until > 0 {
		select {
		case t.gapped <- struct{}{}:
		default:
		}
	}
	for _, c := range t.clerks {
		c.kick()
	}
}

// Reservation is tokens set aside for one request.
type Reservation struct {
	treasury     *Allocator
	organisation string
	tokens       int64
	settled      bool
}

// Request is what a request asks of its organisation's budget.
type Request struct {
	Organisation string
	Tokens       int64 // at most
	Priority     int   // of its route, 0 is the most urgent
}

// Reserve is ReserveFor of a request of the most urgent kind.
func (t *Allocator) Reserve(ctx context.Context, organisation string, tokens int64) (*Reservation, error) {
	return t.ReserveFor(ctx, Request{Organisation: organisation, Tokens: tokens})
}

// ReserveFor sets a request's tokens aside, waiting for a slice if need be. The error is
// ErrNever, ErrEmpty, ErrKept or that of ctx. A organisation without a budget has no limit.
func (t *Allocator) ReserveFor(ctx context.Context, q Request) (*Reservation, error) {
	organisation, tokens := q.Organisation, q.Tokens
	if t.shed(organisation, q.cost(), tokens) {
		return nil, ErrShed
	}
	if got, err := t.try(organisation, tokens); got != nil || err != nil {
		return got, err
	}
	keeper := t.keeper(organisation)
	if !keeper {
		got, answered, err := t.borrow(q)
		if got != nil || err != nil {
			return got, err
		}
		if answered {
			return nil, ErrExhausted
		}
	}
	got, err := t.reserveOwn(ctx, organisation, tokens, t.opts.MaxWait)
	if !errors.Is(err, ErrExhausted) || !keeper {
		return got, err
	}
	got, _, err = t.borrow(q)
	if got == nil && err == nil {
		err = ErrExhausted
	}
	return got, err
}

// reserveOwn waits for a slice from the log.
func (t *Allocator) reserveOwn(ctx context.Context, organisation string, tokens int64, limit time.Duration) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t.wait(organisation, tokens)
	defer t.stopWaiting(organisation, tokens)
	for {
		// Asked for before the look, so that no gain between the two is missed.
		wake := t.woken()
		if got, err := t.try(organisation, tokens); got != nil || err != nil {
			return got, err
		}
		clerk := t.clerkOf(organisation)
		clerk.kick()
		if clerk.away() || t.exhausted(organisation, tokens) {
			return nil, ErrExhausted
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, ErrExhausted
		}
	}
}

// exhausted says whether the account can't give what the request lacks, as far
// as this host knows.
func (t *Allocator) exhausted(organisation string, tokens int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil || !w.known {
		return false
	}
	w.hungry = w.current().Remaining()+w.free < tokens
	return w.hungry
}

// try reserves if the wallet has enough; nil if it has not.
func (t *Allocator) try(organisation string, tokens int64) (*Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil {
		return &Reservation{treasury: t, organisation: organisation}, nil
	}
	if tokens > w.limit {
		return nil, ErrTooLarge
	}
	if w.free < tokens || !w.spendable() || !t.hasRoom(organisation, w, tokens) {
		w.turned.note(tokens, time.Now())
		return nil, nil
	}
	w.free -= tokens
	w.reserved += tokens
	w.note(tokens, time.Now())
	t.refillSoon(organisation, w)
	return &Reservation{treasury: t, organisation: organisation, tokens: tokens}, nil
}

// hasRoom says whether a request of so many tokens leaves room for larger ones, which
// matters only at a keeper that gets no more tokens for now. The lock is held.
func (t *Allocator) hasRoom(organisation string, w *wallet, tokens int64) bool {
	if w.wanted == 0 {
		return true
	}
	room := w.room(time.Now())
	if !t.clerkOf(organisation).away() && w.current().Remaining() >= room {
		return true
	}
	return w.free >= max(tokens, room)
}

// refillSoon asks for a slice once what a keeper holds runs low; the lock is held.
func (t *Allocator) refillSoon(organisation string, w *wallet) {
	if w.low() {
		t.clerkOf(organisation).kick()
	}
}

// wait notes that a request waits for tokens.
func (t *Allocator) wait(organisation string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.wallets[organisation]; w != nil {
		w.wait(tokens)
	}
}

func (t *Allocator) stopWaiting(organisation string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.wallets[organisation]; w != nil {
		w.stopWaiting(tokens)
	}
}

// woken gives the channel that tells of the next gain.
func (t *Allocator) woken() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Extend sets more tokens aside for the same request, without waiting.
func (r *Reservation) Extend(tokens int64) bool {
	t := r.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[r.organisation]
	if w == nil {
		return true
	}
	if w.free < tokens || !w.spendable() {
		return false
	}
	w.free -= tokens
	w.reserved += tokens
	r.tokens += tokens
	return true
}

// Tokens is what is set aside.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle ends the reservation; used of it are spent, the rest is free again.
func (r *Reservation) Settle(used int64) {
	t := r.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[r.organisation]
	if w == nil || r.settled {
		return
	}
	r.settled = true
	used = min(used, r.tokens)
	w.reserved -= r.tokens
	w.free += r.tokens - used
	w.flows.Used += used
	w.correct(used-r.tokens, time.Now())
	if used < r.tokens && len(w.waiting) > 0 {
		t.wake()
	}
}

func (t *Allocator) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Holding is this host's part of a budget.
type Holding struct {
	Organisation string
	Free         int64
	Reserved     int64
	Granted      int64 // to all hosts, as last seen
	Limit        int64
	Offset       int64 // of the account's record as last seen
	Keeper       bool  // it holds tokens for others too
	Totals       Totals
}

// Holdings lists this host's parts of all budgets.
func (t *Allocator) Holdings() []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Holding, 0, len(t.wallets))
	for organisation, w := range t.wallets {
		list = append(list, w.holding(organisation))
	}
	return list
}

// Holding is this host's part of one budget.
func (t *Allocator) Holding(organisation string) (Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil {
		return Holding{}, false
	}
	return w.holding(organisation), true
}

// holding is this host's part of the budget of an organisation.
func (w *wallet) holding(organisation string) Holding {
	return Holding{
		Organisation: organisation, Free: w.free, Reserved: w.reserved,
		Granted: w.account.Granted, Limit: w.limit, Offset: w.offset, Keeper: w.wanted > 0, Totals: w.flows,
	}
}

// Close gives all free tokens back, as far as ctx allows, and takes no more.
func (t *Allocator) Close(ctx context.Context) error {
	t.mu.Lock()
	t.closing = true
	t.mu.Unlock()
	var all sync.WaitGroup
	errs := make([]error, len(t.clerks))
	for i, c := range t.clerks {
		all.Go(func() { errs[i] = c.round(ctx) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("giving tokens back: %w", err)
	}
	log.Info("free tokens given back")
	return nil
}
