package logging

import (
	"sync"
	"time"
)

// Limiter bounds the lines of one sort by a token bucket of one second.
type Limiter struct {
	perSecond float64

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	skipped uint64
}

// NewLimiter makes a full bucket.
func NewLimiter(perSecond float64) *Limiter {
	return &Limiter{perSecond: perSecond, tokens: perSecond}
}

// Allow says whether a line may be written, and how many were not since the last
// one that was.
func (l *Limiter) Allow(now time.Time) (ok bool, skipped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.at.IsZero() {
		l.tokens = min(l.perSecond, l.tokens+now.Sub(l.at).Seconds()*l.perSecond)
	}
	l.at = now
	if l.tokens < 1 {
		l.skipped++
		return false, 0
	}
	l.tokens--
	skipped = l.skipped
	l.skipped = 0
	return true, skipped
}
