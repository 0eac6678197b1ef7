// Package unread bounds the memory that a host holds for callers that don't read their
// responses.
//
// Pattern: a byte bound shared by all responses; above it, the write that has been blocked
// longest is aborted. A response stays in memory until its caller has read it, and a caller
// may read slowly or, without closing its connection, never. Many such callers would exhaust
// the host's memory and fail the requests of all callers.
package unread

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"
)

const (
	// minWait is how long a write may always block: a momentarily congested link also
	// blocks writes to callers that read.
	minWait = 2 * time.Second
	// maxWait is how long a write may block however little is held: far longer than any
	// pause of a caller that still reads.
	maxWait       = 30 * time.Second
	checkInterval = 500 * time.Millisecond
)

// Tracker tracks the responses in flight and aborts those whose callers don't read.
type Tracker struct {
	maxBytes int64
	onAbort  func()
	held     atomic.Int64 // bytes of blocked writes and reservations

	mu        sync.Mutex
	responses map[*Response]struct{}
}

// Response is a response that is written to its caller piece by piece.
type Response struct {
	tracker *Tracker
	abort   func()

	mu    sync.Mutex
	since time.Time // start of the current write, zero if there is none
	bytes int64     // held during the current write
}

// New returns a tracker that lets blocked writes hold maxBytes in all; it calls onAbort after
// each response that it aborts.
func New(maxBytes int64, onAbort func()) *Tracker {
	return &Tracker{maxBytes: maxBytes, onAbort: onAbort, responses: map[*Response]struct{}{}}
}

// Track registers a response until Untrack. The tracker calls abort, which must not block, to
// end the response's blocked write.
func (t *Tracker) Track(abort func()) *Response {
	r := &Response{tracker: t, abort: abort}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses[r] = struct{}{}
	return r
}

// Untrack removes a response; it may be called more than once.
func (t *Tracker) Untrack(r *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.responses, r)
}

// BeginWrite records that a write to the caller begins, which holds the given bytes until EndWrite.
func (r *Response) BeginWrite(bytes int64, now time.Time) {
	r.mu.Lock()
	r.since, r.bytes = now, bytes
	r.mu.Unlock()
	r.tracker.held.Add(bytes)
}

// EndWrite records that the write returned: the caller has read the piece, or is gone.
func (r *Response) EndWrite() {
	r.mu.Lock()
	r.since = time.Time{}
	r.mu.Unlock()
	r.tracker.held.Add(-r.bytes)
}

// blocked returns when the current write began and the bytes that it holds; ok is false if
// there is none.
func (r *Response) blocked() (since time.Time, bytes int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since, r.bytes, !r.since.IsZero()
}

// abortIfBlocked aborts the write that began at since, unless it has returned meanwhile: the
// connection may carry the next response by then.
func (r *Response) abortIfBlocked(since time.Time) (aborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.since.Equal(since) {
		return false
	}
	r.abort()
	return true
}

// bufferedShare is the share of the bound that may be in use for a response to be buffered whole.
const bufferedShare = 0.5

// Reserve reserves bytes for a response that is to be buffered whole, until Release. It reports
// whether there is room. Nothing else bounds what arrives within minWait, as no write is aborted then.
func (t *Tracker) Reserve(bytes int64) bool {
	if float64(t.held.Add(bytes)) <= bufferedShare*float64(t.maxBytes) {
		return true
	}
	t.held.Add(-bytes)
	return false
}

// Release returns bytes that Reserve granted.
func (t *Tracker) Release(bytes int64) { t.held.Add(-bytes) }

// Run checks for blocked writes until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			t.check(now)
		}
	}
}

// blockedWrite is a write that its caller has not read yet.
type blockedWrite struct {
	response *Response
	since    time.Time
	waited   time.Duration
	bytes    int64
}

// check aborts writes that have been blocked for maxWait and, while more than maxBytes is held,
// those that have been blocked longest, but none within minWait.
func (t *Tracker) check(now time.Time) {
	blocked, held := t.blockedWrites(now)
	for _, w := range blocked {
		if w.waited < minWait || held <= t.maxBytes && w.waited < maxWait {
			return
		}
		held -= w.bytes
		if !w.response.abortIfBlocked(w.since) {
			continue
		}
		log.WithFields(log.Fields{
			"bytes": w.bytes, "waited": w.waited.Round(time.Millisecond), "held": held, "waiting": len(blocked),
		}).Warn("response aborted: the caller does not read it")
		t.Untrack(w.response)
		t.onAbort()
	}
}

// blockedWrites lists the blocked writes, the longest first, and the bytes that they hold.
func (t *Tracker) blockedWrites(now time.Time) (list []blockedWrite, held int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.responses {
		if since, bytes, ok := r.blocked(); ok {
			list = append(list, blockedWrite{response: r, since: since, waited: now.Sub(since), bytes: bytes})
			held += bytes
		}
	}
	slices.SortFunc(list, func(a, b blockedWrite) int { return cmp.Compare(b.waited, a.waited) })
	return list, held
}

// Held returns the bytes that blocked writes hold or that are reserved.
func (t *Tracker) Held() int64 { return t.held.Load() }
