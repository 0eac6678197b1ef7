// Package rollout moves the requests of a service to a new version of its targets, which runs
// beside the old version. A small share of the requests goes to the new version first, and their
// outcomes are compared with those of the old version. The rollout is then completed or rolled back;
// either decision is final. The package decides and does no I/O: hosts feed it what they observe,
// carry its advice to each other and keep its records in the log.
package rollout

import (
	"errors"
	"slices"
	"time"
)

// Order is the operator's order to move a service to a version.
type Order struct {
	Service string
	Version string
	Period  time.Duration // the rollout must be decided within it
}

// ErrIncomplete means that an order lacks a service, a version or a positive period.
var ErrIncomplete = errors.New("rollout: order has no service, no version or no positive period")

// Check validates an order.
func (o Order) Check() error {
	if o.Service == "" || o.Version == "" || o.Period <= 0 {
		return ErrIncomplete
	}
	return nil
}

// State is the state of a rollout.
type State string

// The states. Done and RolledBack are final.
const (
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "rolled_back"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Done || s == RolledBack }

// Record is what the log keeps of the newest rollout of a service.
type Record struct {
	Service string
	Version string
	State   State
	Base    []string  // versions in use when the order was given
	Barred  []string  // versions that earlier rollouts retired or rolled back
	Began   time.Time // by the clock of the host that wrote it first; zero: unknown
}

// Check validates a record that was read from the log.
func (r Record) Check() error {
	if r.Version == "" || r.State != Running && !r.State.Final() {
		return ErrInvalidRecord
	}
	return nil
}

// ErrInvalidRecord means that a record has no version or an unknown state.
var ErrInvalidRecord = errors.New("rollout: record has no version or an unknown state")

// isFor reports whether a record belongs to an order.
func (r *Record) isFor(o Order) bool { return r != nil && r.Version == o.Version }

// missed is how much of an order's rollout was over as a host received the order; ok is false if that is
// unknown.
func (r *Record) missed(o Order, received time.Time) (missed time.Duration, ok bool) {
	if !r.isFor(o) || r.Began.IsZero() {
		return 0, false
	}
	return max(received.Sub(r.Began), 0), true
}

// newRecord makes the first record of an order. previous is the service's record before it, if any;
// versions are those of the listed targets.
func newRecord(o Order, previous *Record, versions []string, now time.Time) Record {
	next := Record{Service: o.Service, Version: o.Version, State: Running, Began: now}
	if previous != nil {
		next.Barred = without(previous.barredAfter(), o.Version)
	}
	for _, v := range versions {
		if v != o.Version && !slices.Contains(next.Barred, v) {
			next.Base = append(next.Base, v)
		}
	}
	slices.Sort(next.Base)
	return next
}

// barredAfter lists the versions that get no requests once another order follows.
func (r *Record) barredAfter() []string {
	barred := slices.Clone(r.Barred)
	if r.State == Done {
		return append(barred, r.Base...)
	}
	return append(barred, r.Version)
}

func without(list []string, item string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == item })
}

// finalize returns the record with a final state, unless its state is final already.
func (r Record) finalize(s State) Record {
	if !r.State.Final() {
		r.State = s
	}
	return r
}
