// Package wait sleeps under a context.
package wait

import (
	"context"
	"time"
)

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
