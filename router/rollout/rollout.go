// Package rollout moves the requests of a service to a new version of its targets, which
// stand beside the old ones. A small part of the requests goes there first; their answers are
// compared with those of the old version, and the move is then made or taken back, once and
// for good. The package decides and does no I/O: hosts bring it what they saw, carry its
// answers to each other and keep its records in the log.
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
	Period  time.Duration // the move is to be done within it
}

// ErrIncomplete means that an order lacks a service, a version or a period.
var ErrIncomplete = errors.New("rollout: service, version or a period above 0 is missing")

// Check says whether an order can be carried out.
func (o Order) Check() error {
	if o.Service == "" || o.Version == "" || o.Period <= 0 {
		return ErrIncomplete
	}
	return nil
}

// State is how far a rollout is.
type State string

// The states. A rollout that is done or rolled back stays so.
const (
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "rolled_back"
)

// Final says whether the state never changes again.
func (s State) Final() bool { return s == Done || s == RolledBack }

// Record is what the log keeps of the newest rollout of a service.
type Record struct {
	Service string
	Version string
	State   State
	Base    []string  // versions that served as the order came
	Barred  []string  // versions that earlier rollouts gave up
	Began   time.Time // by the clock of the host that wrote it first; zero: not told
}

// Check says whether a record can be one that a host wrote.
func (r Record) Check() error {
	if r.Version == "" || r.State != Running && !r.State.Final() {
		return ErrInvalidRecord
	}
	return nil
}

// ErrInvalidRecord means that a record names no version, or a state that there is not.
var ErrInvalidRecord = errors.New("rollout: version or a known state is missing")

// decides says whether a record is the one of an order.
func (r *Record) decides(o Order) bool { return r != nil && r.Version == o.Version }

// begin is the first record of an order. last is the record of the service before, if any;
// versions are those of the targets that are listed.
func begin(o Order, last *Record, versions []string, now time.Time) Record {
	next := Record{Service: o.Service, Version: o.Version, State: Running, Began: now}
	if last != nil {
		next.Barred = without(last.barredAfter(), o.Version)
	}
	for _, v := range versions {
		if v != o.Version && !slices.Contains(next.Barred, v) {
			next.Base = append(next.Base, v)
		}
	}
	slices.Sort(next.Base)
	return next
}

// barredAfter lists the versions that get nothing once another order follows.
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

// ended gives the record with a final state. A state that is final is kept.
func (r Record) ended(s State) Record {
	if !r.State.Final() {
		r.State = s
	}
	return r
}
