// Package permit keeps the requests that all hosts together have at a brittle target within its places. A brittle target
// falls over when it has to turn away more than a few requests a second, so none may be sent that it has no place for.
//
// One host, the same in every host's view, schedules the places of a service's brittle targets: the others ask it for a
// permit before each attempt and return it afterwards. It hands out as many permits as a target has places, to the most
// urgent first; those that can't have one in time are refused at once. A host keeps one connection to the scheduler, so
// that its permits come free when it dies; if the scheduler dies, hosts tell the next one which permits they use.
package permit

import (
	"errors"
	"time"
)

// Request asks for a place at one of some targets.
type Request struct {
	Service  string        `json:"service"`
	Targets  []Target      `json:"targets"` // in order of preference
	Priority int           `json:"priority"`
	MaxWait  time.Duration `json:"max_wait"` // nanoseconds; the request is refused rather than held for longer
}

// Target is a brittle target as the asking host knows it.
type Target struct {
	ID        string `json:"id"`
	Slots     int    `json:"slots"`
	Tolerance int    `json:"tolerance"` // requests a second that it can turn away
}

// Result is how an attempt with a permit ended.
type Result string

// The results.
const (
	Ended   Result = "ended"
	Refused Result = "refused" // the target turned the request away
)

// Reply answers a request: a target, or a refusal.
type Reply struct {
	Target     string        `json:"target,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"` // nanoseconds; of a refusal
}

// RefusalError means that no place comes free in time.
type RefusalError struct{ RetryAfter time.Duration }

func (e *RefusalError) Error() string { return "permit: no place at a target comes free in time" }

// ErrNoScheduler means that no host that schedules permits can be reached.
var ErrNoScheduler = errors.New("permit: no scheduler can be reached")
