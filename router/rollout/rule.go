package rollout

import (
	"math"
	"slices"
)

// eligibility says which versions may get requests, by the order and record of a service.
type eligibility struct {
	trial   string   // the version on trial; empty: none
	pending string   // the version that was ordered and is neither on trial nor decided yet
	barred  []string // versions that get no requests
}

// eligibilityOf combines an order and a record; either may be nil.
func eligibilityOf(o *Order, r *Record) eligibility {
	switch {
	case o == nil && r == nil:
		return eligibility{}
	case r == nil:
		return eligibility{pending: o.Version}
	case o == nil || r.isFor(*o):
		return r.eligibility(o != nil)
	}
	// The order is newer than the record.
	return eligibility{pending: o.Version, barred: without(r.barredAfter(), o.Version)}
}

// eligibility is what the record says by itself; ordered says whether its order still stands.
func (r *Record) eligibility(ordered bool) eligibility {
	s := eligibility{barred: slices.Clone(r.Barred)}
	switch {
	case r.State == Done:
		s.barred = append(s.barred, r.Base...)
	case r.State == RolledBack, !ordered:
		s.barred = append(s.barred, r.Version)
	default:
		s.trial = r.Version
	}
	return s
}

// Number of targets that take part in a trial.
const (
	// trialTargetFactor is the fraction of targets in the trial over the fraction of requests in it.
	// It is about 1, so that trial targets work under the same load as the old ones.
	trialTargetFactor = 1.25
	minTrialTargets   = 4 // targets: enough to distinguish a fault of one target from a fault of the version
)

// TrialTargets is how many targets take the given share of the requests that old targets had.
func TrialTargets(old int, share float64) int {
	return max(int(math.Ceil(trialTargetFactor*share*float64(old))), minTrialTargets)
}
