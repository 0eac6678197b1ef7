package prepaid

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// partitionWriter maintains the accounts of one partition. It is the only component on this host
// that appends to the partition, one append at a time.
type partitionWriter struct {
	allocator      *Allocator
	partition      eventlog.Partition
	roundRequested chan struct{} // full: a round is already requested

	roundSlot    chan struct{} // capacity 1: holding its token is the right to run a round
	loaded       bool
	firstLoad    time.Time         // when the accounts are loaded first unless they are needed before; zero: not chosen yet
	end          eventlog.Position // all records below are known
	era          int64             // of the log, as the partition was read last
	eraSeenAt    time.Time         // when the partition was first read in this era
	firstEra     int64             // in which this host first read the partition
	confirmedEra atomic.Int64      // in which the log has all that this host knows of the accounts
	refreshedAt  time.Time
	conflictRate float64      // smoothed fraction of appends that conflicted
	failedCalls  atomic.Int64 // consecutive failed calls to the log
	respondedAt  atomic.Int64 // when the log last responded, in Unix nanoseconds
}

// Outcomes of calls to the log.
const (
	CallTaken    = "taken"
	CallConflict = "conflict"
	CallUnknown  = "unknown"
	CallRefused  = "refused"
)

// readFirstAbove is the fraction of conflicts above which the partition is read before an append: a
// conflict costs an append, a read and another append.
const (
	readFirstAbove = 0.5
	conflictWeight = 0.1
)

// maxConflicts bounds the conflicting appends of one round.
const maxConflicts = 6

func newPartitionWriter(a *Allocator, number int) *partitionWriter {
	pw := &partitionWriter{
		allocator:      a,
		partition:      eventlog.Partition{Topic: a.opts.Topic, Number: number},
		roundRequested: make(chan struct{}, 1),
		roundSlot:      make(chan struct{}, 1),
	}
	pw.roundSlot <- struct{}{}
	return pw
}

// writerOf returns the writer of an organisation's account. The organisation's name determines the
// partition.
func (a *Allocator) writerOf(organisation string) *partitionWriter {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	return a.writers[int(h.Sum32()%uint32(len(a.writers)))]
}

// unavailableAfter is how many consecutive calls must fail for the log to count as unavailable: a
// busy log may refuse a single one.
const unavailableAfter = 2

// logUnavailable reports whether the log is unavailable, so that waiting for an allocation is
// pointless.
func (pw *partitionWriter) logUnavailable() bool { return pw.failedCalls.Load() >= unavailableAfter }

// respondedWithin reports whether the log responded to a call within a duration.
func (pw *partitionWriter) respondedWithin(d time.Duration) bool {
	return time.Now().UnixNano()-pw.respondedAt.Load() < int64(d)
}

// recordResult records whether the log responded to a call.
func (pw *partitionWriter) recordResult(err error) {
	if err == nil || mustReload(err) {
		pw.failedCalls.Store(0)
		pw.respondedAt.Store(time.Now().UnixNano())
	} else {
		pw.failedCalls.Add(1)
	}
}

// requestRound requests a round soon.
func (pw *partitionWriter) requestRound() {
	select {
	case pw.roundRequested <- struct{}{}:
	default:
	}
}

// run maintains the accounts until ctx ends. After a failure the next round is delayed by an
// increasing backoff, whether or not requests wait.
func (pw *partitionWriter) run(ctx context.Context) {
	timer := time.NewTimer(wait.Jitter(pw.interval()))
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-pw.roundRequested:
		case <-timer.C:
		}
		pause := pw.roundInterval()
		if err := pw.round(ctx); err != nil {
			failures++
			pw.backOff(ctx, failures)
			pause = 0
		} else {
			failures = 0
		}
		pw.allocator.transferIdle(ctx, pw)
		pause = wait.Jitter(pause)
		if left := time.Until(pw.firstLoad); !pw.loaded && left > 0 {
			pause = min(pause, left)
		}
		timer.Reset(pause)
	}
}

// baseHosts is the number of hosts up to which each checks its accounts at the configured interval;
// in larger fleets each host checks less often.
const baseHosts = 8

func (pw *partitionWriter) interval() time.Duration {
	a := pw.allocator
	return a.opts.RefreshInterval * time.Duration(max(a.opts.Hosts(), baseHosts)) / baseHosts
}

// holdInterval is the interval between a host's checks of allocations it holds for others, so that
// what it took during a peak of demand is returned soon. A check that changes nothing makes no
// call.
const holdInterval = time.Second

// roundInterval is the time until the next round that nothing requests.
func (pw *partitionWriter) roundInterval() time.Duration {
	if pw.holdsForOthers() {
		return min(pw.interval(), holdInterval)
	}
	return pw.interval()
}

// holdsForOthers reports whether this host holds tokens of one of the accounts for others, or more
// than it needs itself.
func (pw *partitionWriter) holdsForOthers() bool {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if (al.keeperSize > 0 && al.free > 0 || float64(al.free) > returnAbove*al.largestRequest) && a.writerOf(organisation) == pw {
			return true
		}
	}
	return false
}

// Backoff after a failed call.
const (
	minBackoff   = 20 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	maxDoublings = 6
	// maxSpreadDoublings is the same where the pause is bounded by the size of the fleet.
	maxSpreadDoublings = 12
)

// accountUpdate is one organisation's part of an append.
type accountUpdate struct {
	organisation string
	next         Account
	taken        int64
	returned     int64
	writtenOff   int64
}

// round adjusts the allocations of the partition's organisations to demand.
func (pw *partitionWriter) round(ctx context.Context) error {
	select {
	case <-pw.roundSlot:
		defer func() { pw.roundSlot <- struct{}{} }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !pw.hasOrganisations() {
		pw.confirm(pw.allocator.logEra.Load())
		return nil
	}
	if !pw.loaded && pw.defersLoad() {
		return nil
	}
	if !pw.loaded || pw.end.Era < pw.allocator.logEra.Load() {
		if err := pw.load(ctx); err != nil {
			return err
		}
	}
	if pw.conflictRate > readFirstAbove && pw.changeDue() {
		if _, err := pw.readNew(ctx, nil, eventlog.Position{}); err != nil {
			return pw.reloadIfTrimmed(ctx, err)
		}
	}
	for range maxConflicts {
		updates := pw.prepareUpdates()
		if len(updates) == 0 && pw.refreshDue() {
			if _, err := pw.readNew(ctx, nil, eventlog.Position{}); err != nil {
				return pw.reloadIfTrimmed(ctx, err)
			}
			updates = pw.prepareUpdates()
		}
		if len(updates) == 0 {
			pw.confirm(pw.era)
			return nil
		}
		done, err := pw.append(ctx, updates)
		if done && !pw.rewritesDue() {
			pw.confirm(pw.era)
		}
		if done || err != nil {
			return err
		}
	}
	pw.requestRound()
	return nil
}

// minRefreshInterval is the least time between two reads made because tokens are missing.
const minRefreshInterval = 400 * time.Millisecond

// refreshDue reports whether requests wait for tokens of an account that, as far as this host
// knows, is exhausted: other hosts may have returned some.
func (pw *partitionWriter) refreshDue() bool {
	now := time.Now()
	if now.Sub(pw.refreshedAt) < minRefreshInterval || !pw.starved() {
		return false
	}
	pw.refreshedAt = now
	return true
}

func (pw *partitionWriter) starved() bool {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) == pw && (len(al.waiting) > 0 || al.unmetDemand) {
			return true
		}
	}
	return false
}

// reloadIfTrimmed reloads the partition if the records to read were trimmed, or the log was restored.
func (pw *partitionWriter) reloadIfTrimmed(ctx context.Context, err error) error {
	if mustReload(err) {
		pw.loaded = false
		return pw.load(ctx)
	}
	return err
}

// mustReload reports whether an error means that the records from the known end on can't be read.
func mustReload(err error) bool {
	var restored *eventlog.EraError
	return errors.Is(err, eventlog.ErrTrimmed) || errors.As(err, &restored)
}

func (pw *partitionWriter) hasOrganisations() bool {
	pw.allocator.mu.Lock()
	defer pw.allocator.mu.Unlock()
	for organisation := range pw.allocator.allocations {
		if pw.allocator.writerOf(organisation) == pw {
			return true
		}
	}
	return false
}

// changeDue reports whether a change is due as far as this host knows.
func (pw *partitionWriter) changeDue() bool {
	a := pw.allocator
	mayReturn := a.mayReturn()
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) == pw && a.change(organisation, al, mayReturn) != (Change{}) {
			return true
		}
	}
	return false
}

// mayReturn reports whether tokens may be returned to the log. They are debited before the append,
// so while the log is unavailable they would be unusable until it responds.
func (a *Allocator) mayReturn() bool { return a.opts.LogAvailable == nil || a.opts.LogAvailable() }

// change returns the change to make to an account. The Allocator's lock is held. mayReturn says
// whether tokens that are not needed may be returned.
func (a *Allocator) change(organisation string, al *allocation, mayReturn bool) Change {
	if a.closing {
		return Change{Return: al.free}
	}
	change := a.desiredChange(organisation, al)
	if change.Return > 0 && !mayReturn {
		return Change{}
	}
	return change
}

func (a *Allocator) desiredChange(organisation string, al *allocation) Change {
	count, keeper := a.keepers(organisation, al)
	if !keeper {
		return al.changeOfBorrower(time.Now())
	}
	few := a.fewKeepers(count)
	if few && !a.ranked(organisation) {
		count = a.opts.Hosts() // this host only has the share that it is seen to draw
	}
	return al.change(a.opts.Sizing, count, few, time.Now())
}

// prepareUpdates determines the changes that are due and debits the tokens to return.
func (pw *partitionWriter) prepareUpdates() []accountUpdate {
	a := pw.allocator
	mayReturn := a.mayReturn()
	a.mu.Lock()
	defer a.mu.Unlock()
	var updates []accountUpdate
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) != pw || al.unreadable {
			continue
		}
		update, ok := pw.prepareUpdate(organisation, al, a.change(organisation, al, mayReturn))
		if !ok {
			continue
		}
		if update.returned > 0 {
			al.free -= update.returned
			al.totals.Returned += update.returned
		}
		updates = append(updates, update)
	}
	return updates
}

// prepareUpdate returns the update for a change that is desired; ok is false if nothing is to be written. The
// Allocator's lock is held.
func (pw *partitionWriter) prepareUpdate(organisation string, al *allocation, change Change) (update accountUpdate, ok bool) {
	a := pw.allocator
	now := time.Now()
	known := al.currentAccount()
	account, settling := known, false
	if !pw.settled(known) {
		account, settling = pw.settle(al, known)
	}
	keepers, self := a.keepers(organisation, al)
	change, lifts := pw.limitTake(al, account, change, now)
	next, taken, changed := account.Apply(change)
	announce := pw.announces(al, account) || settling && self || lifts || pw.withholdsNow(al, account, now)
	if !announce && (!changed || change == (Change{})) {
		return accountUpdate{}, false
	}
	a.nextOp++
	next.Writer, next.Op, next.Era = a.opts.Host, a.nextOp, pw.era
	if pw.confirmsHere(al, account) {
		next.Confirmed = append(slices.Clone(account.Confirmed), a.opts.Host)
	}
	pw.withhold(al, &next, keepers, now)
	return accountUpdate{
		organisation: organisation, next: next, taken: taken, returned: change.Return,
		writtenOff: next.WrittenOff - known.WrittenOff,
	}, true
}

// limitTake bounds what a change takes from an account by what may be taken now. lifts says that this host is held back
// only by what its own last record withholds from it, so that another record is to withhold less.
func (pw *partitionWriter) limitTake(al *allocation, account Account, change Change, now time.Time) (limited Change, lifts bool) {
	if change.Take <= 0 {
		return change, false
	}
	if !pw.settled(account) {
		return Change{}, false
	}
	logTime := pw.allocator.logTime(now)
	change.Take = min(change.Take, al.grantable(account, logTime, pw.era))
	if change.Take >= max(change.MinTake, 1) {
		return change, false
	}
	return Change{}, al.heldBack(account, pw.allocator.opts.Host, logTime)
}

// announces reports whether an account is to be written although nothing of it is taken or returned: this host knows a
// lowered limit or lost grants that the log does not, or has to confirm an era.
func (pw *partitionWriter) announces(al *allocation, account Account) bool {
	return al.account.Version < al.requiredVersion || pw.settled(account) && al.seenVersion < al.requiredVersion ||
		al.rewrite || pw.confirmsHere(al, account)
}
