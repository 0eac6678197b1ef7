package soak

import (
	"bytes"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

// restoreKind is the kind of events in which the store comes back from a copy of itself. It is not in strikes, so that
// the other events of a seed stay the same.
const restoreKind = "store restored"

// Figures of restored stores.
const (
	restoreEvery  = 2 // one seed in this many has them
	maxRestores   = 3
	minCopyAge    = 300 * time.Millisecond
	copyAgeSpread = 3 * time.Second
	storeAway     = 300 * time.Millisecond // before it comes back
	rewriteWithin = 500 * time.Millisecond // after which operator and targets write again what was lost
)

// restores draws the events of a seed in which the store is restored.
func restores(seed uint64) []event {
	return drawInSome(seed, 10, restoreEvery, restoreKind, maxRestores, minCopyAge, copyAgeSpread)
}

// write writes a record of the operator or of a target to the store.
func (w *world) write(p eventlog.Partition, key string, value []byte) {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.written[logKey{p, key}] = value
	w.log.Put(p, key, value)
}

// logKey is a key of a partition of the store.
type logKey struct {
	partition eventlog.Partition
	key       string
}

// restoreStore replaces the store's content by a copy that is as old as the event is long, after a moment in which it
// answers nobody. Operator and targets then write again what it lacks.
func restoreStore(w *world, e event) {
	copied := w.log.Snapshot()
	time.Sleep(e.length)
	defer w.watch.fault(restoreKind)()
	w.log.SetFault("", memlog.Fault{Refuse: true})
	time.Sleep(storeAway)
	w.writing.Lock()
	w.log.Restore(copied)
	w.writing.Unlock()
	w.log.SetFault("", memlog.Fault{})
	time.Sleep(time.Duration(e.part * float64(rewriteWithin)))
	w.rewriteLost()
}

// rewriteLost writes the records of operator and targets again that the store lacks.
func (w *world) rewriteLost() {
	w.writing.Lock()
	defer w.writing.Unlock()
	for k, value := range w.written {
		if rec, _ := w.log.Get(k.partition, k.key); !bytes.Equal(rec.Value, value) {
			w.log.Put(k.partition, k.key, value)
		}
	}
}
