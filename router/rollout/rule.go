package rollout

import (
	"math"
	"slices"
)

// standing is what order and record of a service together say of its versions.
type standing struct {
	trial  string   // the version that is on trial; empty: none
	wanted string   // the version that was ordered and is neither on trial nor decided yet
	barred []string // versions that get nothing
}

// standingOf weighs order and record; either may be nil.
func standingOf(o *Order, r *Record) standing {
	switch {
	case o == nil && r == nil:
		return standing{}
	case r == nil:
		return standing{wanted: o.Version}
	case o == nil || r.decides(*o):
		return r.standing(o != nil)
	}
	// The order is newer than the record.
	return standing{wanted: o.Version, barred: without(r.barredAfter(), o.Version)}
}

// standing is what a record says by itself; ordered says that its order is in force.
func (r *Record) standing(ordered bool) standing {
	s := standing{barred: slices.Clone(r.Barred)}
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

// Figures of the trial's targets.
const (
	// spreadFactor is how many times the part of the targets that bears the trial is the part of
	// its requests: about one, so that they work under the load of the old ones.
	spreadFactor = 1.25
	leastSpread  = 4 // targets: what strikes one is told from what its version does
)

// TrialTargets is how many targets bear a part of the requests that so many old targets had.
func TrialTargets(old int, share float64) int {
	return max(int(math.Ceil(spreadFactor*share*float64(old))), leastSpread)
}
