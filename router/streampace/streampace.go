// Package streampace bounds how many events a target may have generated for a stream that broke off
// before they were received. A target generates events one after the other, so the time since the
// request was sent bounds their number, given the pace of the fastest streams observed. Arrival
// times do not count: events may be delayed on their way. Neither does the time to the first event,
// which depends on the length of the prompt and on how much of it the target has cached: all that
// holds of it is that the first event takes as long to generate as any other.
package streampace

import (
	"sync"
	"time"
)

// Parameters of the bound.
const (
	// speedMargin is the fraction of the fastest observed gap that a target may need: observed
	// streams may all have shared their targets with others, and a stream alone on a target is
	// faster. The pace differs by less than this factor between an empty and a full batch.
	speedMargin = 0.25
	// minStreams is how many streams must be observed before the pace is used.
	minStreams = 20
	// minEvents is the number of events a stream must have for its pace to count.
	minEvents = 8
	// maxSources bounds the sources that are remembered; beyond it all are learned anew.
	maxSources = 256
)

// Source identifies targets that generate events at a similar pace.
type Source struct {
	Service string
	Version string // of the targets' software
}

// pace is the fastest pace observed at a source.
type pace struct {
	gap     time.Duration // mean time between two events of a stream
	streams int
}

// Estimator tracks the pace of each source.
type Estimator struct {
	mu    sync.Mutex
	paces map[Source]pace
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{paces: map[Source]pace{}} }

// Observe records a stream that was received completely: the time from its first to its last event,
// and the number of events.
func (e *Estimator) Observe(source Source, toLast time.Duration, events int) {
	if events < minEvents || toLast <= 0 {
		return
	}
	gap := toLast / time.Duration(events-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	p, seen := e.paces[source]
	if !seen {
		if len(e.paces) >= maxSources {
			clear(e.paces)
		}
		p.gap = gap
	}
	p.gap = min(p.gap, gap)
	p.streams++
	e.paces[source] = p
}

// MaxUndelivered returns a bound on the events that a target generated beyond those received,
// elapsed after the request was sent. known is false while too few streams were observed, and for a
// stream of which more events were received than the observed pace allows.
func (e *Estimator) MaxUndelivered(source Source, elapsed time.Duration, received int) (events int, known bool) {
	e.mu.Lock()
	p := e.paces[source]
	e.mu.Unlock()
	if p.streams < minStreams {
		return 0, false
	}
	gap := max(time.Duration(speedMargin*float64(p.gap)), 1)
	generated := int(max(elapsed, 0) / gap)
	return generated - received, generated >= received
}
