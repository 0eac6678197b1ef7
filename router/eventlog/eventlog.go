// Package eventlog is the narrow interface to the append-only log that all
// hosts share. A log has topics, a topic has partitions, and a partition counts
// its records from offset 0 without gaps. A keyed topic keeps the newest record
// of each key for good; other records are dropped after a while.
package eventlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition names one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is one record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // set when read
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	End     int64 // offset of the next record of the partition
}

// Page is a part of the newest records of a keyed partition.
type Page struct {
	Records []Record
	More    bool  // another page follows the last key
	End     int64 // offset of the next record of the partition
}

// Errors of a log. Any other error leaves open whether a call took effect.
var (
	// ErrRefused means that the call took no effect and never will.
	ErrRefused = errors.New("the log refused the call")
	// ErrTrimmed means that the records asked for are gone.
	ErrTrimmed = errors.New("the log no longer has these records")
)

// ConflictError is the answer to a conditional append when the partition ends elsewhere.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at %d", e.End)
}

// Log is what the product needs of the shared log. Calls are bounded by their
// context, whose patience a long answer keeps up; implementations are safe for concurrent use.
type Log interface {
	// AppendAt appends records to a keyed partition if it ends at offset at,
	// all or none. It returns the new end, or a *ConflictError.
	AppendAt(ctx context.Context, p Partition, at int64, records []Record) (end int64, err error)
	// Append appends records to a keyed partition without a condition.
	Append(ctx context.Context, p Partition, records []Record) (end int64, err error)
	// Read reads records from an offset on, waiting up to wait for the first.
	// It returns ErrTrimmed if they are gone. With another error the batch holds the
	// records that came whole before it.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest reads the newest record of each key behind the key after.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}
