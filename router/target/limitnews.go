package target

import (
	"math"
	"math/rand/v2"
	"time"

	"maststage.dev/router/limit"
)

// Hosts that send nothing to a target don't hear of its limit, nor of its end. So those that hear
// something else than the log tells write it there, one record a target, and all others read it.
// What a host hears from the target itself afterwards counts more, and is written again.

// Figures of notices of limits.
const (
	// noticeWriters is how many hosts write at once; the others wait until one of these should have
	// been read.
	noticeWriters     = 8
	noticeLeastWait   = 2 * time.Second
	noticeWaitSpread  = 4 * time.Second
	noticeEvery       = time.Second     // between two writes about a target
	noticeUnread      = 5 * time.Second // after which a write that was not read back is repeated
	noticeRead        = 4 * time.Second // in which a notice has been read by all hosts that reach the log
	noticeOldest      = time.Minute     // an older one is told as being so old
	sameLimitDistance = 0.1             // part by which two limits may differ that are told as one
)

// news is what hosts tell each other of a target's limit.
type news struct {
	posted  limit.Notice // as last read
	readAt  time.Time
	doubted bool         // it may be older than what this host heard, and is not taken over yet
	written limit.Notice // by this host
	wroteAt time.Time
	due     time.Time // when this host writes what it knows; zero: nothing to write
}

// posted is a notice of the log.
type posted struct {
	limit.Notice
	orphaned time.Time // since when no target is known that it tells of
}

// notice is what this host knows of a target's limit.
func (t *Target) notice() limit.Notice {
	n := limit.Notice{Target: t.ID, StartedAt: t.life.StartedAt, InForce: t.limit.inForce}
	if n.InForce {
		n.PerSecond, n.ByRefusals, n.Raises = t.limit.perSecond, t.limit.byRefusals, t.limit.raises
	}
	return n
}

// laxer says whether a notice lets a target get more than another one.
func laxer(n, than limit.Notice) bool {
	return than.InForce && (!n.InForce || n.PerSecond > than.PerSecond)
}

// same says whether two notices tell the same of a target.
func same(a, b limit.Notice) bool {
	if a.InForce != b.InForce || !a.InForce {
		return a.InForce == b.InForce
	}
	near := math.Abs(a.PerSecond-b.PerSecond) <= sameLimitDistance*max(a.PerSecond, b.PerSecond)
	return near && a.ByRefusals == b.ByRefusals && a.Raises == b.Raises
}

// noteNews decides whether this host is to write what it heard of a target; the lock is held.
func (r *Registry) noteNews(t *Target, now time.Time) {
	news, own := &t.limit.news, t.notice()
	switch {
	case news.doubted && news.readAt.After(t.limit.heard):
		r.news[t] = struct{}{}
	case same(own, news.posted):
		news.due = time.Time{}
		delete(r.news, t)
	case news.due.IsZero():
		news.due = now
		if _, first := r.opts.Elected(t.ID, noticeWriters); !first {
			news.due = now.Add(noticeLeastWait + rand.N(noticeWaitSpread))
		}
		r.news[t] = struct{}{}
	case !news.wroteAt.IsZero() && !same(own, news.written):
		if next := news.wroteAt.Add(noticeEvery); next.Before(news.due) {
			news.due = next
		}
	}
}

// DueLimitNotices lists what this host is to write to the log about limits by now.
func (r *Registry) DueLimitNotices(now time.Time) []limit.Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []limit.Notice
	for t := range r.news {
		news := &t.limit.news
		if r.targets[t.ID] != t {
			delete(r.news, t)
			continue
		}
		if r.settleDoubt(t, now) || news.due.IsZero() || now.Before(news.due) {
			continue
		}
		news.written, news.wroteAt, news.due = t.notice(), now, now.Add(noticeUnread)
		if !t.limit.heard.IsZero() {
			news.written.AgeMs = min(now.Sub(t.limit.heard), noticeOldest).Milliseconds()
		}
		list = append(list, news.written)
	}
	return append(list, r.orphans(now)...)
}

// orphans lists notices of targets that are gone, if this host is the one to delete them; the lock is
// held.
func (r *Registry) orphans(now time.Time) []limit.Notice {
	var list []limit.Notice
	for id, p := range r.posted {
		switch t := r.targets[id]; {
		case t != nil && p.tellsOf(t):
			p.orphaned = time.Time{}
		case p.orphaned.IsZero():
			p.orphaned = now
		case now.Sub(p.orphaned) > forgetAfter:
			p.orphaned = now
			if _, self := r.opts.Elected(id, 1); self {
				list = append(list, limit.Notice{Target: id})
			}
		}
	}
	return list
}

// tellsOf says whether a notice tells of this life of a target.
func (p *posted) tellsOf(t *Target) bool {
	return !t.life.another(Incarnation{ID: p.Target, StartedAt: p.StartedAt})
}

// ApplyLimitNotice takes over a notice of the log.
func (r *Registry) ApplyLimitNotice(n limit.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.InForce {
		r.posted[n.Target] = &posted{Notice: n}
	} else {
		delete(r.posted, n.Target)
	}
	if t := r.targets[n.Target]; t != nil {
		r.learn(t, n, time.Now())
	}
}

// learn takes over a notice for a target, but for one that lets it get more than this host has heard
// from the target a moment ago: the notice may be older. The lock is held.
func (r *Registry) learn(t *Target, n limit.Notice, now time.Time) {
	if p := (&posted{Notice: n}); n.InForce && !p.tellsOf(t) {
		n = limit.Notice{Target: n.Target}
	}
	news := &t.limit.news
	news.posted, news.readAt, news.due = n, now, time.Time{}
	news.doubted = laxer(n, t.notice()) && now.Before(t.doubtUntil())
	if !news.doubted {
		r.adopt(t, now)
	}
	r.noteNews(t, now)
}

// doubtUntil is until when the notice that was read last may be older than what this host heard.
func (t *Target) doubtUntil() time.Time {
	age := time.Duration(t.limit.news.posted.AgeMs) * time.Millisecond
	return t.limit.heard.Add(noticeRead + age)
}

// settleDoubt takes over a notice that was doubted, once it can't be older than what this host heard.
// It says whether one is doubted. The lock is held.
func (r *Registry) settleDoubt(t *Target, now time.Time) bool {
	news := &t.limit.news
	if !news.doubted {
		return false
	}
	switch {
	case t.limit.heard.After(news.readAt):
		news.doubted = false // the target has said otherwise since
	case !now.Before(t.doubtUntil()):
		news.doubted = false
		r.adopt(t, now)
	default:
		return true
	}
	r.noteNews(t, now)
	return news.doubted
}

// adopt puts in force what the log tells of a target; the lock is held.
func (r *Registry) adopt(t *Target, now time.Time) {
	n := t.limit.news.posted
	switch {
	case n.InForce:
		t.limit.byRefusals, t.limit.raises, t.limit.quiet = n.ByRefusals, n.Raises, now
		r.putLimit(t, n.PerSecond, now)
	case t.limit.inForce:
		r.endLimit(t, now)
	}
}
