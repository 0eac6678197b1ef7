package streamversion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/logging"
)

// Parameters of a Journal.
const (
	// journalInterval is the least time between two appends of a host, and between two reads.
	journalInterval = 50 * time.Millisecond
	// journalIntervalPerHost bounds the appends, and the reads, of all hosts together to 400 a second.
	journalIntervalPerHost = 2500 * time.Microsecond
	journalPartitions      = 4
	// maxJournalBatch bounds the streams of one append, of some 130 bytes each.
	maxJournalBatch = 1000
	// streamsPerRecord bounds the streams of one record.
	streamsPerRecord = 50
	// maxReadSteps bounds the calls of one read of a partition.
	maxReadSteps = 16
)

// JournalOptions configure a Journal.
type JournalOptions struct {
	Log        eventlog.Log
	Topic      string
	Partitions int // of the topic
	Host       string
	Hosts      func() int
	Timeout    time.Duration // of a call to the log
	Count      func(name string)
	Go         func(duty string, f func())
}

// Journal keeps the origins of streams in the log, for as long as the log keeps records: where streams began is known even
// if all hosts end at once. Hosts append in batches and read only when they look for a stream that no host knows. It is
// safe for concurrent use.
type Journal struct {
	opts       JournalOptions
	partition  eventlog.Partition // that this host appends to
	wake       chan struct{}      // full: streams may have to be appended
	failureLog *logging.Limiter

	mu      sync.Mutex
	pending []Announcement
	found   *table              // the streams that were read
	ends    []eventlog.Position // by partition, up to where it was read
	reading *journalRead        // nil: none in progress
	next    *journalRead        // starts after the one in progress; nil: none is wanted
}

// journalRead is a read of all partitions.
type journalRead struct {
	done chan struct{} // closed at its end
	err  error         // set before done is closed
}

// NewJournal returns a Journal; Run appends to it.
func NewJournal(opts JournalOptions) *Journal {
	opts.Partitions = max(min(opts.Partitions, journalPartitions), 1)
	h := fnv.New32a()
	_, _ = h.Write([]byte(opts.Host))
	return &Journal{
		opts: opts, partition: eventlog.Partition{Topic: opts.Topic, Number: int(h.Sum32() % uint32(opts.Partitions))},
		wake: make(chan struct{}, 1), failureLog: logging.NewLimiter(failureLinesPerSecond),
		found: newTable(), ends: make([]eventlog.Position, opts.Partitions),
	}
}

// interval is the least time between two appends, or two reads, of this host.
func (j *Journal) interval() time.Duration {
	return max(journalInterval, time.Duration(j.opts.Hosts())*journalIntervalPerHost)
}

// Add has streams appended. If the log is away for long, the oldest are dropped.
func (j *Journal) Add(streams []Announcement) {
	if len(streams) == 0 {
		return
	}
	j.mu.Lock()
	j.pending = append(j.pending, streams...)
	j.pending = j.pending[max(len(j.pending)-maxStreams, 0):]
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Run appends streams until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		for j.appendBatch(ctx) && ctx.Err() == nil {
			wait.For(ctx, j.interval())
		}
	}
}

// appendBatch appends pending streams and reports whether there were any. Those of a failed append stay pending.
func (j *Journal) appendBatch(ctx context.Context) bool {
	j.mu.Lock()
	n := min(len(j.pending), maxJournalBatch)
	batch := j.pending[:n:n]
	j.pending = j.pending[n:]
	j.mu.Unlock()
	if n == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, j.opts.Timeout)
	defer cancel()
	_, err := j.opts.Log.Append(call, j.partition, j.encode(batch))
	if err != nil {
		j.mu.Lock()
		j.pending = append(batch, j.pending...)
		j.mu.Unlock()
		j.opts.Count(`stream_journal_appends_total{outcome="failed"}`)
		if ok, skipped := j.failureLog.Allow(time.Now()); ok {
			log.WithFields(log.Fields{"streams": len(batch), "skipped": skipped}).WithError(err).Info("streams not recorded in the log, retrying")
		}
		return true
	}
	j.opts.Count(`stream_journal_appends_total{outcome="ok"}`)
	return true
}

// encode returns the records of streams.
func (j *Journal) encode(streams []Announcement) (records []eventlog.Record) {
	for len(streams) > 0 {
		n := min(len(streams), streamsPerRecord)
		value, err := json.Marshal(streams[:n])
		if err != nil {
			panic(fmt.Sprintf("streamversion: %v", err)) // structs of texts and numbers can be encoded
		}
		records = append(records, eventlog.Record{Key: j.opts.Host, Value: value})
		streams = streams[n:]
	}
	return records
}

// find returns what the log has of a stream, nil if it has nothing. It reads the log unless the stream was read before.
func (j *Journal) find(ctx context.Context, k Key) (*Answer, error) {
	if a := j.lookUp(k); a != nil {
		return a, nil
	}
	if err := j.refresh(ctx); err != nil {
		return nil, err
	}
	return j.lookUp(k), nil
}

// lookUp returns what was read of a stream, nil if nothing was.
func (j *Journal) lookUp(k Key) *Answer {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.found.get(k, now)
	if s == nil {
		return nil
	}
	origin := s.origin
	return &Answer{Origin: &origin, Ambiguous: s.ambiguous, KeepMs: s.expires.Sub(now).Milliseconds()}
}

// refresh waits for a read that starts after the call. Callers that wait share it.
func (j *Journal) refresh(ctx context.Context) error {
	j.mu.Lock()
	if j.next == nil {
		j.next = &journalRead{done: make(chan struct{})}
		if j.reading == nil {
			j.reading, j.next = j.next, nil
			r := j.reading
			j.opts.Go("stream journal", func() { j.readWanted(r) })
			j.mu.Unlock()
			return r.wait(ctx)
		}
	}
	r := j.next
	j.mu.Unlock()
	return r.wait(ctx)
}

func (r *journalRead) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readWanted carries out reads until none is wanted.
func (j *Journal) readWanted(r *journalRead) {
	for r != nil {
		r.err = j.readAll()
		close(r.done)
		time.Sleep(j.interval())
		j.mu.Lock()
		r, j.next = j.next, nil
		j.reading = r
		j.mu.Unlock()
	}
}

// readAll reads all partitions from where they were read before.
func (j *Journal) readAll() error {
	errs := make([]error, j.opts.Partitions)
	var all sync.WaitGroup
	for number := range errs {
		all.Go(func() { errs[number] = j.readPartition(number) })
	}
	all.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.found.sweep(time.Now())
	return errors.Join(errs...)
}

func (j *Journal) readPartition(number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), j.opts.Timeout)
	defer cancel()
	at := j.ends[number] // no other read is in progress
	defer func() { j.ends[number] = at }()
	for range maxReadSteps {
		batch, err := j.opts.Log.Read(ctx, eventlog.Partition{Topic: j.opts.Topic, Number: number}, at, 0)
		var trimmed *eventlog.TrimmedError
		var restored *eventlog.EraError
		switch {
		case errors.As(err, &trimmed):
			at = trimmed.First
			continue
		case errors.As(err, &restored):
			at = eventlog.Position{Era: restored.Era}
			continue
		case err != nil:
			return err
		}
		j.absorb(batch.Records)
		at = at.Plus(len(batch.Records))
		if !at.Before(batch.End) {
			return nil
		}
	}
	return fmt.Errorf("streamversion: %d reads did not reach the end of partition %d of the journal", maxReadSteps, number)
}

// absorb notes streams that were read. Their time to be remembered counts from now on, as the log doesn't tell when they
// were appended.
func (j *Journal) absorb(records []eventlog.Record) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, rec := range records {
		var streams []Announcement
		if err := json.Unmarshal(rec.Value, &streams); err != nil {
			if ok, skipped := j.failureLog.Allow(now); ok {
				log.WithFields(log.Fields{"host": rec.Key, "position": rec.Position, "skipped": skipped}).WithError(err).Warn("ignoring an invalid record of streams")
			}
			continue
		}
		for _, a := range streams {
			j.found.add(a.Key, a.Origin, time.Duration(a.KeepMs)*time.Millisecond, now)
		}
	}
}
