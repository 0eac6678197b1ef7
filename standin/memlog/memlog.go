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
	groups     map[string]*group
	limits     Limits
	load       load
	era        int64 // how often it was restored
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
	return &Log{partitions: map[eventlog.Partition]*partition{}, groups: map[string]*group{}, faults: map[string]Fault{}, parts: map[eventlog.Partition]Fault{}}
}

// Host returns a host's access to the log, which may have faults of its own.
func (l *Log) Host(name string) *View { return &View{log: l, host: name} }

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

// Calls is the number of appends and of other calls so far, refused ones included.
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
// records are lost, and their offsets are given out again in the next era.
func (l *Log) Restore(s Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for p, part := range l.partitions {
		copied := s.partitions[p]
		part.records, part.first = slices.Clone(copied.records), copied.first
		for i := range part.records {
			part.records[i].Position.Era = l.era
		}
		part.newest = map[string]eventlog.Record{}
		for key, rec := range copied.newest {
			rec.Position.Era = l.era
			part.newest[key] = rec
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

// position is an offset of the present era.
func (l *Log) position(offset int64) eventlog.Position {
	return eventlog.Position{Era: l.era, Offset: offset}
}

func (l *Log) append(p eventlog.Partition, records []eventlog.Record) (end int64) {
	part := l.partition(p)
	for _, rec := range records {
		rec.Position = l.position(part.end())
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

// View is one host's access to the log.
type View struct {
	log  *Log
	host string
}

// AppendAt implements eventlog.Log.
func (v *View) AppendAt(ctx context.Context, p eventlog.Partition, at eventlog.Position, records []eventlog.Record) (eventlog.Position, error) {
	return v.do(ctx, p, &at, records)
}

// Append implements eventlog.Log.
func (v *View) Append(ctx context.Context, p eventlog.Partition, records []eventlog.Record) (eventlog.Position, error) {
	return v.do(ctx, p, nil, records)
}

func (v *View) do(ctx context.Context, p eventlog.Partition, at *eventlog.Position, records []eventlog.Record) (eventlog.Position, error) {
	l := v.log
	l.mu.Lock()
	l.appends++
	fault := l.fault(v.host, p)
	l.mu.Unlock()
	switch {
	case fault.Refuse:
		return eventlog.Position{}, eventlog.ErrRefused
	case fault.Silent:
		<-ctx.Done()
		return eventlog.Position{}, ctx.Err()
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { _, _ = v.apply(p, at, records) })
		return eventlog.Position{}, ErrNoResponse
	}
	if err := l.admitAppend(ctx, p); err != nil {
		return eventlog.Position{}, err
	}
	end, err := v.apply(p, at, records)
	if fault.Lose {
		return eventlog.Position{}, ErrNoResponse
	}
	return end, err
}

// apply carries out an append. Its condition is an offset alone, as the log does not know in which era it was read.
func (v *View) apply(p eventlog.Partition, at *eventlog.Position, records []eventlog.Record) (eventlog.Position, error) {
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.partition(p).end()
	otherEra := at != nil && at.Era != l.era
	switch {
	case at != nil && at.Offset != end && otherEra:
		return eventlog.Position{}, &eventlog.EraError{Era: l.era}
	case at != nil && at.Offset != end:
		return eventlog.Position{}, &eventlog.ConflictError{End: l.position(end)}
	}
	end = l.append(p, records)
	if otherEra {
		return l.position(end), &eventlog.EraError{Era: l.era, Appended: true}
	}
	return l.position(end), nil
}

// Era returns the era that responses name.
func (v *View) Era() int64 {
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	return v.log.era
}

// Read implements eventlog.Log.
func (v *View) Read(ctx context.Context, p eventlog.Partition, from eventlog.Position, wait time.Duration) (eventlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := v.beginRead(ctx, p, readWorth); err != nil {
		return eventlog.Batch{}, err
	}
	for {
		batch, grown, err := v.read(ctx, p, from)
		if len(batch.Records) > 0 {
			err = v.log.transfer(ctx, batch.Records)
		}
		if err != nil {
			return eventlog.Batch{}, err
		}
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
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

func (v *View) read(ctx context.Context, p eventlog.Partition, from eventlog.Position) (eventlog.Batch, <-chan struct{}, error) {
	if err := v.applyFault(ctx, p); err != nil {
		return eventlog.Batch{}, nil, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	part := v.log.partition(p)
	if from.Era != v.log.era {
		return eventlog.Batch{}, nil, &eventlog.EraError{Era: v.log.era}
	}
	if from.Offset < part.first || from.Offset > part.end() {
		return eventlog.Batch{}, nil, &eventlog.TrimmedError{First: v.log.position(part.first)}
	}
	batch := eventlog.Batch{End: v.log.position(part.end())}
	if from.Offset < part.end() {
		batch.Records = slices.Clone(part.records[from.Offset-part.first:])
	}
	return batch, part.grown, nil
}

// beginRead counts a call other than an append, and applies the host's faults and the limits to it.
func (v *View) beginRead(ctx context.Context, p eventlog.Partition, worth int) error {
	v.log.mu.Lock()
	v.log.reads++
	v.log.load.Reads++
	v.log.mu.Unlock()
	if err := v.applyFault(ctx, p); err != nil {
		return err
	}
	return v.log.admitRead(worth)
}

// applyFault applies the host's faults to a call other than an append.
func (v *View) applyFault(ctx context.Context, p eventlog.Partition) error {
	v.log.mu.Lock()
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
func (v *View) Newest(ctx context.Context, p eventlog.Partition, after string) (eventlog.Page, error) {
	if err := v.beginRead(ctx, p, readWorth); err != nil {
		return eventlog.Page{}, err
	}
	page := v.page(p, after)
	if err := v.log.transfer(ctx, page.Records); err != nil {
		return eventlog.Page{}, err
	}
	return page, nil
}

// page returns a page of the newest records.
func (v *View) page(p eventlog.Partition, after string) eventlog.Page {
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	part := v.log.partition(p)
	page := eventlog.Page{End: v.log.position(part.end())}
	for key, rec := range part.newest {
		if key > after {
			page.Records = append(page.Records, rec)
		}
	}
	slices.SortFunc(page.Records, func(a, b eventlog.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > pageKeys {
		page.Records, page.More = page.Records[:pageKeys], true
	}
	return page
}
