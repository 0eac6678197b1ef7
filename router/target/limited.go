package target

import (
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/limit"
)

// limited is the limit that a target names, as far as this host knows.
type limited struct {
	inForce   bool
	perSecond float64   // that the target takes from all hosts together
	since     time.Time // when this host first knew of it
	malformed bool      // its newest answer named a limit that can't be read
}

// limitLines bounds the lines a second about limits, which a target may change with each answer.
const limitLines = 20

// StateLimit takes over what an answer of a target says of its limit.
func (r *Registry) StateLimit(t *Target, s limit.Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.limit.malformed = false
	switch was := t.limit; {
	case s.Named && (!was.inForce || was.perSecond != s.PerSecond):
		r.setLimit(t, s.PerSecond)
	case !s.Named && was.inForce:
		r.endLimit(t)
	}
}

// setLimit puts a limit in force, or changes it; the lock is held.
func (r *Registry) setLimit(t *Target, perSecond float64) {
	if !t.limit.inForce {
		t.limit.inForce, t.limit.since = true, time.Now()
	}
	t.limit.perSecond = perSecond
	r.logLimit(t, "target names a limit", log.Fields{"per_second": perSecond})
}

// endLimit ends a limit; the lock is held.
func (r *Registry) endLimit(t *Target) {
	r.logLimit(t, "target's limit ended", log.Fields{"per_second": t.limit.perSecond, "lasted": time.Since(t.limit.since).Round(time.Millisecond)})
	t.limit = limited{}
}

func (r *Registry) logLimit(t *Target, text string, fields log.Fields) {
	if ok, skipped := r.limitLines.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"target": t.life, "service": t.Service, "skipped": skipped}).WithFields(fields).Info(text)
	}
}

// MalformedLimit logs that an answer of a target named a limit that can't be read. It changes
// nothing: it tells neither of a limit nor of the end of one.
func (r *Registry) MalformedLimit(t *Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.limit.malformed {
		t.limit.malformed = true
		r.logLimit(t, "target's limit can't be read", log.Fields{log.ErrorKey: err})
	}
}

// LimitStatus is what this host knows of a target's limit.
type LimitStatus struct {
	Target    string
	Service   string
	PerSecond float64 // that the target takes from all hosts together
	Since     time.Time
}

// Limits lists the targets that name a limit.
func (r *Registry) Limits() []LimitStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []LimitStatus
	for _, t := range r.targets {
		if t.limit.inForce {
			list = append(list, LimitStatus{Target: t.ID, Service: t.Service, PerSecond: t.limit.perSecond, Since: t.limit.since})
		}
	}
	return list
}
