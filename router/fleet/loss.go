package fleet

import (
	"time"

	"maststage.dev/router/replica"
)

// The loss of all hosts is told by the announcements that outlive them: the topic is much older
// than the other hosts, nearly all of which have begun to count their announcements when this
// one did. A host that counts on from before proves that not all were lost. A planned restart of
// nearly all hosts within some ten seconds looks the same.

const (
	// lostPart is the part of the other hosts that must have begun anew. Some may not
	// come back, or later.
	lostPart = 0.75
	// oldTopic is how many announcements there must be of each host for the topic to be
	// older than hosts that have just begun, which have made one or two.
	oldTopic = 4
	// lostFor is how long an answer to AllLost is used: it is asked for each request.
	lostFor = 200 * time.Millisecond
)

// AllHostsLost says whether all hosts were lost shortly before this one started, as far as their
// announcements tell.
func (f *Fleet) AllHostsLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.lostAt) > lostFor {
		f.lostAt, f.lostThen = now, f.allAnew()
	}
	return f.lostThen
}

// allAnew says whether the other hosts began anew when this one did; the lock is held.
func (f *Fleet) allAnew() bool {
	anew, others := 0, 0
	for name, k := range f.hosts {
		if !f.counts(name, k) {
			continue
		}
		others++
		switch {
		case k.young:
			anew++
		case k.told:
			return false
		}
	}
	return others > 0 && f.before > int64(oldTopic*(others+1)) && float64(anew) >= lostPart*float64(others)
}

// noteFirst takes in what this host reads first of the topic; the lock is held.
func (f *Fleet) noteFirst(changes []replica.Change) {
	if f.read {
		return
	}
	f.read = true
	for _, c := range changes {
		f.before = max(f.before, c.Record.Offset+1)
	}
}

// mostBeats is how often a host can have announced itself that started when this one did, and
// one time more.
func (f *Fleet) mostBeats(now time.Time) int64 {
	return 2 + int64(now.Sub(f.born)/(f.opts.AnnounceInterval/2+1))
}
