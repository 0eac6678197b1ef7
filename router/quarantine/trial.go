package quarantine

import (
	"slices"
	"time"
)

// Parts that come together at the same exits, and none of which a target is known to have survived, are quarantined together:
// any may be the guilty one. Requests with some of them only, not all, are tried then, which tells them apart.
const (
	// trialTime is how long after an entry was added such requests are sent.
	trialTime = 2 * time.Second
	// laterTrials is how many such requests the host that decided an entry sends after that, and laterTrialInterval the time
	// between them: there may have been none within trialTime.
	laterTrials        = 2
	laterTrialInterval = 5 * time.Second
)

// mayTry reports whether a request with these parts may be sent despite an entry about one of them. The lock is held.
func (g *Guard) mayTry(e Entry, parts []Part, now time.Time) bool {
	if !g.isAmbiguous(e, parts) {
		return false
	}
	added := g.list.addedAt[e.Digest]
	if now.Sub(added) < trialTime {
		return true
	}
	tried := g.list.tried[e.Digest]
	if e.Host != g.opts.Host || tried >= laterTrials || now.Sub(added) < time.Duration(tried+1)*laterTrialInterval {
		return false
	}
	g.list.tried[e.Digest]++
	return true
}

// isAmbiguous reports whether other parts were quarantined at some of the same exits as an entry's, and the request lacks one
// of them.
func (g *Guard) isAmbiguous(e Entry, parts []Part) bool {
	for _, other := range g.list.entries {
		if !other.Kind.isPart() || other.Common == e.Common || !haveCommon(other.Targets, e.Targets) {
			continue
		}
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Common == other.Common }) {
			return true
		}
	}
	return false
}

func haveCommon(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}
