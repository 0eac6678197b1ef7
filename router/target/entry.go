package target

import (
	"fmt"
	"time"
)

// State is what a target says of itself in the list.
type State int

// The states.
const (
	Ready State = iota
	Draining
)

// Entry is a target as the platform lists it.
type Entry struct {
	ID            string
	StartedAt     time.Time // start of its process, zero: not told
	Service       string
	Address       string // IP:port
	Domain        string // failure domain
	Version       string // of its software
	Slots         int
	State         State
	ColdRemaining time.Duration // how much longer it is slow from its start
}

// Incarnation names one life of a target: one that starts again under its id holds and knows
// nothing of before, and what was learned of the life before says nothing of it.
type Incarnation struct {
	ID        string
	StartedAt int64 // Unix milliseconds, 0: not told
}

// Incarnation is the life that an entry tells of.
func (e Entry) Incarnation() Incarnation {
	if e.StartedAt.IsZero() {
		return Incarnation{ID: e.ID}
	}
	return Incarnation{ID: e.ID, StartedAt: e.StartedAt.UnixMilli()}
}

// another says whether an entry of a later record tells of another life. Records come in the
// order of their offsets, so a start that is told as earlier, after a clock that jumped back, is
// one, too. An entry that does not tell a start is taken for the life that is known, and the
// first one that does names it.
func (i Incarnation) another(next Incarnation) bool {
	return i.StartedAt != 0 && next.StartedAt != 0 && i.StartedAt != next.StartedAt
}

func (i Incarnation) String() string {
	if i.StartedAt == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s@%d", i.ID, i.StartedAt)
}

// EntryFault is why an entry of the list names no target to use.
type EntryFault string

// The faults.
const (
	FaultUnreadable EntryFault = "unreadable"  // its bytes are no document
	FaultType       EntryFault = "wrong_type"  // a field of another type
	FaultMissing    EntryFault = "missing"     // a field is missing
	FaultState      EntryFault = "state"       // a state that is not known
	FaultValue      EntryFault = "wrong_value" // a field that can't be so
)

// EntryError is an entry that names no target to use.
type EntryError struct {
	ID    string
	Fault EntryFault
	Err   error
}

func (e *EntryError) Error() string { return fmt.Sprintf("entry of target %q: %v", e.ID, e.Err) }

// Unwrap gives the cause.
func (e *EntryError) Unwrap() error { return e.Err }
