package target

import (
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"
)

// A target that is overloaded may refuse a request and ask this host to send no others for a while. Each host keeps to
// what it was asked itself: the target asks every host that sends it requests.

// Parameters of pauses that targets ask for.
const (
	// resumeSpread is the fraction of a pause by which hosts resume at different times, up to maxResumeSpread: a target
	// asks many hosts at the same moment.
	resumeSpread    = 0.25
	maxResumeSpread = 2 * time.Second
	// testTimeout is how long one request tests a target after its pause before another may.
	testTimeout = time.Second
)

// backoff is a pause that the target asked this host for.
type backoff struct {
	until     time.Time // as asked
	resumeAt  time.Time // when this host sends requests again
	untested  bool      // no response since then has shown that the target takes requests
	testedAt  time.Time // when the newest request was sent to find out
	malformed bool      // its newest advisory was unreadable
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
	if !t.inBackoff(now) {
		r.logAdvisory(t, "target wants no requests for a while", log.Fields{"for": d, "outstanding": t.outstanding})
	}
	spread := min(time.Duration(resumeSpread*float64(d)), maxResumeSpread)
	t.backoff = backoff{until: until, resumeAt: until.Add(rand.N(max(spread, 1))), untested: true}
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

// inBackoff reports whether this host sends the target no requests because it asked for a pause.
func (t *Target) inBackoff(now time.Time) bool { return now.Before(t.backoff.resumeAt) }

// underTest reports whether a request is on its way that shows whether the target takes requests after a pause.
func (t *Target) underTest(now time.Time) bool {
	return t.backoff.untested && now.Sub(t.backoff.testedAt) < testTimeout
}

// recordTaken records that the target took a request.
func (b *backoff) recordTaken(now time.Time) {
	if !now.Before(b.resumeAt) {
		b.untested = false
	}
}

// AdmitsNow reports whether a request for which the target was chosen a moment ago may be sent to it: meanwhile it may
// have asked for a pause or announced its exit.
func (r *Registry) AdmitsNow(t *Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return !t.inBackoff(now) && (t.leavingSince.IsZero() || now.Sub(t.leavingSince) < r.opts.DrainLimit)
}

// BackoffLeft returns the time until the first target takes requests again, if all targets that could take the request
// asked for a pause. ok is false if there is another, or none at all.
func (r *Registry) BackoffLeft(w Requirements) (left time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var first time.Time
	for _, t := range r.services[w.Service] {
		if !t.ready() || !r.eligible(w, t, now) {
			continue
		}
		if !t.inBackoff(now) {
			return 0, false
		}
		if first.IsZero() || t.backoff.resumeAt.Before(first) {
			first = t.backoff.resumeAt
		}
	}
	if first.IsZero() {
		return 0, false
	}
	return first.Sub(now), true
}

// CountBackingOff counts the targets that want no requests of this host now.
func (r *Registry) CountBackingOff(now time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.inBackoff(now) {
			n++
		}
	}
	return n
}
