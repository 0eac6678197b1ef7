package prepaid

import (
	"errors"
	"math"
	"time"

	log "github.com/sirupsen/logrus"
)

// After the loss of all hosts and of the tokens they held, the rest of a budget goes to the requests
// that cost least, so that it serves as many as possible. First come, first served would spend nine
// tenths of it on a few very large requests, and some 12 s later no tokens would be left until the
// next top-up: of the requests sent after those 12 s, 0.13 to 0.24 were served instead of a quarter
// and more (simulated fleets of 6 to 300 hosts; the test of that load is in package fleet).
//
// A request is shed in favour of those that cost at most half as much, as long as the unspent
// tokens do not last for those until budgets can be topped up. While they do, no request is
// shed. Where no tokens were lost, budgets are spent as planned: shedding there too, near the end
// of any budget or in an outage, cost 0.04 to 0.17 of the worth of days on which the tokens
// sufficed.

// ErrShed means that the last reachable tokens are reserved for other requests.
var ErrShed = errors.New("prepaid: the last tokens are reserved for other requests")

const (
	// topUpDelay is the time, in seconds after the loss, until budgets can be expected to be topped
	// up: an operator has to notice first. The unspent tokens are to last until then. With 20,
	// three of 15 simulated fleets serve less than a quarter of the requests; each 5 more cost 0.01
	// of worth where no more tokens come.
	topUpDelay = 25.0
	// minSpan is how long, in seconds, the unspent tokens are to last at any later time.
	minSpan = 5.0
	// shedShare is what requests to be shed still get, as a fraction of the demand of those that
	// cost less: large requests become rare but are not starved.
	shedShare = 0.1
	// shedReset is the time, in seconds without any request to be shed, after which their share is
	// counted anew.
	shedReset = 2.0
	// priorityFactor is how much less a request is worth for each step of its priority.
	priorityFactor = 2.0
	// costDemandDecay is the time constant, in seconds, of the demand by cost.
	costDemandDecay = 5.0
	// minObserved is the shortest time, in seconds, from which a rate is computed.
	minObserved = 0.5
	// classesPerDoubling is the number of cost classes for each doubling of the cost.
	classesPerDoubling = 2
	// costClasses covers costs up to 2^24 tokens; higher costs are in the last class.
	costClasses = 24*classesPerDoubling + 1
)

// Cost is what serving a request costs the other callers of its organisation: its tokens, weighted
// more the less urgent it is. The rest of a stream costs them nothing: without it the tokens of the first part are wasted,
// and its caller begins anew, for more.
func (q Request) Cost() float64 {
	if q.TakesUp {
		return 0
	}
	return float64(q.Tokens) * math.Pow(priorityFactor, float64(max(q.Priority, 0)))
}

// shedder decides which requests are shed. It is guarded by the Allocator's lock.
type shedder struct {
	demandByCost   [costClasses]float64 // smoothed tokens per second, by cost class of the requests
	demandAt       time.Time
	firstRequestAt time.Time
	credit         float64 // tokens available to requests that would be shed
	lastShedAt     time.Time
}

func costClass(cost float64) int {
	if cost < 1 {
		return 0
	}
	return min(int(classesPerDoubling*math.Log2(cost)), costClasses-1)
}

// record adds the tokens of a request to the demand, whether or not it is admitted.
func (s *shedder) record(cost float64, tokens int64, now time.Time) {
	if s.firstRequestAt.IsZero() {
		s.firstRequestAt = now
	}
	s.decay(now)
	s.demandByCost[costClass(cost)] += float64(tokens) / costDemandDecay
}

func (s *shedder) decay(now time.Time) {
	if !s.demandAt.IsZero() {
		factor := math.Exp(-now.Sub(s.demandAt).Seconds() / costDemandDecay)
		for i := range s.demandByCost {
			s.demandByCost[i] *= factor
		}
	}
	s.demandAt = now
}

// cheaperRate is the demand, in tokens per second, of requests that cost at most half as much.
func (s *shedder) cheaperRate(cost float64, now time.Time) float64 {
	return s.rate(costClass(cost/2), now)
}

// rate is the demand of the first cost classes, in tokens per second. If the host started less than
// costDemandDecay ago, it is scaled to the time observed.
func (s *shedder) rate(classes int, now time.Time) float64 {
	s.decay(now)
	sum := 0.0
	for _, rate := range s.demandByCost[:classes] {
		sum += rate
	}
	observed := max(now.Sub(s.firstRequestAt).Seconds(), minObserved)
	return sum / (1 - math.Exp(-observed/costDemandDecay))
}

// rejects reports whether to shed a request at a host that gets a share of the organisation's
// requests, if the unspent tokens are to last for a span of seconds.
func (s *shedder) rejects(cost float64, tokens int64, unspent, share, span float64, now time.Time) bool {
	cheaperRate := s.cheaperRate(cost, now)
	if cheaperRate == 0 || unspent-float64(tokens) >= span*cheaperRate/share {
		return false
	}
	since := now.Sub(s.lastShedAt).Seconds()
	s.lastShedAt = now
	if since > shedReset {
		s.credit = 0
	} else {
		s.credit = min(s.credit+shedShare*cheaperRate*since, float64(tokens))
	}
	if s.credit < float64(tokens) {
		return true
	}
	s.credit -= float64(tokens)
	return false
}

// requestShare is the fraction of an organisation's requests that arrives at this host, where count
// hosts share them as far as they know. The lock is held.
func (al *allocation) requestShare(count int, now time.Time) float64 {
	al.decayDemand(now)
	share := 1 / float64(max(count, 1))
	if drawRate := al.drawRate.rate(now); drawRate > 0 {
		share = max(share, min(al.demand/drawRate, 1))
	}
	return share
}

// shouldShed records a request and reports whether to shed it; one without cost is not. Only a host that obtains
// allocations of the budget decides this: others see few of its requests.
func (a *Allocator) shouldShed(organisation string, cost float64, tokens int64) bool {
	if cost <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil || !al.known || tokens > al.limit || !al.spendable() {
		return false
	}
	count, self := a.keepers(organisation, al)
	if !self {
		return false
	}
	now := time.Now()
	al.shedder.record(cost, tokens, now)
	if !a.rationed(organisation, al, now) {
		return false
	}
	// What others hold is unknown, and near a budget's end it is little.
	unspent := float64(al.currentAccount().Remaining() + al.free)
	span := max(topUpDelay-now.Sub(al.ration.since).Seconds(), minSpan)
	return al.shedder.rejects(cost, tokens, unspent, al.requestShare(count, now), span, now)
}

// ration is the state of a budget after the loss of all hosts.
type ration struct {
	since time.Time // when the loss was noticed; zero: no loss
	limit int64     // limit of the budget at that time
}

// rationed reports whether the rest of a budget is reserved for requests that cost less: from the
// loss of all hosts until the next top-up. The lock is held.
func (a *Allocator) rationed(organisation string, al *allocation, now time.Time) bool {
	switch {
	case a.opts.AllHostsLost != nil && !a.opts.AllHostsLost():
		al.ration = ration{}
		return false
	case al.ration.since.IsZero():
		al.ration = ration{since: now, limit: al.limit}
		log.WithFields(log.Fields{"organisation": organisation, "limit": al.limit, "granted": al.account.Granted}).Info("all hosts were lost; the budget is rationed")
	}
	return al.limit <= al.ration.limit
}
