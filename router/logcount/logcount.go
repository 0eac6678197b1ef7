// Package logcount counts a host's calls to the shared log and the bytes read, by topic, kind of
// call and outcome. The sum over all hosts is the load that the fleet puts on the log.
package logcount

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// Outcomes of a call.
const (
	OK       = "ok"
	Conflict = "conflict" // the partition did not end at the expected offset
	Trimmed  = "trimmed"  // the records have been removed
	Refused  = "refused"  // the call had no effect
	Restored = "restored" // the log was restored since the position was read
	Unknown  = "unknown"  // no response: the call may have taken effect
)

// Key identifies a counter.
type Key struct {
	Topic   string
	Call    string // append, read, newest, join or owners
	Outcome string
}

// Count is the number of calls and the bytes of record keys and values that they returned.
type Count struct{ Calls, Bytes int64 }

// Log counts the calls to another Log. It implements eventlog.Log.
type Log struct {
	log    eventlog.Log
	onCall func(Key, int64)

	mu     sync.Mutex
	counts map[Key]Count
}

// New returns a Log that counts the calls to l. onCall, unless nil, is called after each.
func New(l eventlog.Log, onCall func(k Key, bytes int64)) *Log {
	return &Log{log: l, onCall: onCall, counts: map[Key]Count{}}
}

// AppendAt implements eventlog.Log.
func (l *Log) AppendAt(ctx context.Context, p eventlog.Partition, at eventlog.Position, records []eventlog.Record) (eventlog.Position, error) {
	end, err := l.log.AppendAt(ctx, p, at, records)
	l.countCall(p, "append", nil, err)
	return end, err
}

// Append implements eventlog.Log.
func (l *Log) Append(ctx context.Context, p eventlog.Partition, records []eventlog.Record) (eventlog.Position, error) {
	end, err := l.log.Append(ctx, p, records)
	l.countCall(p, "append", nil, err)
	return end, err
}

// Read implements eventlog.Log.
func (l *Log) Read(ctx context.Context, p eventlog.Partition, from eventlog.Position, wait time.Duration) (eventlog.Batch, error) {
	batch, err := l.log.Read(ctx, p, from, wait)
	l.countCall(p, "read", batch.Records, err)
	return batch, err
}

// Newest implements eventlog.Log.
func (l *Log) Newest(ctx context.Context, p eventlog.Partition, after string) (eventlog.Page, error) {
	page, err := l.log.Newest(ctx, p, after)
	l.countCall(p, "newest", page.Records, err)
	return page, err
}

func (l *Log) countCall(p eventlog.Partition, call string, records []eventlog.Record, err error) {
	k := Key{Topic: p.Topic, Call: call, Outcome: outcomeOf(err)}
	bytes := int64(0)
	for _, r := range records {
		bytes += int64(len(r.Key) + len(r.Value))
	}
	l.mu.Lock()
	c := l.counts[k]
	l.counts[k] = Count{Calls: c.Calls + 1, Bytes: c.Bytes + bytes}
	l.mu.Unlock()
	if l.onCall != nil {
		l.onCall(k, bytes)
	}
}

func outcomeOf(err error) string {
	var conflict *eventlog.ConflictError
	var restored *eventlog.EraError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &restored):
		return Restored
	case errors.As(err, &conflict):
		return Conflict
	case errors.Is(err, eventlog.ErrTrimmed):
		return Trimmed
	case errors.Is(err, eventlog.ErrRefused):
		return Refused
	}
	return Unknown
}

// Counts returns a copy of the counts since the start.
func (l *Log) Counts() map[Key]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts)
}

// LogCounts logs the counts since the start, one line for each key, in a fixed order.
func (l *Log) LogCounts() {
	counts := l.Counts()
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Call, b.Call), cmp.Compare(a.Outcome, b.Outcome))
	})
	for _, k := range keys {
		log.WithFields(log.Fields{
			"topic": k.Topic, "call": k.Call, "outcome": k.Outcome, "calls": counts[k].Calls, "bytes": counts[k].Bytes,
		}).Info("calls to the shared log")
	}
}
