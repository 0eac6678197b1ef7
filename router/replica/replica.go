// Package replica keeps a local replica of a keyed partition of the shared log. It follows the log
// by long polls and, while the log is unreachable, merges records from the replicas of other
// hosts: offsets order all records, so merging needs no agreement.
package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"maststage.dev/lib/patience"
	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// maxTombstones bounds the deleted keys that are remembered for other hosts.
const maxTombstones = 4096

// Change is one record that the replica applied.
type Change struct {
	Record eventlog.Record
	// Gap is set if earlier records of the same key may have been skipped.
	Gap bool
}

// Options configure a Replica.
type Options struct {
	Log       eventlog.Log
	Partition eventlog.Partition
	// LongPoll is how long the log may hold a read that finds no records.
	LongPoll time.Duration
	// ReadTimeout is how long the log may be silent, beyond LongPoll.
	ReadTimeout time.Duration
	// LongPollNow returns a shorter time if one applies now. nil: LongPoll.
	LongPollNow func() time.Duration
	// MinInterval is the minimum time between the starts of two reads.
	MinInterval time.Duration
	// Interval returns the minimum time that applies now. nil: MinInterval.
	Interval func() time.Duration
	// Follow asks another host, which reads the log for this one, for the changes since a position, the zero Position
	// before the first load. If following is false, this host reads the log itself; with an error it does not, and
	// asks again after a pause. nil: this host always reads the log itself.
	Follow func(ctx context.Context, from eventlog.Position) (update Update, following bool, err error)
	// Relay asks another host for the changes since an offset. If ok is false, the log is read
	// instead. nil: the log is always read.
	Relay func(ctx context.Context, from eventlog.Position) (update Update, ok bool)
	// Hosts counts the hosts that follow the same partition. The backoff after failed calls
	// grows with it, so that retries do not keep the log overloaded. nil: few hosts.
	Hosts func() int
	// DedupKey returns the comparable part of a record that matters. A record with the same
	// DedupKey as its predecessor is not reported as a change. nil: each record is.
	DedupKey func(rec eventlog.Record) any
	// KeepLost is how long records of keys that a restored log lacks are kept for their writers to write them again. Then
	// the keys count as deleted, as they do at once if it is 0.
	KeepLost time.Duration
	// OnRestored is called after the log was restored from a copy, with its new era. The replica's lock is held: it
	// must not call back or block.
	OnRestored func(era int64)
	// OnChange is called with the changes of one read, in order of their offsets. The replica's
	// lock is held: it must not call back or block.
	OnChange func([]Change)
	// OnConnectivity is called when the log becomes unreachable (err set) or reachable (nil).
	OnConnectivity func(err error)
}

// Replica is a replica of one partition. Records of deleted keys stay as tombstones.
type Replica struct {
	opts Options

	mu               sync.Mutex
	records          map[string]entry
	end              eventlog.Position // all records below are known
	tombstoneHorizon eventlog.Position // tombstones below it may be missing
	history          *history
	sweptAt          time.Time         // when history was last swept
	changesEnd       eventlog.Position // all changes are below it
	changed          chan struct{}     // closed and replaced at each merge
	unconfirmed      int               // entries with keptUntil
	loaded           bool
	behind           bool               // the log's last response left records out
	lastContact      time.Time          // time of the log's response that the records are based on
	lastRefresh      time.Time          // start of the newest successful step
	cancelStep       context.CancelFunc // cancels the step in progress, or the pause after it
	up               bool               // the last step succeeded
	called           bool               // at least one step ended
	partial          partialLoad
}

// partialLoad is a load that failed between two pages. The next one resumes it: if each started
// over, a large partition would never load completely from a busy log.
type partialLoad struct {
	began    time.Time
	records  []eventlog.Record
	end      eventlog.Position
	afterKey string // the last key read
}

// partialLoadTTL is how long a partial load may be resumed: the log keeps some seconds of its
// history, from which the replica has to continue.
const partialLoadTTL = 8 * time.Second

// entry is the newest record of a key.
type entry struct {
	eventlog.Record
	dedupKey  any
	changedAt eventlog.Position // of the first record with this dedupKey
	aloneFrom eventlog.Position // no other change of the key is at this position or after it
	lost      bool              // it was kept when the log was restored, which lacks it
	keptUntil time.Time         // if the log has no record of its key: when the key counts as deleted
}

// New returns an empty replica; Run loads and follows the partition.
func New(opts Options) *Replica {
	return &Replica{opts: opts, records: map[string]entry{}, history: newHistory(), changed: make(chan struct{})}
}

// Run follows the log until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	ctx = patience.WithLife(ctx)
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		age, cancelled, err := r.cancellableStep(ctx)
		if ctx.Err() != nil {
			return
		}
		if cancelled {
			continue
		}
		r.recordContact(age, err)
		r.recordRefresh(started.Add(-age), err)
		pause := r.interval() - time.Since(started)
		if err != nil {
			limit := r.backoffLimit(err)
			pause = wait.Jitter(min(backoff, limit))
			backoff = min(backoff*2, limit)
		} else {
			backoff = minBackoff
		}
		r.rest(ctx, pause)
	}
}

// interval is the minimum time between the starts of two reads now.
func (r *Replica) interval() time.Duration {
	if r.opts.Interval == nil {
		return r.opts.MinInterval
	}
	return r.opts.Interval()
}

// rest pauses for up to pause; Refresh may end it.
func (r *Replica) rest(ctx context.Context, pause time.Duration) {
	ctx, cancel := r.withRefreshCancel(ctx)
	defer cancel()
	wait.For(ctx, pause)
}

// withRefreshCancel returns a context that Refresh cancels.
func (r *Replica) withRefreshCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelStep = cancel
	return ctx, cancel
}

// cancellableStep runs a step that Refresh may cancel.
func (r *Replica) cancellableStep(ctx context.Context) (age time.Duration, cancelled bool, err error) {
	ctx, cancel := r.withRefreshCancel(ctx)
	defer cancel()
	age, err = r.step(ctx)
	return age, err != nil && ctx.Err() != nil, err
}

// Refresh cancels the read in progress, or the pause after it, so that a new read starts soon.
func (r *Replica) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelStep != nil {
		r.cancelStep()
	}
}

// RefreshedSince reports whether a read that started after t has succeeded.
func (r *Replica) RefreshedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRefresh.After(t)
}

// Pauses after a failed step.
const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	backoffPerHost = 2 * time.Millisecond // in a large fleet: 500 calls a second from all hosts
)

// errOutdated means that the log has not responded to another host for a while.
var errOutdated = errors.New("another host's records are outdated")

// ErrNoReader means that no host responded that reads the log for this one. The log was not called.
var ErrNoReader = errors.New("no host that reads the log responded")

// backoffLimit is the maximum pause after a step that failed with err.
func (r *Replica) backoffLimit(err error) time.Duration {
	if r.opts.Hosts == nil || errors.Is(err, ErrNoReader) {
		return maxBackoff
	}
	return max(maxBackoff, time.Duration(r.opts.Hosts())*backoffPerHost)
}

// step asks the host that reads the log for this one, if there is one. Otherwise it loads the newest records from
// the log if the replica is empty or far behind, or else asks a relay or, if that does not respond, long-polls the
// log, and loads if the log has trimmed the replica's offset. age is how old the response is.
func (r *Replica) step(ctx context.Context) (age time.Duration, err error) {
	r.mu.Lock()
	loaded, behind, from := r.loaded, r.behind, r.end
	r.mu.Unlock()
	if r.opts.Follow != nil {
		update, following, err := r.opts.Follow(ctx, from)
		switch {
		case err != nil:
			return 0, err
		case following:
			r.MergeUpdate(update)
			r.dropUnconfirmed(time.Now())
			return update.Age, nil
		}
	}
	if !loaded || behind {
		return r.load(ctx)
	}
	if r.opts.Relay != nil {
		if update, ok := r.opts.Relay(ctx, from); ok {
			r.MergeUpdate(update)
			return update.Age, nil
		}
	}
	return r.poll(ctx, from)
}

// poll waits for new records from the log. A response that comes too late for this read is merged as it comes.
func (r *Replica) poll(ctx context.Context, from eventlog.Position) (age time.Duration, err error) {
	began := time.Now()
	limits := patience.Limits{First: r.opts.LongPoll + r.opts.ReadTimeout, Silence: r.opts.ReadTimeout, Most: maxReadTime}
	read, err := patience.Await(ctx, limits, lateGrace,
		func(ctx context.Context) (readResult, error) { return r.read(ctx, from) },
		func(late readResult) { r.mergeLate(late, from, began) })
	if err != nil {
		return 0, err
	}
	var restored *eventlog.EraError
	if errors.Is(read.err, eventlog.ErrTrimmed) || errors.As(read.err, &restored) {
		return r.load(ctx)
	}
	return 0, r.mergeRead(read, from)
}

// lateGrace is how much longer than a read waits for it a response of the log is taken. Where callers fill this host's
// link, each round trip may take over a second, and a read that was given up would begin with a new connection.
const lateGrace = 4 * time.Second

// readResult is what a read of the log returned. The records before an error count.
type readResult struct {
	batch eventlog.Batch
	err   error
}

// read makes one read of the log. The error of the log is part of the result.
func (r *Replica) read(ctx context.Context, from eventlog.Position) (readResult, error) {
	batch, err := r.opts.Log.Read(ctx, r.opts.Partition, from, r.longPoll())
	return readResult{batch: batch, err: err}, nil
}

// mergeRead merges what was read from a position on.
func (r *Replica) mergeRead(read readResult, from eventlog.Position) error {
	end := from.Plus(len(read.batch.Records))
	// Records received before an error count: the next read continues after them.
	if read.err == nil || len(read.batch.Records) > 0 {
		r.Merge(read.batch.Records, end, from)
	}
	if read.err == nil {
		r.dropUnconfirmed(time.Now())
	}
	r.setBehind(read.err == nil && end.Before(read.batch.End))
	return read.err
}

// mergeLate merges what a read that began at a given time returned after another one had begun.
func (r *Replica) mergeLate(read readResult, from eventlog.Position, began time.Time) {
	end := from.Plus(len(read.batch.Records))
	if read.err != nil && len(read.batch.Records) == 0 || end.Before(r.End()) {
		return
	}
	if r.mergeRead(read, from) == nil && !end.Before(read.batch.End) {
		r.Confirm(end, time.Since(began))
	}
}

// longPoll is how long the log may hold a read now.
func (r *Replica) longPoll() time.Duration {
	if r.opts.LongPollNow == nil {
		return r.opts.LongPoll
	}
	return min(r.opts.LongPollNow(), r.opts.LongPoll)
}

// setBehind records whether a response was too short for all records. The rest is then loaded by
// key, which reads only the newest of several versions of a configuration: over a slow link new
// versions may arrive faster than all old ones can be read.
func (r *Replica) setBehind(behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behind = behind
}

// maxReadTime bounds a read that keeps making progress: a megabyte, the largest response of the
// log, at a twentieth of a link of 10 Mbit/s.
const maxReadTime = 16 * time.Second

// load reads the newest record of each key. Its pages are not one snapshot, so the replica then
// follows the log from the end that the first page reported. age is how old that is.
func (r *Replica) load(ctx context.Context) (age time.Duration, err error) {
	p := &r.partial
	if p.afterKey == "" || time.Since(p.began) > partialLoadTTL {
		*p = partialLoad{began: time.Now()}
	}
	for {
		page, err := r.loadPage(ctx, p.afterKey)
		if err != nil {
			return 0, err
		}
		if p.afterKey == "" {
			p.end = page.End
		}
		if page.End.Era != p.end.Era {
			*p = partialLoad{}
			return 0, errRestoredMeanwhile
		}
		p.records = append(p.records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		p.afterKey = page.Records[len(page.Records)-1].Key
	}
	r.replaceAll(p.records, p.end)
	age = time.Since(p.began)
	*p = partialLoad{}
	return age, nil
}

// loadPage reads a page of newest records. One that comes too late for this call is applied if it is the whole topic.
func (r *Replica) loadPage(ctx context.Context, afterKey string) (eventlog.Page, error) {
	began := time.Now()
	return patience.Await(ctx, patience.Limits{First: 2 * r.opts.ReadTimeout, Silence: r.opts.ReadTimeout, Most: maxReadTime}, lateGrace,
		func(ctx context.Context) (eventlog.Page, error) {
			return r.opts.Log.Newest(ctx, r.opts.Partition, afterKey)
		},
		func(late eventlog.Page) {
			if afterKey == "" && !late.More {
				r.replaceAll(late.Records, late.End)
				r.Confirm(late.End, time.Since(began))
			}
		})
}

// errRestoredMeanwhile means that the pages of a load are from before and after the log was restored.
var errRestoredMeanwhile = errors.New("replica: the log was restored during the load")

// recordRefresh records when a successful step started.
func (r *Replica) recordRefresh(at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.lastRefresh = at
	}
}

func (r *Replica) recordContact(age time.Duration, err error) {
	r.mu.Lock()
	// A response that left records out does not make the replica fresh.
	if at := time.Now().Add(-age); err == nil && !r.behind && at.After(r.lastContact) {
		r.lastContact = at
	}
	if err == nil && age > r.FreshFor()+relayMargin {
		err = errOutdated
	}
	changed := r.up != (err == nil) || !r.called
	r.up, r.called = err == nil, true
	r.mu.Unlock()
	if changed && r.opts.OnConnectivity != nil {
		r.opts.OnConnectivity(err)
	}
}

// End returns the position below which all records are known; the zero Position before the first load.
func (r *Replica) End() eventlog.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return eventlog.Position{}
	}
	return r.end
}

// Loaded reports whether the replica has been loaded once.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Up reports whether the last step succeeded, and the time of the last success.
func (r *Replica) Up() (up bool, contact time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up, r.lastContact
}

// Age is how long ago the log last confirmed that this replica knows all records, directly or to another host. It is
// very long before the first time.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastContact)
}

// Stale reports whether the log has not responded for longer than a long poll should take.
func (r *Replica) Stale(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastContact) > r.FreshFor()
}

// FreshFor is how old the records of a replica that reads the log get as long as the log responds.
func (r *Replica) FreshFor() time.Duration {
	return r.opts.LongPoll + r.opts.MinInterval + staleMargin
}

// relayMargin is how much older than those of a replica that reads the log the records of one that follows it get.
const relayMargin = 500 * time.Millisecond

// staleMargin is how much longer than a long poll and the pause before it a response may take.
const staleMargin = 300 * time.Millisecond
