package prepaid

import (
	"errors"
	"math"
	"time"

	log "github.com/sirupsen/logrus"
)

// After the loss of all hosts, whose tokens are gone, what is left of a budget goes to those
// requests of which it serves most. Without that it goes to whoever comes first, nine tenths of
// it to a few very large requests, and some 12 s later all callers are refused until the next
// top-up: from then on 0.13 to 0.24 of all requests were served in place of a quarter and more
// (simulated fleets of 6 to 300 hosts; the test of that load is in the package fleet).
//
// A request gives way to those that cost at most half as much as long as what is unspent does
// not last for them until budgets can be topped up. While there is more, nobody gives way. Where
// no tokens were lost budgets are spent as they were planned: giving way there as well, near the
// end of any budget or in an outage, cost 0.04 to 0.17 of the worth of days on which the tokens
// sufficed.

// ErrShed means that the last tokens within reach are kept for requests that cost less.
var ErrShed = errors.New("prepaid: the last tokens are kept for smaller requests")

const (
	// toppedUpIn is how soon, in seconds after the loss, budgets may be expected to be topped
	// up: somebody has to notice. Until then what is unspent is to last. With 20 three of 15
	// simulated fleets serve less than a quarter of the requests; each 5 more cost 0.01 of
	// worth where no more tokens come.
	toppedUpIn = 25.0
	// leastSpan is how long, in seconds, it is to last at any time after that.
	leastSpan = 5.0
	// shedShare is what requests that give way still get, as a part of what is asked for
	// by those that cost less: large ones become rare and are not starved.
	shedShare = 0.1
	// shedPause is how long, in seconds, no request has to give way for their part to be
	// counted anew.
	shedPause = 2.0
	// rankFactor is how much less a request is worth for each step of its priority.
	rankFactor = 2.0
	// askTime is the time, in seconds, over which what is asked for is smoothed.
	askTime = 5.0
	// leastSeen, in seconds, is the shortest time from which a rate is taken.
	leastSeen = 0.5
	// costSteps are the classes of cost to each doubling.
	costSteps = 2
	// costClasses reach to 2^24 tokens; what costs more is in the last one.
	costClasses = 24*costSteps + 1
)

// cost is what serving a request costs its organisation's other callers: its tokens, the more
// the less urgent it is.
func (q Request) cost() float64 {
	return float64(q.Tokens) * math.Pow(rankFactor, float64(max(q.Priority, 0)))
}

// shedder decides which requests give way. It is guarded by its treasury's lock.
type shedder struct {
	asked   [costClasses]float64 // smoothed tokens a second, by the cost of their requests
	askedAt time.Time
	began   time.Time // of the first request
	credit  float64   // tokens for requests that should give way
	shedAt  time.Time
}

func costClass(cost float64) int {
	if cost < 1 {
		return 0
	}
	return min(int(costSteps*math.Log2(cost)), costClasses-1)
}

// note takes in what a request asks for, whether or not it begins.
func (s *shedder) note(cost float64, tokens int64, now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	s.decay(now)
	s.asked[costClass(cost)] += float64(tokens) / askTime
}

func (s *shedder) decay(now time.Time) {
	if !s.askedAt.IsZero() {
		part := math.Exp(-now.Sub(s.askedAt).Seconds() / askTime)
		for i := range s.asked {
			s.asked[i] *= part
		}
	}
	s.askedAt = now
}

// cheaper is what is asked for by requests that cost at most half, in tokens a second.
func (s *shedder) cheaper(cost float64, now time.Time) float64 {
	return s.rate(costClass(cost/2), now)
}

// rate is what is asked for by requests of the first classes, in tokens a second. What a host
// that has just started saw in less than askTime counts for the time that it saw.
func (s *shedder) rate(classes int, now time.Time) float64 {
	s.decay(now)
	sum := 0.0
	for _, rate := range s.asked[:classes] {
		sum += rate
	}
	seen := max(now.Sub(s.began).Seconds(), leastSeen)
	return sum / (1 - math.Exp(-seen/askTime))
}

// sheds says whether a request has to give way at a host to which a part of the organisation's
// requests comes, with so many tokens unspent that are to last for a span of seconds.
func (s *shedder) sheds(cost float64, tokens int64, unspent, part, span float64, now time.Time) bool {
	cheaper := s.cheaper(cost, now)
	if cheaper == 0 || unspent-float64(tokens) >= span*cheaper/part {
		return false
	}
	since := now.Sub(s.shedAt).Seconds()
	s.shedAt = now
	if since > shedPause {
		s.credit = 0
	} else {
		s.credit = min(s.credit+shedShare*cheaper*since, float64(tokens))
	}
	if s.credit < float64(tokens) {
		return true
	}
	s.credit -= float64(tokens)
	return false
}

// part is which part of an organisation's requests comes to this host, where count hosts share
// them as far as they know. The lock is held.
func (w *wallet) part(count int, now time.Time) float64 {
	w.decay(now)
	part := 1 / float64(max(count, 1))
	if flow := w.flow.rate(now); flow > 0 {
		part = max(part, min(w.demand/flow, 1))
	}
	return part
}

// shed notes a request and says whether it has to give way. Only a host that takes slices of
// the budget decides it: others see few of its requests.
func (t *Allocator) shed(organisation string, cost float64, tokens int64) bool {
	if cost <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wallets[organisation]
	if w == nil || !w.known || tokens > w.limit || !w.spendable() {
		return false
	}
	count, self := t.keeps(organisation, w)
	if !self {
		return false
	}
	now := time.Now()
	w.shed.note(cost, tokens, now)
	if !t.rations(organisation, w, now) {
		return false
	}
	// What others hold is not known, and near a budget's end it is little.
	unspent := float64(w.current().Remaining() + w.free)
	span := max(toppedUpIn-now.Sub(w.ration.since).Seconds(), leastSpan)
	return w.shed.sheds(cost, tokens, unspent, w.part(count, now), span, now)
}

// ration is the state of a budget after the loss of all hosts.
type ration struct {
	since time.Time // when the loss was noticed; zero: there was none
	limit int64     // of the budget then
}

// rations says whether what is left of a budget is to last for those of its requests that cost
// less: until the next top-up once all hosts were lost. The lock is held.
func (t *Allocator) rations(organisation string, w *wallet, now time.Time) bool {
	switch {
	case t.opts.AllHostsLost != nil && !t.opts.AllHostsLost():
		w.ration = ration{}
		return false
	case w.ration.since.IsZero():
		w.ration = ration{since: now, limit: w.limit}
		log.WithFields(log.Fields{"organisation": organisation, "limit": w.limit, "granted": w.account.Granted}).Info("all hosts were lost: the budget is rationed")
	}
	return w.limit <= w.ration.limit
}
