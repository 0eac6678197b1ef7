// Package logio appends to the platform's log and follows it.
package logio

import (
	"context"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/wait"
)

const (
	maxBatchRecords = 2000
	maxBatchBytes   = 512 << 10
	resendAfter     = 1500 * time.Millisecond // a batch not read back from the log by then is sent again
)

// Appender appends to the log. After an error the data may have been appended or not.
type Appender interface {
	Append(ctx context.Context, data []byte) error
}

// Writer appends the records of one incarnation in order, one batch at a time.
// A batch counts as logged only once it is read back, as replies may be lost. Until
// then it is sent again under the same sequence number; the fold drops duplicates.
type Writer struct {
	inc      string
	app      Appender
	interval time.Duration
	timeout  time.Duration
	limit    int

	mu      sync.Mutex
	pending []*peerv1.Record
	sent    int // number of pending records in the batch in flight
	seq     uint64
	since   time.Time // when the batch in flight was first sent

	wake   chan struct{}
	logged chan uint64
	done   chan struct{}
}

// NewWriter returns a writer; Run starts it. interval is the minimum time between
// two appends, limit the maximum number of queued records.
func NewWriter(inc string, app Appender, interval, timeout time.Duration, limit int) *Writer {
	return &Writer{
		inc: inc, app: app, interval: interval, timeout: timeout, limit: limit,
		wake:   make(chan struct{}, 1),
		logged: make(chan uint64, 64),
		done:   make(chan struct{}),
	}
}

// Put queues records. If the queue would exceed its limit, it fails and queues none of them.
func (w *Writer) Put(records ...*peerv1.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(records) > w.limit {
		return errkind.New(errkind.Overloaded, "%d records wait for the log", len(w.pending))
	}
	w.pending = append(w.pending, records...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// Unlogged returns a copy of the records not known to be in the log.
func (w *Writer) Unlogged() []*peerv1.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.pending)
}

// Waiting returns the number of records not known to be in the log.
func (w *Writer) Waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// Stuck returns how long the batch in flight has not been read back from the log.
func (w *Writer) Stuck() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent == 0 {
		return 0
	}
	return time.Since(w.since)
}

// Event handles batches read back from the log.
func (w *Writer) Event(e fold.Event) {
	a, ok := e.(fold.Applied)
	if !ok || a.Incarnation != w.inc {
		return
	}
	select {
	case w.logged <- a.Seq:
	default: // only one batch is in flight, so the channel has room
	}
}

// Run appends queued records until ctx ends or a batch cannot be encoded.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for w.Waiting() > 0 {
			if !w.writeBatch(ctx) {
				return
			}
		}
	}
}

// writeBatch writes one batch to the log. It returns false if Run must end.
func (w *Writer) writeBatch(ctx context.Context) bool {
	start := time.Now()
	data, seq, err := w.nextBatch()
	if err != nil {
		log.WithError(err).Error("cannot encode a batch of log records")
		return false
	}
	for !w.appendOnce(ctx, data, seq) {
		if ctx.Err() != nil {
			return false
		}
	}
	w.finish()
	wait.For(ctx, w.interval-time.Since(start))
	return ctx.Err() == nil
}

// nextBatch builds the next batch.
func (w *Writer) nextBatch() (data []byte, seq uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.pending) && n < maxBatchRecords && size < maxBatchBytes {
		size += proto.Size(w.pending[n])
		n++
	}
	w.seq++
	w.sent = n
	w.since = time.Now()
	b := &peerv1.Batch{Incarnation: w.inc, Seq: w.seq, Records: w.pending[:n]}
	data, err = proto.Marshal(b)
	return data, w.seq, err
}

// appendOnce appends the batch once and reports whether it is then read back from the log.
func (w *Writer) appendOnce(ctx context.Context, data []byte, seq uint64) bool {
	appended := make(chan error, 1)
	guard.Go("log append", func() {
		c, cancel := context.WithTimeout(ctx, w.timeout)
		defer cancel()
		appended <- w.app.Append(c, data)
	})
	again := time.NewTimer(resendAfter)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case got := <-w.logged:
			if got >= seq {
				return true
			}
		case err := <-appended:
			if err != nil {
				log.WithError(err).WithField("seq", seq).Debug("log append failed or its reply was lost")
				again.Reset(w.interval * 2)
			}
			appended = nil
		case <-again.C:
			return false
		}
	}
}

func (w *Writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = w.pending[w.sent:]
	w.sent = 0
}
