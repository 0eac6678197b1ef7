// Package errkind defines the closed list of error kinds and the only table that maps
// a kind to a response.
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
	Invalid         Kind = "invalid"         // the request is malformed
	Unauthenticated Kind = "unauthenticated" // the key is missing or wrong
	Refused         Kind = "refused"         // the policy refuses the request
	Budget          Kind = "budget"          // the remaining budget is too small
	Overloaded      Kind = "overloaded"      // no target has capacity in time
	Deadline        Kind = "deadline"        // the deadline passed, the request may have run in part
	Unavailable     Kind = "unavailable"     // nothing could accept the request
	Draining        Kind = "draining"        // this host is shutting down
	Unknown         Kind = "unknown"         // the request may or may not have run
	Done            Kind = "done"            // the request ran and was billed, its response is no longer stored
	TargetFailed    Kind = "target_failed"   // the request ran and the target failed
	Conflict        Kind = "conflict"        // another operator published first
	NotFound        Kind = "not_found"       // no such thing
	Internal        Kind = "internal"        // a fault of the host, the request may have run
)

// Ran says whether the request ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer describes the response for a kind.
type Answer struct {
	Code  connect.Code
	HTTP  int // the status that connect uses for Code
	Ran   Ran
	After time.Duration // when to retry unless the error sets it, 0: never
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

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Lookup returns the response for a kind; an unlisted kind counts as Internal.
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
	After time.Duration // when to retry, 0: as in the table
	err   error
}

// New returns an error of a kind, with a format as in fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, err: fmt.Errorf(format, args...)}
}

// Retry sets when to retry and returns e.
func (e *Error) Retry(after time.Duration) *Error {
	e.After = after
	return e
}

func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// RetryAfter returns when to retry, 0: never.
func (e *Error) RetryAfter() time.Duration {
	if e.After > 0 {
		return e.After
	}
	return Lookup(e.Kind).After
}

// From returns the *Error in err; any other error counts as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%w", err)
}
