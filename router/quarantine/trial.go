package quarantine

import (
	"slices"
	"time"
)

// Parts that come together at the same exits, and none of which a target is known to have survived, are quarantined together:
// any may be the guilty one. Requests with some of them only, not all, are tried, which tells them apart: the parts of one that
// its target survives are innocent, and so are the parts that one lacks which crashes its target.
const (
	// trialTime is how long after an entry was added all hosts send such requests.
	trialTime = 2 * time.Second
	// laterTrials is how many of the hosts that count exits under the part send one more each, since there may have been none
	// within trialTime, and laterTrialInterval the time between them.
	laterTrials        = 3
	laterTrialInterval = 5 * time.Second
)

// mayTry reports whether a request with these parts may be sent despite the entries about some of them, sorted by digest.
// A later trial counts as one of the first entry. The lock is held.
func (g *Guard) mayTry(entries []Entry, parts []Part, now time.Time) bool {
	early := true
	for _, e := range entries {
		if len(g.missingFrom(parts, e)) == 0 {
			return false
		}
		early = early && now.Sub(g.list.addedAt[e.Digest]) < trialTime
	}
	return early || g.takeLaterTrial(entries[0], now)
}

// takeLaterTrial reports whether this host may send one more request to try an entry, and notes that it does. The lock is
// held.
func (g *Guard) takeLaterTrial(e Entry, now time.Time) bool {
	_, rank := g.peers.CountingHosts(e.Kind, e.Digest)
	age := now.Sub(g.list.addedAt[e.Digest])
	if g.list.tried[e.Digest] || rank >= laterTrials || age < time.Duration(rank+1)*laterTrialInterval {
		return false
	}
	g.list.tried[e.Digest] = true
	return true
}

// missingFrom lists the entries about parts that were quarantined at some of the same exits as an entry's part, and that a
// request with the given parts lacks. The lock is held.
func (g *Guard) missingFrom(parts []Part, e Entry) (missing []Digest) {
	for d, other := range g.list.entries {
		if !other.Kind.isPart() || other.Common == e.Common || !haveCommon(other.Targets, e.Targets) {
			continue
		}
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Common == other.Common }) {
			missing = append(missing, d)
		}
	}
	return missing
}

// narrow lifts the entries about parts that a request lacked which was sent as a later trial and crashed its target. Within
// trialTime a target may have had several such requests.
func (g *Guard) narrow(parts []Part, sent time.Time) {
	if !g.nonEmpty.Load() {
		return
	}
	g.mu.Lock()
	var innocent []Digest
	for _, p := range parts {
		for _, d := range []Digest{p.Own, p.Common} {
			e, held := g.list.entries[d]
			if !held || sent.Sub(g.list.addedAt[d]) < trialTime {
				continue
			}
			if missing := g.missingFrom(parts, e); len(missing) > 0 {
				innocent = append(innocent, missing...)
				delete(g.list.tried, d) // fewer parts are left to tell apart
			}
		}
	}
	g.mu.Unlock()
	for _, d := range innocent {
		g.lift(d, "a request without the part crashed its target")
	}
}

func haveCommon(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}
