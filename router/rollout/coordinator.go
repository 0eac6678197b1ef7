package rollout

import (
	"time"

	log "github.com/sirupsen/logrus"
)

// Bounds limit the requests that a version that turns out bad may get.
type Bounds struct {
	Share float64 // of the requests of the service
	Slack float64 // requests in addition
}

// Deadlines of a rollout, as fractions of the order's period.
const (
	watchFraction     = 0.65 // observation time of the new version, as some versions turn bad late
	longWatchFraction = 0.78 // the same if there are few outcomes
	maxMoveFraction   = 0.12 // longest move
	decisionFraction  = 0.85 // a decision is made by then; the rest is reserved for a log outage
	// lastDecisionFraction is when a version that there is too little evidence for is rolled back.
	lastDecisionFraction = 0.9
	// hurryFraction is when the trial gets faster if there is too little evidence.
	hurryFraction = 0.5
)

// Evidence that a version needs to be done.
const (
	// minDecisionOutcomes is how many outcomes suffice in any case: with fewer, a version that fails a
	// third of its requests may not look suspicious.
	minDecisionOutcomes = 40
	// minCoverage is the coverage from which on fewer outcomes suffice, if they are as many as the least
	// share of the requests gives: there was no more traffic.
	minCoverage = 0.5
	// gatherIntervals is the number of report intervals in which a coordinator hears of all hosts.
	gatherIntervals = 2
)

// Parameters of the trial.
const (
	// trialBoundsFraction is the fraction of the bounds for the trial; the rest is for the move.
	trialBoundsFraction = 0.6
	// usableBoundsFraction is the fraction of the bounds that is used at all, as reports lag behind.
	usableBoundsFraction = 0.9
	// initialShare is the share until there are initialOutcomes: a version that fails at once is
	// found while few callers are affected.
	initialShare     = 0.02
	initialRate      = 3.0 // outcomes per second that suffice until then
	initialOutcomes  = 20
	sampleRate       = 40.0 // outcomes per second that suffice for a comparison
	minTrialOutcomes = 150  // in total
	minTrialShare    = 0.01 // of the requests
	maxTrialShare    = 0.5  // of the requests, where traffic is so low that the slack decides
	// trialSlackFraction is the fraction of the slack for the trial.
	trialSlackFraction = 0.8
	maxMoveDuration    = 3 * time.Second
	// settleTime is how long to wait for targets of another version if all have the new one: a host that
	// has just started may not have read the others.
	settleTime = 3 * time.Second
	// rateSmoothing is the weight of the newest rate in the moving average.
	rateSmoothing = 0.3
	rateInterval  = 250 * time.Millisecond
)

// View is what the coordinating host sees besides the reports.
type View struct {
	Record        *Record        // the newest of the service; nil: none
	RecordCurrent bool           // the log confirmed the record a moment ago
	Versions      map[string]int // ready targets of the service by version
	Hosts         int
}

// Coordinator runs the rollout of one order from the reports of hosts. Any host may coordinate, even
// several at once: reports cover everything since the order, and the log accepts one decision. It is
// not safe for concurrent use.
type Coordinator struct {
	bounds        Bounds
	order         Order
	orderReceived time.Time // when this host received the order
	analysis      *analysis

	reports map[string]Report // the newest of each host
	total   Report            // their sum
	covered int               // how many of them reach back to the start of the rollout

	rates        rates
	worst        finding
	tests        int
	rejected     bool
	share        float64
	evaluated    time.Time // first; zero: not yet
	onlyNewSince time.Time // no old targets were listed; zero: some are
	moveStarted  time.Time // zero: not started
	moveDuration time.Duration
}

// NewCoordinator coordinates an order that this host received at orderReceived.
func NewCoordinator(o Order, b Bounds, orderReceived time.Time) *Coordinator {
	return &Coordinator{bounds: b, order: o, orderReceived: orderReceived, analysis: newAnalysis(), reports: map[string]Report{}}
}

// AddReport adds a report, unless a newer one of its host is known.
func (c *Coordinator) AddReport(r Report) {
	previous, had := c.reports[r.Host]
	if r.Service != c.order.Service || r.Version != c.order.Version || had && r.Number <= previous.Number {
		return
	}
	c.addCounts(previous, -1)
	c.addCounts(r, 1)
	switch {
	case r.FromStart && !previous.FromStart:
		c.covered++
	case !r.FromStart && previous.FromStart:
		c.covered--
	}
	c.reports[r.Host] = r
}

func (c *Coordinator) addCounts(r Report, times int64) {
	c.total.Sent += times * r.Sent
	c.total.Trial += times * r.Trial
	c.total.NotRetryable += times * r.NotRetryable
	c.total.NotRetryableOnOld += times * r.NotRetryableOnOld
	for _, cell := range r.Cells {
		c.analysis.add(cell.cell, cell.counts, times)
	}
}

// rates are moving averages of requests per second.
type rates struct {
	at                               time.Time
	sent, notRetryable               int64
	perSecond, notRetryablePerSecond float64
	wasMeasured                      bool
}

func (r *rates) update(total Report, now time.Time) {
	if r.at.IsZero() {
		r.at, r.sent, r.notRetryable = now, total.Sent, total.NotRetryable
		return
	}
	took := now.Sub(r.at).Seconds()
	if took < rateInterval.Seconds() {
		return
	}
	perSecond, notRetryablePerSecond := float64(total.Sent-r.sent)/took, float64(total.NotRetryable-r.notRetryable)/took
	if !r.wasMeasured {
		r.perSecond, r.notRetryablePerSecond, r.wasMeasured = perSecond, notRetryablePerSecond, true
	}
	r.perSecond += rateSmoothing * (perSecond - r.perSecond)
	r.notRetryablePerSecond += rateSmoothing * (notRetryablePerSecond - r.notRetryablePerSecond)
	r.at, r.sent, r.notRetryable = now, total.Sent, total.NotRetryable
}

// Evaluate evaluates the evidence. It is called a few times per second.
func (c *Coordinator) Evaluate(v View, now time.Time) {
	if c.evaluated.IsZero() {
		c.evaluated = now
	}
	if c.oldTargets(v) > 0 {
		c.onlyNewSince = time.Time{}
	} else if c.onlyNewSince.IsZero() {
		c.onlyNewSince = now
	}
	c.rates.update(c.total, now)
	c.analysis.takeSnapshot(now)
	c.worst, c.tests = c.analysis.worst(v.Versions[c.order.Version])
	if !c.rejected && c.worst.exceedsThreshold(c.tests) {
		c.rejected = true
		c.logEntry().Warn("new version rejected: its outcomes are worse than those of the old version")
	}
	if c.moveStarted.IsZero() && c.canMove(v, now) {
		c.moveStarted, c.moveDuration = now, c.planMoveDuration(v)
		c.logEntry().WithField("for", c.moveDuration).Info("moving requests that must not be retried to the new version")
	}
}

// logEntry has the values that the decision depends on.
func (c *Coordinator) logEntry() *log.Entry {
	return log.WithFields(log.Fields{
		"service": c.order.Service, "version": c.order.Version, "sent": c.total.Sent, "trial": c.total.Trial, "hosts": len(c.reports),
		"route": c.worst.Route, "sign": c.worst.Symptom, "weight": c.worst.LogRatio, "bad": c.worst.Bad, "of": c.worst.Total, "old_share": c.worst.OldShare,
	})
}

// watchDuration is how long the new version is observed.
func (c *Coordinator) watchDuration(v View) time.Duration {
	switch {
	case c.analysis.trialOutcomes() >= minTrialOutcomes:
		return c.fractionOfPeriod(watchFraction)
	case c.coverage(v) < minCoverage:
		return c.fractionOfPeriod(decisionFraction) // each outcome counts
	}
	return c.fractionOfPeriod(longWatchFraction)
}

// canMove reports whether the new version was observed for long enough and nothing speaks against it.
func (c *Coordinator) canMove(v View, now time.Time) bool {
	return c.running(v) && !c.rejected && !c.suspicious() && c.hasEvidence(v) && v.Versions[c.order.Version] > 0 && c.oldTargets(v) > 0 &&
		c.elapsed(v, now) >= c.watchDuration(v)
}

// suspicious reports whether the evidence exceeds half the threshold of rejection.
func (c *Coordinator) suspicious() bool { return c.worst.LogRatio > threshold(c.tests)/2 }

// coverage is the fraction of the hosts whose reports reach back to the start of the rollout. What the
// others saw before they were lost is unknown, unless this coordinator has their reports.
func (c *Coordinator) coverage(v View) float64 {
	return min(float64(c.covered)/float64(max(v.Hosts, 1)), 1)
}

// hasEvidence reports whether there are enough outcomes to call the version good if none speaks
// against it.
func (c *Coordinator) hasEvidence(v View) bool {
	need := float64(minDecisionOutcomes)
	if c.coverage(v) >= minCoverage {
		need = min(need, initialShare*float64(c.total.Sent))
	}
	return float64(c.analysis.trialOutcomes()) >= need
}

// gathered reports whether all hosts have had the time to report to this coordinator, and it to read all
// targets.
func (c *Coordinator) gathered(v View, now time.Time) bool {
	return !c.evaluated.IsZero() && now.Sub(c.evaluated) >= gatherIntervals*ReportInterval(v.Hosts)
}

// running reports whether the order was begun and is not decided.
func (c *Coordinator) running(v View) bool {
	return v.Record.isFor(c.order) && !v.Record.State.Final()
}

// oldTargets counts the ready targets of other versions.
func (c *Coordinator) oldTargets(v View) (n int) {
	for version, targets := range v.Versions {
		if version != c.order.Version {
			n += targets
		}
	}
	return n
}

// fractionOfPeriod is a fraction of the order's period.
func (c *Coordinator) fractionOfPeriod(part float64) time.Duration {
	return time.Duration(part * float64(c.order.Period))
}

// elapsed is the time since the order. A host that received the order late adds what it missed by the
// record's start time, although the clock of the host that wrote it may be off by seconds. Later steps of
// the clock don't matter.
func (c *Coordinator) elapsed(v View, now time.Time) time.Duration {
	elapsed := now.Sub(c.orderReceived)
	if missed, ok := v.Record.missed(c.order, c.orderReceived); ok {
		elapsed += min(missed, c.order.Period)
	}
	return elapsed
}

// estimateUnreported estimates the requests sent to the new version since the last reports.
func (c *Coordinator) estimateUnreported(v View) float64 {
	return c.rates.perSecond * c.share * ReportInterval(v.Hosts).Seconds()
}

// planMoveDuration is how long requests that must not be retried can go to the new version within the bounds.
func (c *Coordinator) planMoveDuration(v View) time.Duration {
	if c.rates.notRetryablePerSecond <= 0 {
		return 0
	}
	left := usableBoundsFraction*c.bounds.Share*float64(c.total.Sent) + (1-trialSlackFraction)*c.slack(v) - float64(c.total.Trial) - c.estimateUnreported(v)
	span := min(time.Duration(left/c.rates.notRetryablePerSecond*float64(time.Second)), maxMoveDuration, c.fractionOfPeriod(maxMoveFraction))
	if span < ReportInterval(v.Hosts) {
		return 0 // the move would end before all hosts have received the advice
	}
	return span
}

// Advise returns the advice for a host.
func (c *Coordinator) Advise(v View, now time.Time) Advice {
	a := Advice{LogReachable: v.RecordCurrent, Phase: PhaseHeld}
	if c.rejected || !c.running(v) || v.Versions[c.order.Version] == 0 {
		return a
	}
	c.share = c.trialShare(v, now)
	a.Phase, a.Share = PhaseTrial, c.share
	if left := c.moveStarted.Add(c.moveDuration).Sub(now); !c.moveStarted.IsZero() && left > 0 {
		a.Phase, a.MovingMs = PhaseMoving, left.Milliseconds()
	}
	return a
}

// slack is the part of the slack that is left to this coordinator: hosts that were lost may have used
// theirs.
func (c *Coordinator) slack(v View) float64 { return c.coverage(v) * c.bounds.Slack }

// trialShare is the share of the requests that goes to the new version: enough for a comparison, and
// within the bounds.
func (c *Coordinator) trialShare(v View, now time.Time) float64 {
	// Late in the period evidence is worth more than a slow start and a long move.
	short := !c.hasEvidence(v) || c.coverage(v) < minCoverage && c.analysis.trialOutcomes() < minTrialOutcomes
	hurry := short && c.elapsed(v, now) >= c.fractionOfPeriod(hurryFraction)
	fraction := trialBoundsFraction * usableBoundsFraction
	if hurry {
		fraction = usableBoundsFraction
	}
	allowed := fraction*c.bounds.Share*float64(c.total.Sent) + trialSlackFraction*c.slack(v)
	spare := allowed - float64(c.total.Trial) - c.estimateUnreported(v)
	if spare <= 0 {
		return 0
	}
	if c.rates.perSecond <= 0 {
		return initialShare
	}
	share, wanted := initialShare, initialRate/c.rates.perSecond
	if hurry || c.analysis.trialOutcomes() >= initialOutcomes {
		wanted = sampleRate / c.rates.perSecond
		share = min(max(wanted, minTrialShare), fraction*c.bounds.Share)
	}
	// With little traffic, the slack provides the outcomes.
	bySlack := spare / (c.rates.perSecond * ReportInterval(v.Hosts).Seconds())
	return min(max(share, min(wanted, bySlack)), maxTrialShare)
}

// Decide returns the record to write now; ok is false if there is none.
func (c *Coordinator) Decide(v View, now time.Time) (next Record, ok bool) {
	switch {
	case !v.RecordCurrent:
		return next, false
	case !v.Record.isFor(c.order):
		return newRecord(c.order, v.Record, versionsOf(v), now), true
	case v.Record.State.Final():
		return next, false
	}
	state, decided := c.finalState(v, now)
	return v.Record.finalize(state), decided
}

func versionsOf(v View) []string {
	list := make([]string, 0, len(v.Versions))
	for version := range v.Versions {
		list = append(list, version)
	}
	return list
}

// finalState is the final state of the rollout if it is to end now.
func (c *Coordinator) finalState(v View, now time.Time) (s State, decided bool) {
	elapsed := c.elapsed(v, now)
	deadlinePassed := elapsed >= c.fractionOfPeriod(decisionFraction)
	switch {
	case c.rejected:
		return RolledBack, true
	case v.Versions[c.order.Version] == 0:
		return RolledBack, deadlinePassed && c.gathered(v, now) // there is nothing to move to
	case c.oldTargets(v) == 0:
		return Done, !c.onlyNewSince.IsZero() && now.Sub(c.onlyNewSince) >= settleTime
	case !c.moveStarted.IsZero() && now.Sub(c.moveStarted) >= c.moveDuration:
		return Done, true
	case deadlinePassed && c.suspicious():
		return RolledBack, true
	case !c.hasEvidence(v):
		// Until then, another host may have the evidence.
		if elapsed < c.fractionOfPeriod(lastDecisionFraction) || !c.gathered(v, now) {
			return s, false
		}
		c.logEntry().WithFields(log.Fields{"outcomes": c.analysis.trialOutcomes(), "coverage": c.coverage(v)}).Warn("rolling back: too few outcomes of the new version")
		return RolledBack, true
	}
	return Done, deadlinePassed
}

// Withdraw returns the record of an order that was withdrawn before it was decided; ok is false if
// nothing is to be written.
func Withdraw(r *Record) (next Record, ok bool) {
	if r == nil || r.State.Final() {
		return next, false
	}
	return r.finalize(RolledBack), true
}
