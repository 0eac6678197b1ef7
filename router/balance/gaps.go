// Package balance decides which targets of a service get which part of its work.
//
// Load pattern: a service whose targets run at different speeds, whose prompts are of very different length, and whose
// requests arrive in waves at many hosts. A host sees a small part of them: its own outstanding requests don't show
// which targets are busy, and what other hosts tell is older than the time that a prompt takes to read. So nothing here
// follows the load of the moment. Hosts measure what lasts, tell each other, and choose alike: how fast each target is,
// and which shared parts are requested more than one target can serve.
package balance

import (
	"slices"
	"time"
)

const (
	gapsKept  = 32              // newest gaps that count
	gapMaxAge = 5 * time.Second // of a gap that counts; a target that turns slow shows after about half of it
	minGaps   = 4               // that make an estimate
)

// Gaps holds the newest gaps between events of one target's streams, as one host sees them. The zero value is ready to
// use.
type Gaps struct {
	ring  [gapsKept]gapSample
	count int // recorded in total
}

type gapSample struct {
	at  time.Time
	gap time.Duration
}

// Record adds a gap.
func (g *Gaps) Record(gap time.Duration, now time.Time) {
	g.ring[g.count%gapsKept] = gapSample{now, gap}
	g.count++
}

// Usual returns the median of the newest gaps; ok is false if they are too few. The longer ones contain the reading of
// other requests' prompts, which shows the target's load and not its speed, and the shortest ones follow a delay on the
// way.
func (g *Gaps) Usual(now time.Time) (gap time.Duration, ok bool) {
	recent := make([]time.Duration, 0, gapsKept)
	for _, s := range g.ring[:min(g.count, gapsKept)] {
		if now.Sub(s.at) <= gapMaxAge {
			recent = append(recent, s.gap)
		}
	}
	if len(recent) < minGaps {
		return 0, false
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/2], true
}

// unused reports whether no gap was recorded for long.
func (g *Gaps) unused(now time.Time) bool {
	return g.count == 0 || now.Sub(g.ring[(g.count-1)%gapsKept].at) > gapMaxAge
}
