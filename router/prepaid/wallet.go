package prepaid

import (
	"math"
	"slices"
	"time"
)

// Sizing holds the figures by which a host sizes its slice of a budget. What hosts
// hold is lost if they die, and is all they have while the log is out of reach.
// The nearer a budget is to its end, the more the first counts: what is not spent
// during an outage is then spent after it.
type Sizing struct {
	// Horizon is how long a slice lasts at the present demand, in seconds.
	Horizon float64
	// FullSpan is the time, in seconds, that a budget has to last at the present
	// flow for hosts to hold MostPart of it; with less they hold less.
	FullSpan float64
	// MostPart and LeastPart bound the part of the unspent tokens that all hosts
	// together hold.
	MostPart, LeastPart float64
	// EvenPart is the part of an even share of that which a host holds whatever its
	// demand; MostShares bounds a slice in even shares.
	EvenPart, MostShares float64
	// KeeperHorizon and KeeperPart take the place of Horizon and MostPart where few of many
	// hosts hold a budget's tokens, for all to borrow: all of them together hold so much.
	// The horizon bears an outage of 8 s in which 1.5 times as much is wanted, also where it
	// finds a slice just above refillBelow; the part protects what dies with all hosts near
	// a budget's end.
	KeeperHorizon, KeeperPart float64
}

// DefaultSizing is what the measurements in docs/MEASUREMENTS.md chose.
var DefaultSizing = Sizing{Horizon: 11, FullSpan: 25, MostPart: 0.35, LeastPart: 0.02, EvenPart: 0.6, MostShares: 1, KeeperHorizon: 18, KeeperPart: 0.4}

// part is the part of the unspent tokens that all hosts together may hold. It falls
// with the third power of the time that the budget still lasts.
func (p Sizing) part(unspent, flow float64) float64 {
	if flow <= 0 {
		return p.MostPart
	}
	lasts := min(unspent/flow/p.FullSpan, 1)
	return max(p.MostPart*lasts*lasts*lasts, p.LeastPart)
}

// Figures of demand and of the changes worth an append.
const (
	demandTime   = 4.0   // seconds over which demand is smoothed
	refillBelow  = 0.7   // of the wanted slice
	returnAbove  = 2.0   // times the wanted slice
	smallReturns = 0.005 // of what is unspent
	usefulTake   = 0.5   // of a recent large request; less is not worth an append
)

// wallet is this host's part of one budget. It is guarded by its treasury's lock.
type wallet struct {
	account    Account
	known      bool // account was read from the log
	unreadable bool // its newest record is not an account
	offset     int64
	version    int64 // of the newest configuration
	limit      int64 // prepaid by that
	verify     int64 // the account must be seen under this version or later before anything is spent
	unseen     int64 // one more than verify was before the versions that were missed, which may have lowered the limit; 0: none
	free       int64
	reserved   int64
	flows      Totals
	waiting    []int64   // what requests wait for, one entry each
	hungry     bool      // a request was turned away for want of tokens
	refused    time.Time // when other hosts last had too little to lend
	refusedFor int64     // how much it was
	asked      time.Time // when another host last took this one for a keeper
	wanted     int64     // the slice that it should have, where few hosts hold the budget's
	used       time.Time // when a request last began

	flow     flow
	demand   float64 // of this host, tokens a second
	demandAt time.Time
	largest  float64 // of the recent requests that began
	turned   turnedAway
	shed     shedder
	ration   ration
}

// current is the account under the newest limit that this host knows.
func (w *wallet) current() Account { return w.account.WithLimit(w.limit, w.version) }

// setLimit takes over the limit of a newer version; missed says that versions before it may
// have been skipped, and one of them may have raised the limit, also where it is the same
// before and after. Before a lowered budget is spent, the account must be seen under it.
func (w *wallet) setLimit(limit, version int64, missed bool) {
	switch {
	case w.version == 0:
	case limit < w.limit:
		w.verify, w.unseen = version, 0
	case missed:
		if w.unseen == 0 {
			w.unseen = w.verify + 1
		}
		w.verify = version
	}
	w.limit, w.version = limit, version
}

// spendable says whether the host may spend what it holds: it has seen the
// account under the newest lowering of the limit, and hosts do not hold more than that.
func (w *wallet) spendable() bool {
	if w.account.Version < w.verify {
		return false
	}
	return w.current().Remaining() >= 0
}

// note adds a reservation to the demand: a run may take long, and what it needs is
// known when it begins.
func (w *wallet) note(tokens int64, now time.Time) { w.noteLoan(tokens, tokens, now) }

// noteLoan adds a loan to the demand that is for a request of so many tokens.
func (w *wallet) noteLoan(lent, request int64, now time.Time) {
	w.decay(now)
	w.demand += float64(lent) / demandTime
	w.largest = max(w.largest*0.98, float64(request))
	w.used = now
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

// busyDemand is the demand, in large requests a second, above which a host takes slices of
// its own: where most callers of an organisation come to one host, it is the right place for
// the tokens. What it holds is out of others' reach, so lower demand is met by loans.
const busyDemand = 3.0

// busy says whether this host's own demand is worth slices of its own.
func (w *wallet) busy(now time.Time) bool {
	w.decay(now)
	return w.largest > 0 && w.demand > busyDemand*w.largest
}

// changeForWaiting is the change of a host that is no keeper of the budget: only
// what requests wait for, since the keepers could not be asked. What it holds beyond its
// need, as from a time when it was one, is out of others' reach and goes back.
func (w *wallet) changeForWaiting(now time.Time) Change {
	w.decay(now)
	w.wanted = 0
	if w.current().Remaining() < 0 {
		return Change{Return: w.free}
	}
	if len(w.waiting) > 0 {
		return w.takeForWaiting(0)
	}
	if now.Sub(w.used) > idleTime {
		return Change{} // all of it goes to a keeper
	}
	need := w.demand + w.largest // a second of it, and one request more
	if unspent := float64(w.current().Remaining() + w.free); w.excess(need, unspent) {
		return Change{Return: w.free - int64(need)}
	}
	return Change{}
}

// excess says whether a slice is so much larger than what is wanted that giving the rest
// back is worth an append.
func (w *wallet) excess(want, unspent float64) bool {
	free := float64(w.free)
	return free > returnAbove*want && free-want > smallReturns*unspent
}

// change works out what to ask of the account; zero: nothing. hosts is how many
// hosts take slices of the budget. sparse says that they are few of many: then
// demand alone decides, since it lies with few hosts.
func (w *wallet) change(p Sizing, hosts int, sparse bool, now time.Time) Change {
	w.decay(now)
	a := w.current()
	if a.Remaining() < 0 {
		return Change{Return: w.free}
	}
	left := float64(a.Remaining())
	unspent := left + float64(w.free)
	flow := w.flow.rate(now)
	if sparse {
		return w.changeOfKeeper(p, unspent, flow, now)
	}
	hold := p.part(unspent, flow) * unspent // by all hosts
	share := hold / float64(max(hosts, 1))
	horizon := p.Horizon
	if flow > 0 {
		horizon = min(horizon, hold/flow)
	}
	want := max(p.EvenPart*share, min(w.demand*horizon+w.largest, p.MostShares*share))
	return w.changeTo(want, unspent)
}

// changeOfKeeper is the change where few of many hosts hold the budget's tokens: by their
// demand alone, since it lies with few of them.
func (w *wallet) changeOfKeeper(p Sizing, unspent, flow float64, now time.Time) Change {
	hold := p.KeeperPart * unspent
	horizon := p.KeeperHorizon
	if flow > 0 {
		// Near the budget's end an outage delays, and a death takes away for good.
		hold *= min(unspent/flow/horizon, 1)
		horizon = min(horizon, hold/flow)
	}
	want := min(w.demand*horizon+w.largest, hold)
	w.wanted = int64(want)
	if len(w.waiting) == 0 && now.Sub(w.used) > idleTime {
		return Change{Return: w.free}
	}
	return w.changeTo(want, unspent)
}

// changeTo is the change that brings the slice to what is wanted.
func (w *wallet) changeTo(want, unspent float64) Change {
	free := float64(w.free)
	if len(w.waiting) > 0 {
		return w.takeForWaiting(want)
	}
	switch {
	case free < refillBelow*want && want-free >= usefulTake*w.largest && w.current().Remaining() > 0:
		return Change{Take: int64(want - free)}
	case w.excess(want, unspent):
		return Change{Return: int64(free - want)}
	}
	return Change{}
}

// spare is what may be lent at once of what is free: all that a keeper holds for others.
func (w *wallet) spare() int64 {
	if w.wanted > 0 {
		return w.free
	}
	return int64(lendPart * float64(w.free))
}

// low says whether a slice should be filled up before requests wait for it.
func (w *wallet) low() bool { return float64(w.free) < refillBelow*float64(w.wanted) }

// roomTime is the time in seconds in which the room that is left for large requests falls to
// a third while none comes: tokens are not kept for requests that don't come.
const roomTime = 1.0

// turnedAway is the largest of the requests that found too little of late. Only it tells of
// the size of requests that never begin.
type turnedAway struct {
	tokens float64
	at     time.Time
}

// note takes in a request that found too little, unless a larger one did a moment ago.
func (r *turnedAway) note(tokens int64, now time.Time) {
	if float64(tokens) >= r.recent(now) {
		r.tokens, r.at = float64(tokens), now
	}
}

// recent is the size, less the longer ago it was.
func (r *turnedAway) recent(now time.Time) float64 { return fade(r.tokens, now.Sub(r.at)) }

// fade is what is left of the room for a large request, so long after one came.
func fade(tokens float64, since time.Duration) float64 {
	return tokens * math.Exp(-since.Seconds()/roomTime)
}

// room is how many tokens have to be there before any request begins while no more come.
// Small requests would otherwise take each one that comes free, and large ones would never
// find enough. The largest requests count that began and that were turned away: by the
// first alone small requests lower the room until no large one begins again: 0 of 400 in
// place of 33 where a tenth of a large request comes free at a time.
func (w *wallet) room(now time.Time) int64 {
	return int64(max(fade(w.largest, now.Sub(w.used)), w.turned.recent(now)))
}

// takeForWaiting asks for a slice that lets all waiting requests begin, or at least
// the smallest of them.
func (w *wallet) takeForWaiting(want float64) Change {
	sum, least := int64(0), w.waiting[0]
	for _, tokens := range w.waiting {
		sum += tokens
		least = min(least, tokens)
	}
	return Change{Take: max(int64(want), sum) - w.free, MinTake: max(least-w.free, 1)}
}

// wait notes that a request waits for tokens.
func (w *wallet) wait(tokens int64) { w.waiting = append(w.waiting, tokens) }

// stopWaiting takes back what wait noted.
func (w *wallet) stopWaiting(tokens int64) {
	if i := slices.Index(w.waiting, tokens); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}
