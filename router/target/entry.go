package target

import (
	"fmt"
	"time"
)

// State is the state that a target reports in its list entry.
type State int

// The states.
const (
	Ready State = iota
	Draining
)

// Entry is a target as the platform lists it.
type Entry struct {
	ID            string
	StartedAt     time.Time // start of its process; zero if unknown
	Service       string
	Address       string // IP:port
	Domain        string // failure domain
	Version       string // software version
	Slots         int
	State         State
	ColdRemaining time.Duration // how much longer it is cold after its start
}

// Incarnation identifies one run of a target's process. A process that restarts under the same id has
// lost its state, and results of an earlier incarnation don't apply to it.
type Incarnation struct {
	ID        string
	StartedAt int64 // Unix milliseconds; 0 if unknown
}

// Incarnation returns the incarnation that the entry describes.
func (e Entry) Incarnation() Incarnation {
	if e.StartedAt.IsZero() {
		return Incarnation{ID: e.ID}
	}
	return Incarnation{ID: e.ID, StartedAt: e.StartedAt.UnixMilli()}
}

// differsFrom reports whether the entry of a later record describes another incarnation. Records arrive
// in offset order, so an earlier start time also means another incarnation: the target's clock jumped
// back. An entry without a start time is taken for the known incarnation, and the first entry with
// a start time identifies it.
func (i Incarnation) differsFrom(next Incarnation) bool {
	return i.StartedAt != 0 && next.StartedAt != 0 && i.StartedAt != next.StartedAt
}

func (i Incarnation) String() string {
	if i.StartedAt == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s@%d", i.ID, i.StartedAt)
}

// EntryFault is the reason why a list entry is unusable.
type EntryFault string

// The faults.
const (
	FaultUnreadable EntryFault = "unreadable"  // not a valid document
	FaultType       EntryFault = "wrong_type"  // a field has the wrong type
	FaultMissing    EntryFault = "missing"     // a field is missing
	FaultState      EntryFault = "state"       // unknown state
	FaultValue      EntryFault = "wrong_value" // a field has an invalid value
)

// EntryError reports an unusable list entry.
type EntryError struct {
	ID    string
	Fault EntryFault
	Err   error
}

func (e *EntryError) Error() string { return fmt.Sprintf("entry of target %q: %v", e.ID, e.Err) }

func (e *EntryError) Unwrap() error { return e.Err }
