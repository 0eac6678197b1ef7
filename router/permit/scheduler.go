package permit

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the scheduler.
const (
	// settleTime is how long a new scheduler hands out nothing, while hosts tell it of permits of the one before.
	settleTime = 700 * time.Millisecond
	// lossPause is how long nothing is handed out after a connection broke: if this host was frozen, others may have
	// turned to another scheduler, and tell this one of their permits as they come back.
	lossPause = 200 * time.Millisecond
	// orphanTime is how long permits of a host whose connection broke stay taken: it may be back, and its requests run on.
	orphanTime = time.Second
	// minGuard is the time between the end of a request and the next at its place: the target may take a moment to free
	// it. It doubles up to maxGuard with each refusal, and decays with guardDecay.
	minGuard   = 2 * time.Millisecond
	maxGuard   = 40 * time.Millisecond
	guardDecay = 5 * time.Second
	// refusalWindow is the span in which a target's refusals count against its tolerance, longer than the second that the
	// target goes by.
	refusalWindow = 1200 * time.Millisecond
	// defaultHold stands for the unknown time that requests use places.
	defaultHold = 200 * time.Millisecond
	holdWeight  = 0.05 // of the newest request in the mean
	// minRetryAfter spreads callers that are refused.
	minRetryAfter = 50 * time.Millisecond
	// forgetAfter is how long a target without requests is remembered.
	forgetAfter = time.Minute
)

// permitKey identifies a permit, or a request for one, of a host.
type permitKey struct {
	host string
	id   uint64
}

// held is a permit in use.
type held struct {
	target   string
	since    time.Time
	orphaned time.Time // when its host's connection broke; zero: it stands
}

// waiting is a request that waits.
type waiting struct {
	key      permitKey
	request  Request
	since    time.Time
	deadline time.Time
	reply    func(Reply)
}

// place is the state of one target.
type place struct {
	slots     int
	tolerance int
	used      int         // permits
	guards    []time.Time // until when a place that came free is not used
	guard     time.Duration
	refusals  []time.Time
	lastUsed  time.Time
}

// scheduler decides for the targets of one service. It is not safe for concurrent use. Replies are called by its methods.
type scheduler struct {
	settledAt time.Time // nothing is handed out before
	places    map[string]*place
	held      map[permitKey]*held
	queue     []*waiting    // by urgency, then age
	expiry    time.Time     // no request in queue has an earlier deadline; zero: there is none
	orphans   int           // permits of hosts whose connection broke
	hold      time.Duration // mean time that requests use a place
}

func newScheduler(now time.Time) *scheduler {
	return &scheduler{settledAt: now.Add(settleTime), places: map[string]*place{}, held: map[permitKey]*held{}, hold: defaultHold}
}

// ask handles a request for a permit; reply is called once, now or later.
func (s *scheduler) ask(key permitKey, r Request, now time.Time, reply func(Reply)) {
	for _, t := range r.Targets {
		s.describe(t, now)
	}
	w := &waiting{key: key, request: r, since: now, deadline: now.Add(r.MaxWait), reply: reply}
	at, _ := slices.BinarySearchFunc(s.queue, w, func(a, b *waiting) int {
		if a.request.Priority <= b.request.Priority {
			return -1
		}
		return 1
	})
	if wait := s.expectedWait(at); s.settled(now) && s.freeTotal(now) == 0 && now.Add(wait).After(w.deadline) {
		reply(Reply{RetryAfter: spread(wait)})
		return
	}
	s.queue = slices.Insert(s.queue, at, w)
	if s.expiry.IsZero() || w.deadline.Before(s.expiry) {
		s.expiry = w.deadline
	}
	s.advance(now)
}

func (s *scheduler) settled(now time.Time) bool { return !now.Before(s.settledAt) }

// freeTotal returns how many more requests the targets can take together now.
func (s *scheduler) freeTotal(now time.Time) (total int) {
	for _, p := range s.places {
		total += max(p.free(now), 0)
	}
	return total
}

// describe notes what a host knows of a target.
func (s *scheduler) describe(t Target, now time.Time) *place {
	p := s.places[t.ID]
	if p == nil {
		p = &place{guard: minGuard}
		s.places[t.ID] = p
	}
	p.slots, p.tolerance, p.lastUsed = t.Slots, t.Tolerance, now
	return p
}

// cancel withdraws a request that waits.
func (s *scheduler) cancel(key permitKey) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.key == key })
}

// keep notes a permit that the scheduler before this one handed out, or that survived a broken connection.
func (s *scheduler) keep(key permitKey, t Target, now time.Time) {
	if h := s.held[key]; h != nil {
		s.adopt(h)
		return
	}
	s.describe(t, now).used++
	s.held[key] = &held{target: t.ID, since: now}
}

// adopt notes that the host of a permit is back, or that the permit ends.
func (s *scheduler) adopt(h *held) {
	if !h.orphaned.IsZero() {
		h.orphaned = time.Time{}
		s.orphans--
	}
}

// end returns a permit.
func (s *scheduler) end(key permitKey, result Result, now time.Time) {
	h := s.held[key]
	if h == nil {
		s.cancel(key)
		return
	}
	s.adopt(h)
	delete(s.held, key)
	p := s.places[h.target]
	p.used--
	p.lastUsed = now
	if result == Refused {
		p.refusals = append(p.refusals, now)
		p.guard = min(2*p.guard, maxGuard)
	} else {
		took := now.Sub(h.since)
		s.hold += time.Duration(holdWeight * float64(took-s.hold))
		p.guard = max(p.guard-time.Duration(float64(p.guard)*took.Seconds()/guardDecay.Seconds()), minGuard)
	}
	p.guards = append(p.guards, now.Add(p.guard))
	s.advance(now)
}

// lost marks the permits of a host whose connection broke, and drops what it waits for.
func (s *scheduler) lost(host string, now time.Time) {
	if until := now.Add(lossPause); until.After(s.settledAt) {
		s.settledAt = until
	}
	for key, h := range s.held {
		if key.host == host && h.orphaned.IsZero() {
			h.orphaned = now
			s.orphans++
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.key.host == host })
}

// free returns how many more requests the target can take now.
func (p *place) free(now time.Time) int {
	p.guards = slices.DeleteFunc(p.guards, func(until time.Time) bool { return !now.Before(until) })
	p.refusals = slices.DeleteFunc(p.refusals, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
	if len(p.refusals) >= max(p.tolerance/2, 1) {
		return 0
	}
	return p.slots - p.used - len(p.guards)
}

// advance hands out permits and refuses requests that can't have one in time.
func (s *scheduler) advance(now time.Time) {
	s.releaseOrphans(now)
	free := 0
	if s.settled(now) {
		free = s.freeTotal(now)
	}
	if len(s.queue) == 0 || free == 0 && now.Before(s.expiry) {
		return
	}
	s.expiry = time.Time{}
	kept := s.queue[:0]
	for _, w := range s.queue {
		target := ""
		if free > 0 {
			target = s.pick(w.request, now)
		}
		wait := s.expectedWait(len(kept))
		switch {
		case target != "":
			free--
			s.places[target].used++
			s.held[w.key] = &held{target: target, since: now}
			w.reply(Reply{Target: target})
		case !now.Before(w.deadline) || s.settled(now) && now.Add(wait).After(w.deadline):
			w.reply(Reply{RetryAfter: spread(wait)})
		default:
			kept = append(kept, w)
			if s.expiry.IsZero() || w.deadline.Before(s.expiry) {
				s.expiry = w.deadline
			}
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// releaseOrphans frees the places of hosts whose connection broke orphanTime ago.
func (s *scheduler) releaseOrphans(now time.Time) {
	if s.orphans == 0 {
		return
	}
	for key, h := range s.held {
		if !h.orphaned.IsZero() && now.Sub(h.orphaned) >= orphanTime {
			s.adopt(h)
			delete(s.held, key)
			s.places[h.target].used--
		}
	}
}

// pick returns the first target that a request prefers and that has a place, "" if none has.
func (s *scheduler) pick(r Request, now time.Time) string {
	for _, t := range r.Targets {
		if s.places[t.ID].free(now) > 0 {
			return t.ID
		}
	}
	return ""
}

// expectedWait estimates how long a request waits behind others.
func (s *scheduler) expectedWait(ahead int) time.Duration {
	total := 0
	for _, p := range s.places {
		total += p.slots
	}
	return time.Duration(float64(ahead) / float64(max(total, 1)) * float64(s.hold))
}

// spread returns when a refused caller should come back.
func spread(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait/2 + rand.N(wait)
}

// next returns when advance should be called again; ok is false if nothing waits.
func (s *scheduler) next(now time.Time) (at time.Time, ok bool) {
	if len(s.queue) == 0 {
		return at, false
	}
	at = now.Add(refusalWindow)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	earlier(s.settledAt)
	earlier(s.expiry)
	for _, p := range s.places {
		for _, until := range p.guards {
			earlier(until)
		}
		for _, refused := range p.refusals {
			earlier(refused.Add(refusalWindow))
		}
	}
	if s.orphans > 0 {
		for _, h := range s.held {
			if !h.orphaned.IsZero() {
				earlier(h.orphaned.Add(orphanTime))
			}
		}
	}
	return at, true
}

// forget drops targets that had no requests for long, and reports whether nothing is left.
func (s *scheduler) forget(now time.Time) (empty bool) {
	for id, p := range s.places {
		if p.used == 0 && now.Sub(p.lastUsed) > forgetAfter {
			delete(s.places, id)
		}
	}
	return len(s.places) == 0 && len(s.queue) == 0
}
