package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"maststage.dev/standin/backend"
)

// pauseKind is the kind of events in which targets refuse requests and ask for a pause. It is not in strikes, so that
// the other events of a seed stay the same.
const pauseKind = "ask pause"

// Figures of pauses. A host may send a target at most maxInPause requests from pauseNotice after a refusal on until the
// pause that the target asked for ends.
const (
	pauseEvery  = 2 // one seed in this many has them
	maxPauses   = 3
	minPausing  = 3 * time.Second
	pauseSpread = 5 * time.Second
	maxInPause  = 2
	pauseNotice = 500 * time.Millisecond
)

// pauses draws the events of a seed in which targets ask for pauses.
func pauses(seed uint64) []event {
	return drawInSome(seed, 9, pauseEvery, pauseKind, maxPauses, minPausing, pauseSpread)
}

// askedPause is what a target that refuses requests asks for.
type askedPause struct {
	seconds string  // value of the header
	share   float64 // of its requests that it refuses
}

// refusal is a request that a target refused, asking the host that sent it for a pause.
type refusal struct {
	requestID string
	at        time.Time
	pause     time.Duration
}

// malformedPauses are header values that are not valid times.
var malformedPauses = []string{"-1", "soon", "1e9", ""}

// askForPauses makes some targets of a service refuse all or some of their requests and ask for pauses.
func askForPauses(w *world, e event) {
	picked := pickTargets(w, e)
	for i, s := range picked {
		pause := askedPause{seconds: fmt.Sprintf("%.1f", 1+3*e.part), share: 1}
		if i%2 == 1 {
			pause.share = 0.5
		}
		if (e.pick+i)%5 == 4 {
			pause.seconds = malformedPauses[e.pick%len(malformedPauses)]
		}
		s.mu.Lock()
		s.pause = &pause
		s.mu.Unlock()
	}
	time.Sleep(e.length)
	for _, s := range picked {
		s.mu.Lock()
		s.pause = nil
		s.mu.Unlock()
	}
}

// addPause makes a response a refusal that asks for a pause, if the target sends such responses.
func (w *world) addPause(s *targetState, run backend.Run, b *backend.Behaviour) {
	w.mu.Lock()
	draw := w.random.Float64()
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pause == nil || draw >= s.pause.share {
		return
	}
	b.Refuse, b.RetryAfter = true, s.pause.seconds
	pause, err := time.ParseDuration(s.pause.seconds + "s")
	if err != nil || strings.HasPrefix(s.pause.seconds, "-") || strings.Contains(s.pause.seconds, "e") {
		return
	}
	s.refusals = append(s.refusals, refusal{requestID: run.ID, at: time.Now(), pause: pause})
}

// checkPauses: a host keeps to the pauses that targets ask it for.
func (w *world) checkPauses(calls []call, arrivals map[string][]arrivalAt) {
	hosts := map[string]*host{}
	for _, c := range calls {
		hosts[c.id] = c.host
	}
	type link struct {
		target *targetState
		host   *host
	}
	sends := map[link][]time.Time{}
	for id, list := range arrivals {
		for _, a := range list {
			k := link{a.target, hosts[id]}
			sends[k] = append(sends[k], a.at)
		}
	}
	checked := 0
	for _, s := range w.allTargets() {
		for _, r := range s.refusals {
			h := hosts[r.requestID]
			from, to := r.at.Add(pauseNotice), r.at.Add(r.pause)
			if h == nil || w.watch.interrupted(h, r.at, to) || !w.watch.linksWork(r.at, to) {
				continue
			}
			checked++
			during := slices.DeleteFunc(slices.Clone(sends[link{s, h}]), func(at time.Time) bool { return at.Before(from) || at.After(to) })
			if len(during) > maxInPause {
				w.watch.violation("asked pause", "%s asked %s at %s for %v and got %d requests of it in that time",
					s.id, h.name, r.at.Format("15:04:05.000"), r.pause, len(during))
			}
		}
	}
	w.t.Logf("%d refusals with a pause", checked)
}

// linksWork reports whether the links to targets were without a fault in a span, and settleTime before it.
func (w *watch) linksWork(begin, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(w.faults, func(f interval) bool {
		return slices.Contains(targetLinkFaults, f.what) && f.overlaps(begin.Add(-settleTime), end)
	})
}

// targetLinkFaults are the kinds of events that disturb the links to targets.
var targetLinkFaults = []string{"target slow", "target resets", "target one way", "target cut", silenceKind}
