// Package logd simulates the platform's append-only log.
package logd

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/lib/wait"
	"maststage.dev/standin/toggle"
)

// Log keeps entries in memory. Its switches are down (calls fail), slow (ms added to each
// call), losereply (number of appends that take effect without a reply) and losepercent
// (share of appends that take effect without a reply).
type Log struct {
	Switches *toggle.Set
	perSec   int
	retain   int

	mu      sync.Mutex
	entries []*platformv1.Entry
	next    uint64
	grown   chan struct{}
	slot    time.Time // when the next append may take effect
	lost    int
}

// New returns a log that accepts perSec appends a second and keeps the last retain entries.
func New(perSec, retain int) *Log {
	return &Log{
		Switches: toggle.New("down", "slow", "losereply", "losepercent"),
		perSec:   perSec, retain: retain, next: 1, grown: make(chan struct{}),
	}
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("the log is down"))

const maxBacklog = 2 * time.Second // longest wait for an append's turn

func (l *Log) checkSwitches(ctx context.Context) error {
	if ms := l.Switches.Get("slow"); ms > 0 {
		wait.For(ctx, time.Duration(ms)*time.Millisecond)
	}
	if l.Switches.Get("down") != 0 {
		return errDown
	}
	return ctx.Err()
}

// Append appends an entry, at most perSec a second.
func (l *Log) Append(ctx context.Context, r *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	if err := l.checkSwitches(ctx); err != nil {
		return nil, err
	}
	turn, err := l.reserve()
	if err != nil {
		return nil, err
	}
	wait.For(ctx, turn)
	if l.Switches.Get("down") != 0 {
		return nil, errDown
	}
	off := l.store(r.Msg.Data)
	if l.Switches.Take("losereply") || l.losesReply() {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&platformv1.AppendResponse{Offset: off}), nil
}

// losesReply reports whether to lose this reply, so that losepercent of all are lost, evenly spread.
func (l *Log) losesReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost += l.Switches.Get("losepercent")
	if l.lost < 100 {
		return false
	}
	l.lost -= 100
	return true
}

func (l *Log) reserve() (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.slot.Before(now) {
		l.slot = now
	}
	wait := l.slot.Sub(now)
	if wait > maxBacklog {
		return 0, connect.NewError(connect.CodeResourceExhausted, errors.New("too many appends"))
	}
	l.slot = l.slot.Add(time.Second / time.Duration(l.perSec))
	return wait, nil
}

func (l *Log) store(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	off := l.next
	l.next++
	l.entries = append(l.entries, &platformv1.Entry{Offset: off, Data: data})
	if n := len(l.entries) - l.retain; n > 0 {
		l.entries = l.entries[n:]
	}
	close(l.grown)
	l.grown = make(chan struct{})
	return off
}

// Read returns entries from an offset on, waiting up to WaitMs if there are none yet.
func (l *Log) Read(ctx context.Context, r *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	if err := l.checkSwitches(ctx); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(r.Msg.WaitMs) * time.Millisecond)
	for {
		res, grown := l.entriesFrom(r.Msg.From, int(r.Msg.Max))
		left := time.Until(deadline)
		if len(res.Entries) > 0 || left <= 0 || res.Oldest > r.Msg.From {
			return connect.NewResponse(res), nil
		}
		select {
		case <-grown:
		case <-time.After(min(left, 100*time.Millisecond)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if l.Switches.Get("down") != 0 {
			return nil, errDown
		}
	}
}

func (l *Log) entriesFrom(from uint64, most int) (*platformv1.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := &platformv1.ReadResponse{Oldest: l.next - uint64(len(l.entries)), Next: l.next}
	if from >= res.Oldest && from < l.next {
		i := int(from - res.Oldest)
		res.Entries = l.entries[i:min(i+most, len(l.entries))]
	}
	return res, l.grown
}
