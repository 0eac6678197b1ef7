package prepaid

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// Errors of Reserve.
var (
	// ErrTooLarge means that the request is larger than the whole budget.
	ErrTooLarge = errors.New("prepaid: the request exceeds the whole budget")
	// ErrExhausted means that the host can't obtain tokens for the request now.
	ErrExhausted = errors.New("prepaid: no tokens available")
)

// Options configures an Allocator.
type Options struct {
	Log             eventlog.Log
	Topic           string
	Partitions      int
	Host            string // name and incarnation, unique for each start of the host
	Sizing          Sizing
	Timeout         time.Duration // of a call to the log
	RefreshInterval time.Duration // between checks of the accounts of a partition
	MaxWait         time.Duration // how long a request waits for tokens
	RetryDelay      time.Duration // after a call without a response; 0: 80 ms
	Hosts           func() int    // how many hosts share the budgets
	// Keepers returns how many hosts obtain allocations of a budget from the log, and whether this
	// host is one of them; the others borrow. nil: all hosts do.
	Keepers func(organisation string) (count int, self bool)
	// Borrow asks other hosts to lend tokens for a request; nil: no host is asked.
	Borrow func(ctx context.Context, organisation string, tokens int64, q Request) Loan
	// BorrowFromKeepers asks other keepers for tokens that they hold, for budgets with more keepers
	// than a borrower asks; nil: none is asked.
	BorrowFromKeepers func(ctx context.Context, organisation string, tokens int64) Loan
	// Survey asks the hosts that Borrow would ask what they could lend; nil: unknown, and each request that lacks
	// tokens asks for them itself.
	Survey func(ctx context.Context, survey Survey) SurveyResult
	// OnRefusal is called for each request that is refused for lack of tokens; nil: not called. It must not block.
	OnRefusal func(reason Reason)
	// TransferIdle transfers idle tokens of a host that is not a keeper to a keeper; nil: never.
	TransferIdle func(ctx context.Context, organisation string, tokens int64) TransferResult
	// BeforeTransfer is called with what is left of a budget here before idle tokens are sent to
	// another host: if this host exited during the transfer, its last report would otherwise still
	// include them. nil: not called.
	BeforeTransfer func(h Holding)
	// FetchHistory asks another host, a different one each time, what it saw of the limits since a
	// version; nil: none is asked.
	FetchHistory func(ctx context.Context, since int64) (h LimitHistory, ok bool)
	// AllHostsLost reports whether all hosts were lost, so that the rest of the budgets has to last
	// until they are topped up; nil: it always has to.
	AllHostsLost func() bool
	// LogAvailable reports whether the log responds to this host's reads; nil: it always does.
	LogAvailable func() bool
	// PeakHosts counts the hosts whose calls the log may get at once; nil: Hosts.
	PeakHosts func() int
	// LogSilence is how long ago the log last responded, while it is not available. nil: since that is noticed.
	LogSilence func() time.Duration
	// HostsConfirmed reports whether all other hosts have written again what a restored log lost, in the given era;
	// nil: it is not known.
	HostsConfirmed func(era int64) bool
	// OnConfirmed is called when this host has done so; nil: not called. It must not block.
	OnConfirmed func(era int64)
	// Unconfirmed counts the other hosts that have not; nil: not known.
	Unconfirmed func(era int64) int
	// Witness tells another host of a record of an account and reports whether that host knows it; nil: none is told.
	Witness func(ctx context.Context, organisation string, record Account, at eventlog.Position) bool
	// LogIsNew reports whether hosts have just begun to use the log, in whatever era it is; nil: they have not.
	LogIsNew func() bool
	// OnWrittenOff is called when this host wrote off tokens that a restored log may have lost; nil: not called. It must
	// not block.
	OnWrittenOff func(organisation string, tokens int64)
	// OnCall is called with the outcome of each call to the log.
	OnCall func(outcome string)
}

// Allocator holds this host's allocations of all budgets.
type Allocator struct {
	opts Options

	mu          sync.Mutex
	allocations map[string]*allocation
	changed     chan struct{} // closed and replaced when an allocation gains tokens
	writers     []*partitionWriter
	loans       *loanTable
	transfers   *transferTable
	nextOp      int64
	closing     bool
	started     time.Time
	logEra      atomic.Int64 // the newest one that is known
	eraBegan    atomic.Int64 // when it became known, in Unix nanoseconds; 0: as this host started
	outages     outages

	history  LimitHistory
	gap      versionGap
	gapFound chan struct{} // full: versions were missed
}

// New returns an Allocator without budgets; Run serves it.
func New(opts Options) *Allocator {
	if opts.RetryDelay <= 0 {
		opts.RetryDelay = defaultRetryDelay
	}
	a := &Allocator{opts: opts, started: time.Now(), allocations: map[string]*allocation{}, changed: make(chan struct{}), loans: newLoanTable(), transfers: newTransferTable(),
		history: LimitHistory{Lowered: map[string]int64{}}, gapFound: make(chan struct{}, 1)}
	for i := range max(opts.Partitions, 1) {
		a.writers = append(a.writers, newPartitionWriter(a, i))
	}
	return a
}

const defaultRetryDelay = 80 * time.Millisecond

// Run maintains the allocations until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, pw := range a.writers {
		wg.Go(func() { pw.run(ctx) })
	}
	wg.Go(func() { a.fillGaps(ctx) })
	wg.Go(func() { a.watchLog(ctx) })
	wg.Wait()
}

// SetSizing changes how allocations are sized.
func (a *Allocator) SetSizing(s Sizing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opts.Sizing = s
}

// Budget is the prepaid amount of an organisation according to a configuration.
type Budget struct {
	Organisation string
	Limit        int64
}

// Configure applies the budgets of a configuration. missed says that versions before it may have
// been skipped.
func (a *Allocator) Configure(version int64, budgets []Budget, missed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range budgets {
		al := a.allocations[b.Organisation]
		if al == nil {
			al = &allocation{}
			a.allocations[b.Organisation] = al
		}
		if version <= al.version {
			continue
		}
		al.setLimit(b.Limit, version, missed, time.Now())
		if al.requiredVersion == version && al.requiredBeforeGap == 0 {
			a.recordLowered(b.Organisation, version)
		}
	}
	if version > a.history.UpTo {
		a.recordVersion(version, missed)
	}
	if a.gap.until > 0 {
		select {
		case a.gapFound <- struct{}{}:
		default:
		}
	}
	a.RequestRounds()
}

// RequestRounds makes all accounts be checked soon, for example since more is known of the fleet.
func (a *Allocator) RequestRounds() {
	for _, pw := range a.writers {
		pw.requestRound()
	}
}

// Request is what a request needs of its organisation's budget.
type Request struct {
	Organisation string
	Tokens       int64 // upper bound
	Priority     int   // of its route; 0 is the most urgent
	// TakesUp says that the caller has a part of the stream already and wants the rest.
	TakesUp bool
}

// Reserve is ReserveFor with the most urgent priority.
func (a *Allocator) Reserve(ctx context.Context, organisation string, tokens int64) (*Reservation, error) {
	return a.ReserveFor(ctx, Request{Organisation: organisation, Tokens: tokens})
}

// ReserveFor sets a request's tokens aside, waiting for an allocation if necessary. The error is
// ErrTooLarge, a *Refusal or that of ctx. An organisation without a budget has no limit.
func (a *Allocator) ReserveFor(ctx context.Context, q Request) (*Reservation, error) {
	got, err := a.reserve(ctx, q)
	if errors.Is(err, ErrExhausted) || errors.Is(err, ErrShed) {
		return nil, a.refusal(q, err)
	}
	return got, err
}

// reserve is ReserveFor with the bare errors ErrExhausted and ErrShed.
func (a *Allocator) reserve(ctx context.Context, q Request) (*Reservation, error) {
	organisation, tokens := q.Organisation, q.Tokens
	if a.shouldShed(organisation, q.Cost(), tokens) {
		return nil, ErrShed
	}
	if refused, _ := a.refusesScarce(organisation, q.Priority, tokens); refused {
		return nil, ErrShed
	}
	if got, err := a.tryReserve(organisation, tokens); got != nil || err != nil {
		return got, err
	}
	if a.refusedAtOnce(q) {
		return nil, ErrExhausted
	}
	search := time.AfterFunc(searchDelay, func() { a.searchFor(q) })
	defer search.Stop()
	got, err := a.obtain(ctx, q)
	if errors.Is(err, ErrExhausted) {
		a.searchFor(q)
	}
	return got, err
}

// obtain asks other hosts and the log for the tokens of a request.
func (a *Allocator) obtain(ctx context.Context, q Request) (*Reservation, error) {
	organisation, tokens := q.Organisation, q.Tokens
	keeper := a.isKeeper(organisation)
	if !keeper {
		got, authoritative, err := a.borrow(q)
		if got != nil || err != nil {
			return got, err
		}
		if authoritative {
			return nil, ErrExhausted
		}
	}
	got, err := a.reserveFromLog(ctx, organisation, tokens, a.opts.MaxWait)
	if !errors.Is(err, ErrExhausted) || !keeper {
		return got, err
	}
	got, _, err = a.borrow(q)
	if got == nil && err == nil {
		err = ErrExhausted
	}
	return got, err
}

// reserveFromLog waits for an allocation from the log.
func (a *Allocator) reserveFromLog(ctx context.Context, organisation string, tokens int64, limit time.Duration) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.addWaiter(organisation, tokens)
	waits := true
	defer func() {
		if waits {
			a.removeWaiter(organisation, tokens)
		}
	}()
	dry := a.dryFound(organisation)
	for {
		// Fetched before the attempt, so that no gain between the two is missed.
		gained := a.nextGain()
		got, err := a.tryReserveWaiting(organisation, tokens)
		waits = got == nil
		if got != nil || err != nil {
			return got, err
		}
		a.writerOf(organisation).requestRound()
		if a.logAway(organisation) || a.exhausted(organisation, tokens) {
			return nil, ErrExhausted
		}
		select {
		case <-gained:
		case <-dry:
			return nil, ErrExhausted
		case <-ctx.Done():
			return nil, ErrExhausted
		}
	}
}

// exhausted reports whether the account can't provide what the request lacks, as far as this host
// knows.
func (a *Allocator) exhausted(organisation string, tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil || !al.known {
		return false
	}
	al.unmetDemand = al.grantable(al.currentAccount(), a.logTime(time.Now()), a.logEra.Load())+al.free < tokens
	return al.unmetDemand
}

// tryReserve reserves without waiting; it returns nil if the allocation has too few tokens.
func (a *Allocator) tryReserve(organisation string, tokens int64) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tryReserveLocked(organisation, tokens)
}

// tryReserveWaiting is tryReserve for a request that waits, and no longer does once it has its tokens: no more are taken for it.
func (a *Allocator) tryReserveWaiting(organisation string, tokens int64) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	got, err := a.tryReserveLocked(organisation, tokens)
	if al := a.allocations[organisation]; got != nil && al != nil {
		al.removeWaiter(tokens)
	}
	return got, err
}

// tryReserveLocked is tryReserve; the lock is held.
func (a *Allocator) tryReserveLocked(organisation string, tokens int64) (*Reservation, error) {
	al := a.allocations[organisation]
	if al == nil {
		return &Reservation{allocator: a, organisation: organisation}, nil
	}
	if tokens < 0 || tokens > al.limit {
		return nil, ErrTooLarge
	}
	if al.free < tokens || !al.spendable() || !a.leavesHeadroom(organisation, al, tokens) {
		al.denied.record(tokens, time.Now())
		return nil, nil
	}
	al.free -= tokens
	al.reserved += tokens
	al.recordDemand(tokens, time.Now())
	a.refillIfLow(organisation, al)
	return &Reservation{allocator: a, organisation: organisation, tokens: tokens}, nil
}

// leavesHeadroom reports whether a request leaves enough tokens for larger ones, which matters only
// at a keeper that can obtain no more for now. The lock is held.
func (a *Allocator) leavesHeadroom(organisation string, al *allocation, tokens int64) bool {
	if al.keeperSize == 0 || al.scarcity.dividing {
		return true // divided tokens leave room for large requests
	}
	headroom := al.headroom(time.Now())
	if !a.writerOf(organisation).logUnavailable() && al.currentAccount().Remaining() >= headroom {
		return true
	}
	return al.free >= max(tokens, headroom)
}

// refillIfLow requests a round once a keeper's allocation runs low. The lock is held.
func (a *Allocator) refillIfLow(organisation string, al *allocation) {
	if al.belowRefill() {
		a.writerOf(organisation).requestRound()
	}
}

// addWaiter records that a request waits for tokens.
func (a *Allocator) addWaiter(organisation string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if al := a.allocations[organisation]; al != nil {
		al.addWaiter(tokens)
	}
}

func (a *Allocator) removeWaiter(organisation string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if al := a.allocations[organisation]; al != nil {
		al.removeWaiter(tokens)
	}
}

// nextGain returns the channel that is closed at the next gain of tokens.
func (a *Allocator) nextGain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

func (a *Allocator) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Close returns all free tokens to the log, as far as ctx allows, and stops taking more.
func (a *Allocator) Close(ctx context.Context) error {
	a.mu.Lock()
	a.closing = true
	a.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(a.writers))
	for i, pw := range a.writers {
		wg.Go(func() { errs[i] = pw.round(ctx) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("returning tokens to the log: %w", err)
	}
	log.Info("free tokens returned to the log")
	return nil
}
