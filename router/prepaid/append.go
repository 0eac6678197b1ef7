package prepaid

import (
	"context"
	"errors"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// append writes the updates. done is false if another host's append came first; the accounts are
// then up to date again.
func (pw *partitionWriter) append(ctx context.Context, updates []accountUpdate) (done bool, err error) {
	records := make([]eventlog.Record, len(updates))
	for i, update := range updates {
		records[i] = eventlog.Record{Key: update.organisation, Value: update.next.Encode()}
	}
	at := pw.end
	unknown := false
	var restored *eventlog.EraError
	for {
		callCtx, cancel := context.WithTimeout(ctx, pw.allocator.opts.Timeout)
		end, err := pw.allocator.opts.Log.AppendAt(callCtx, pw.partition, at, records)
		cancel()
		var conflict *eventlog.ConflictError
		pw.recordAppendResult(err)
		switch {
		case err == nil:
			pw.countCall(CallTaken)
			pw.conflictRate -= conflictWeight * pw.conflictRate
			pw.end = end
			pw.commit(updates, at)
			return true, nil
		case errors.As(err, &conflict):
			pw.countCall(CallConflict)
			pw.conflictRate += conflictWeight * (1 - pw.conflictRate)
			log.WithFields(log.Fields{"partition": pw.partition.String(), "at": at, "end": conflict.End}).Debug("append conflicted with another host's")
			return pw.resolveConflict(ctx, updates, at, unknown)
		case errors.As(err, &restored):
			pw.countCall(CallConflict)
			return pw.afterTrim(ctx, updates, unknown || restored.Appended)
		case errors.Is(err, eventlog.ErrRefused) && !unknown:
			pw.countCall(CallRefused)
			pw.rollBack(updates)
			return false, err
		default:
			// The append may have been done, or may still be done as long as the partition ends at
			// the same offset. Only a later end settles it.
			pw.countCall(CallUnknown)
			if !unknown {
				log.WithFields(log.Fields{"partition": pw.partition.String(), "at": at}).WithError(err).Warn("append got no response; checking whether it was done")
			}
			unknown = unknown || !errors.Is(err, eventlog.ErrRefused)
			if ctx.Err() != nil {
				return false, ctx.Err()
			}
			wait.For(ctx, wait.Jitter(pw.allocator.opts.RetryDelay))
			if pw.endMoved(ctx, at) {
				return pw.resolveConflict(ctx, updates, at, unknown)
			}
		}
	}
}

// recordAppendResult records whether the log responded to an append; a conflict is a response.
func (pw *partitionWriter) recordAppendResult(err error) {
	var conflict *eventlog.ConflictError
	if errors.As(err, &conflict) {
		err = nil
	}
	pw.recordResult(err)
}

// endMoved reports whether the partition has grown beyond position at, its records there were
// trimmed or the log was restored; then the outcome of an append there can be determined.
func (pw *partitionWriter) endMoved(ctx context.Context, at eventlog.Position) bool {
	callCtx, cancel := context.WithTimeout(ctx, pw.allocator.opts.Timeout)
	defer cancel()
	batch, err := pw.allocator.opts.Log.Read(callCtx, pw.partition, at, 0)
	return err == nil && len(batch.Records) > 0 || mustReload(err)
}

func (pw *partitionWriter) countCall(outcome string) {
	if pw.allocator.opts.OnCall != nil {
		pw.allocator.opts.OnCall(outcome)
	}
}

// resolveConflict reads what others wrote and determines whether an earlier attempt of the same
// append is among it.
func (pw *partitionWriter) resolveConflict(ctx context.Context, updates []accountUpdate, at eventlog.Position, unknown bool) (done bool, err error) {
	for {
		own, err := pw.readNew(ctx, updates, at)
		if err == nil {
			if own {
				pw.commit(updates, at)
				return true, nil
			}
			pw.rollBack(updates)
			return false, nil
		}
		if mustReload(err) {
			return pw.afterTrim(ctx, updates, unknown)
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		wait.For(ctx, wait.Jitter(pw.allocator.opts.RetryDelay))
	}
}

// afterTrim handles records that were trimmed, or lost by a restored log, before they were read. Whether an
// append without a response is among them can't be determined, so the tokens it took or returned are lost.
func (pw *partitionWriter) afterTrim(ctx context.Context, updates []accountUpdate, unknown bool) (done bool, err error) {
	if !unknown {
		pw.rollBack(updates)
	}
	pw.loaded = false
	return false, pw.load(ctx)
}

// readNew reads the partition from its known end on. own says that the record at position at is one
// of the updates.
func (pw *partitionWriter) readNew(ctx context.Context, updates []accountUpdate, at eventlog.Position) (own bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, pw.allocator.opts.Timeout)
	defer cancel()
	batch, err := pw.allocator.opts.Log.Read(callCtx, pw.partition, pw.end, 0)
	pw.recordResult(err)
	if err != nil {
		return false, err
	}
	for _, record := range batch.Records {
		account, err := DecodeAccount(record.Value)
		if err != nil {
			log.WithField("key", record.Key).WithError(err).Error("ignoring an account record that can't be decoded")
			continue
		}
		if record.Position == at && len(updates) > 0 && account.Writer == pw.allocator.opts.Host && account.Op == updates[0].next.Op {
			own = true
		}
		pw.applyRecord(record.Key, account, record.Position)
	}
	pw.end = eventlog.Max(pw.end, endOf(batch))
	return own, nil
}

// endOf is the position after the records of a batch, or the partition's end if it is empty.
func endOf(b eventlog.Batch) eventlog.Position {
	if n := len(b.Records); n > 0 {
		return b.Records[n-1].Position.Plus(1)
	}
	return b.End
}

// load reads the newest record of each key of the partition.
func (pw *partitionWriter) load(ctx context.Context) error {
	pw.loaded = false
	after := ""
	var end eventlog.Position
	for first := true; ; first = false {
		callCtx, cancel := context.WithTimeout(ctx, pw.allocator.opts.Timeout)
		page, err := pw.allocator.opts.Log.Newest(callCtx, pw.partition, after)
		cancel()
		pw.recordResult(err)
		if err != nil {
			return err
		}
		if first {
			end = page.End
			pw.noteEra(end.Era)
		}
		if page.End.Era != end.Era {
			return errRestoredMeanwhile
		}
		for _, record := range page.Records {
			account, err := DecodeAccount(record.Value)
			if err != nil {
				log.WithField("key", record.Key).WithError(err).Error("account record can't be decoded; no tokens are taken from the account")
				pw.markUnreadable(record.Key, record.Position)
				continue
			}
			pw.applyRecord(record.Key, account, record.Position)
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	pw.addLostAccounts(end)
	pw.end, pw.loaded = end, true
	return nil
}

// errRestoredMeanwhile means that the pages of a load are from before and after the log was restored.
var errRestoredMeanwhile = errors.New("prepaid: the log was restored while accounts were loaded")

// markUnreadable records that the newest record of an account can't be decoded. The granted amount
// is then unknown, so nothing may be taken until a host that knows it writes the account again.
func (pw *partitionWriter) markUnreadable(organisation string, at eventlog.Position) {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil {
		al = &allocation{}
		a.allocations[organisation] = al
	}
	if !al.known || al.recorded.position.Before(at) {
		al.unreadable = true
	}
}

// applyRecord applies a record of an account.
func (pw *partitionWriter) applyRecord(organisation string, account Account, at eventlog.Position) {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil {
		al = &allocation{limit: account.Limit}
		a.allocations[organisation] = al
	}
	if al.known && !al.recorded.position.Before(at) {
		return
	}
	pw.noteRecord(al, account, at, pw.loaded)
	al.unreadable = false
	al.recordDrawn(time.Now())
	a.notifyWaiters()
}

// noteRecord applies a record of an account and what follows from it. follows says that this host has seen the records
// before it. The Allocator's lock is held.
func (pw *partitionWriter) noteRecord(al *allocation, record Account, at eventlog.Position, follows bool) {
	a := pw.allocator
	al.applyRecord(record, at)
	if record.Era == unknownEra {
		record.Era = at.Era
	}
	al.noteWithheld(record, record.Writer == a.opts.Host, follows, a.logTime(time.Now()))
	pw.noteVersion(al)
}

// commit credits the tokens of updates that are in the log.
func (pw *partitionWriter) commit(updates []accountUpdate, at eventlog.Position) {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, update := range updates {
		al := a.allocations[update.organisation]
		al.free += update.taken
		al.totals.Taken += update.taken
		if update.taken > 0 {
			al.obtainedAt = time.Now()
		}
		if position := at.Plus(i); !al.known || al.recorded.position.Before(position) {
			pw.noteRecord(al, update.next, position, true)
			pw.seekWitness(update.organisation, al, update.next, position)
			al.recordDrawn(time.Now())
		}
		a.logSettled(update)
		log.WithFields(log.Fields{
			"organisation": update.organisation, "taken": update.taken, "returned": update.returned, "granted": update.next.Granted,
			"limit": update.next.Limit, "version": update.next.Version, "offset": at.Plus(i).Offset, "free": al.free,
		}).Debug("allocation changed")
	}
	a.notifyWaiters()
}

// rollBack reverses the debits of updates that are not in the log and never will be.
func (pw *partitionWriter) rollBack(updates []accountUpdate) {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, update := range updates {
		al := a.allocations[update.organisation]
		al.free += update.returned
		al.totals.Returned -= update.returned
	}
}
