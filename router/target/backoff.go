package target

import (
	"time"

	log "github.com/sirupsen/logrus"
)

// backoff is the time for which a target wants no requests of this host.
type backoff struct {
	until     time.Time
	malformed bool // its newest advisory was unreadable
}

// RecordBackoff records that a target refused a request and wants no others of this host for the given time. A
// shorter time does not end a longer one.
func (r *Registry) RecordBackoff(t *Target, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.backoff.malformed = false
	now := time.Now()
	until := now.Add(d)
	if d <= 0 || !until.After(t.backoff.until) {
		return
	}
	if !now.Before(t.backoff.until) {
		r.logAdvisory(t, "target wants no requests for a while", log.Fields{"for": d, "outstanding": t.outstanding})
	}
	t.backoff.until = until
}

// RecordMalformedAdvisory logs that a refusal of a target has an unreadable time. It then counts as one without.
func (r *Registry) RecordMalformedAdvisory(t *Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.backoff.malformed {
		t.backoff.malformed = true
		r.logAdvisory(t, "time in the target's refusal is unreadable", log.Fields{log.ErrorKey: err})
	}
}

// CountBackingOff counts the targets that want no requests of this host now.
func (r *Registry) CountBackingOff(now time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if now.Before(t.backoff.until) {
			n++
		}
	}
	return n
}
