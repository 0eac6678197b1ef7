package forward

import (
	"context"
	"time"
)

// noTargetKind returns why no target can take the request. If rate limits are the reason, it sets
// the caller's Retry-After, and closes the connection if this host has no share of the limits, so
// that the caller retries at another host.
func (q *request) noTargetKind() Kind {
	exhausted, ok := q.handler.opts.Targets.LimitsExhaustedFor(q.requirements(q.excluded))
	if !ok {
		return NoTarget
	}
	q.retryAfter = exhausted.RetryAfter
	if !exhausted.HasShare {
		q.w.Header().Set("Connection", "close")
	}
	return TargetsFull
}

// targetPollInterval is the time between two searches for a target that can resume a stream.
const targetPollInterval = 50 * time.Millisecond

// awaitTarget waits for targetPollInterval if a rate limit may soon admit the rest of a stream that
// the caller has received in part: giving up would lose it. It reports whether to search again.
func (q *request) awaitTarget(ctx context.Context) bool {
	if q.stream == nil || !q.stream.headSent || !q.handler.opts.Targets.HasLimitShare(q.requirements(q.excluded)) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(targetPollInterval):
		return true
	}
}
