package prepaid

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"maststage.dev/lib/wait"
)

// Load pattern: callers whose tokens are out of reach come back. One constant brings them back while nothing has
// changed, or long after, and all who were refused at one moment at one moment. They are told when tokens can be
// expected, the more urgent first, and spread.

// Reason says why a request got no tokens.
type Reason string

// The reasons of a Refusal.
const (
	ReasonLogAway  Reason = "log_away" // what hosts hold is gone, and the log doesn't respond
	ReasonSpent    Reason = "spent"    // the budget is at its end
	ReasonRefill   Reason = "refill"   // tokens are on their way to the hosts that hold them
	ReasonReserved Reason = "reserved" // the last tokens are reserved for other requests
)

func reasonOf(found finding) Reason {
	switch found {
	case logAway:
		return ReasonLogAway
	case spent:
		return ReasonSpent
	}
	return ReasonRefill
}

// Refusal is the error of a request that got no tokens. It wraps ErrExhausted or ErrShed.
type Refusal struct {
	Err        error
	Reason     Reason
	RetryAfter time.Duration // when tokens can be expected
}

func (r *Refusal) Error() string { return r.Err.Error() + " (" + string(r.Reason) + ")" }

func (r *Refusal) Unwrap() error { return r.Err }

const (
	// plannedOutage is how long an outage of the log is expected to last if it outlasts those that were seen: what
	// keepers' allocations are sized for.
	plannedOutage = 8 * time.Second
	// overdueShare is the part of the time that an outage has lasted for which it goes on at least.
	overdueShare = 0.25
	// returnMargin is the time from the log's return until hosts have noticed it by their next call and obtained
	// tokens.
	returnMargin = 500 * time.Millisecond
	// refillTime is how long it takes to obtain an allocation from a log that responds.
	refillTime = 300 * time.Millisecond
	// urgencyStep is how much later callers come back for each step of priority; those of one priority are spread
	// over it. In this time hosts serve those that came before.
	urgencyStep = 500 * time.Millisecond
	// returnStep replaces it after an outage, when the callers of some seconds come back together.
	returnStep = time.Second
	// maxSteps bounds the steps of priority that count.
	maxSteps = 4
)

// outlook is what a host expects of the tokens of an organisation.
type outlook struct {
	reason  Reason
	away    time.Duration // how long the log has been away
	longest time.Duration // of the outages seen
}

// untilReturn is the expected time until tokens can be had from a log that responds again.
func (o outlook) untilReturn() time.Duration {
	expected := o.longest
	if o.away >= o.longest {
		expected = plannedOutage
	}
	return max(expected-o.away, time.Duration(overdueShare*float64(o.away))) + returnMargin
}

// retryAfter is when a caller of a priority should come back. draw is a random number in [0, 1).
func (o outlook) retryAfter(priority int, draw float64) time.Duration {
	steps := float64(min(max(priority, 0), maxSteps)) + draw
	step := urgencyStep
	if o.reason == ReasonLogAway {
		step = returnStep
	}
	spread := time.Duration(steps * float64(step))
	switch o.reason {
	case ReasonSpent:
		return time.Duration(topUpDelay*float64(time.Second)) + spread
	case ReasonRefill:
		return refillTime + spread
	}
	return o.untilReturn() + spread
}

// outages tracks when the log was away.
type outages struct {
	mu      sync.Mutex
	seen    bool      // the log has responded before
	since   time.Time // zero: the log responds
	longest time.Duration
	total   time.Duration // of the outages that have ended
}

// observe notes whether the log is away now.
func (o *outages) observe(away bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !away && !o.seen:
		o.seen = true
	case away && o.seen && o.since.IsZero():
		o.since = now
	case !away && !o.since.IsZero():
		o.longest = max(o.longest, now.Sub(o.since))
		o.total += now.Sub(o.since)
		o.since = time.Time{}
	}
}

// state returns how long the log has been away, 0 if it responds, and the longest outage seen before.
func (o *outages) state(now time.Time) (away, longest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.since.IsZero() {
		away = now.Sub(o.since)
	}
	return away, o.longest
}

// responded is how much of the time from start to now the log has responded.
func (o *outages) responded(start, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.since.IsZero() && o.since.Before(now) {
		now = o.since
	}
	return now.Sub(start) - o.total
}

// refusal returns the error for a request that got no tokens.
func (a *Allocator) refusal(q Request, err error) error {
	o := a.outlook(q.Organisation, q.Tokens)
	if errors.Is(err, ErrShed) && o.reason == ReasonRefill {
		o.reason = ReasonSpent // the rest of the budget is rationed until it is topped up
	}
	r := &Refusal{Err: err, Reason: o.reason, RetryAfter: o.retryAfter(q.Priority, rand.Float64())}
	if errors.Is(err, ErrShed) {
		r.Reason = ReasonReserved
	}
	if a.opts.OnRefusal != nil {
		a.opts.OnRefusal(r.Reason)
	}
	return r
}

// outlook returns what this host expects of the tokens that a request lacks.
func (a *Allocator) outlook(organisation string, tokens int64) outlook {
	now := time.Now()
	away := a.logAway(organisation)
	o := outlook{reason: ReasonRefill}
	o.away, o.longest = a.outages.state(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	switch {
	case al == nil:
	case away:
		o.reason = ReasonLogAway
	case now.Sub(al.supply.foundAt) <= maxFindingAge && al.supply.found != inReach:
		o.reason = reasonOf(al.supply.found)
	case al.known && al.currentAccount().Remaining()+al.free < tokens:
		o.reason = ReasonSpent
	}
	return o
}

// watchLog observes outages of the log until ctx ends.
func (a *Allocator) watchLog(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		if away := !a.mayReturn(); away && a.opts.LogSilence != nil {
			a.outages.observe(away, now.Add(-a.opts.LogSilence()))
		} else {
			a.outages.observe(away, now)
		}
		wait.For(ctx, outageCheckInterval)
	}
}

// outageCheckInterval is the interval between two checks whether the log is away.
const outageCheckInterval = 200 * time.Millisecond
