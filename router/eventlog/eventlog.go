// Package eventlog is the narrow interface to the append-only log that all hosts share. A log has
// topics, a topic has partitions, and a partition numbers its records from offset 0 without
// gaps. A keyed topic keeps the newest record of each key indefinitely; other records are trimmed after
// a while.
package eventlog

import (
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

// Record is one record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // set in records that were read
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	End     int64 // offset of the next record of the partition
}

// Page is one page of the newest records of a keyed partition.
type Page struct {
	Records []Record
	More    bool  // another page follows after the last key
	End     int64 // offset of the next record of the partition
}

// Errors of a Log. After any other error the call may or may not have taken effect.
var (
	// ErrRefused means that the call did not and will not take effect.
	ErrRefused = errors.New("the log refused the call")
	// ErrTrimmed means that the requested records were trimmed.
	ErrTrimmed = errors.New("the log has trimmed the requested records")
)

// ConflictError is returned by a conditional append if the partition ends at another offset, End.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at %d", e.End)
}

// Log is the part of the shared log that the router uses. A call ends with its context; one made by
// package patience is extended while a long response makes progress. Implementations are safe for
// concurrent use.
type Log interface {
	// AppendAt appends all records or none to a keyed partition, if it ends at offset at. It returns
	// the new end, or a *ConflictError.
	AppendAt(ctx context.Context, p Partition, at int64, records []Record) (end int64, err error)
	// Append appends records to a keyed partition unconditionally and returns the new end.
	Append(ctx context.Context, p Partition, records []Record) (end int64, err error)
	// Read reads records from an offset on, waiting up to wait for the first one. It returns ErrTrimmed
	// if they were trimmed. With any other error the batch holds the records received in full before it.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest reads the newest record of each key that sorts after the key after, one page at a time.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}
