// Package metering bounds how many events a target may have made of a stream that broke
// off before they came. A target makes events one after the other, so the time since the
// request was sent bounds them, by the pace of the fastest streams that were seen. When
// the events came does not count: they may be held up on their way.
package streampace

import (
	"sync"
	"time"
)

// Figures of the bound.
const (
	// margin is the part of the fastest time seen that a target may need: streams that
	// were seen shared their targets with others, and one alone is faster. Between one
	// and many streams at a target the pace differs by less than this.
	margin = 0.5
	// leastStreams is how many streams are seen before their pace is believed.
	leastStreams = 20
	// leastEvents is how many events a stream has for its pace to be counted.
	leastEvents = 8
)

// pace is the fastest that was seen of the targets of a service.
type pace struct {
	first   time.Duration // from the send to the first event
	gap     time.Duration // between two events, in the mean of a stream
	streams int
}

// Estimator knows the pace of each service.
type Estimator struct {
	mu    sync.Mutex
	paces map[string]pace
}

// New makes a meter that has seen nothing.
func New() *Estimator { return &Estimator{paces: map[string]pace{}} }

// Observe takes in a stream that came whole: the time to its first event, that from its
// first to its last, and how many there were.
func (m *Estimator) Observe(service string, first, rest time.Duration, events int) {
	if events < leastEvents || first <= 0 || rest <= 0 {
		return
	}
	gap := rest / time.Duration(events-1)
	m.mu.Lock()
	defer m.mu.Unlock()
	p, seen := m.paces[service]
	if !seen {
		p = pace{first: first, gap: gap}
	}
	p.first, p.gap = min(p.first, first), min(p.gap, gap)
	p.streams++
	m.paces[service] = p
}

// MaxUndelivered bounds the events that a target made beyond those that came, elapsed after the
// request was sent. known is false while too few streams were seen to tell, and for a
// stream of which more came than the pace that is believed in allows.
func (m *Estimator) MaxUndelivered(service string, elapsed time.Duration, came int) (events int, known bool) {
	m.mu.Lock()
	p := m.paces[service]
	m.mu.Unlock()
	if p.streams < leastStreams {
		return 0, false
	}
	made := 0
	if elapsed -= time.Duration(margin * float64(p.first)); elapsed >= 0 {
		gap := max(time.Duration(margin*float64(p.gap)), 1)
		made = int(elapsed/gap) + 1
	}
	return made - came, made >= came
}
