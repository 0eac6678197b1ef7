// Package standstill detects that the process stalled: it was stopped, or got no CPU time.
// The data in its sockets is then older than it seems, and its sender may have gone.
package standstill

import (
	"context"
	"sync/atomic"
	"time"

	"maststage.dev/lib/wait"
)

const (
	tickInterval = 50 * time.Millisecond
	// minStall is the shortest interval between two ticks that counts as a stall.
	minStall = 300 * time.Millisecond
	// settleTime is how long a process reads its sockets after a stall before it acts on them.
	settleTime = 50 * time.Millisecond
)

// Watch detects stalls of the process.
type Watch struct {
	start    time.Time
	lastTick atomic.Int64 // time of the last tick, in ns since start
	resumed  atomic.Int64 // time at which the last stall was detected, in ns since start
}

// New returns a Watch; Run starts it.
func New() *Watch { return &Watch{start: time.Now()} }

// Run records ticks until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.recordTick()
		wait.For(ctx, tickInterval)
	}
}

func (w *Watch) recordTick() {
	now := int64(time.Since(w.start))
	if last := w.lastTick.Swap(now); last > 0 && now-last > int64(minStall) {
		w.resumed.Store(now)
	}
}

// Settle waits, if the process has just stalled, until it has read what arrived meanwhile, so that
// ctx of a call that was cancelled during the stall has ended. It returns the error of ctx.
func (w *Watch) Settle(ctx context.Context) error {
	now, last := int64(time.Since(w.start)), w.lastTick.Load()
	if last == 0 {
		return ctx.Err() // Run has not started
	}
	if now-last > int64(minStall) {
		wait.For(ctx, settleTime)
	} else if since := now - w.resumed.Load(); w.resumed.Load() > 0 && since < int64(settleTime) {
		wait.For(ctx, settleTime-time.Duration(since))
	}
	return ctx.Err()
}
