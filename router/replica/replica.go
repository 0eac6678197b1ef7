// Package replica keeps a local copy of a keyed partition of the shared log. It
// follows the log by long polls and, while the log can't be reached, takes
// records from the copies of other hosts: offsets order all records, so merging
// needs no agreement.
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

// Change is one record that the copy took over.
type Change struct {
	Record eventlog.Record
	// Gap is set if records of the same key may have been skipped before it.
	Gap bool
}

// Update is the newest records of keys that changed from some offset on.
type Update struct {
	Records []eventlog.Record
	End     int64         // all records below are known
	Age     time.Duration // since the log told of them
	// Full says that these are all records that there are: what is not among them was
	// deleted.
	Full bool
}

// Options configure a Replica.
type Options struct {
	Log       eventlog.Log
	Partition eventlog.Partition
	// LongPoll is how long a read waits at the log.
	LongPoll time.Duration
	// ReadTimeout is how long an answer may take beyond the wait.
	ReadTimeout time.Duration
	// MinInterval is the least time between two reads.
	MinInterval time.Duration
	// Relay asks another host for what changed from an offset on; ok is false if none
	// can tell. The log is read then. nil: never.
	Relay func(ctx context.Context, from int64) (part Update, ok bool)
	// Hosts counts the hosts that copy the same: the more there are, the longer the pauses after
	// calls that failed, so that all together don't keep the log from coming back. nil: few.
	Hosts func() int
	// DedupKey gives what counts of a value, comparable. A record of the same meaning as
	// the one before is no change. nil: each record is one.
	DedupKey func(rec eventlog.Record) any
	// OnChange is called for the changes of one read, in order of offsets, with
	// the replica's lock held; it must not call back or block.
	OnChange func([]Change)
	// OnConnectivity is called when the log is lost (err set) or regained (nil).
	OnConnectivity func(err error)
}

// Replica is the copy. Records of deleted keys stay as tombstones.
type Replica struct {
	opts Options

	mu      sync.Mutex
	records map[string]known
	end     int64 // all records below are known
	dropped int64 // deleted keys below it may be forgotten, or were never known
	loaded  bool
	behind  bool               // the log's last answer left records out
	contact time.Time          // of the log's answer that the copy rests on
	asked   time.Time          // when the newest question was asked that was answered
	restart context.CancelFunc // ends the question under way, or the pause after it
	up      bool
	called  bool // the log was called at least once
	partial partialLoad
}

// partialLoad is a reading of all records that broke off between two pages. It goes on where it
// was: begun anew each time, a large copy would never be whole at a busy log.
type partialLoad struct {
	began   time.Time
	records []eventlog.Record
	end     int64
	after   string // the last key that was read
}

// partialFor is how long a reading that broke off is gone on with: the log keeps some seconds of
// its history, from which the copy has to follow.
const partialFor = 8 * time.Second

// known is the newest record of a key.
type known struct {
	eventlog.Record
	meaning any
	changed int64 // offset of the record that gave it its meaning
}

// New makes an empty copy; Run fills and follows it.
func New(opts Options) *Replica {
	return &Replica{opts: opts, records: map[string]known{}}
}

// Run follows the log until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		age, err := r.askOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		r.noteContact(age, err)
		r.noteAsked(started.Add(-age), err)
		pause := r.opts.MinInterval - time.Since(started)
		if err != nil {
			pause = wait.Jitter(backoff)
			backoff = min(backoff*2, r.mostBackoff())
		} else {
			backoff = minBackoff
		}
		r.rest(ctx, pause)
	}
}

// rest is a pause that Refresh may end.
func (r *Replica) rest(ctx context.Context, pause time.Duration) {
	ctx, cancel := r.restartable(ctx)
	defer cancel()
	wait.For(ctx, pause)
}

// restartable gives a context that Refresh ends.
func (r *Replica) restartable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restart = cancel
	return ctx, cancel
}

// askOnce is a step that Refresh may end.
func (r *Replica) askOnce(ctx context.Context) (age time.Duration, err error) {
	ctx, cancel := r.restartable(ctx)
	defer cancel()
	return r.step(ctx)
}

// Refresh ends the question under way, or the pause after it, so that a new one is asked soon.
func (r *Replica) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restart != nil {
		r.restart()
	}
}

// RefreshedSince says whether a question that was asked after a moment has been answered.
func (r *Replica) RefreshedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked.After(t)
}

// Pauses after a call that failed.
const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	backoffForHost = 2 * time.Millisecond // where that is more: 500 calls a second of all hosts
)

// mostBackoff is the longest pause after a call that failed.
func (r *Replica) mostBackoff() time.Duration {
	if r.opts.Hosts == nil {
		return maxBackoff
	}
	return max(maxBackoff, time.Duration(r.opts.Hosts())*backoffForHost)
}

// step asks a relay, or makes one call chain to the log: the newest records if the
// copy is empty, too old or far behind, else a long poll. age is how old the answer is.
func (r *Replica) step(ctx context.Context) (age time.Duration, err error) {
	r.mu.Lock()
	loaded, behind, from := r.loaded, r.behind, r.end
	r.mu.Unlock()
	if !loaded || behind {
		return 0, r.load(ctx)
	}
	if r.opts.Relay != nil {
		if part, ok := r.opts.Relay(ctx, from); ok {
			r.MergeUpdate(part)
			return part.Age, nil
		}
	}
	return 0, r.poll(ctx, from)
}

// poll waits for records at the log.
func (r *Replica) poll(ctx context.Context, from int64) error {
	c, cancel := patience.New(ctx, patience.Limits{First: r.opts.LongPoll + r.opts.ReadTimeout, Silence: r.opts.ReadTimeout, Most: longestRead})
	defer cancel()
	batch, err := r.opts.Log.Read(c, r.opts.Partition, from, r.opts.LongPoll)
	if errors.Is(err, eventlog.ErrTrimmed) {
		return r.load(ctx)
	}
	end := from + int64(len(batch.Records))
	// Records that came before an error count: the next read goes on behind them.
	if err == nil || len(batch.Records) > 0 {
		r.Merge(batch.Records, end, from)
	}
	r.noteBehind(err == nil && end < batch.End)
	return err
}

// noteBehind notes whether an answer was too short for all records. What it left is then
// read by key: of several versions of a configuration that is one, where the history has
// them all, and over a thin link new ones may come faster than old ones are read.
func (r *Replica) noteBehind(behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behind = behind
}

// longestRead bounds a read whose bytes keep coming: a megabyte, the most that the log
// sends at once, at a twentieth of a link of 10 Mbit/s.
const longestRead = 16 * time.Second

// load reads the newest record of each key. Its pages are no snapshot, so the
// copy then follows the log from the end that the first page told.
func (r *Replica) load(ctx context.Context) error {
	p := &r.partial
	if p.after == "" || time.Since(p.began) > partialFor {
		*p = partialLoad{began: time.Now()}
	}
	for {
		c, cancel := patience.New(ctx, patience.Limits{First: 2 * r.opts.ReadTimeout, Silence: r.opts.ReadTimeout, Most: longestRead})
		page, err := r.opts.Log.Newest(c, r.opts.Partition, p.after)
		cancel()
		if err != nil {
			return err
		}
		if p.after == "" {
			p.end = page.End
		}
		p.records = append(p.records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		p.after = page.Records[len(page.Records)-1].Key
	}
	r.replace(p.records, p.end)
	*p = partialLoad{}
	return nil
}

// noteAsked notes the moment that an answer tells of.
func (r *Replica) noteAsked(at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.asked = at
	}
}

func (r *Replica) noteContact(age time.Duration, err error) {
	r.mu.Lock()
	if err == nil {
		r.contact = time.Now().Add(-age)
	}
	changed := r.up != (err == nil) || !r.called
	r.up, r.called = err == nil, true
	r.mu.Unlock()
	if changed && r.opts.OnConnectivity != nil {
		r.opts.OnConnectivity(err)
	}
}

// End is the offset below which all records are known; 0 before the first.
func (r *Replica) End() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return 0
	}
	return r.end
}

// Loaded says whether the copy has taken over the topic once.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Up says whether the last call to the log succeeded, and when one last did.
func (r *Replica) Up() (up bool, contact time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up, r.contact
}

// Stale says whether the log has not answered for longer than it should take.
func (r *Replica) Stale(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.contact) > r.opts.LongPoll+r.opts.MinInterval+staleMargin
}

// staleMargin is how much longer than a long poll and the pause before it an answer
// may take.
const staleMargin = 300 * time.Millisecond

// UpdateSince gives the records that changed from an offset on, for another host. ok is
// false if the copy may have forgotten some of them.
func (r *Replica) UpdateSince(offset int64) (part Update, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	part = Update{End: r.end, Age: time.Since(r.contact)}
	for _, k := range r.records {
		if k.changed >= offset {
			part.Records = append(part.Records, k.Record)
		}
	}
	return part, offset == 0 || offset >= r.dropped
}

// CatchUpFrom gives what another host lacks that knows all records below an offset: what changed
// since, or all records if this copy may have forgotten some of the changes.
func (r *Replica) CatchUpFrom(offset int64) Update {
	if part, ok := r.UpdateSince(offset); ok {
		return part
	}
	part, _ := r.UpdateSince(0)
	part.Full = true
	return part
}
