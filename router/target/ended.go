package target

import (
	"context"
	"errors"
	"syscall"
	"time"

	log "github.com/sirupsen/logrus"
)

// endCheck is a look at whether a target has ended, shared by all who ask at the same time.
type endCheck struct {
	began time.Time
	done  chan struct{} // closed when ended is known
	ended bool
}

// Figures of the look at whether a target has ended.
const (
	// endDial bounds the connection that tells; a target that is there answers within
	// a round trip.
	endDial = 300 * time.Millisecond
	// endCheckAge is how old a look that found the target alive may be. One end breaks all
	// requests there within some ms; a later break needs a look of its own.
	endCheckAge = 50 * time.Millisecond
)

// gonePause is how long a target that ended is passed over. Its entry is gone by then, or
// tells of another life: an entry lapses after three heartbeats of about a second.
const gonePause = 4 * time.Second

// gone says whether the target ended a moment ago.
func (t *Target) gone(now time.Time) bool { return t.ended && now.Sub(t.endedAt) < gonePause }

// ProbeExited says whether a target's process has ended, after something broke off there: nobody
// takes connections at its address any more. It asks by a new connection, which is kept for
// requests if it is made. A connection that broke alone, a cut or an overrun link don't
// look so, nor does a target that was known to leave, whose end is planned. What other
// requests still read says nothing: it may have been on its way at the end.
func (r *Registry) ProbeExited(ctx context.Context, t *Target) bool {
	check, own := r.endCheckOf(t)
	if own {
		check.ended = r.lookForEnd(ctx, t)
		close(check.done)
	}
	select {
	case <-check.done:
		return check.ended
	case <-ctx.Done():
		return false
	}
}

// endCheckOf joins the look under way or begins one, which is then the caller's to finish.
func (r *Registry) endCheckOf(t *Target) (check *endCheck, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if t.check != nil && (t.ended || now.Sub(t.check.began) < endCheckAge) {
		return t.check, false
	}
	t.check = &endCheck{began: now, done: make(chan struct{})}
	return t.check, true
}

// lookForEnd asks the target's address, and notes an end.
func (r *Registry) lookForEnd(ctx context.Context, t *Target) bool {
	dial, cancel := context.WithTimeout(ctx, endDial)
	defer cancel()
	refused := errors.Is(t.Pool.Probe(dial), syscall.ECONNREFUSED)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !refused || !t.leftAt.IsZero() {
		return false
	}
	t.ended, t.endedAt = true, time.Now()
	log.WithFields(log.Fields{
		"target": t.ID, "service": t.Service, "address": t.Address, "outstanding": t.outstanding,
	}).Warn("target ended")
	return true
}
