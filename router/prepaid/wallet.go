package prepaid

import (
	"math"
	"time"
)

// Plan holds the figures by which a host sizes its slice of a budget.
type Plan struct {
	// Horizon is how long a slice lasts at the present demand, in seconds.
	Horizon float64
	// EvenPart is the part of all unspent tokens that all hosts together hold
	// whatever the demand, so that a host whose demand jumps can go on.
	EvenPart float64
	// MostParts bounds a slice: so many even shares of the unspent tokens.
	MostParts float64
}

// DefaultPlan is what the measurements in docs/MEASUREMENTS.md chose.
var DefaultPlan = Plan{Horizon: 11, EvenPart: 0.2, MostParts: 0.3}

// Figures of demand and of the changes worth an append.
const (
	demandTime   = 4.0 // seconds over which demand is smoothed
	refillBelow  = 0.7 // of the wanted slice
	returnAbove  = 1.6 // times the wanted slice
	smallReturns = 0.02
)

// wallet is this host's part of one budget. It is guarded by its treasury's lock.
type wallet struct {
	account  Account
	known    bool // account was read from the log
	offset   int64
	version  int64 // of the newest configuration
	limit    int64 // prepaid by that
	verify   int64 // the account must be seen under this version or later before anything is spent
	free     int64
	reserved int64
	waiting  int64 // what requests wait for
	hungry   bool  // a request was turned away for want of tokens since the last look

	demand   float64 // tokens a second
	demandAt time.Time
	largest  float64 // of the recent requests
}

// current is the account under the newest limit that this host knows.
func (w *wallet) current() Account { return w.account.Under(w.limit, w.version) }

// spendable says whether the host may spend what it holds: it has seen the
// account under the newest lowering of the limit, and hosts do not hold more than that.
func (w *wallet) spendable() bool {
	if w.account.Version < w.verify {
		return false
	}
	return w.current().Left() >= 0
}

// note adds a reservation to the demand: a run may take long, and what it needs is
// known when it begins.
func (w *wallet) note(tokens int64, now time.Time) {
	w.decay(now)
	w.demand += float64(tokens) / demandTime
	w.largest = max(w.largest*0.98, float64(tokens))
}

// correct takes what a run did not use out of the demand again.
func (w *wallet) correct(tokens int64, now time.Time) {
	w.decay(now)
	w.demand = max(w.demand+float64(tokens)/demandTime, 0)
}

func (w *wallet) decay(now time.Time) {
	if !w.demandAt.IsZero() {
		w.demand *= math.Exp(-now.Sub(w.demandAt).Seconds() / demandTime)
	}
	w.demandAt = now
}

// change works out what to ask of the account; zero: nothing. hosts is how many
// hosts share the budget.
func (w *wallet) change(p Plan, hosts int, now time.Time) Change {
	w.decay(now)
	a := w.current()
	if a.Left() < 0 {
		return Change{Return: w.free}
	}
	left := float64(a.Left())
	unspent := left + float64(w.free)
	share := unspent / float64(max(hosts, 1))
	even := p.EvenPart * share
	most := p.MostParts * share
	want := max(even, min(w.demand*p.Horizon+w.largest, most))
	free := float64(w.free)
	if w.waiting > 0 {
		return Change{Take: int64(max(want-free, float64(w.waiting))), Least: 1}
	}
	switch {
	case free < refillBelow*want && left > 0:
		return Change{Take: int64(want - free)}
	case free > returnAbove*want && free-want > smallReturns*unspent:
		return Change{Return: int64(free - want)}
	}
	return Change{}
}
