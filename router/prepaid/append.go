package prepaid

import (
	"context"
	"errors"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// append writes the orders. done is false if another host's append came first;
// the accounts are then up to date again.
func (c *clerk) append(ctx context.Context, orders []order) (done bool, err error) {
	records := make([]eventlog.Record, len(orders))
	for i, o := range orders {
		records[i] = eventlog.Record{Key: o.organisation, Value: o.next.Encode()}
	}
	at := c.end
	unknown := false
	for {
		call, cancel := context.WithTimeout(ctx, c.treasury.opts.Timeout)
		end, err := c.treasury.opts.Log.AppendAt(call, c.partition, at, records)
		cancel()
		var conflict *eventlog.ConflictError
		c.answeredAppend(err)
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
			wait.For(ctx, wait.Jitter(c.treasury.opts.RetryDelay))
			if c.endMoved(ctx, at) {
				return c.afterConflict(ctx, orders, at, unknown)
			}
		}
	}
}

// answeredAppend notes whether the log answered an append; a lost race is an answer.
func (c *clerk) answeredAppend(err error) {
	var conflict *eventlog.ConflictError
	if errors.As(err, &conflict) {
		err = nil
	}
	c.answered(err)
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
		wait.For(ctx, wait.Jitter(c.treasury.opts.RetryDelay))
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
	c.answered(err)
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
		c.answered(err)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End
		}
		for _, rec := range page.Records {
			account, err := DecodeAccount(rec.Value)
			if err != nil {
				log.WithField("key", rec.Key).WithError(err).Error("account can't be read; nothing is taken from it")
				c.lock(rec.Key, rec.Offset)
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

// lock notes that the newest record of an account can't be read. What was granted before is
// not known then, so nothing may be taken until a host that knows writes the account again.
func (c *clerk) lock(organisation string, offset int64) {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil {
		w = &wallet{}
		t.wallets[organisation] = w
	}
	if !w.known || offset > w.offset {
		w.unreadable = true
	}
}

// see takes in a record of an account.
func (c *clerk) see(organisation string, a Account, offset int64) {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil {
		w = &wallet{limit: a.Limit}
		t.wallets[organisation] = w
	}
	if w.known && offset <= w.offset {
		return
	}
	w.account, w.known, w.offset, w.unreadable = a, true, offset, false
	w.noteFlow(time.Now())
	t.wake()
}

// book credits the tokens of orders that are in the log.
func (c *clerk) book(orders []order, at int64) {
	t := c.treasury
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range orders {
		w := t.wallets[o.organisation]
		w.free += o.taken
		w.flows.Taken += o.taken
		if offset := at + int64(i); !w.known || offset > w.offset {
			w.account, w.known, w.offset = o.next, true, offset
			w.noteFlow(time.Now())
		}
		log.WithFields(log.Fields{
			"organisation": o.organisation, "taken": o.taken, "returned": o.given, "granted": o.next.Granted,
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
		w := t.wallets[o.organisation]
		w.free += o.given
		w.flows.Returned -= o.given
	}
}
