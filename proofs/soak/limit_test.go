package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"maststage.dev/standin/backend"
)

// limitKind is the kind of events in which targets name the requests a second that they take. It is
// not among strikes: the events of a seed stay what they were without it.
const limitKind = "limit"

// Figures of limits, and of what a target that names one may get: in any limitSpan no more than
// limitOverrun times what it allows and limitSlack more, from hosts that had passed on an answer with it
// limitTold before, and from limitBegins after it was first named.
const (
	limitEvery   = 2 // of so many seeds one has them
	mostLimits   = 3
	leastLimited = 5 * time.Second
	limitLonger  = 6 * time.Second
	limitSpan    = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	limitTold    = 500 * time.Millisecond
	limitBegins  = 3 * time.Second
	limitBack    = 20 * time.Second // after the end of all faults a target serves as before
	limitServed  = 10               // requests, which show that it does
)

// limits draws the limits of a seed, apart from its other events.
func limits(seed uint64) []event {
	random := rand.New(rand.NewPCG(seed, 6))
	if random.IntN(limitEvery) != 0 {
		return nil
	}
	return draw(random, limitKind, mostLimits, leastLimited, limitLonger)
}

// namedLimit is a limit that a target names for a time.
type namedLimit struct {
	perSecond  float64
	begin, end time.Time // end is zero while it lasts
}

// malformedLimits are values that name no limit.
var malformedLimits = [][]string{{"-1"}, {"1e99"}, {"many"}, {"1", "2"}, {""}}

// limited lets some targets of a service name limits, and others values that can't be read.
func limited(w *world, e event) {
	var named []*targetState
	for i, s := range struck(w, e) {
		if (e.pick+i)%5 == 4 {
			s.nameLimit(malformedLimits[e.pick%len(malformedLimits)])
			named = append(named, s)
			continue
		}
		perSecond := 0.5 + 4*e.part*float64(i%2)
		if s.beginLimit(perSecond) {
			named = append(named, s)
		}
	}
	time.Sleep(e.length)
	for _, s := range named {
		s.endLimit()
	}
}

// beginLimit lets a target name a limit, unless it names one.
func (s *targetState) beginLimit(perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != nil {
		return false
	}
	s.limit = []string{fmt.Sprint(perSecond)}
	s.limits = append(s.limits, namedLimit{perSecond: perSecond, begin: time.Now()})
	return true
}

// nameLimit lets a target name a value, unless it names one.
func (s *targetState) nameLimit(values []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == nil {
		s.limit = values
	}
}

func (s *targetState) endLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = nil
	if n := len(s.limits); n > 0 && s.limits[n-1].end.IsZero() {
		s.limits[n-1].end = time.Now()
	}
}

// namesLimit puts the limit into an answer.
func (s *targetState) namesLimit(b *backend.Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.Limit = s.limit
}

// checkLimits: targets that name limits get no more from the hosts that know.
func (w *world) checkLimits(calls []call, arrivals map[string][]arrivalAt) {
	hosts := map[string]*host{}
	for _, c := range calls {
		hosts[c.id] = c.host
	}
	sends := map[*targetState][]arrivalAt{}
	for _, list := range arrivals {
		for _, a := range list {
			sends[a.target] = append(sends[a.target], a)
		}
	}
	checked := 0
	for s, list := range sends {
		slices.SortFunc(list, func(a, b arrivalAt) int { return a.at.Compare(b.at) })
		for _, limit := range s.limits {
			checked++
			w.checkLimit(s, limit, list, hosts, told(calls, s, limit))
		}
	}
	w.t.Logf("%d limits", checked)
}

// told is since when each host knows of a limit: it had passed on an answer that names it.
func told(calls []call, s *targetState, limit namedLimit) map[*host]time.Time {
	since := map[*host]time.Time{}
	for _, c := range calls {
		if c.limit == "" || c.stamp != s.id || c.headAt.Before(limit.begin) {
			continue
		}
		if first, had := since[c.host]; !had || c.headAt.Before(first) {
			since[c.host] = c.headAt
		}
	}
	return since
}

func (w *world) checkLimit(s *targetState, limit namedLimit, list []arrivalAt, hosts map[string]*host, told map[*host]time.Time) {
	allowed := limitOverrun*limitSpan.Seconds()*limit.perSecond + limitSlack
	var in []arrivalAt
	for _, a := range list {
		h := hosts[a.run.ID]
		since, knows := told[h]
		if a.at.Before(limit.begin.Add(limitBegins)) || !limit.end.IsZero() && a.at.After(limit.end) {
			continue
		}
		if !knows || a.at.Sub(since) < limitTold || w.watch.excused(h, a.at) {
			continue
		}
		in = append(in, a)
		for a.at.Sub(in[0].at) >= limitSpan {
			in = in[1:]
		}
		if float64(len(in)) > allowed {
			w.watch.violation("limit", "%s names %v a second and got %d requests in %v until %s, the last %s from %s",
				s.id, limit.perSecond, len(in), limitSpan, a.at.Format("15:04:05.000"), a.run.ID, h.name)
			return
		}
	}
}

// checkLimitsOver: targets that named limits serve as before once all is well again. Plain ones, that
// is: of engines those get nothing that come first for none of the callers' few prompts.
func (w *world) checkLimitsOver() {
	for _, s := range w.allTargets() {
		s.mu.Lock()
		wanted := s.service == plainService && len(s.limits) > 0 && s.leftAt.IsZero()
		s.mu.Unlock()
		if !wanted {
			continue
		}
		before := s.Arrivals()
		for deadline := time.Now().Add(limitBack); s.Arrivals()-before < limitServed && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
		}
		s.mu.Lock()
		left := !s.leftAt.IsZero()
		s.mu.Unlock()
		if got := s.Arrivals() - before; got < limitServed && !left {
			w.watch.violation("limit is over", "%s got %d requests in %v after all was well again", s.id, got, limitBack)
		}
	}
}

// excuse notes that a host is restarted, stands still or is cut off from the store; the function that
// it gives notes the end.
func (w *watch) excuse(h *host) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := &interval{what: h.name, begin: time.Now()}
	w.excuses[h] = append(w.excuses[h], one)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		one.end = time.Now()
	}
}

// excused says whether a host was in trouble at a moment, or shortly before.
func (w *watch) excused(h *host, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.excuses[h], func(i *interval) bool { return i.overlaps(at.Add(-settleTime), at) })
}
