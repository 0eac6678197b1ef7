package replica

import (
	"bytes"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// The log may be restored from a copy that lacks its newest records. What it had acknowledged stays valid until it is
// superseded, so a record of the copy does not replace a newer one that this replica knows. Whether a key that the log
// lacks was deleted since or lost can't be known: one that was lost is written again within Options.KeepLost.

// enterEra replaces the records after the log was restored. records are the newest ones of the restored log, whose end is
// in a later era than this replica's. The lock is held.
func (r *Replica) enterEra(records []eventlog.Record, end eventlog.Position) {
	now := time.Now()
	previous, previousEnd := r.records, r.end
	r.records = make(map[string]entry, len(records))
	var changes []Change
	kept, deleted := 0, 0
	r.unconfirmed = 0
	for _, rec := range records {
		held, had := previous[rec.Key]
		delete(previous, rec.Key)
		next := r.newEntry(rec)
		switch {
		case had && r.history.isCopied(next):
			r.keep(held, rec.Position, !bytes.Equal(held.Value, rec.Value), time.Time{})
			r.history.supersede(next, now) // the log may be restored again
			kept++
		case had && r.history.stateOf(held) == r.history.stateOf(next):
			r.records[rec.Key] = next
		default:
			r.records[rec.Key] = next
			changes = append(changes, Change{Record: rec, Gap: true})
		}
	}
	for key, held := range previous { // the log lacks these keys
		switch {
		case len(held.Value) == 0: // the horizon of tombstones covers it
		case r.opts.KeepLost > 0:
			// The first record of the era that names the key supersedes it.
			r.keep(held, eventlog.Position{Era: end.Era}, true, now.Add(r.opts.KeepLost))
			r.unconfirmed++
			kept++
		default:
			changes = append(changes, r.deleteKey(key, end))
			deleted++
		}
	}
	r.end, r.tombstoneHorizon, r.changesEnd, r.behind = end, end, end, false
	log.WithFields(log.Fields{
		"topic": r.opts.Partition.Topic, "era": end.Era, "end": end.Offset, "known_end": previousEnd.Offset,
		"records": len(records), "kept": kept, "deleted": deleted, "changes": len(changes),
	}).Warn("log was restored from a copy")
	r.notify(changes)
	if r.opts.OnRestored != nil {
		r.opts.OnRestored(end.Era)
	}
}

// keep keeps a record of an earlier era at a position of the present one, until a time if that is set. lost says that
// the log has another one, or none, for its key. The lock is held.
func (r *Replica) keep(held entry, at eventlog.Position, lost bool, until time.Time) {
	held.Position, held.changedAt, held.lost, held.keptUntil = at, at, lost, until
	r.records[held.Key] = held
}

// markKept notes which records of an update another host kept when the log was restored: this replica keeps them as long.
func (r *Replica) markKept(update Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range update.Records {
		left, kept := update.Kept[rec.Key]
		held, known := r.records[rec.Key]
		if !kept || !known || held.Position != rec.Position || held.lost {
			continue
		}
		held.lost = true
		if left > 0 {
			held.keptUntil = time.Now().Add(left)
			r.unconfirmed++
		}
		r.records[rec.Key] = held
	}
}

// deleteKey deletes a key that the log does not have below end. The lock is held.
func (r *Replica) deleteKey(key string, end eventlog.Position) Change {
	deletion := eventlog.Record{Key: key, Position: eventlog.Position{Era: end.Era, Offset: max(end.Offset-1, 0)}}
	deleted := r.newEntry(deletion)
	deleted.aloneFrom = deletion.Position.Plus(1) // the log may have lost others
	r.records[key] = deleted
	r.changesEnd = eventlog.Max(r.changesEnd, deletion.Position.Plus(1))
	return Change{Record: deletion, Gap: true}
}

// dropUnconfirmed deletes the keys that were kept when the log was restored and not written again in time.
func (r *Replica) dropUnconfirmed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unconfirmed == 0 {
		return
	}
	r.unconfirmed = 0
	var changes []Change
	for key, held := range r.records {
		switch {
		case held.keptUntil.IsZero():
		case now.Before(held.keptUntil):
			r.unconfirmed++
		default:
			changes = append(changes, r.deleteKey(key, r.end))
		}
	}
	r.notify(changes)
}

// Lost returns the records that this replica kept when the log was restored and that the log lacks since.
func (r *Replica) Lost() []eventlog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []eventlog.Record
	for _, held := range r.records {
		if held.lost {
			records = append(records, held.Record)
		}
	}
	return records
}

// sweepHistory forgets superseded states that no copy has, now and then. The lock is held.
func (r *Replica) sweepHistory(now time.Time) {
	if now.Sub(r.sweptAt) > maxCopyAge {
		r.sweptAt = now
		r.history.sweep(now)
	}
}
