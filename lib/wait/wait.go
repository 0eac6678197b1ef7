// Package wait sleeps under a context.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter spreads a pause over half of it to one and a half, so that hosts that begin together don't
// go on together.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

// For waits for d or until ctx ends, whichever is first.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
