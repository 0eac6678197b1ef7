package fleet

import "time"

// The loss of all hosts is told by their announcements, which outlive them: this host finds one
// of its own from before, which a planned stop would have taken back, and nearly all others
// begin to count their announcements anew beside it. A host that still counts on from before
// proves that not all were lost.

const (
	// lostPart is the part of the other hosts that must have begun anew. Some may not
	// come back, or later.
	lostPart = 0.75
	// lostFor is how long an answer to AllLost is used: it is asked for each request.
	lostFor = 200 * time.Millisecond
)

// AllLost says whether all hosts were lost shortly before this one started, as far as their
// announcements tell.
func (f *Fleet) AllLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.lostAt) > lostFor {
		f.lostAt, f.lostThen = now, f.lost && f.allAnew(now)
	}
	return f.lostThen
}

// allAnew says whether the other hosts began anew when this one did; the lock is held.
func (f *Fleet) allAnew(now time.Time) bool {
	anew, others := 0, 0
	for name, k := range f.hosts {
		if !f.counts(name, k) {
			continue
		}
		others++
		switch {
		case k.host.Beat <= f.mostBeats(now):
			anew++
		case k.told:
			return false
		}
	}
	return float64(anew) >= lostPart*float64(others)
}

// mostBeats is how often a host can have announced itself that started when this one did, and
// one time more.
func (f *Fleet) mostBeats(now time.Time) int64 {
	return 2 + int64(now.Sub(f.born)/(f.opts.Announce/2+1))
}
