package replica

import (
	"hash/maphash"
	"time"

	"maststage.dev/router/eventlog"
)

// maxCopyAge is above the age of a copy that the log is restored from: what was superseded longer ago is superseded in
// the copy, too.
const maxCopyAge = 15 * time.Second

// maxSuperseded bounds the superseded states that are remembered for each key.
const maxSuperseded = 128

// history remembers the states of keys that were superseded of late. After the log was restored it tells records of the
// copy from new ones that were given the offsets of lost records.
type history struct {
	seed   maphash.Seed
	states map[string][]supersededState // by key, oldest first
}

// supersededState is a state that a key had.
type supersededState struct {
	state any
	until int64     // offset of the last record with this state
	at    time.Time // when it was superseded
}

func newHistory() *history {
	return &history{seed: maphash.MakeSeed(), states: map[string][]supersededState{}}
}

// stateOf returns what identifies the state of an entry: its DedupKey or else its value.
func (h *history) stateOf(e entry) any {
	if e.dedupKey != nil {
		return e.dedupKey
	}
	return maphash.Bytes(h.seed, e.Value)
}

// supersede records that an entry was superseded by one with another state.
func (h *history) supersede(e entry, now time.Time) {
	states := h.states[e.Key]
	for len(states) > 0 && (now.Sub(states[0].at) > maxCopyAge || len(states) >= maxSuperseded) {
		states = states[1:]
	}
	h.states[e.Key] = append(states, supersededState{state: h.stateOf(e), until: e.Position.Offset, at: now})
}

// isCopied reports whether an entry of the restored log is known to be from the copy: its key had that state at an
// offset no lower before it was superseded.
func (h *history) isCopied(e entry) bool {
	state := h.stateOf(e)
	for _, s := range h.states[e.Key] {
		if s.state == state && e.Position.Offset <= s.until {
			return true
		}
	}
	return false
}

// sweep forgets states that were superseded longer ago than any copy is old.
func (h *history) sweep(now time.Time) {
	for key, states := range h.states {
		if now.Sub(states[len(states)-1].at) > maxCopyAge {
			delete(h.states, key)
		}
	}
}

// newEntry makes the entry of a record.
func (r *Replica) newEntry(rec eventlog.Record) entry {
	e := entry{Record: rec, changedAt: rec.Position}
	if r.opts.DedupKey != nil {
		e.dedupKey = r.opts.DedupKey(rec)
	}
	return e
}
