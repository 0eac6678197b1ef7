package replica

import (
	"time"

	"maststage.dev/router/eventlog"
)

// MergeUpdate merges an update from another host's replica.
func (r *Replica) MergeUpdate(update Update) {
	defer r.markKept(update)
	if !update.Full {
		r.mergeNewest(update.Records, update.End, !update.Complete)
		return
	}
	r.mu.Lock()
	newer := !r.loaded || r.end.Before(update.End)
	r.mu.Unlock()
	if newer {
		r.replaceAll(update.Records, update.End)
	}
}

// MergeNewest merges the newest records of keys from another replica that knows all records below
// end. It skips records older than this replica's, and records of keys that this replica would
// know had they not been deleted. A replica of another era of the log has nothing to merge.
func (r *Replica) MergeNewest(records []eventlog.Record, end eventlog.Position) {
	r.mergeNewest(records, end, true)
}

// mergeNewest is MergeNewest; gap says that other records of the keys may be missing.
func (r *Replica) mergeNewest(records []eventlog.Record, end eventlog.Position, gap bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && end.Era != r.end.Era {
		return
	}
	changes := r.apply(r.withoutDeleted(records), gap || !r.loaded)
	r.noteInitialMerge(end)
	r.end = eventlog.Max(r.end, end)
	r.loaded = true
	r.notify(changes)
}

// noteInitialMerge records at the first merge that tombstones below a position are unknown.
func (r *Replica) noteInitialMerge(end eventlog.Position) {
	if !r.loaded {
		r.tombstoneHorizon = eventlog.Max(r.tombstoneHorizon, end)
	}
}

// withoutDeleted drops records below the end of this replica whose keys it does not have: it
// knows all records below, so those keys were deleted. A replica that was loaded as a whole has
// no tombstones of keys deleted before.
func (r *Replica) withoutDeleted(records []eventlog.Record) []eventlog.Record {
	if !r.loaded {
		return records
	}
	kept := make([]eventlog.Record, 0, len(records))
	for _, rec := range records {
		if _, had := r.records[rec.Key]; had || !rec.Position.Before(r.end) {
			kept = append(kept, rec)
		}
	}
	return kept
}

// Merge applies records that were read from position from on; all records below end are then known.
func (r *Replica) Merge(records []eventlog.Record, end, from eventlog.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && from.Era != r.end.Era {
		return // the log was restored meanwhile
	}
	gap := !r.loaded || r.end.Before(from)
	changes := r.apply(records, gap)
	r.end = eventlog.Max(r.end, end)
	r.loaded = true
	r.notify(changes)
}

// replaceAll replaces all records by the newest ones of all keys, as the log or another host has them. Records from
// before the log was restored are ignored.
func (r *Replica) replaceAll(records []eventlog.Record, end eventlog.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.loaded && end.Era > r.end.Era:
		r.enterEra(records, end)
	case !r.loaded || end.Era == r.end.Era:
		r.replace(records, end)
	}
}

// replace applies the newest records of all keys and deletes the keys that they lack. The lock is held.
func (r *Replica) replace(records []eventlog.Record, end eventlog.Position) {
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
	}
	for key, old := range r.records {
		if !present[key] && len(old.Value) > 0 && old.Position.Before(end) {
			records = append(records, eventlog.Record{Key: key, Position: end.Plus(-1)})
		}
	}
	changes := r.apply(records, true)
	r.tombstoneHorizon = eventlog.Max(r.tombstoneHorizon, end)
	r.end = eventlog.Max(r.end, end)
	r.loaded, r.behind = true, false
	r.notify(changes)
}

// apply applies records that are newer than the known ones of their keys; the lock is held.
func (r *Replica) apply(records []eventlog.Record, gap bool) []Change {
	var changes []Change
	now := time.Now()
	for _, rec := range records {
		old, had := r.records[rec.Key]
		if had && !old.Position.Before(rec.Position) {
			continue
		}
		next := r.newEntry(rec)
		switch {
		case gap:
			next.aloneFrom = rec.Position
		case had:
			next.aloneFrom = old.Position.Plus(1)
		}
		if had && next.dedupKey != nil && next.dedupKey == old.dedupKey {
			next.changedAt = old.changedAt
			if !gap {
				next.aloneFrom = old.aloneFrom
			}
		} else {
			r.changesEnd = eventlog.Max(r.changesEnd, rec.Position.Plus(1))
			changes = append(changes, Change{Record: rec, Gap: gap})
		}
		if had && r.history.stateOf(next) != r.history.stateOf(old) {
			r.history.supersede(old, now)
		}
		r.records[rec.Key] = next
	}
	r.sweepHistory(now)
	r.dropTombstones()
	return changes
}

// dropTombstones drops the older tombstones once there are more than maxTombstones; the lock is held.
func (r *Replica) dropTombstones() {
	dead := 0
	for _, rec := range r.records {
		if len(rec.Value) == 0 {
			dead++
		}
	}
	if dead <= maxTombstones {
		return
	}
	horizon := r.end.Plus(-maxTombstones / 2)
	r.tombstoneHorizon = eventlog.Max(r.tombstoneHorizon, horizon)
	for key, rec := range r.records {
		if len(rec.Value) == 0 && rec.Position.Before(horizon) {
			delete(r.records, key)
		}
	}
}

// notify reports changes. The lock is held.
func (r *Replica) notify(changes []Change) {
	close(r.changed)
	r.changed = make(chan struct{})
	if len(changes) > 0 && r.opts.OnChange != nil {
		r.opts.OnChange(changes)
	}
}
