// Package wait sleeps until a time has passed or a context ends.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration from d/2 to 3d/2, so that hosts that start together don't act in
// step.
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
