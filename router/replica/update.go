package replica

import (
	"context"
	"time"

	"maststage.dev/router/eventlog"
)

// Update holds the newest records of the keys that changed since some offset.
type Update struct {
	Records []eventlog.Record
	End     eventlog.Position // all records below are known
	Age     time.Duration     // since the log last confirmed them
	// Full means that Records is the whole partition: keys that it lacks were deleted.
	Full bool
	// Kept are the keys whose records were kept when the log was restored, as it lacks them, each with the time until the
	// key counts as deleted; 0 means that it has another record of the key.
	Kept map[string]time.Duration
	// Complete means that no other records of these keys are between that offset and End.
	Complete bool
}

// UpdateSince returns the records that changed since a position, for another host. ok is false if
// tombstones among them may be missing.
func (r *Replica) UpdateSince(from eventlog.Position) (update Update, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update = Update{End: r.end, Age: time.Since(r.lastContact), Complete: true}
	ok = from == eventlog.Position{} || !from.Before(r.tombstoneHorizon)
	if !from.Before(r.changesEnd) {
		return update, ok
	}
	for _, k := range r.records {
		if !k.changedAt.Before(from) {
			update.Records = append(update.Records, k.Record)
			update.Complete = update.Complete && !from.Before(k.aloneFrom)
			update.noteKept(k)
		}
	}
	return update, ok
}

// noteKept adds an entry to Kept if it was kept when the log was restored.
func (u *Update) noteKept(k entry) {
	if !k.lost {
		return
	}
	if u.Kept == nil {
		u.Kept = map[string]time.Duration{}
	}
	u.Kept[k.Key] = 0
	if !k.keptUntil.IsZero() {
		u.Kept[k.Key] = max(time.Until(k.keptUntil), time.Millisecond)
	}
}

// WaitForChange waits until the replica has changes at a position or after it, at most for the given time.
func (r *Replica) WaitForChange(ctx context.Context, from eventlog.Position, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		r.mu.Lock()
		news, changed := r.loaded && from.Before(r.changesEnd), r.changed
		r.mu.Unlock()
		if news {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Confirm notes that another host knows all records below end as of a time ago. If this replica knows as many, it is
// as fresh.
func (r *Replica) Confirm(end eventlog.Position, age time.Duration) {
	at := time.Now().Add(-age)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && end.Era == r.end.Era && !r.end.Before(end) && at.After(r.lastContact) {
		r.lastContact = at
	}
}

// CatchUpFrom returns what a host lacks that knows all records below a position: the changes since
// then, or the whole partition if tombstones among the changes may be missing.
func (r *Replica) CatchUpFrom(from eventlog.Position) Update {
	if update, ok := r.UpdateSince(from); ok && from != (eventlog.Position{}) {
		return update
	}
	update, _ := r.UpdateSince(eventlog.Position{})
	update.Full = true
	return update
}
