package forward

import (
	"context"
	"math/rand/v2"
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

// Callers that find all targets paused are told to retry at different times: after what is left of the first pause,
// up to maxBackoffWait, and a random part of half of that within the other bounds.
const (
	maxBackoffWait  = 10 * time.Second
	minCallerSpread = 500 * time.Millisecond
	maxCallerSpread = 2 * time.Second
)

// targetsBackoff reports whether all targets that could take the request asked for a pause, and if so sets the
// caller's Retry-After.
func (q *request) targetsBackoff() bool {
	left, ok := q.handler.opts.Targets.BackoffLeft(q.requirements(nil))
	if !ok {
		return false
	}
	left = min(left, maxBackoffWait)
	q.retryAfter = left + rand.N(min(max(left/2, minCallerSpread), maxCallerSpread))
	return true
}

// targetPollInterval is the time between two searches for a target that can resume a stream.
const targetPollInterval = 50 * time.Millisecond

// maxStreamWait is the longest pause of targets that a broken stream waits for.
const maxStreamWait = 2 * time.Second

// awaitTarget waits for targetPollInterval if a target may soon take the rest of a stream that the caller has
// received in part, since its rate limit admits it or its pause ends: giving up would lose the stream. It reports
// whether to search again.
func (q *request) awaitTarget(ctx context.Context) bool {
	if q.stream == nil || !q.headSent {
		return false
	}
	targets, want := q.handler.opts.Targets, q.requirements(q.excluded)
	left, backoff := targets.BackoffLeft(want)
	if !targets.HasLimitShare(want) && (!backoff || left > maxStreamWait) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(targetPollInterval):
		return true
	}
}
