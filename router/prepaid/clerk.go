package prepaid

import (
	"context"
	"errors"
	"hash/fnv"
	"sync/atomic"
	"time"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// clerk keeps the accounts of one partition: it is the only one on this host that
// appends to it, one append at a time.
type clerk struct {
	treasury  *Allocator
	partition eventlog.Partition
	kicked    chan struct{} // full: a round is due anyway

	turn      chan struct{} // holds one token: one round at a time
	loaded    bool
	end       int64 // all records below are known
	refreshed time.Time
	conflicts float64      // smoothed share of appends that others' came before
	failed    atomic.Int64 // calls to the log in a row that failed
}

// Outcomes of calls to the log.
const (
	CallTaken    = "taken"
	CallConflict = "conflict"
	CallUnknown  = "unknown"
	CallRefused  = "refused"
)

// readFirst is the share of conflicts above which the partition is read before an
// append: a lost race costs an append, a read and another append.
const (
	readFirst      = 0.5
	conflictWeight = 0.1
)

// conflictTries bounds the appends of one round that other hosts' came before.
const conflictTries = 6

func newClerk(t *Allocator, number int) *clerk {
	c := &clerk{
		treasury:  t,
		partition: eventlog.Partition{Topic: t.opts.Topic, Number: number},
		kicked:    make(chan struct{}, 1),
		turn:      make(chan struct{}, 1),
	}
	c.turn <- struct{}{}
	return c
}

// clerkOf is the clerk of a organisation's account. The partition of an account is
// fixed by its name.
func (t *Allocator) clerkOf(organisation string) *clerk {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	return t.clerks[int(h.Sum32()%uint32(len(t.clerks)))]
}

// awayAfter is how many calls in a row have to fail for the log to count as away: one alone
// may be refused at a busy log.
const awayAfter = 2

// away says whether the log is out of reach, so that waiting for a slice is in vain.
func (c *clerk) away() bool { return c.failed.Load() >= awayAfter }

// answered notes whether the log answered a call.
func (c *clerk) answered(err error) {
	if err == nil || errors.Is(err, eventlog.ErrTrimmed) {
		c.failed.Store(0)
	} else {
		c.failed.Add(1)
	}
}

// kick asks for a round soon.
func (c *clerk) kick() {
	select {
	case c.kicked <- struct{}{}:
	default:
	}
}

// run keeps the accounts until ctx ends. After a failure the next round waits,
// longer each time, whether requests wait or not.
func (c *clerk) run(ctx context.Context) {
	timer := time.NewTimer(wait.Jitter(c.interval()))
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kicked:
		case <-timer.C:
		}
		pause := c.pause()
		if err := c.round(ctx); err != nil {
			failures++
			wait.For(ctx, wait.Jitter(min(minRetry<<min(failures, maxDoublings), maxRetry)))
			pause = 0
		} else {
			failures = 0
		}
		c.treasury.giveIdle(ctx, c)
		timer.Reset(wait.Jitter(pause))
	}
}

// usualHosts is the number of hosts up to which each looks at its accounts at the
// interval of the settings; more hosts look less often.
const usualHosts = 8

func (c *clerk) interval() time.Duration {
	t := c.treasury
	return t.opts.RefreshInterval * time.Duration(max(t.opts.Hosts(), usualHosts)) / usualHosts
}

// holdLook is the time between two looks of a host at slices that it holds for others: what
// a hot spell made it take is given back soon. A look at a slice that is right makes no call.
const holdLook = time.Second

// pause is the time until the next round that nobody asks for.
func (c *clerk) pause() time.Duration {
	if c.holds() {
		return min(c.interval(), holdLook)
	}
	return c.interval()
}

// holds says whether this host holds tokens of one of the accounts for others, or more than
// it needs itself.
func (c *clerk) holds() bool {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	for organisation, w := range t.wallets {
		if (w.wanted > 0 && w.free > 0 || float64(w.free) > returnAbove*w.largest) && t.clerkOf(organisation) == c {
			return true
		}
	}
	return false
}

// Pauses after a failed call.
const (
	minRetry     = 20 * time.Millisecond
	maxRetry     = 800 * time.Millisecond
	maxDoublings = 6
)

// order is one organisation's part of an append.
type order struct {
	organisation string
	next         Account
	taken        int64
	given        int64
}

// round brings the slices of the partition's organisations in line with demand.
func (c *clerk) round(ctx context.Context) error {
	select {
	case <-c.turn:
		defer func() { c.turn <- struct{}{} }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !c.hasOrganisations() {
		return nil
	}
	if !c.loaded {
		if err := c.load(ctx); err != nil {
			return err
		}
	}
	if c.conflicts > readFirst && c.wants() {
		if _, err := c.follow(ctx, nil, 0); err != nil {
			return c.afterRefresh(ctx, err)
		}
	}
	for range conflictTries {
		orders := c.orders()
		if len(orders) == 0 && c.refreshDue() {
			if _, err := c.follow(ctx, nil, 0); err != nil {
				return c.afterRefresh(ctx, err)
			}
			orders = c.orders()
		}
		if len(orders) == 0 {
			return nil
		}
		done, err := c.append(ctx, orders)
		if done || err != nil {
			return err
		}
	}
	c.kick()
	return nil
}

// refreshEvery is the least time between two reads for want of tokens.
const refreshEvery = 400 * time.Millisecond

// refreshDue says whether requests wait for tokens of an account that has none
// left as far as this host knows: others may have given some back.
func (c *clerk) refreshDue() bool {
	now := time.Now()
	if now.Sub(c.refreshed) < refreshEvery || !c.starved() {
		return false
	}
	c.refreshed = now
	return true
}

func (c *clerk) starved() bool {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	for organisation, w := range t.wallets {
		if t.clerkOf(organisation) == c && (len(w.waiting) > 0 || w.hungry) {
			return true
		}
	}
	return false
}

// afterRefresh loads the partition anew if its records are gone.
func (c *clerk) afterRefresh(ctx context.Context, err error) error {
	if errors.Is(err, eventlog.ErrTrimmed) {
		c.loaded = false
		return c.load(ctx)
	}
	return err
}

func (c *clerk) hasOrganisations() bool {
	c.treasury.mu.Lock()
	defer c.treasury.mu.Unlock()
	for organisation := range c.treasury.wallets {
		if c.treasury.clerkOf(organisation) == c {
			return true
		}
	}
	return false
}

// wants says whether a change is due as far as this host knows.
func (c *clerk) wants() bool {
	t := c.treasury
	returns := t.returns()
	t.mu.Lock()
	defer t.mu.Unlock()
	for organisation, w := range t.wallets {
		if t.clerkOf(organisation) == c && t.change(organisation, w, returns) != (Change{}) {
			return true
		}
	}
	return false
}

// returns says whether tokens may be given back to the log. While it is away they would be out of
// use until it has answered: they are debited before the append.
func (t *Allocator) returns() bool { return t.opts.LogAvailable == nil || t.opts.LogAvailable() }

// change is what is to be asked of an account; the treasury's lock is held. returns says whether
// tokens that are not needed may go back.
func (t *Allocator) change(organisation string, w *wallet, returns bool) Change {
	if t.closing {
		return Change{Return: w.free}
	}
	change := t.wantedChange(organisation, w)
	if change.Return > 0 && !returns {
		return Change{}
	}
	return change
}

func (t *Allocator) wantedChange(organisation string, w *wallet) Change {
	count, keeper := t.keeps(organisation, w)
	if !keeper {
		return w.changeForWaiting(time.Now())
	}
	return w.change(t.opts.Sizing, count, t.sparse(count), time.Now())
}

// orders works out the changes that are due and debits what is given back.
func (c *clerk) orders() []order {
	t := c.treasury
	returns := t.returns()
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []order
	for organisation, w := range t.wallets {
		if t.clerkOf(organisation) != c || w.unreadable {
			continue
		}
		change := t.change(organisation, w, returns)
		next, taken, ok := w.current().Apply(change)
		announce := w.account.Version < w.verify
		if !ok && !announce || change == (Change{}) && !announce {
			continue
		}
		t.nextOp++
		next.Writer, next.Op = t.opts.Host, t.nextOp
		if change.Return > 0 {
			w.free -= change.Return
			w.flows.Returned += change.Return
		}
		orders = append(orders, order{organisation: organisation, next: next, taken: taken, given: change.Return})
	}
	return orders
}
