package logging

import (
	"sync"
	"time"
)

// Limiter limits the rate of one kind of log line by a token bucket that holds one second of lines.
type Limiter struct {
	perSecond float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	skipped    uint64
}

// NewLimiter returns a Limiter with a full bucket.
func NewLimiter(perSecond float64) *Limiter {
	return &Limiter{perSecond: perSecond, tokens: perSecond}
}

// Allow reports whether a line may be written at now and, if so, how many lines were refused since
// the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (ok bool, skipped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refilledAt.IsZero() {
		l.tokens = min(l.perSecond, l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond)
	}
	l.refilledAt = now
	if l.tokens < 1 {
		l.skipped++
		return false, 0
	}
	l.tokens--
	skipped = l.skipped
	l.skipped = 0
	return true, skipped
}
