package target

import (
	"math"
	"math/rand/v2"
	"time"

	"maststage.dev/router/limit"
)

// A host that sends nothing to a target doesn't learn of its limit or of its end. So a host that receives a
// limit that differs from the notice in the log publishes a new one, one record per target, and all others
// read it. Responses that a host receives from the target later take precedence and are published again.

// Parameters of limit notices.
const (
	// noticeWriters is how many hosts write at once. The others wait until a notice of one of these should
	// have been read.
	noticeWriters      = 8
	noticeMinWait      = 2 * time.Second
	noticeWaitSpread   = 4 * time.Second
	noticeInterval     = time.Second     // minimum time between two writes about a target
	noticeRewriteAfter = 5 * time.Second // a write that was not read back by then is repeated
	noticeReadTime     = 4 * time.Second // by then all hosts that can reach the log have read a notice
	maxNoticeAge       = time.Minute     // the age written for older information
	sameLimitTolerance = 0.1             // relative difference up to which two limits count as the same
)

// noticeState tracks what the log says of a target's limit and what this host has to write.
type noticeState struct {
	published  limit.Notice // as last read
	readAt     time.Time
	maybeStale bool         // may be older than this host's own information, and is not applied yet
	written    limit.Notice // the newest one by this host
	wroteAt    time.Time
	due        time.Time // when this host writes its notice; zero if none is needed
}

// publishedNotice is a notice read from the log.
type publishedNotice struct {
	limit.Notice
	orphanedSince time.Time // since when it matches no known target
}

// notice describes the target's limit as this host knows it.
func (t *Target) notice() limit.Notice {
	n := limit.Notice{Target: t.ID, StartedAt: t.incarnation.StartedAt, InForce: t.limit.inForce}
	if n.InForce {
		n.PerSecond, n.ByRefusals, n.Raises = t.limit.perSecond, t.limit.byRefusals, t.limit.raises
	}
	return n
}

// looser reports whether notice n allows more requests than the other one.
func looser(n, than limit.Notice) bool {
	return than.InForce && (!n.InForce || n.PerSecond > than.PerSecond)
}

// sameNotice reports whether two notices describe the same limit, within sameLimitTolerance.
func sameNotice(a, b limit.Notice) bool {
	if a.InForce != b.InForce || !a.InForce {
		return a.InForce == b.InForce
	}
	near := math.Abs(a.PerSecond-b.PerSecond) <= sameLimitTolerance*max(a.PerSecond, b.PerSecond)
	return near && a.ByRefusals == b.ByRefusals && a.Raises == b.Raises
}

// scheduleNotice decides whether and when this host publishes its information on a target. The lock is held.
func (r *Registry) scheduleNotice(t *Target, now time.Time) {
	state, own := &t.limit.notices, t.notice()
	switch {
	case state.maybeStale && state.readAt.After(t.limit.advertisedAt):
		r.dueNotices[t] = struct{}{}
	case sameNotice(own, state.published):
		state.due = time.Time{}
		delete(r.dueNotices, t)
	case state.due.IsZero():
		state.due = now
		if _, first := r.opts.Elected(t.ID, noticeWriters); !first {
			state.due = now.Add(noticeMinWait + rand.N(noticeWaitSpread))
		}
		r.dueNotices[t] = struct{}{}
	case !state.wroteAt.IsZero() && !sameNotice(own, state.written):
		if next := state.wroteAt.Add(noticeInterval); next.Before(state.due) {
			state.due = next
		}
	}
}

// DueLimitNotices returns the notices that this host has to write to the log by now, and counts them as written.
func (r *Registry) DueLimitNotices(now time.Time) []limit.Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []limit.Notice
	for t := range r.dueNotices {
		state := &t.limit.notices
		if r.targets[t.ID] != t {
			delete(r.dueNotices, t)
			continue
		}
		if r.resolveStale(t, now) || state.due.IsZero() || now.Before(state.due) {
			continue
		}
		state.written, state.wroteAt, state.due = t.notice(), now, now.Add(noticeRewriteAfter)
		if !t.limit.advertisedAt.IsZero() {
			state.written.AgeMs = min(now.Sub(t.limit.advertisedAt), maxNoticeAge).Milliseconds()
		}
		list = append(list, state.written)
	}
	return append(list, r.orphanedNotices(now)...)
}

// orphanedNotices returns deletions of notices whose targets are gone, if this host is the one to write them. The
// lock is held.
func (r *Registry) orphanedNotices(now time.Time) []limit.Notice {
	var list []limit.Notice
	for id, p := range r.publishedNotices {
		switch t := r.targets[id]; {
		case t != nil && p.concerns(t):
			p.orphanedSince = time.Time{}
		case p.orphanedSince.IsZero():
			p.orphanedSince = now
		case now.Sub(p.orphanedSince) > forgetAfter:
			p.orphanedSince = now
			if _, self := r.opts.Elected(id, 1); self {
				list = append(list, limit.Notice{Target: id})
			}
		}
	}
	return list
}

// concerns reports whether the notice is about this incarnation of the target.
func (p *publishedNotice) concerns(t *Target) bool {
	return !t.incarnation.differsFrom(Incarnation{ID: p.Target, StartedAt: p.StartedAt})
}

// ApplyLimitNotice applies a notice read from the log.
func (r *Registry) ApplyLimitNotice(n limit.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.InForce {
		r.publishedNotices[n.Target] = &publishedNotice{Notice: n}
	} else {
		delete(r.publishedNotices, n.Target)
	}
	if t := r.targets[n.Target]; t != nil {
		r.applyNotice(t, n, time.Now())
	}
}

// applyNotice applies a notice to its target. One that allows more than this host recently received from the
// target itself is held back as maybe stale. The lock is held.
func (r *Registry) applyNotice(t *Target, n limit.Notice, now time.Time) {
	if p := (&publishedNotice{Notice: n}); n.InForce && !p.concerns(t) {
		n = limit.Notice{Target: n.Target}
	}
	state := &t.limit.notices
	state.published, state.readAt, state.due = n, now, time.Time{}
	state.maybeStale = looser(n, t.notice()) && now.Before(t.staleUntil())
	if !state.maybeStale {
		r.adoptPublished(t, now)
	}
	r.scheduleNotice(t, now)
}

// staleUntil is the time until which the notice read last may be older than this host's own information.
func (t *Target) staleUntil() time.Time {
	age := time.Duration(t.limit.notices.published.AgeMs) * time.Millisecond
	return t.limit.advertisedAt.Add(noticeReadTime + age)
}

// resolveStale applies or discards a notice held back as maybe stale, once it can't be older than this host's own
// information. It reports whether one is still held back. The lock is held.
func (r *Registry) resolveStale(t *Target, now time.Time) bool {
	state := &t.limit.notices
	if !state.maybeStale {
		return false
	}
	switch {
	case t.limit.advertisedAt.After(state.readAt):
		state.maybeStale = false // superseded by a response of the target
	case !now.Before(t.staleUntil()):
		state.maybeStale = false
		r.adoptPublished(t, now)
	default:
		return true
	}
	r.scheduleNotice(t, now)
	return state.maybeStale
}

// adoptPublished sets the target's limit to that of the published notice. The lock is held.
func (r *Registry) adoptPublished(t *Target, now time.Time) {
	n := t.limit.notices.published
	switch {
	case n.InForce:
		t.limit.byRefusals, t.limit.raises, t.limit.unconfirmedSince = n.ByRefusals, n.Raises, now
		r.putLimit(t, n.PerSecond, now)
	case t.limit.inForce:
		r.endLimit(t, now)
	}
}
