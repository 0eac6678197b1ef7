// Package standstill notices that the process stood still: it was stopped, or got no processor.
// What waits in its sockets then is older than it looks, and whoever sent it may have gone.
package standstill

import (
	"context"
	"sync/atomic"
	"time"

	"maststage.dev/lib/wait"
)

const (
	tick = 50 * time.Millisecond
	// least is the shortest pause between two ticks that counts as a standstill.
	least = 300 * time.Millisecond
	// settle is how long a process that stood still reads its sockets before it acts on them.
	settle = 50 * time.Millisecond
)

// Watch tells whether the process stood still until a moment ago.
type Watch struct {
	start time.Time
	last  atomic.Int64 // time of the last tick since start, in ns
	woke  atomic.Int64 // time since start at which the last standstill was noticed, in ns
}

// New makes a watch; Run starts it.
func New() *Watch { return &Watch{start: time.Now()} }

// Run ticks until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.look()
		wait.For(ctx, tick)
	}
}

func (w *Watch) look() {
	now := int64(time.Since(w.start))
	if last := w.last.Swap(now); last > 0 && now-last > int64(least) {
		w.woke.Store(now)
	}
}

// Settle waits, if the process has just stood still, until it has read what came meanwhile, so that
// calls that were cancelled in that time show it. Its error is that of ctx.
func (w *Watch) Settle(ctx context.Context) error {
	now, last := int64(time.Since(w.start)), w.last.Load()
	if last == 0 {
		return ctx.Err() // not running
	}
	if now-last > int64(least) {
		wait.For(ctx, settle)
	} else if since := now - w.woke.Load(); w.woke.Load() > 0 && since < int64(settle) {
		wait.For(ctx, settle-time.Duration(since))
	}
	return ctx.Err()
}
