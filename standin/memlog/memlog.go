// Package memlog simulates the shared log: it keeps keyed partitions in memory and
// injects the faults of a real one. It implements eventlog.Log.
package memlog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"maststage.dev/router/eventlog"
)

// ErrNoResponse means that a call may have taken effect.
var ErrNoResponse = errors.New("memlog: no response")

// Fault is what happens to the calls of a host. The zero value is no fault.
type Fault struct {
	Refuse bool          // calls are refused
	Silent bool          // no response until the caller's context is done; calls have no effect
	Lose   bool          // appends take effect, but their response is lost
	Late   time.Duration // the response is lost, and an append takes effect after this time if its condition still holds
}

// Log is the log itself. Host returns one host's access to it.
type Log struct {
	mu         sync.Mutex
	partitions map[eventlog.Partition]*partition
	faults     map[string]Fault // by host; "" for all hosts
	parts      map[eventlog.Partition]Fault
	appends    int
	reads      int
}

type partition struct {
	records []eventlog.Record // from first on
	first   int64
	newest  map[string]eventlog.Record
	grown   chan struct{} // closed and replaced at each append
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// New returns an empty log.
func New() *Log {
	return &Log{partitions: map[eventlog.Partition]*partition{}, faults: map[string]Fault{}, parts: map[eventlog.Partition]Fault{}}
}

// Host returns a host's access to the log, which may have faults of its own.
func (l *Log) Host(name string) eventlog.Log { return &view{log: l, host: name} }

// SetFault sets the fault of the calls of a host, or of all hosts if host is empty.
func (l *Log) SetFault(host string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[host] = f
}

// SetPartitionFault sets the fault of all hosts' calls to one partition. It takes precedence over the faults of hosts.
func (l *Log) SetPartitionFault(p eventlog.Partition, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts[p] = f
}

// Calls is the number of appends and reads so far, refused ones included.
func (l *Log) Calls() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Put appends one record regardless of faults and returns its offset.
func (l *Log) Put(p eventlog.Partition, key string, value []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(p, []eventlog.Record{{Key: key, Value: value}}) - 1
}

// Trim drops the records of a partition, as compaction does. The newest of each key stays readable by Newest.
func (l *Log) Trim(p eventlog.Partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.partition(p)
	part.first, part.records = part.end(), nil
}

// TrimAll trims all partitions.
func (l *Log) TrimAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range l.partitions {
		part.first, part.records = part.end(), nil
	}
}

// Get returns the newest record of a key and whether there is one.
func (l *Log) Get(p eventlog.Partition, key string) (eventlog.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.partition(p).newest[key]
	return rec, ok
}

// Snapshot is a copy of the whole log.
type Snapshot struct {
	partitions map[eventlog.Partition]partition
}

// Snapshot copies the log.
func (l *Log) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Snapshot{partitions: map[eventlog.Partition]partition{}}
	for p, part := range l.partitions {
		s.partitions[p] = partition{records: slices.Clone(part.records), first: part.first, newest: maps.Clone(part.newest)}
	}
	return s
}

// Restore replaces the log's content with that of a snapshot, as a store does that comes back from a copy. Later
// records are lost, and their offsets are given out again.
func (l *Log) Restore(s Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, part := range l.partitions {
		copied := s.partitions[p]
		part.records, part.first = slices.Clone(copied.records), copied.first
		part.newest = maps.Clone(copied.newest)
		if part.newest == nil {
			part.newest = map[string]eventlog.Record{}
		}
		close(part.grown) // reads that wait see the new end
		part.grown = make(chan struct{})
	}
}

func (l *Log) partition(p eventlog.Partition) *partition {
	part := l.partitions[p]
	if part == nil {
		part = &partition{newest: map[string]eventlog.Record{}, grown: make(chan struct{})}
		l.partitions[p] = part
	}
	return part
}

func (l *Log) append(p eventlog.Partition, records []eventlog.Record) (end int64) {
	part := l.partition(p)
	for _, rec := range records {
		rec.Offset = part.end()
		part.records = append(part.records, rec)
		if len(rec.Value) == 0 {
			delete(part.newest, rec.Key)
		} else {
			part.newest[rec.Key] = rec
		}
	}
	close(part.grown)
	part.grown = make(chan struct{})
	return part.end()
}

func (l *Log) fault(host string, p eventlog.Partition) Fault {
	if f := l.parts[p]; f != (Fault{}) {
		return f
	}
	if f := l.faults[host]; f != (Fault{}) {
		return f
	}
	return l.faults[""]
}

// view is one host's access to the log.
type view struct {
	log  *Log
	host string
}

// AppendAt implements eventlog.Log.
func (v *view) AppendAt(ctx context.Context, p eventlog.Partition, at int64, records []eventlog.Record) (int64, error) {
	return v.do(ctx, p, &at, records)
}

// Append implements eventlog.Log.
func (v *view) Append(ctx context.Context, p eventlog.Partition, records []eventlog.Record) (int64, error) {
	return v.do(ctx, p, nil, records)
}

func (v *view) do(ctx context.Context, p eventlog.Partition, at *int64, records []eventlog.Record) (int64, error) {
	l := v.log
	l.mu.Lock()
	l.appends++
	fault := l.fault(v.host, p)
	l.mu.Unlock()
	switch {
	case fault.Refuse:
		return 0, eventlog.ErrRefused
	case fault.Silent:
		<-ctx.Done()
		return 0, ctx.Err()
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { _, _ = v.apply(p, at, records) })
		return 0, ErrNoResponse
	}
	end, err := v.apply(p, at, records)
	if fault.Lose {
		return 0, ErrNoResponse
	}
	return end, err
}

func (v *view) apply(p eventlog.Partition, at *int64, records []eventlog.Record) (int64, error) {
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	if end := v.log.partition(p).end(); at != nil && *at != end {
		return 0, &eventlog.ConflictError{End: end}
	}
	return v.log.append(p, records), nil
}

// Read implements eventlog.Log.
func (v *view) Read(ctx context.Context, p eventlog.Partition, from int64, wait time.Duration) (eventlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown, err := v.read(ctx, p, from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return eventlog.Batch{}, ctx.Err()
		}
	}
}

func (v *view) read(ctx context.Context, p eventlog.Partition, from int64) (eventlog.Batch, <-chan struct{}, error) {
	if err := v.beginRead(ctx, p); err != nil {
		return eventlog.Batch{}, nil, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	part := v.log.partition(p)
	if from < part.first || from > part.end() {
		return eventlog.Batch{}, nil, eventlog.ErrTrimmed
	}
	batch := eventlog.Batch{End: part.end()}
	if from < part.end() {
		batch.Records = slices.Clone(part.records[from-part.first:])
	}
	return batch, part.grown, nil
}

// beginRead counts a read and applies the host's faults to it.
func (v *view) beginRead(ctx context.Context, p eventlog.Partition) error {
	v.log.mu.Lock()
	v.log.reads++
	fault := v.log.fault(v.host, p)
	v.log.mu.Unlock()
	if fault.Refuse {
		return eventlog.ErrRefused
	}
	if fault.Silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// pageKeys is the maximum number of records in a page of Newest.
const pageKeys = 500

// Newest implements eventlog.Log.
func (v *view) Newest(ctx context.Context, p eventlog.Partition, after string) (eventlog.Page, error) {
	if err := v.beginRead(ctx, p); err != nil {
		return eventlog.Page{}, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	part := v.log.partition(p)
	page := eventlog.Page{End: part.end()}
	for key, rec := range part.newest {
		if key > after {
			page.Records = append(page.Records, rec)
		}
	}
	slices.SortFunc(page.Records, func(a, b eventlog.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > pageKeys {
		page.Records, page.More = page.Records[:pageKeys], true
	}
	return page, nil
}
