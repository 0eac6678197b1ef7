package prepaid

import (
	"math"
	"slices"
	"time"
)

// Sizing holds the parameters that determine how much of a budget a host holds. Tokens that a host
// holds are lost if it dies, but they are all it can spend while the log is unavailable. Near the
// end of a budget the first risk weighs more: tokens that an outage keeps from being spent can
// still be spent after it.
type Sizing struct {
	// Horizon is how long an allocation lasts at the current demand, in seconds.
	Horizon float64
	// FullSpan is how long, in seconds, the budget must last at the current draw rate for hosts to
	// hold MostPart of it. They hold less of a budget that lasts less long.
	FullSpan float64
	// MostPart and LeastPart bound the fraction of the unspent tokens that all hosts together hold.
	MostPart, LeastPart float64
	// EvenPart is the fraction of an even share of those tokens that a host holds whatever its
	// demand; MostShares bounds an allocation, in even shares.
	EvenPart, MostShares float64
	// KeeperHorizon and KeeperPart replace Horizon and MostPart where few of many hosts hold a
	// budget's tokens and the others borrow; KeeperPart bounds what all keepers hold together. The
	// horizon covers an outage of 8 s with 1.3 times the highest use that was seen, even if it starts
	// when the allocation is just above refillBelow.
	KeeperHorizon, KeeperPart float64
	// KeeperSpan is how long, in seconds, the budget must last at its mean use for keepers to hold
	// KeeperPart of it. The part falls with the square of that time where it lasts less long; 0: never.
	KeeperSpan float64
}

// DefaultSizing has the default values of the settings.
var DefaultSizing = Sizing{Horizon: 11, FullSpan: 25, MostPart: 0.35, LeastPart: 0.02, EvenPart: 0.6, MostShares: 1, KeeperHorizon: 15, KeeperPart: 0.7, KeeperSpan: 25}

// heldShare is the fraction of the unspent tokens that all hosts together may hold. It falls with
// the third power of the time the budget still lasts.
func (s Sizing) heldShare(unspent, drawRate float64) float64 {
	if drawRate <= 0 {
		return s.MostPart
	}
	remaining := min(unspent/drawRate/s.FullSpan, 1)
	return max(s.MostPart*remaining*remaining*remaining, s.LeastPart)
}

// Parameters of demand and of changes to an allocation.
const (
	demandDecay    = 4.0   // time constant of demand, in seconds
	refillBelow    = 0.7   // of the wanted size
	returnAbove    = 2.0   // times the wanted size
	minReturnShare = 0.005 // of the unspent tokens; returning less is not worth an append
	minTakeShare   = 0.5   // of a recent large request; taking less is not worth an append
)

// allocation is this host's part of one budget. It is guarded by the Allocator's lock.
type allocation struct {
	account            Account
	known              bool     // account was read from the log
	unreadable         bool     // the newest record is not a valid account
	recorded           recorded // the newest record seen
	rewrite            bool     // the account is to be written again, since the log has less of it
	version            int64    // of the newest configuration
	limit              int64    // prepaid amount according to that
	requiredVersion    int64    // nothing is spent until the account has been seen under this version or later
	seenVersion        int64    // newest version under which the settled account has been seen
	settledEra         int64    // newest era in which the account was seen settled
	configuredAt       time.Time
	raisedAt           time.Time // when the limit was last raised, or first known
	highestLimit       int64     // of those known
	allWithheld        withheldWindow
	sinceOtherHost     withheldWindow // of records since the last one of another host, for this host alone
	otherHost          withheldSample // of that record
	sinceSought        withheldWindow // of this host's records since it last told another host of one
	seeking            bool           // another host is being told of a record
	requiredBeforeGap  int64          // 1 + requiredVersion as before versions were missed, one of which may have lowered the limit; 0: none missed
	free               int64
	reserved           int64
	totals             Totals
	waiting            []int64   // tokens that waiting requests need, one entry each
	unmetDemand        bool      // a request was denied for lack of tokens
	borrowDeniedAt     time.Time // when other hosts last had too few tokens to lend
	borrowDeniedTokens int64     // how many were missing then
	keeperAskedAt      time.Time // when another host last treated this one as a keeper
	keeperSize         int64     // wanted size of a keeper's allocation; 0: not a keeper in a large fleet
	lastRequestAt      time.Time // when a request was last admitted
	obtainedAt         time.Time // when tokens were last obtained for a request, or came back from a transfer

	drawRate       rateEstimator
	drawn          drawnSamples
	demand         float64 // of this host, tokens per second
	demandAt       time.Time
	use            usePeak   // of this host, where it holds tokens for others
	share          drawShare // of this host, likewise
	largestRequest float64   // largest recently admitted request, slowly decaying
	denied         deniedRequest
	shedder        shedder
	supply         supply
	scarcity       scarcity
	ration         ration
}

// currentAccount is the account under the newest limit that this host knows.
func (al *allocation) currentAccount() Account { return al.account.WithLimit(al.limit, al.version) }

// setLimit applies the limit of a newer configuration version. missed says that earlier versions
// may have been skipped; one of them may have raised the limit even if it is the same before and
// after. A budget that was, or may have been, lowered is not spent until the account has been seen
// under the new version.
func (al *allocation) setLimit(limit, version int64, missed bool, now time.Time) {
	if al.version == 0 || limit > al.limit {
		al.raisedAt = now
	}
	al.highestLimit = max(al.highestLimit, limit)
	switch {
	case al.version == 0:
		al.configuredAt = now
	case limit < al.limit:
		al.requiredVersion, al.requiredBeforeGap = version, 0
	case missed:
		if al.requiredBeforeGap == 0 {
			al.requiredBeforeGap = al.requiredVersion + 1
		}
		al.requiredVersion = version
	}
	al.limit, al.version = limit, version
}

// spendable reports whether the host may spend what it holds: it has seen the account under the
// newest lowering of the limit, and hosts do not hold more than that limit.
func (al *allocation) spendable() bool {
	if al.seenVersion < al.requiredVersion {
		return false
	}
	return al.currentAccount().Remaining() >= 0
}

// recordDemand adds a reservation to the demand when it begins: a run may take long, and its need
// is known by then.
func (al *allocation) recordDemand(tokens int64, now time.Time) {
	al.recordLoanDemand(tokens, tokens, now)
}

// recordLoanDemand adds a loan to the demand; requested is the size of the request it is for.
func (al *allocation) recordLoanDemand(lent, requested int64, now time.Time) {
	al.decayDemand(now)
	al.demand += float64(lent) / demandDecay
	al.largestRequest = max(al.largestRequest*0.98, float64(requested))
	al.lastRequestAt = now
}

// adjustDemand adds tokens, usually a negative number, to the demand: what a run reserved but did
// not use.
func (al *allocation) adjustDemand(tokens int64, now time.Time) {
	al.decayDemand(now)
	al.demand = max(al.demand+float64(tokens)/demandDecay, 0)
}

func (al *allocation) decayDemand(now time.Time) {
	if !al.demandAt.IsZero() {
		al.demand *= math.Exp(-now.Sub(al.demandAt).Seconds() / demandDecay)
	}
	al.demandAt = now
}

// busyDemand is the demand, in large requests per second, above which a host obtains allocations
// itself. If most callers of an organisation connect to one host, the tokens belong there. Other
// hosts can't reach what it holds, so lower demand is served by loans.
const busyDemand = 3.0

// busy reports whether this host's own demand justifies its own allocation.
func (al *allocation) busy(now time.Time) bool {
	al.decayDemand(now)
	return al.largestRequest > 0 && al.demand > busyDemand*al.largestRequest
}

// changeOfBorrower returns the change for a host that is not a keeper of the budget. It takes only
// what waiting requests need, which means that the keepers could not be asked. It returns what
// exceeds the host's need, for example from a time when it was a keeper, since other hosts can't
// reach those tokens.
func (al *allocation) changeOfBorrower(now time.Time) Change {
	al.decayDemand(now)
	al.keeperSize = 0
	if al.currentAccount().Remaining() < 0 {
		return Change{Return: al.free}
	}
	if len(al.waiting) > 0 {
		return al.takeForWaiting(0)
	}
	if al.idle(now) {
		return Change{} // all of it is transferred to a keeper
	}
	// One second of demand plus one large request, which its caller may repeat if it came too early for its tokens.
	need := al.demand + max(al.largestRequest, al.denied.recent(now))
	if unspent := float64(al.currentAccount().Remaining() + al.free); al.hasExcess(need, unspent) {
		return Change{Return: al.free - int64(need)}
	}
	return Change{}
}

// idle reports whether no request has needed the allocation for idlePeriod. Tokens that were obtained for a request are not idle
// before it is admitted.
func (al *allocation) idle(now time.Time) bool {
	return len(al.waiting) == 0 && now.Sub(al.lastRequestAt) >= idlePeriod && now.Sub(al.obtainedAt) >= idlePeriod
}

// hasExcess reports whether an allocation is so much larger than wanted that returning the rest is
// worth an append.
func (al *allocation) hasExcess(want, unspent float64) bool {
	free := float64(al.free)
	return free > returnAbove*want && free-want > minReturnShare*unspent
}

// change returns the change to make to the account; zero if none. hosts is the number of hosts that
// obtain allocations of the budget. fewKeepers says that they are few of many; then size follows
// demand alone, since the demand is concentrated on them.
func (al *allocation) change(s Sizing, hosts int, fewKeepers bool, now time.Time) Change {
	al.decayDemand(now)
	account := al.currentAccount()
	if account.Remaining() < 0 {
		return Change{Return: al.free}
	}
	left := float64(account.Remaining())
	if fewKeepers {
		al.recordShare(now)
		share, rate := al.share.estimate(hosts, now)
		return al.changeOfKeeper(s, float64(al.free)+share*left, rate, now)
	}
	unspent := left + float64(al.free)
	drawRate := al.drawRate.rate(now)
	hold := s.heldShare(unspent, drawRate) * unspent // by all hosts
	share := hold / float64(max(hosts, 1))
	horizon := s.Horizon
	if drawRate > 0 {
		horizon = min(horizon, hold/drawRate)
	}
	want := max(s.EvenPart*share, min(al.demand*horizon+al.largestRequest, s.MostShares*share))
	return al.changeTo(want, unspent)
}

// changeTo returns the change that brings the allocation to the wanted size.
func (al *allocation) changeTo(want, unspent float64) Change {
	free := float64(al.free)
	if len(al.waiting) > 0 {
		return al.takeForWaiting(want)
	}
	switch {
	case free < math.Floor(refillBelow*want) && want-free >= minTakeShare*al.largestRequest && al.currentAccount().Remaining() > 0:
		return Change{Take: int64(want - free)}
	case al.hasExcess(want, unspent):
		return Change{Return: int64(free - want)}
	}
	return Change{}
}

// lendableTokens is how many free tokens may be lent at once: all of them at a keeper.
func (al *allocation) lendableTokens() int64 {
	if al.keeperSize > 0 {
		return al.free
	}
	return int64(lendShare * float64(al.free))
}

// belowRefill reports whether the allocation should be refilled before requests have to wait.
func (al *allocation) belowRefill() bool {
	return float64(al.free) < refillBelow*float64(al.keeperSize)
}

// headroomDecay is the time constant, in seconds, of the headroom kept for large requests while
// none arrives: tokens are not held back for requests that don't come.
const headroomDecay = 1.0

// deniedRequest is the largest request recently denied for lack of tokens. It is the only record of
// the size of requests that are never admitted.
type deniedRequest struct {
	tokens float64
	at     time.Time
}

// record notes a denied request, unless a larger one was denied shortly before.
func (r *deniedRequest) record(tokens int64, now time.Time) {
	if float64(tokens) >= r.recent(now) {
		r.tokens, r.at = float64(tokens), now
	}
}

// recent is the size of the request, decayed by its age.
func (r *deniedRequest) recent(now time.Time) float64 { return decayHeadroom(r.tokens, now.Sub(r.at)) }

// decayHeadroom returns the headroom left for a large request some time after it arrived.
func decayHeadroom(tokens float64, since time.Duration) float64 {
	return tokens * math.Exp(-since.Seconds()/headroomDecay)
}

// headroom is the number of tokens that must be free before any request is admitted while no more
// can be obtained. Otherwise small requests take every token that becomes free and large ones never
// find enough. It covers the largest requests admitted and those denied: counting only admitted
// ones, small requests lower the headroom until no large one is admitted again (0 of 400 instead of
// 33, if a tenth of the tokens of a large request becomes free at a time).
func (al *allocation) headroom(now time.Time) int64 {
	return int64(max(decayHeadroom(al.largestRequest, now.Sub(al.lastRequestAt)), al.denied.recent(now)))
}

// takeForWaiting asks for enough tokens to admit all waiting requests, or at least the smallest.
func (al *allocation) takeForWaiting(want float64) Change {
	sum, smallest := int64(0), al.waiting[0]
	for _, tokens := range al.waiting {
		sum += tokens
		smallest = min(smallest, tokens)
	}
	return Change{Take: max(int64(want), sum) - al.free, MinTake: max(smallest-al.free, 1)}
}

// addWaiter records that a request waits for tokens.
func (al *allocation) addWaiter(tokens int64) { al.waiting = append(al.waiting, tokens) }

// removeWaiter undoes addWaiter.
func (al *allocation) removeWaiter(tokens int64) {
	if i := slices.Index(al.waiting, tokens); i >= 0 {
		al.waiting = slices.Delete(al.waiting, i, i+1)
	}
}
