// Package eventlog is the narrow interface to the append-only log that all hosts share. A log has
// topics, a topic has partitions, and a partition numbers its records from offset 0 without
// gaps. A keyed topic keeps the newest record of each key indefinitely; other records are trimmed after
// a while.
//
// The log may be restored from a copy that lacks its newest records. It then begins a new era and gives the offsets
// of the lost records out again, so that an offset names a record only together with its era.
package eventlog

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition identifies one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Position is a place in a partition.
type Position struct {
	Era    int64 `json:"era,omitempty"` // how often the log was restored; 0 for logs that don't say
	Offset int64 `json:"offset"`
}

// Compare returns -1, 0 or 1 if p is before q, equal to it or after it. Each position of a later era is after all of an
// earlier one, though the record there may be older: a copy's records keep their offsets.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Plus returns the position n records after p.
func (p Position) Plus(n int) Position { return Position{Era: p.Era, Offset: p.Offset + int64(n)} }

// Max returns the later one of two positions.
func Max(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Offset) }

// Record is one record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key      string
	Value    []byte
	Position Position // set in records that were read
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	End     Position // of the next record of the partition
}

// Page is one page of the newest records of a keyed partition.
type Page struct {
	Records []Record
	More    bool     // another page follows after the last key
	End     Position // of the next record of the partition
}

// Errors of a Log. After any other error the call may or may not have taken effect.
var (
	// ErrRefused means that the call did not and will not take effect.
	ErrRefused = errors.New("the log refused the call")
	// ErrTrimmed means that the requested records were trimmed.
	ErrTrimmed = errors.New("the log has trimmed the requested records")
	// ErrStale means that the response is from before the log was restored. The call had no lasting effect that can
	// be relied on.
	ErrStale = errors.New("the response is from an earlier era of the log")
)

// TrimmedError is the ErrTrimmed of a Read that knows which records are left.
type TrimmedError struct {
	First Position // the oldest record that is kept, or the end of the partition
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("%v; the first one kept is at %v", ErrTrimmed, e.First)
}

// Is makes the error an ErrTrimmed.
func (e *TrimmedError) Is(target error) bool { return target == ErrTrimmed }

// ConflictError is returned by a conditional append if the partition ends at another position, End.
type ConflictError struct{ End Position }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at %v", e.End)
}

// EraError is returned by a call with a position of another era than the log's present one: the position no longer
// names the same place.
type EraError struct {
	Era int64 // the log's present one
	// Appended means that a conditional append took effect nevertheless, since the partition happened to end at the
	// offset.
	Appended bool
}

func (e *EraError) Error() string {
	return fmt.Sprintf("the log was restored and is in era %d", e.Era)
}

// Log is the part of the shared log that the router uses. A call ends with its context; one made by
// package patience is extended while a long response makes progress. Implementations are safe for
// concurrent use.
type Log interface {
	// AppendAt appends all records or none to a keyed partition, if it ends at position at. It returns
	// the new end, a *ConflictError or an *EraError.
	AppendAt(ctx context.Context, p Partition, at Position, records []Record) (end Position, err error)
	// Append appends records to a keyed partition unconditionally and returns the new end.
	Append(ctx context.Context, p Partition, records []Record) (end Position, err error)
	// Read reads records from a position on, waiting up to wait for the first one. It returns ErrTrimmed
	// if they were trimmed, as a *TrimmedError if it is known which ones are left, or an *EraError. With any other error the batch holds the records received in
	// full before it.
	Read(ctx context.Context, p Partition, from Position, wait time.Duration) (Batch, error)
	// Newest reads the newest record of each key that sorts after the key after, one page at a time.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}
