package target

import (
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/limit"
)

// LimitBounds is what a target that names a limit may get: in any span of Window no more than Overrun
// times what the limit allows, and Slack more, from all hosts together.
type LimitBounds struct {
	Overrun float64
	Slack   float64 // requests
	Window  time.Duration
}

// Figures of limits.
const (
	// leastPerSecond is sent to a target whatever its limit: without an answer now and then nobody
	// learns that a limit of zero has ended. The slack of the bounds covers it.
	leastPerSecond = 0.1
	// refusalsTell is how long a limit that only refusals name stands without one: a host that was
	// refused tells the others within this time. Then more is sent, by refusalsRaise, which a target
	// that still has the limit refuses in part. After mostRaises the limit ends.
	refusalsTell  = 8 * time.Second
	refusalsRaise = 1.4
	mostRaises    = 3
	// fewestSharing hosts share a limit, however low it is: one that ends takes its part along until
	// the others have forgotten it.
	fewestSharing = 5
	// sharePause is the time between two requests of a host that shares a limit with more hosts.
	sharePause = 2 * time.Second
	// limitLines bounds the lines a second about limits, which a target may change with each answer.
	limitLines = 20
)

// limited is the limit that a target names, as far as this host knows.
type limited struct {
	inForce    bool
	perSecond  float64   // that the target takes from all hosts together
	since      time.Time // when this host first knew of it
	heard      time.Time // when this host had the newest answer that named it
	quiet      time.Time // since when refusals have not named it
	byRefusals bool      // no other answer has named it
	raises     int       // of what refusals named
	malformed  bool      // the newest answer named a limit that can't be read
	sent       uint64    // requests of this host while it was in force
	share      share
	begun      bool // this host has had a share of it
	news       news
}

// SetLimitBounds takes over what targets that name a limit may get.
func (r *Registry) SetLimitBounds(b LimitBounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitBounds = b
}

// rate is what all hosts aim at together for a target that names a limit. Half of what the
// bounds allow beyond the limit itself is left for moments at which hosts don't agree who sends. Each
// host sends every few seconds, or it would be told late that the limit has fallen.
func (b LimitBounds) rate(perSecond float64) rate {
	aim := max(perSecond, leastPerSecond)
	named := aim * b.Window.Seconds()
	allowed := b.Overrun*named + b.Slack
	most := max(int((named+allowed)/2), 1)
	hosts := max(int(aim*sharePause.Seconds()), fewestSharing)
	return rate{perSecond: aim, window: b.Window, most: most, hosts: min(hosts, most)}
}

// limitAdmits says whether a target may get a request of this host as far as its limit goes; the
// lock is held.
func (r *Registry) limitAdmits(t *Target, now time.Time) bool {
	if !t.limit.inForce {
		return true
	}
	r.shareOf(t, &t.limit.share, r.limitBounds.rate(t.limit.perSecond), now)
	if t.limit.share.self && !t.limit.begun {
		t.limit.begun = true
		// Hosts learn of a limit at the same time, and hear of its end sooner if they ask in turn.
		t.paced = t.limit.since.Add(-rand.N(t.limit.share.pause))
	}
	return t.limit.share.allows(t, now) || r.asksAnew(t, now)
}

// asksAnew says whether a host without a share sends a request, since no other host may know of the
// limit or of its end: the log doesn't tell of it, and the target was not asked for long. All such
// hosts together ask once in a window.
func (r *Registry) asksAnew(t *Target, now time.Time) bool {
	if t.limit.share.self || t.limit.news.posted.InForce {
		return false
	}
	after := time.Duration(r.opts.Hosts()) * r.limitBounds.Window
	return now.Sub(t.paced) > max(after, leastAsksAnew)
}

// leastAsksAnew is how long a host without a share waits at least before it asks a target anew.
const leastAsksAnew = 10 * time.Second

// RecordLimit takes over what an answer of a target says of its limit.
func (r *Registry) RecordLimit(t *Target, s limit.Advertisement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.limit.malformed = false
	if !s.HasLimit && !t.limit.inForce && !t.limit.news.posted.InForce {
		return
	}
	now := time.Now()
	switch {
	case s.HasLimit:
		t.limit.byRefusals = s.Refusal && (t.limit.byRefusals || !t.limit.inForce)
		t.limit.heard, t.limit.quiet, t.limit.raises = now, now, 0
		r.putLimit(t, s.PerSecond, now)
	case !t.limit.inForce:
	case t.limit.byRefusals && !s.Refusal:
		r.raiseLimit(t, now)
	default:
		r.endLimit(t, now)
	}
	r.noteNews(t, now)
}

// raiseLimit raises a limit that only refusals name, and that none has named for a while, until it
// ends; the lock is held.
func (r *Registry) raiseLimit(t *Target, now time.Time) {
	switch {
	case now.Sub(t.limit.quiet) < refusalsTell:
	case t.limit.raises == mostRaises:
		r.endLimit(t, now)
	default:
		t.limit.raises++
		t.limit.quiet = now
		r.putLimit(t, refusalsRaise*max(t.limit.perSecond, leastPerSecond), now)
	}
}

// putLimit puts a limit in force, or changes it; the lock is held.
func (r *Registry) putLimit(t *Target, perSecond float64, now time.Time) {
	was := t.limit
	if !was.inForce {
		t.limit.inForce, t.limit.since, t.limit.sent = true, now, 0
	}
	t.limit.perSecond = perSecond
	if !was.inForce || was.perSecond != perSecond {
		r.logLimit(t, "target names a limit", log.Fields{"per_second": perSecond, "by_refusals": t.limit.byRefusals})
	}
}

// endLimit ends a limit; the lock is held.
func (r *Registry) endLimit(t *Target, now time.Time) {
	r.logLimit(t, "target's limit ended", log.Fields{
		"per_second": t.limit.perSecond, "lasted": now.Sub(t.limit.since).Round(time.Millisecond), "sent": t.limit.sent,
	})
	t.limit = limited{news: t.limit.news}
}

func (r *Registry) logLimit(t *Target, text string, fields log.Fields) {
	if ok, skipped := r.limitLines.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"target": t.life, "service": t.Service, "skipped": skipped}).WithFields(fields).Info(text)
	}
}

// LimitStatus is what this host knows of a target's limit.
type LimitStatus struct {
	Target    string
	Service   string
	PerSecond float64 // that the target takes from all hosts together
	Share     float64 // of it, that this host may send
	Sent      uint64  // by this host since then
	Since     time.Time
	Published bool // the log tells of it, as far as this host has read it
}

// Limits lists the targets that name a limit.
func (r *Registry) Limits() []LimitStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []LimitStatus
	for _, t := range r.targets {
		if !t.limit.inForce {
			continue
		}
		s := LimitStatus{Target: t.ID, Service: t.Service, PerSecond: t.limit.perSecond, Sent: t.limit.sent, Since: t.limit.since,
			Published: t.limit.news.posted.InForce}
		if t.limit.share.self {
			s.Share = 1 / t.limit.share.pause.Seconds()
		}
		list = append(list, s)
	}
	return list
}

// RecordMalformedLimit logs that an answer of a target named a limit that can't be read. It changes
// nothing: it tells neither of a limit nor of the end of one.
func (r *Registry) RecordMalformedLimit(t *Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.limit.malformed {
		t.limit.malformed = true
		r.logLimit(t, "target's limit can't be read", log.Fields{log.ErrorKey: err})
	}
}
