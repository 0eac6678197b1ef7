package soak

import (
	"fmt"
	"slices"
	"time"

	"maststage.dev/standin/backend"
)

// limitKind is the kind of events in which targets send a limit: the requests a second that they
// accept. It is not in strikes, so that the other events of a seed stay the same.
const limitKind = "limit"

// Figures of limits. A target with a limit may get in any limitSpan at most limitOverrun times what it
// allows, plus limitSlack. Requests count once the target has sent the limit for limitStart, and only
// if their host relayed a response with that limit at least limitNotice earlier.
const (
	limitEvery    = 2 // one seed in this many has them
	maxLimits     = 3
	minLimited    = 5 * time.Second
	limitedSpread = 6 * time.Second
	limitSpan     = 4 * time.Second
	limitOverrun  = 1.5
	limitSlack    = 5
	limitNotice   = 500 * time.Millisecond
	limitStart    = 3 * time.Second
	limitRecovery = 20 * time.Second // after the end of all faults, until a target serves as before
	limitServed   = 10               // requests that a target must get to count as serving
)

// limits draws the limit events of a seed.
func limits(seed uint64) []event {
	return drawInSome(seed, 6, limitEvery, limitKind, maxLimits, minLimited, limitedSpread)
}

// sentLimit is a limit that a target sends, or has sent, in its responses.
type sentLimit struct {
	perSecond  float64
	begin, end time.Time // end is zero while it lasts
}

// malformedLimits are header values that are not valid limits.
var malformedLimits = [][]string{{"-1"}, {"1e99"}, {"many"}, {"1", "2"}, {""}}

// limitTargets makes some targets of a service send limits, and others malformed values.
func limitTargets(w *world, e event) {
	var limited []*targetState
	for i, s := range pickTargets(w, e) {
		if (e.pick+i)%5 == 4 {
			s.sendValues(malformedLimits[e.pick%len(malformedLimits)])
			limited = append(limited, s)
			continue
		}
		perSecond := 0.5 + 4*e.part*float64(i%2)
		if s.beginLimit(perSecond) {
			limited = append(limited, s)
		}
	}
	time.Sleep(e.length)
	for _, s := range limited {
		s.endLimit()
	}
}

// beginLimit makes a target send a limit. It reports false if the target already sends one.
func (s *targetState) beginLimit(perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != nil {
		return false
	}
	s.limit = []string{fmt.Sprint(perSecond)}
	s.limits = append(s.limits, sentLimit{perSecond: perSecond, begin: time.Now()})
	return true
}

// sendValues makes a target send the given values, unless it already sends a limit.
func (s *targetState) sendValues(values []string) {
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

// addLimit adds the target's limit to a response.
func (s *targetState) addLimit(b *backend.Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.Limit = s.limit
}

// checkLimits: targets get no more than their limits from hosts that know them.
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
			w.checkLimit(s, limit, list, hosts, knownSince(calls, s, limit))
		}
	}
	w.t.Logf("%d limits", checked)
}

// knownSince returns since when each host knows a limit: the time of the first response with it that
// the host relayed.
func knownSince(calls []call, s *targetState, limit sentLimit) map[*host]time.Time {
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

func (w *world) checkLimit(s *targetState, limit sentLimit, list []arrivalAt, hosts map[string]*host, known map[*host]time.Time) {
	allowed := limitOverrun*limitSpan.Seconds()*limit.perSecond + limitSlack
	var in []arrivalAt
	for _, a := range list {
		h := hosts[a.run.ID]
		since, knows := known[h]
		if a.at.Before(limit.begin.Add(limitStart)) || !limit.end.IsZero() && a.at.After(limit.end) {
			continue
		}
		if !knows || a.at.Sub(since) < limitNotice || w.watch.impaired(h, a.at) {
			continue
		}
		in = append(in, a)
		for a.at.Sub(in[0].at) >= limitSpan {
			in = in[1:]
		}
		if float64(len(in)) > allowed {
			w.watch.violation("limit", "%s has a limit of %v a second and got %d requests in %v until %s, the last %s from %s",
				s.id, limit.perSecond, len(in), limitSpan, a.at.Format("15:04:05.000"), a.run.ID, h.name)
			return
		}
	}
}

// checkLimitsLifted: plain targets that had limits, or asked for pauses, serve as before after recovery. Engines are not
// checked: one that is the first choice for none of the callers' few prompts gets no requests.
func (w *world) checkLimitsLifted() {
	for _, s := range w.allTargets() {
		s.mu.Lock()
		wanted := s.service == plainService && len(s.limits)+len(s.refusals) > 0 && s.leftAt.IsZero() && !s.leaving
		s.mu.Unlock()
		if !wanted {
			continue
		}
		before := s.Arrivals()
		for deadline := time.Now().Add(limitRecovery); s.Arrivals()-before < limitServed && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
		}
		s.mu.Lock()
		left := !s.leftAt.IsZero()
		s.mu.Unlock()
		if got := s.Arrivals() - before; got < limitServed && !left {
			w.watch.violation("limit is over", "%s got %d requests in %v after recovery", s.id, got, limitRecovery)
		}
	}
}

// impair records that a host is restarted, stalled or cut off from the store. The returned function
// records the end.
func (w *watch) impair(h *host) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := &interval{what: h.name, begin: time.Now()}
	w.impairments[h] = append(w.impairments[h], one)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		one.end = time.Now()
	}
}

// impaired reports whether a host was impaired at a time, or up to settleTime before.
func (w *watch) impaired(h *host, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.impairments[h], func(i *interval) bool { return i.overlaps(at.Add(-settleTime), at) })
}
