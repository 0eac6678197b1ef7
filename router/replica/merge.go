package replica

import "maststage.dev/router/eventlog"

// MergeUpdate takes over what another host's copy tells.
func (r *Replica) MergeUpdate(part Update) {
	if !part.Full {
		r.MergeNewest(part.Records, part.End)
		return
	}
	r.mu.Lock()
	newer := !r.loaded || part.End > r.end
	r.mu.Unlock()
	if newer {
		r.replace(part.Records, part.End)
	}
}

// MergeNewest takes over the newest records of keys from another host's copy, of
// which all records below end are known. Older records of the same keys are skipped, and so are
// those of keys that this copy would know if they had not been deleted.
func (r *Replica) MergeNewest(records []eventlog.Record, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.take(r.withoutDeleted(records), true)
	r.noteWhole(end)
	if end > r.end {
		r.end = end
	}
	r.loaded = true
	r.tell(changes)
}

// noteWhole notes, as the copy is first filled, that it knows nothing of what was deleted below
// an offset.
func (r *Replica) noteWhole(end int64) {
	if !r.loaded {
		r.dropped = max(r.dropped, end)
	}
}

// withoutDeleted leaves out the records below the end of this copy whose keys it does not have:
// it knows all records below, so those were deleted. A copy that was read whole keeps no
// tombstones of what was gone by then.
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

// Merge takes over records that were read from offset from on; all records below
// end are then known.
func (r *Replica) Merge(records []eventlog.Record, end, from int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := !r.loaded || from > r.end
	changes := r.take(records, gap)
	if end > r.end {
		r.end = end
	}
	r.loaded = true
	r.tell(changes)
}

// replace takes over the newest records. Keys that it lacks were deleted.
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
	changes := r.take(records, true)
	r.dropped = max(r.dropped, end)
	if end > r.end {
		r.end = end
	}
	r.loaded, r.behind = true, false
	r.tell(changes)
}

// take applies records that are newer than what is known of their keys.
func (r *Replica) take(records []eventlog.Record, gap bool) []Change {
	var changes []Change
	for _, rec := range records {
		old, had := r.records[rec.Key]
		if had && old.Offset >= rec.Offset {
			continue
		}
		next := known{Record: rec, changed: rec.Offset}
		if r.opts.DedupKey != nil {
			next.meaning = r.opts.DedupKey(rec)
		}
		if had && next.meaning != nil && next.meaning == old.meaning {
			next.changed = old.changed
		} else {
			changes = append(changes, Change{Record: rec, Gap: gap})
		}
		r.records[rec.Key] = next
	}
	r.dropTombstones()
	return changes
}

// dropTombstones forgets the oldest half of the deleted keys when there are many.
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
	r.dropped = max(r.dropped, horizon)
	for key, rec := range r.records {
		if len(rec.Value) == 0 && rec.Offset < horizon {
			delete(r.records, key)
		}
	}
}

func (r *Replica) tell(changes []Change) {
	if len(changes) > 0 && r.opts.OnChange != nil {
		r.opts.OnChange(changes)
	}
}
