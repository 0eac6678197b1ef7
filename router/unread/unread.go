// Package unread bounds what a host holds for callers that don't read their answers.
//
// Pattern: a shared buffer of bounded size from which the longest waiter is evicted. An answer
// is held until its caller has taken it, and a caller may take it slowly or, without closing its
// connection, never. Many such callers would use up the host's memory, and with it every
// caller's requests.
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
	// leastWait is how long a caller has in any case: a link that is full for a moment
	// holds up callers that read.
	leastWait = 2 * time.Second
	// patience is how long a caller may take nothing of what is passed to it, however little
	// is held: far beyond any pause of a caller that still reads.
	patience = 30 * time.Second
	// lookEvery is the time between two looks at who waits.
	lookEvery = 500 * time.Millisecond
)

// Tracker knows the answers under way and which of them wait for their callers.
type Tracker struct {
	most  int64 // bytes
	onCut func()
	held  atomic.Int64 // for those that wait, and reserved

	mu      sync.Mutex
	answers map[*Response]struct{}
}

// Response is one that is passed to its caller, piece by piece.
type Response struct {
	book *Tracker
	cut  func()

	mu    sync.Mutex
	since time.Time // when its caller was passed what it has not taken; zero: it took all
	bytes int64     // held meanwhile
}

// New makes a book that allows so many bytes; onCut is told of each caller that is cut.
func New(most int64, onCut func()) *Tracker {
	return &Tracker{most: most, onCut: onCut, answers: map[*Response]struct{}{}}
}

// Track notes an answer; cut ends it and must not block.
func (b *Tracker) Track(cut func()) *Response {
	a := &Response{book: b, cut: cut}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[a] = struct{}{}
	return a
}

// Untrack forgets an answer.
func (b *Tracker) Untrack(a *Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.answers, a)
}

// BeginWrite notes that the caller is passed a piece while so many bytes are held for it.
func (a *Response) BeginWrite(bytes int64, now time.Time) {
	a.mu.Lock()
	a.since, a.bytes = now, bytes
	a.mu.Unlock()
	a.book.held.Add(bytes)
}

// EndWrite notes that the caller took the piece, or is gone.
func (a *Response) EndWrite() {
	a.mu.Lock()
	a.since = time.Time{}
	a.mu.Unlock()
	a.book.held.Add(-a.bytes)
}

// unread says since when the caller has taken nothing, and what is held for it; ok is false
// if it took all.
func (a *Response) unread() (since time.Time, bytes int64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since, a.bytes, !a.since.IsZero()
}

// cutIfWaiting cuts the caller unless it took the piece in the meantime: its connection may
// carry the next one by then.
func (a *Response) cutIfWaiting(since time.Time) (cut bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.since.Equal(since) {
		return false
	}
	a.cut()
	return true
}

// wholePart is the part of the bound up to which answers are held whole.
const wholePart = 0.5

// Reserve sets so many bytes aside for an answer that is to be held whole, until Unreserve. It
// says whether there is room: what comes within leastWait is bounded by nothing else.
func (b *Tracker) Reserve(bytes int64) bool {
	if float64(b.held.Add(bytes)) <= wholePart*float64(b.most) {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Release ends a Reserve of so many bytes.
func (b *Tracker) Release(bytes int64) { b.held.Add(-bytes) }

// Run looks at who waits until ctx ends.
func (b *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			b.look(now)
		}
	}
}

// waiting is an answer that waits.
type waiting struct {
	answer *Response
	since  time.Time
	waited time.Duration
	bytes  int64
}

// look cuts callers that have waited for too long, and where all that is held is too much
// those that have waited longest: they have taken nothing for the longest time.
func (b *Tracker) look(now time.Time) {
	waits, held := b.waits(now)
	for _, w := range waits {
		if w.waited < leastWait || held <= b.most && w.waited < patience {
			return
		}
		held -= w.bytes
		if !w.answer.cutIfWaiting(w.since) {
			continue
		}
		log.WithFields(log.Fields{
			"bytes": w.bytes, "waited": w.waited.Round(time.Millisecond), "held": held, "waiting": len(waits),
		}).Warn("caller cut that does not read its answer")
		b.Untrack(w.answer)
		b.onCut()
	}
}

// waits lists who waits, the longest first, and sums what is held for them.
func (b *Tracker) waits(now time.Time) (list []waiting, held int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a := range b.answers {
		if since, bytes, ok := a.unread(); ok {
			list = append(list, waiting{answer: a, since: since, waited: now.Sub(since), bytes: bytes})
			held += bytes
		}
	}
	slices.SortFunc(list, func(a, b waiting) int { return cmp.Compare(b.waited, a.waited) })
	return list, held
}

// Held is how many bytes are held for callers that have yet to take them, or reserved.
func (b *Tracker) Held() int64 { return b.held.Load() }
