package prepaid

import (
	"math"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
)

// Load pattern: the log is away, hosts hold tokens of a budget for a few more seconds, and requests of several
// priorities and sizes compete for them. First come, first served lets the small and frequent ones take what is left
// bit by bit, until the large ones, urgent or not, find nothing for the rest of the outage.
//
// While what is in reach certainly doesn't last until more can be had, the host that holds it divides it among the
// priorities by weighted max-min fairness, where a priority weighs twice as much as the next less urgent one: each has
// its weight's part of the tokens, and what it won't need goes to the others. So the urgent that need few tokens keep
// all they need, and the large keep room in proportion to their urgency. Within its part a priority is served first
// come, first served, whatever the size of a request. Where only one priority is asked for, or tokens last, nothing is
// refused.

const (
	// scarcityPriorities is the number of priorities that are told apart; less urgent ones count as the last.
	scarcityPriorities = 10
	// minServedShare is the least part of its need that any priority gets, as part of that of all. It keeps the least
	// urgent above a quarter, below which they count as starved, with a margin for their retries elsewhere.
	minServedShare = 0.4
	// scarceBelow and enoughAbove are parts of the expected need. Tokens are divided if less is in reach than the
	// first, until more is than the second: reserved tokens that runs don't use come back, and demand varies.
	scarceBelow, enoughAbove = 0.8, 1.2
	// scarcityDecay is the time constant, in seconds, of the observed demand: some seconds of a wave of requests.
	scarcityDecay = 4.0
	// othersMaxAge is how long a host goes by what other hosts said they hold.
	othersMaxAge = time.Second
)

// scarcity observes the requests for a budget at one host and divides its tokens. It is guarded by the Allocator's
// lock.
type scarcity struct {
	tokens   [scarcityPriorities]float64 // smoothed demand by priority, tokens per second
	requests [scarcityPriorities]float64 // requests per second
	parts    [scarcityPriorities]float64 // of the tokens in reach; negative: overdrawn by a large request
	at       time.Time
	firstAt  time.Time
	dividing bool

	others     int64 // free tokens of the hosts that can be asked for loans
	othersMore bool  // one of them could obtain more from the log
	othersAt   time.Time
	asking     bool // they are being asked
}

func scarcityPriority(priority int) int { return min(max(priority, 0), scarcityPriorities-1) }

// record adds a request to the demand, whether or not it is admitted.
func (s *scarcity) record(priority int, tokens int64, now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	s.decay(now)
	s.tokens[priority] += float64(tokens) / scarcityDecay
	s.requests[priority] += 1 / scarcityDecay
}

func (s *scarcity) decay(now time.Time) {
	if !s.at.IsZero() {
		kept := math.Exp(-now.Sub(s.at).Seconds() / scarcityDecay)
		for i := range s.tokens {
			s.tokens[i] *= kept
			s.requests[i] *= kept
		}
	}
	s.at = now
}

// demand is the tokens per second that all requests need. If the host saw its first request less than scarcityDecay
// ago, it is scaled to the time observed.
func (s *scarcity) demand(now time.Time) float64 {
	s.decay(now)
	sum := 0.0
	for _, rate := range s.tokens {
		sum += rate
	}
	return sum * s.scale(now)
}

func (s *scarcity) scale(now time.Time) float64 {
	observed := max(now.Sub(s.firstAt).Seconds(), minObserved)
	return 1 / (1 - math.Exp(-observed/scarcityDecay))
}

// admits reports whether to admit a request if reach tokens are to last for span seconds.
func (s *scarcity) admits(priority int, tokens, reach, span float64, now time.Time) bool {
	need := s.demand(now) * span
	switch {
	case s.dividing && reach > enoughAbove*need:
		s.dividing = false
	case !s.dividing && reach < scarceBelow*need:
		s.dividing = true
		s.parts = [scarcityPriorities]float64{}
		fractions := s.fractions(reach / s.spanOfNeed(span, now))
		for i, rate := range s.tokens {
			s.parts[i] = fractions[i] * rate * s.spanOfNeed(span, now)
		}
	}
	if !s.dividing {
		return true
	}
	s.rebalance(reach, span, now)
	if s.parts[priority] <= 0 {
		return false
	}
	s.parts[priority] -= tokens
	return true
}

// spanOfNeed is the factor from an observed rate to the need of a span, with the margin for variation.
func (s *scarcity) spanOfNeed(span float64, now time.Time) float64 {
	return s.scale(now) * span * enoughAbove
}

// rebalance makes the parts add up to what is in reach. Tokens that came back, and those of a part that won't be
// needed any more, go to the others.
func (s *scarcity) rebalance(reach, span float64, now time.Time) {
	lacking := scarcity{}
	sum := 0.0
	for i, rate := range s.tokens {
		need := rate * s.spanOfNeed(span, now)
		s.parts[i] = min(s.parts[i], need)
		lacking.tokens[i] = max(need-s.parts[i], 0)
		sum += s.parts[i]
	}
	if sum > reach {
		for i := range s.parts {
			if s.parts[i] > 0 {
				s.parts[i] *= max(reach, 0) / sum
			}
		}
		return
	}
	fractions := lacking.divideWithLeast(reach-sum, 0)
	for i, lack := range lacking.tokens {
		s.parts[i] += fractions[i] * lack
	}
}

// refusesScarce records a request at a host that obtains allocations of the budget and reports whether its tokens are
// reserved for others, and whether no other host obtains allocations.
func (a *Allocator) refusesScarce(organisation string, priority int, tokens int64) (refused, alone bool) {
	now := time.Now()
	span := a.spanUntilMore(organisation, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil || !al.known || tokens <= 0 || tokens > al.limit || !al.spendable() {
		return false, false
	}
	count, self := a.keepers(organisation, al)
	if !self {
		return false, false
	}
	s := &al.scarcity
	priority = scarcityPriority(priority)
	s.record(priority, tokens, now)
	if span == 0 {
		a.endDividing(organisation, al)
		return false, false
	}
	if al.free < tokens {
		return false, false // there is nothing to divide; other hosts may hold some
	}
	alone = count == 1
	reach := float64(al.free)
	if a.opts.Survey != nil {
		a.askOthers(organisation, al, now)
		if now.Sub(s.othersAt) > othersMaxAge || s.othersMore {
			return false, false // it is not certain that no more can be had
		}
		reach += float64(s.others)
	}
	was := s.dividing
	refused = !s.admits(priority, float64(tokens), reach, span, now)
	if s.dividing != was {
		logDividing(organisation, al, reach, span, s.demand(now))
	}
	return refused, alone
}

// spanUntilMore is how long, in seconds, no tokens can be had from the log as far as expected; 0: they can be had.
func (a *Allocator) spanUntilMore(organisation string, now time.Time) float64 {
	if !a.logAway(organisation) {
		return 0
	}
	var o outlook
	o.away, o.longest = a.outages.state(now)
	return o.untilReturn().Seconds()
}

// endDividing ends the division of an organisation's tokens. The lock is held.
func (a *Allocator) endDividing(organisation string, al *allocation) {
	s := &al.scarcity
	if s.dividing {
		s.dividing = false
		logDividing(organisation, al, float64(al.free), 0, 0)
	}
}

// logDividing logs that the division of an organisation's tokens by priority began or ended.
func logDividing(organisation string, al *allocation, reach, span, demand float64) {
	fields := log.Fields{"organisation": organisation, "reach": int64(reach), "free": al.free, "demand": int64(demand), "expected_s": math.Round(span*10) / 10}
	if al.scarcity.dividing {
		log.WithFields(fields).Info("tokens are scarce; they are divided by priority")
	} else {
		log.WithFields(fields).Info("tokens are no longer scarce")
	}
}

// askOthers asks the other hosts what they hold, unless that is known or being asked. The lock is held.
func (a *Allocator) askOthers(organisation string, al *allocation, now time.Time) {
	s := &al.scarcity
	if s.asking || now.Sub(s.othersAt) < othersMaxAge/2 {
		return
	}
	s.asking = true
	guard.Go("survey of holders", func() {
		free, more := a.surveyFree(organisation)
		a.mu.Lock()
		defer a.mu.Unlock()
		s.others, s.othersMore, s.othersAt, s.asking = free, more, time.Now(), false
	})
}
