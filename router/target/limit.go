package target

import (
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/limit"
)

// LimitBounds bound the requests to a target that advertises a limit: in any span of Window, all hosts together
// send at most Overrun times what the limit allows, plus Slack.
type LimitBounds struct {
	Overrun float64
	Slack   float64 // requests
	Window  time.Duration
}

// Parameters of advertised limits.
const (
	// minPerSecond is sent to a target however low its limit is: without an occasional response no host learns
	// that a limit of zero has ended. The slack of the bounds covers it.
	minPerSecond = 0.1
	// refusalLimitWait is how long a limit that only refusals advertise stays unchanged without a refusal: a
	// host that was refused informs the others within this time. Then the limit is raised by
	// refusalRaiseFactor, and a target that still has the limit refuses some requests. After maxRaises it ends.
	refusalLimitWait   = 8 * time.Second
	refusalRaiseFactor = 1.4
	maxRaises          = 3
	// minSharingHosts is how many hosts share even a very low limit: the share of a host that exits is lost
	// until the others have forgotten the host.
	minSharingHosts = 5
	// sharedLimitPause is the time between two requests of each host when more hosts than the minimum share a
	// limit.
	sharedLimitPause = 2 * time.Second
	// advisoryLogLinesPerSecond bounds log lines about what responses of targets advise, which a target may change
	// with each response.
	advisoryLogLinesPerSecond = 20
)

// advertisedLimit is a target's limit as far as this host knows it.
type advertisedLimit struct {
	inForce          bool
	perSecond        float64   // requests that the target accepts from all hosts together
	since            time.Time // when this host first knew of it
	advertisedAt     time.Time // when this host received the newest response with a limit
	unconfirmedSince time.Time // since when no refusal has advertised it
	byRefusals       bool      // only refusals have advertised it
	raises           int       // since a refusal advertised it
	malformed        bool      // the newest response had an unreadable limit
	sent             uint64    // requests of this host since the limit took effect
	share            share
	hadShare         bool // this host has had a share of it
	notices          noticeState
}

// SetLimitBounds sets the bounds for targets that advertise a limit.
func (r *Registry) SetLimitBounds(b LimitBounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitBounds = b
}

// rate is the rate at which all hosts together send to a target with this limit. Half of what the bounds allow
// above the limit is reserved for moments at which hosts disagree on who sends. Each host sends every few
// seconds, or it would learn late that the limit has fallen.
func (b LimitBounds) rate(perSecond float64) rate {
	perSecondTotal := max(perSecond, minPerSecond)
	perWindow := perSecondTotal * b.Window.Seconds()
	allowed := b.Overrun*perWindow + b.Slack
	most := max(int((perWindow+allowed)/2), 1)
	hosts := max(int(perSecondTotal*sharedLimitPause.Seconds()), minSharingHosts)
	return rate{perSecond: perSecondTotal, window: b.Window, maxPerWindow: most, hosts: min(hosts, most)}
}

// limitAdmits reports whether the target's limit lets this host send it a request. The lock is held.
func (r *Registry) limitAdmits(t *Target, now time.Time) bool {
	if !t.limit.inForce {
		return true
	}
	r.refreshShare(t, &t.limit.share, r.limitBounds.rate(t.limit.perSecond), now)
	if t.limit.share.selected && !t.limit.hadShare {
		t.limit.hadShare = true
		// Hosts learn of a limit at the same time, and see its end sooner if they send in turn.
		t.pauseFrom = t.limit.since.Add(-rand.N(t.limit.share.pause))
	}
	return t.limit.share.allows(t, now) || r.probesLimit(t, now)
}

// probesLimit reports whether a host without a share sends a request anyway, since no other host may know of
// the limit or its end: the log has no notice of it, and this host sent the target nothing for long. Together
// such hosts send about one request per window. The lock is held.
func (r *Registry) probesLimit(t *Target, now time.Time) bool {
	if t.limit.share.selected || t.limit.notices.published.InForce {
		return false
	}
	after := time.Duration(r.opts.Hosts()) * r.limitBounds.Window
	return now.Sub(t.pauseFrom) > max(after, minLimitProbeWait)
}

// minLimitProbeWait is the minimum time for which a host without a share waits before it sends a request.
const minLimitProbeWait = 10 * time.Second

// RecordLimit updates a target's limit from one of its responses.
func (r *Registry) RecordLimit(t *Target, s limit.Advertisement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.limit.malformed = false
	if !s.HasLimit && !t.limit.inForce && !t.limit.notices.published.InForce {
		return
	}
	now := time.Now()
	switch {
	case s.HasLimit:
		t.limit.byRefusals = s.Refusal && (t.limit.byRefusals || !t.limit.inForce)
		t.limit.advertisedAt, t.limit.unconfirmedSince, t.limit.raises = now, now, 0
		r.putLimit(t, s.PerSecond, now)
	case !t.limit.inForce:
	case t.limit.byRefusals && !s.Refusal:
		r.raiseLimit(t, now)
	default:
		r.endLimit(t, now)
	}
	r.scheduleNotice(t, now)
}

// raiseLimit raises a limit that only refusals advertise and that none has confirmed for a while, and ends it
// after maxRaises. The lock is held.
func (r *Registry) raiseLimit(t *Target, now time.Time) {
	switch {
	case now.Sub(t.limit.unconfirmedSince) < refusalLimitWait:
	case t.limit.raises == maxRaises:
		r.endLimit(t, now)
	default:
		t.limit.raises++
		t.limit.unconfirmedSince = now
		r.putLimit(t, refusalRaiseFactor*max(t.limit.perSecond, minPerSecond), now)
	}
}

// putLimit sets or changes the target's limit. The lock is held.
func (r *Registry) putLimit(t *Target, perSecond float64, now time.Time) {
	was := t.limit
	if !was.inForce {
		t.limit.inForce, t.limit.since, t.limit.sent = true, now, 0
	}
	t.limit.perSecond = perSecond
	if !was.inForce || was.perSecond != perSecond {
		r.logAdvisory(t, "target advertises a limit", log.Fields{"per_second": perSecond, "by_refusals": t.limit.byRefusals})
	}
}

// endLimit removes the target's limit. The lock is held.
func (r *Registry) endLimit(t *Target, now time.Time) {
	r.logAdvisory(t, "target no longer limits requests", log.Fields{
		"per_second": t.limit.perSecond, "lasted": now.Sub(t.limit.since).Round(time.Millisecond), "sent": t.limit.sent,
	})
	t.limit = advertisedLimit{notices: t.limit.notices}
}

// logAdvisory logs what a response of a target advises. The lock is held.
func (r *Registry) logAdvisory(t *Target, text string, fields log.Fields) {
	if ok, skipped := r.advisoryLog.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"target": t.incarnation, "service": t.Service, "skipped": skipped}).WithFields(fields).Info(text)
	}
}

// LimitStatus describes the limit of one target for monitoring.
type LimitStatus struct {
	Target    string
	Service   string
	PerSecond float64 // requests that the target accepts from all hosts together
	Share     float64 // the part of it that this host may send
	Sent      uint64  // requests of this host since the limit took effect
	Since     time.Time
	Published bool // the log has a notice of it, as far as this host has read
}

// Limits lists the targets that advertise a limit.
func (r *Registry) Limits() []LimitStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []LimitStatus
	for _, t := range r.targets {
		if !t.limit.inForce {
			continue
		}
		s := LimitStatus{Target: t.ID, Service: t.Service, PerSecond: t.limit.perSecond, Sent: t.limit.sent, Since: t.limit.since,
			Published: t.limit.notices.published.InForce}
		if t.limit.share.selected {
			s.Share = 1 / t.limit.share.pause.Seconds()
		}
		list = append(list, s)
	}
	return list
}

// RecordMalformedLimit logs that a response of a target had an unreadable limit. The target's limit stays as it
// is: such a response shows neither a limit nor the end of one.
func (r *Registry) RecordMalformedLimit(t *Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.limit.malformed {
		t.limit.malformed = true
		r.logAdvisory(t, "limit in the target's response is unreadable", log.Fields{log.ErrorKey: err})
	}
}
