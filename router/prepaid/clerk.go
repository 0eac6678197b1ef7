package prepaid

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// clerk keeps the accounts of one partition: it is the only one on this host that
// appends to it, one append at a time.
type clerk struct {
	treasury  *Treasury
	partition eventlog.Partition
	kicked    chan struct{} // full: a round is due anyway

	turn      chan struct{} // holds one token: one round at a time
	loaded    bool
	end       int64 // all records below are known
	refreshed time.Time
	conflicts float64 // smoothed share of appends that others' came before
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

func newClerk(t *Treasury, number int) *clerk {
	c := &clerk{
		treasury:  t,
		partition: eventlog.Partition{Topic: t.opts.Topic, Number: number},
		kicked:    make(chan struct{}, 1),
		turn:      make(chan struct{}, 1),
	}
	c.turn <- struct{}{}
	return c
}

// clerkOf is the clerk of a tenant's account. The partition of an account is
// fixed by its name.
func (t *Treasury) clerkOf(tenant string) *clerk {
	h := fnv.New32a()
	_, _ = h.Write([]byte(tenant))
	return t.clerks[int(h.Sum32()%uint32(len(t.clerks)))]
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
	timer := time.NewTimer(jitter(c.interval()))
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kicked:
		case <-timer.C:
		}
		pause := c.interval()
		if err := c.round(ctx); err != nil {
			failures++
			sleep(ctx, jitter(min(minRetry<<min(failures, maxDoublings), maxRetry)))
			pause = 0
		} else {
			failures = 0
		}
		c.treasury.giveIdle(ctx, c)
		timer.Reset(jitter(pause))
	}
}

// usualHosts is the number of hosts up to which each looks at its accounts at the
// interval of the settings; more hosts look less often.
const usualHosts = 8

func (c *clerk) interval() time.Duration {
	t := c.treasury
	return t.opts.Interval * time.Duration(max(t.opts.Hosts(), usualHosts)) / usualHosts
}

// Pauses after a failed call.
const (
	minRetry     = 20 * time.Millisecond
	maxRetry     = 800 * time.Millisecond
	maxDoublings = 6
)

// jitter spreads a pause over half of it to one and a half.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// order is one tenant's part of an append.
type order struct {
	tenant string
	next   Account
	taken  int64
	given  int64
}

// round brings the slices of the partition's tenants in line with demand.
func (c *clerk) round(ctx context.Context) error {
	select {
	case <-c.turn:
		defer func() { c.turn <- struct{}{} }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !c.hasTenants() {
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
	for tenant, w := range t.wallets {
		if t.clerkOf(tenant) == c && (len(w.waiting) > 0 || w.hungry) {
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

func (c *clerk) hasTenants() bool {
	c.treasury.mu.Lock()
	defer c.treasury.mu.Unlock()
	for tenant := range c.treasury.wallets {
		if c.treasury.clerkOf(tenant) == c {
			return true
		}
	}
	return false
}

// wants says whether a change is due as far as this host knows.
func (c *clerk) wants() bool {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	for tenant, w := range t.wallets {
		if t.clerkOf(tenant) == c && t.change(tenant, w) != (Change{}) {
			return true
		}
	}
	return false
}

// change is what is to be asked of an account; the treasury's lock is held.
func (t *Treasury) change(tenant string, w *wallet) Change {
	if t.closing {
		return Change{Return: w.free}
	}
	count, keeper := t.keeps(tenant, w)
	if !keeper {
		return w.changeForWaiting()
	}
	return w.change(t.opts.Plan, count, count < t.opts.Hosts(), time.Now())
}

// orders works out the changes that are due and debits what is given back.
func (c *clerk) orders() []order {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []order
	for tenant, w := range t.wallets {
		if t.clerkOf(tenant) != c {
			continue
		}
		change := t.change(tenant, w)
		next, taken, ok := w.current().Apply(change)
		announce := w.account.Version < w.verify
		if !ok && !announce || change == (Change{}) && !announce {
			continue
		}
		t.nextOp++
		next.Writer, next.Op = t.opts.Host, t.nextOp
		if change.Return > 0 {
			w.free -= change.Return
		}
		orders = append(orders, order{tenant: tenant, next: next, taken: taken, given: change.Return})
	}
	return orders
}

// append writes the orders. done is false if another host's append came first;
// the accounts are then up to date again.
func (c *clerk) append(ctx context.Context, orders []order) (done bool, err error) {
	records := make([]eventlog.Record, len(orders))
	for i, o := range orders {
		records[i] = eventlog.Record{Key: o.tenant, Value: o.next.Encode()}
	}
	at := c.end
	unknown := false
	for {
		call, cancel := context.WithTimeout(ctx, c.treasury.opts.Timeout)
		end, err := c.treasury.opts.Log.AppendAt(call, c.partition, at, records)
		cancel()
		var conflict *eventlog.ConflictError
		switch {
		case err == nil:
			c.called(CallTaken)
			c.conflicts -= conflictWeight * c.conflicts
			c.end = end
			c.book(orders, at)
			return true, nil
		case errors.As(err, &conflict):
			c.called(CallConflict)
			c.conflicts += conflictWeight * (1 - c.conflicts)
			log.WithFields(log.Fields{"partition": c.partition.String(), "at": at, "end": conflict.End}).Debug("another host's append came first")
			return c.afterConflict(ctx, orders, at, unknown)
		case errors.Is(err, eventlog.ErrRefused) && !unknown:
			c.called(CallRefused)
			c.undo(orders)
			return false, err
		default:
			// It may have been done, or be done later as long as the partition
			// ends at the same offset. Only a later end tells.
			c.called(CallUnknown)
			if !unknown {
				log.WithFields(log.Fields{"partition": c.partition.String(), "at": at}).WithError(err).Warn("append without an answer")
			}
			unknown = unknown || !errors.Is(err, eventlog.ErrRefused)
			if ctx.Err() != nil {
				return false, ctx.Err()
			}
			sleep(ctx, jitter(c.treasury.opts.Again))
			if c.endMoved(ctx, at) {
				return c.afterConflict(ctx, orders, at, unknown)
			}
		}
	}
}

// endMoved asks whether the partition still ends at an offset; if it does not, or
// its records are gone, the fate of an append there can be told.
func (c *clerk) endMoved(ctx context.Context, at int64) bool {
	call, cancel := context.WithTimeout(ctx, c.treasury.opts.Timeout)
	defer cancel()
	batch, err := c.treasury.opts.Log.Read(call, c.partition, at, 0)
	return err == nil && len(batch.Records) > 0 || errors.Is(err, eventlog.ErrTrimmed)
}

func (c *clerk) called(outcome string) {
	if c.treasury.opts.OnCall != nil {
		c.treasury.opts.OnCall(outcome)
	}
}

// afterConflict reads what others wrote and tells whether an earlier try of the
// same append is among it.
func (c *clerk) afterConflict(ctx context.Context, orders []order, at int64, unknown bool) (done bool, err error) {
	for {
		mine, err := c.follow(ctx, orders, at)
		if err == nil {
			if mine {
				c.book(orders, at)
				return true, nil
			}
			c.undo(orders)
			return false, nil
		}
		if errors.Is(err, eventlog.ErrTrimmed) {
			return c.afterTrim(ctx, orders, unknown)
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		sleep(ctx, jitter(c.treasury.opts.Again))
	}
}

// afterTrim handles records that are gone before they were read. Whether an
// append without an answer is among them can't be told: what it took is lost.
func (c *clerk) afterTrim(ctx context.Context, orders []order, unknown bool) (done bool, err error) {
	if !unknown {
		c.undo(orders)
	}
	c.loaded = false
	return false, c.load(ctx)
}

// follow reads the partition from its known end on. mine says that the record at
// the offset at is one of the orders.
func (c *clerk) follow(ctx context.Context, orders []order, at int64) (mine bool, err error) {
	call, cancel := context.WithTimeout(ctx, c.treasury.opts.Timeout)
	defer cancel()
	batch, err := c.treasury.opts.Log.Read(call, c.partition, c.end, 0)
	if err != nil {
		return false, err
	}
	for _, rec := range batch.Records {
		account, err := DecodeAccount(rec.Value)
		if err != nil {
			log.WithField("key", rec.Key).WithError(err).Error("account can't be read")
			continue
		}
		if rec.Offset == at && len(orders) > 0 && account.Writer == c.treasury.opts.Host && account.Op == orders[0].next.Op {
			mine = true
		}
		c.see(rec.Key, account, rec.Offset)
	}
	c.end = max(c.end, lastOffset(batch)+1)
	return mine, nil
}

// lastOffset is the offset of the last record, or that before the end.
func lastOffset(b eventlog.Batch) int64 {
	if n := len(b.Records); n > 0 {
		return b.Records[n-1].Offset
	}
	return b.End - 1
}

// load reads the newest records of the partition.
func (c *clerk) load(ctx context.Context) error {
	after := ""
	end := int64(-1)
	for {
		call, cancel := context.WithTimeout(ctx, c.treasury.opts.Timeout)
		page, err := c.treasury.opts.Log.Newest(call, c.partition, after)
		cancel()
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End
		}
		for _, rec := range page.Records {
			account, err := DecodeAccount(rec.Value)
			if err != nil {
				log.WithField("key", rec.Key).WithError(err).Error("account can't be read")
				continue
			}
			c.see(rec.Key, account, rec.Offset)
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	c.end, c.loaded = end, true
	return nil
}

// see takes in a record of an account.
func (c *clerk) see(tenant string, a Account, offset int64) {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[tenant]
	if w == nil {
		w = &wallet{limit: a.Limit}
		t.wallets[tenant] = w
	}
	if w.known && offset <= w.offset {
		return
	}
	w.account, w.known, w.offset = a, true, offset
	w.flow.add(a.Granted, time.Now())
	t.wake()
}

// book credits the tokens of orders that are in the log.
func (c *clerk) book(orders []order, at int64) {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range orders {
		w := t.wallets[o.tenant]
		w.free += o.taken
		if offset := at + int64(i); !w.known || offset > w.offset {
			w.account, w.known, w.offset = o.next, true, offset
			w.flow.add(o.next.Granted, time.Now())
		}
		log.WithFields(log.Fields{
			"organisation": o.tenant, "taken": o.taken, "returned": o.given, "granted": o.next.Granted,
			"limit": o.next.Limit, "version": o.next.Version, "offset": at + int64(i), "free": w.free,
		}).Debug("slice changed")
	}
	t.wake()
}

// undo takes back the debits of orders that are not in the log and never will be.
func (c *clerk) undo(orders []order) {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range orders {
		t.wallets[o.tenant].free += o.given
	}
}
