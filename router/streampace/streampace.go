// Package streampace bounds how many events a target may have generated for a stream that broke off
// before they were received. A target generates events one after the other, so the time since the
// request was sent bounds their number, given the pace of the fastest streams observed. Arrival
// times do not count: events may be delayed on their way.
package streampace

import (
	"sync"
	"time"
)

// Parameters of the bound.
const (
	// speedMargin is the fraction of the fastest observed time that a target may need: observed
	// streams shared their targets with others, and a stream alone on a target is faster. The pace
	// differs by less than this factor between one and many streams at a target.
	speedMargin = 0.5
	// minStreams is how many streams must be observed before the pace is used.
	minStreams = 20
	// minEvents is the number of events a stream must have for its pace to count.
	minEvents = 8
)

// pace is the fastest pace observed at the targets of a service.
type pace struct {
	firstEvent time.Duration // from sending the request to the first event
	gap        time.Duration // mean time between two events of a stream
	streams    int
}

// Estimator tracks the pace of each service.
type Estimator struct {
	mu    sync.Mutex
	paces map[string]pace
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{paces: map[string]pace{}} }

// Observe records a stream that was received completely: the time to its first event, the time from
// its first to its last event, and the number of events.
func (e *Estimator) Observe(service string, firstEvent, toLast time.Duration, events int) {
	if events < minEvents || firstEvent <= 0 || toLast <= 0 {
		return
	}
	gap := toLast / time.Duration(events-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	p, seen := e.paces[service]
	if !seen {
		p = pace{firstEvent: firstEvent, gap: gap}
	}
	p.firstEvent, p.gap = min(p.firstEvent, firstEvent), min(p.gap, gap)
	p.streams++
	e.paces[service] = p
}

// MaxUndelivered returns a bound on the events that a target generated beyond those received,
// elapsed after the request was sent. known is false while too few streams were observed, and for a
// stream of which more events were received than the observed pace allows.
func (e *Estimator) MaxUndelivered(service string, elapsed time.Duration, received int) (events int, known bool) {
	e.mu.Lock()
	p := e.paces[service]
	e.mu.Unlock()
	if p.streams < minStreams {
		return 0, false
	}
	generated := 0
	if elapsed -= time.Duration(speedMargin * float64(p.firstEvent)); elapsed >= 0 {
		gap := max(time.Duration(speedMargin*float64(p.gap)), 1)
		generated = int(elapsed/gap) + 1
	}
	return generated - received, generated >= received
}
