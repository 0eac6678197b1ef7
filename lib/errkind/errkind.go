// Package errkind is the closed list of error kinds and the one table from
// kind to answer.
package errkind

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
)

// Kind names what went wrong. The list is closed: see table.
type Kind string

// The kinds.
const (
	Invalid         Kind = "invalid"         // the request itself is wrong
	Unauthenticated Kind = "unauthenticated" // no or wrong key
	Refused         Kind = "refused"         // the policy refuses it
	Budget          Kind = "budget"          // the budget has too little left
	Overloaded      Kind = "overloaded"      // no target has room in time
	Deadline        Kind = "deadline"        // not done within its deadline, run to some extent
	Unavailable     Kind = "unavailable"     // nothing could take it on
	Draining        Kind = "draining"        // this host is stopping
	Unknown         Kind = "unknown"         // it may or may not have been run
	Done            Kind = "done"            // it was run and billed, the answer is no longer kept
	TargetFailed    Kind = "target_failed"   // it was run and the target failed
	Conflict        Kind = "conflict"        // another operator was first
	NotFound        Kind = "not_found"       // no such thing
	Internal        Kind = "internal"        // a fault of ours, may have been run
)

// Ran says whether the request was run.
type Ran string

// What can be said of a run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer is what a kind is turned into.
type Answer struct {
	Code  connect.Code
	HTTP  int // the status connect gives for Code
	Ran   Ran
	After time.Duration // when to come back unless the error says so, 0: don't
}

var table = map[Kind]Answer{
	Invalid:         {connect.CodeInvalidArgument, 400, RanNo, 0},
	Unauthenticated: {connect.CodeUnauthenticated, 401, RanNo, 0},
	Refused:         {connect.CodePermissionDenied, 403, RanNo, 0},
	Budget:          {connect.CodeResourceExhausted, 429, RanNo, 5 * time.Second},
	Overloaded:      {connect.CodeResourceExhausted, 429, RanNo, time.Second},
	Deadline:        {connect.CodeDeadlineExceeded, 504, RanUnknown, 0},
	Unavailable:     {connect.CodeUnavailable, 503, RanNo, time.Second},
	Draining:        {connect.CodeUnavailable, 503, RanNo, 100 * time.Millisecond},
	Unknown:         {connect.CodeUnknown, 500, RanUnknown, time.Second},
	Done:            {connect.CodeAlreadyExists, 409, RanYes, 0},
	TargetFailed:    {connect.CodeAborted, 409, RanYes, time.Second},
	Conflict:        {connect.CodeFailedPrecondition, 400, RanNo, 0},
	NotFound:        {connect.CodeNotFound, 404, RanNo, 0},
	Internal:        {connect.CodeInternal, 500, RanUnknown, time.Second},
}

// Kinds lists all kinds in no order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Lookup gives the answer for a kind; one not on the list counts as Internal.
func Lookup(k Kind) Answer {
	a, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return a
}

// Error is an error with a kind.
type Error struct {
	Kind  Kind
	After time.Duration // when to come back, 0: as the table says
	err   error
}

// New makes an error of a kind; the format is that of fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, err: fmt.Errorf(format, args...)}
}

// Retry sets when to come back and returns e.
func (e *Error) Retry(after time.Duration) *Error {
	e.After = after
	return e
}

func (e *Error) Error() string { return e.err.Error() }

// Unwrap gives the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// RetryAfter says when to come back, 0: don't.
func (e *Error) RetryAfter() time.Duration {
	if e.After > 0 {
		return e.After
	}
	return Lookup(e.Kind).After
}

// From finds the *Error in err; any other error counts as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%w", err)
}
