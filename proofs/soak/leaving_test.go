package soak

import (
	"time"

	"maststage.dev/platform/platformtest"
	"maststage.dev/standin/backend"
)

// announceKind is the kind of events in which targets announce their exit in their responses, while the store still
// lists them as ready. It is not in strikes, so that the other events of a seed stay the same.
const announceKind = "announce exit"

// Figures of announced exits.
const (
	announceEvery  = 2 // one seed in this many has them
	maxAnnounced   = 3
	minUnlisted    = 2 * time.Second // from the first response to the entry in the store
	unlistedSpread = 4 * time.Second
)

// announcedExits draws the events of a seed in which targets announce their exit.
func announcedExits(seed uint64) []event {
	return drawInSome(seed, 8, announceEvery, announceKind, maxAnnounced, minUnlisted, unlistedSpread)
}

// announceExit makes a target announce its exit in each response, and writes its entry when the event ends. Another
// target is added in its place.
func announceExit(w *world, e event) {
	list := w.readyTargets([]string{engineService, plainService}[e.pick%2])
	if len(list) < 2 {
		return
	}
	s := list[e.pick%len(list)]
	w.addTarget(s.service)
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	time.Sleep(e.length)
	w.list(s, platformtest.Draining)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftAt = time.Now()
}

// addLeaving adds the announcement of the target's exit to a response.
func (s *targetState) addLeaving(b *backend.Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.Leaving = s.leaving
}

// checkAnnouncedExits: a request that reaches a host later than drainWithin after it forwarded a response that announced
// a target's exit is not sent to that target.
func (w *world) checkAnnouncedExits(calls []call, arrivals map[string][]arrivalAt) {
	type knowledge struct {
		host   *host
		target string
	}
	since := map[knowledge]time.Time{}
	for _, c := range calls {
		k := knowledge{c.host, c.stamp}
		if first, had := since[k]; c.leaving && c.stamp != "" && (!had || c.headAt.Before(first)) {
			since[k] = c.headAt
		}
	}
	for _, c := range calls {
		for _, a := range arrivals[c.id] {
			told, knows := since[knowledge{c.host, a.target.id}]
			if late := c.started.Sub(told); knows && late > drainWithin && !w.watch.interrupted(c.host, told, a.at) {
				w.watch.violation("announced exit", "%s got %s from %s, sent %v after that host had forwarded the announcement",
					a.target.id, c.id, c.host.name, late.Round(time.Millisecond))
			}
		}
	}
	w.t.Logf("%d announced exits known to hosts", len(since))
}

// interrupt records that a host's process is restarted or paused. The returned function records the end.
func (w *watch) interrupt(h *host) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := &interval{what: h.name, begin: time.Now()}
	w.interruptions[h] = append(w.interruptions[h], one)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		one.end = time.Now()
	}
}

// interrupted reports whether a host's process was restarted or paused in a span.
func (w *watch) interrupted(h *host, begin, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.interruptions[h] {
		if i.overlaps(begin, end) {
			return true
		}
	}
	return false
}
