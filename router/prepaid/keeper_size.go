package prepaid

import (
	"math"
	"time"
)

// Pattern: stock that outlasts an interruption of supply. While the log is unavailable, all that an
// organisation can spend is what its keepers hold. Its use comes in waves of some ten seconds, in
// clumps and in requests of very different size, and an interruption may begin at the foot of a
// wave. So a keeper holds several seconds of the use at the last peak, as far as a fraction of the
// unspent tokens allows. That fraction is what the loss of all hosts costs.
//
// A budget that lasts for long at its mean use gives the whole fraction: what the loss of all hosts
// takes would hardly be missed, but requests refused in an interruption are lost. Near its end it
// is the other way round: tokens that an interruption leaves are spent after it, and lost ones are
// missed. So the fraction falls with the time that the budget lasts.

// peakDecayOfUse is the time constant, in seconds, with which the peak of use is forgotten: after
// half a wave of 13 s, in its trough, over 0.8 of the last peak is still provided for.
const peakDecayOfUse = 30.0

// keeperReturnAbove is how far, in wanted sizes, a keeper's allocation may exceed the wanted one. The
// wanted size falls with the rest of the budget, and what exceeds it is lost with the hosts as well.
const keeperReturnAbove = 1.2

// crestFactor is the use at the crest of a wave in terms of the mean, which is assumed until a wave was seen.
const crestFactor = 1.5

// usePeak follows the rate at which requests take tokens from a host: upwards at once, downwards
// slowly. The demand that it follows is itself a mean over demandDecay, so that a single large
// request is not taken for a wave.
type usePeak struct {
	rate float64 // tokens per second
	at   time.Time
}

// update returns the peak after a new value of demand.
func (p *usePeak) update(demand float64, now time.Time) float64 {
	if !p.at.IsZero() {
		p.rate *= math.Exp(-now.Sub(p.at).Seconds() / peakDecayOfUse)
	}
	p.rate, p.at = max(p.rate, demand), now
	return p.rate
}

// shareWindow is the time over which shares of draws are counted: two waves and more, since what
// the other keepers hold counts as drawn, and it changes by some seconds of use.
const shareWindow = 30 * time.Second

// drawShare estimates which part of what all hosts draw on a budget this host draws. It is counted
// from when the host became a keeper: before that, hosts that start take tokens and return them once
// they know that others are keepers.
type drawShare struct {
	own, total rateEstimator // over shareWindow
	recent     rateEstimator // of this host, over rateWindow
}

func newDrawShare() drawShare {
	return drawShare{own: rateEstimator{window: shareWindow}, total: rateEstimator{window: shareWindow}}
}

func (d *drawShare) add(own, total int64, now time.Time) {
	d.own.add(own, now)
	d.total.add(total, now)
	d.recent.add(own, now)
}

// estimate returns the share and the rate at which requests use this host's tokens, per second; 0
// until enough was seen. The share is the mean of an even one of count keepers and of the estimate,
// so that a keeper never drops to nothing and the shares of all add up to one.
func (d *drawShare) estimate(count int, now time.Time) (share, rate float64) {
	even := 1 / float64(max(count, 1))
	if d.total.span(now) < minRateSpan {
		return even, 0
	}
	own, total := d.own.latest(now), d.total.latest(now)
	rate = max(own, d.recent.latest(now)) // the use before a trough comes back
	if total <= own {
		return (1 + even) / 2, rate
	}
	return (own/total + even) / 2, rate
}

// recordShare updates the share of draws.
func (al *allocation) recordShare(now time.Time) {
	if al.keeperSize > 0 {
		t := al.totals
		own := t.Taken + t.Borrowed + t.Received - t.Returned - t.Given - al.free
		al.share.add(own, al.account.Granted-al.free, now)
	}
}

// changeOfKeeper returns the change where few of many hosts hold the budget's tokens. Its size
// follows demand alone, since the demand is concentrated on those hosts. unspent is what this host
// holds and its share of what no host holds, so that all keepers together hold KeeperPart of the
// unspent tokens at most; drawRate is the rate at which this host draws on the budget, 0 if it is
// not known.
func (al *allocation) changeOfKeeper(s Sizing, unspent, drawRate float64, now time.Time) Change {
	al.decayDemand(now)
	if al.keeperSize == 0 {
		al.share = newDrawShare()
	}
	part := s.KeeperPart
	if drawRate > 0 && s.KeeperSpan > 0 {
		part *= math.Pow(min(unspent/drawRate/s.KeeperSpan, 1), 2)
	}
	use := al.use.update(al.demand, now)
	if drawRate == 0 {
		use *= crestFactor
	}
	want := min(use*s.KeeperHorizon+al.largestRequest, part*unspent)
	al.keeperSize = int64(want)
	if al.idle(now) {
		return Change{Return: al.free}
	}
	if len(al.waiting) == 0 && float64(al.free) > keeperReturnAbove*want && float64(al.free)-want > minReturnShare*unspent {
		return Change{Return: al.free - int64(want)}
	}
	return al.changeTo(want, unspent)
}

// ranked reports whether this host is a keeper of a budget by its rank, and not for a while since
// others treat it as one or its own demand justifies it.
func (a *Allocator) ranked(organisation string) bool {
	if a.opts.Keepers == nil {
		return true
	}
	_, self := a.opts.Keepers(organisation)
	return self
}
