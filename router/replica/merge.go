package replica

import (
	"bytes"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// MergeUpdate merges an update from another host's replica.
func (r *Replica) MergeUpdate(update Update) {
	if !update.Full {
		r.MergeNewest(update.Records, update.End)
		return
	}
	r.mu.Lock()
	newer := !r.loaded || update.End > r.end
	r.mu.Unlock()
	if newer {
		r.replace(update.Records, update.End)
	}
}

// MergeNewest merges the newest records of keys from another replica that knows all records below
// end. It skips records older than this replica's, and records of keys that this replica would
// know had they not been deleted.
func (r *Replica) MergeNewest(records []eventlog.Record, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.apply(r.withoutDeleted(records), true)
	r.noteInitialMerge(end)
	if end > r.end {
		r.end = end
	}
	r.loaded = true
	r.notify(changes)
}

// noteInitialMerge records at the first merge that tombstones below an offset are unknown.
func (r *Replica) noteInitialMerge(end int64) {
	if !r.loaded {
		r.tombstoneHorizon = max(r.tombstoneHorizon, end)
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
		if _, had := r.records[rec.Key]; had || rec.Offset >= r.end {
			kept = append(kept, rec)
		}
	}
	return kept
}

// Merge applies records that were read from offset from on; all records below end are then known.
func (r *Replica) Merge(records []eventlog.Record, end, from int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := !r.loaded || from > r.end
	changes := r.apply(records, gap)
	if end > r.end {
		r.end = end
	}
	r.loaded = true
	r.notify(changes)
}

// replace applies the newest records of all keys and deletes the keys that they lack.
func (r *Replica) replace(records []eventlog.Record, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
	}
	for key, old := range r.records {
		if !present[key] && len(old.Value) > 0 && old.Offset < end {
			records = append(records, eventlog.Record{Key: key, Offset: end - 1})
		}
	}
	r.logShorterLog(records, end)
	changes := r.apply(records, true)
	r.tombstoneHorizon = max(r.tombstoneHorizon, end)
	if end > r.end {
		r.end = end
	}
	r.loaded, r.behind = true, false
	r.notify(changes)
}

// logShorterLog logs that the log ends before records that are known, and how many of the records that it now has
// differ from those but have lower offsets. It logs once until the log has grown beyond them. The lock is held.
func (r *Replica) logShorterLog(records []eventlog.Record, end int64) {
	shorter := end < r.end
	if shorter == r.shorterLogged {
		return
	}
	r.shorterLogged = shorter
	if !shorter {
		return
	}
	older := 0
	for _, rec := range records {
		if old, had := r.records[rec.Key]; had && rec.Offset < old.Offset && !bytes.Equal(rec.Value, old.Value) {
			older++
		}
	}
	log.WithFields(log.Fields{
		"topic": r.opts.Partition.Topic, "end": end, "known_end": r.end, "records": len(records), "older_than_known": older,
	}).Warn("log ends before records that are known")
}

// apply applies records that are newer than the known ones of their keys; the lock is held.
func (r *Replica) apply(records []eventlog.Record, gap bool) []Change {
	var changes []Change
	for _, rec := range records {
		old, had := r.records[rec.Key]
		if had && old.Offset >= rec.Offset {
			continue
		}
		next := entry{Record: rec, changedAt: rec.Offset}
		if r.opts.DedupKey != nil {
			next.dedupKey = r.opts.DedupKey(rec)
		}
		if had && next.dedupKey != nil && next.dedupKey == old.dedupKey {
			next.changedAt = old.changedAt
		} else {
			changes = append(changes, Change{Record: rec, Gap: gap})
		}
		r.records[rec.Key] = next
	}
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
	horizon := r.end - maxTombstones/2
	r.tombstoneHorizon = max(r.tombstoneHorizon, horizon)
	for key, rec := range r.records {
		if len(rec.Value) == 0 && rec.Offset < horizon {
			delete(r.records, key)
		}
	}
}

func (r *Replica) notify(changes []Change) {
	if len(changes) > 0 && r.opts.OnChange != nil {
		r.opts.OnChange(changes)
	}
}
