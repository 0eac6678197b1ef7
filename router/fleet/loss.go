package fleet

import (
	"time"

	"maststage.dev/router/replica"
)

// The loss of all hosts is detected from their announcements, which outlive them: the topic is
// much older than the other hosts, nearly all of which restarted their sequence numbers when
// this host started. A host whose sequence continues proves that not all hosts were lost. A
// planned restart of nearly all hosts within some ten seconds looks the same.

const (
	// minRestartedShare is the share of the other hosts that must have restarted. Some may come
	// back later or never.
	minRestartedShare = 0.75
	// minAnnouncementsPerHost is how many announcements per host the topic must hold to be older
	// than hosts that have just started, which have made one or two.
	minAnnouncementsPerHost = 4
	// allLostTTL is how long a result of AllHostsLost is cached: each request reads it.
	allLostTTL = 200 * time.Millisecond
)

// AllHostsLost reports whether the announcements show that all hosts were lost shortly before
// this one started.
func (f *Fleet) AllHostsLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.cachedLostAt) > allLostTTL {
		f.cachedLostAt, f.cachedLost = now, f.othersRestarted()
	}
	return f.cachedLost
}

// othersRestarted reports whether the other hosts restarted when this one did; the lock is held.
func (f *Fleet) othersRestarted() bool {
	restarted, others := 0, 0
	for name, peer := range f.hosts {
		if !f.isActive(name, peer) {
			continue
		}
		others++
		switch {
		case peer.restarted:
			restarted++
		case peer.reannounced:
			return false
		}
	}
	return others > 0 && f.initialEnd > int64(minAnnouncementsPerHost*(others+1)) && float64(restarted) >= minRestartedShare*float64(others)
}

// noteInitialEnd records the end of the topic at its first read; the lock is held.
func (f *Fleet) noteInitialEnd(changes []replica.Change) {
	if f.topicRead {
		return
	}
	f.topicRead = true
	for _, c := range changes {
		f.initialEnd = max(f.initialEnd, c.Record.Position.Offset+1)
	}
}

// maxSequence is the highest sequence number that a host can have reached if it started when this
// one did, plus a margin of one.
func (f *Fleet) maxSequence(now time.Time) int64 {
	return 2 + int64(now.Sub(f.createdAt)/(f.opts.AnnounceInterval/2+1))
}
