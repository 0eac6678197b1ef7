package rollout

import (
	"time"

	log "github.com/sirupsen/logrus"
)

// Bounds are what operators allow a version that turns out bad.
type Bounds struct {
	Share float64 // of the requests of the service
	Slack float64 // and so many more
}

// Figures of a rollout, as parts of the order's period.
const (
	watchPart = 0.65 // the new version is watched so long, since some turn bad late
	longWatch = 0.78 // and so long where few answers have come
	movePart  = 0.12 // the move takes so long at most
	lastPart  = 0.85 // a decision is made by then; the rest is for a log that is away
)

// Figures of the trial.
const (
	// trialPart is the part of the bounds that the trial uses; the move uses the rest.
	trialPart = 0.6
	// boundMargin is the part of the bounds that is used at all: reports are a moment old.
	boundMargin = 0.9
	// carefulShare is the first share, until carefulAnswers have come: a version that fails at
	// once is found with few callers harmed.
	carefulShare   = 0.02
	carefulRate    = 3.0 // answers a second that are enough until then
	carefulAnswers = 20
	wantedRate     = 40.0 // answers a second that are enough to judge by
	enoughAnswers  = 150  // in all
	leastTrial     = 0.01 // of the requests
	mostTrial      = 0.5  // of the requests, where callers are so few that the slack decides
	// slackPart is the part of the slack that the trial uses.
	slackPart = 0.8
	mostMove  = 3 * time.Second
	// settleFor is how long a version that all targets have is watched for others.
	settleFor = 3 * time.Second
	// rateWeight is the weight of the newest rate in the smoothed one.
	rateWeight = 0.3
	rateEvery  = 250 * time.Millisecond
)

// View is what the host that conducts a rollout sees beside the reports.
type View struct {
	Record        *Record        // the newest one of the service, nil: none
	RecordCurrent bool           // the log told of the record a moment ago
	Versions      map[string]int // ready targets of the service by version
	Hosts         int
}

// Coordinator conducts the rollout of one order from the reports of hosts. Any host may conduct:
// reports tell all since the order, and the log takes one decision. It is not safe for
// concurrent use.
type Coordinator struct {
	bounds Bounds
	order  Order
	heard  time.Time // when this host heard of the order
	judge  *judge

	reports map[string]Report // the newest of each host
	total   Report            // their sum

	rates     rates
	worst     finding
	tests     int
	condemned bool
	share     float64
	moving    time.Time // since when; zero: not yet
	moveFor   time.Duration
}

// NewCoordinator conducts an order that this host heard of at a moment.
func NewCoordinator(o Order, b Bounds, heard time.Time) *Coordinator {
	return &Coordinator{bounds: b, order: o, heard: heard, judge: newJudge(), reports: map[string]Report{}}
}

// AddReport takes in a report, unless a newer one of its host is known.
func (c *Coordinator) AddReport(r Report) {
	last, had := c.reports[r.Host]
	if r.Service != c.order.Service || r.Version != c.order.Version || had && r.Number <= last.Number {
		return
	}
	c.count(last, -1)
	c.count(r, 1)
	c.reports[r.Host] = r
}

func (c *Coordinator) count(r Report, times int64) {
	c.total.Sent += times * r.Sent
	c.total.Trial += times * r.Trial
	c.total.NotRetryable += times * r.NotRetryable
	c.total.NotRetryableOnOld += times * r.NotRetryableOnOld
	for _, cell := range r.Cells {
		c.judge.add(cell.cell, cell.counts, times)
	}
}

// rates are the smoothed requests a second.
type rates struct {
	at           time.Time
	sent, single int64
	all, singles float64
	wasMeasured  bool
}

func (r *rates) note(total Report, now time.Time) {
	if r.at.IsZero() {
		r.at, r.sent, r.single = now, total.Sent, total.NotRetryable
		return
	}
	took := now.Sub(r.at).Seconds()
	if took < rateEvery.Seconds() {
		return
	}
	all, singles := float64(total.Sent-r.sent)/took, float64(total.NotRetryable-r.single)/took
	if !r.wasMeasured {
		r.all, r.singles, r.wasMeasured = all, singles, true
	}
	r.all += rateWeight * (all - r.all)
	r.singles += rateWeight * (singles - r.singles)
	r.at, r.sent, r.single = now, total.Sent, total.NotRetryable
}

// Evaluate weighs the evidence. It is called some times a second.
func (c *Coordinator) Evaluate(v View, now time.Time) {
	c.rates.note(c.total, now)
	c.judge.snap(now)
	c.worst, c.tests = c.judge.worst(v.Versions[c.order.Version])
	if !c.condemned && c.worst.condemns(c.tests) {
		c.condemned = true
		c.line().Warn("new version condemned")
	}
	if c.moving.IsZero() && c.mayMove(v, now) {
		c.moving, c.moveFor = now, c.planMove(v)
		c.line().WithField("for", c.moveFor).Info("move to the new version begins")
	}
}

// line has the figures that decide.
func (c *Coordinator) line() *log.Entry {
	return log.WithFields(log.Fields{
		"service": c.order.Service, "version": c.order.Version, "sent": c.total.Sent, "trial": c.total.Trial, "hosts": len(c.reports),
		"route": c.worst.Route, "sign": c.worst.Sign, "weight": c.worst.Weight, "bad": c.worst.Bad, "of": c.worst.Of, "old_share": c.worst.OldShare,
	})
}

// watch is how long the new version is watched.
func (c *Coordinator) watch() time.Duration {
	if c.judge.answers() < enoughAnswers {
		return c.after(longWatch)
	}
	return c.after(watchPart)
}

// mayMove says whether the new version was watched for long enough and nothing speaks against it.
func (c *Coordinator) mayMove(v View, now time.Time) bool {
	return c.running(v) && !c.condemned && !c.doubted() && v.Versions[c.order.Version] > 0 && c.old(v) > 0 &&
		c.age(v, now) >= c.watch()
}

// doubted says whether the evidence is half of what condemns.
func (c *Coordinator) doubted() bool { return c.worst.Weight > threshold(c.tests)/2 }

// running says whether the order was begun and not decided.
func (c *Coordinator) running(v View) bool {
	return v.Record.decides(c.order) && !v.Record.State.Final()
}

// old counts the ready targets of other versions.
func (c *Coordinator) old(v View) (n int) {
	for version, targets := range v.Versions {
		if version != c.order.Version {
			n += targets
		}
	}
	return n
}

// after is a moment of the order's period.
func (c *Coordinator) after(part float64) time.Duration {
	return time.Duration(part * float64(c.order.Period))
}

// age is the time since the order. A host that heard of it late goes by the record, whose clock
// may be off by seconds.
func (c *Coordinator) age(v View, now time.Time) time.Duration {
	age := now.Sub(c.heard)
	if v.Record.decides(c.order) && !v.Record.Began.IsZero() {
		age = max(age, min(now.Sub(v.Record.Began), c.order.Period))
	}
	return age
}

// unreported is how many requests went to the new version since the reports, about.
func (c *Coordinator) unreported(v View) float64 {
	return c.rates.all * c.share * ReportInterval(v.Hosts).Seconds()
}

// planMove is how long what may not be sent again can go to the new version within the bounds.
func (c *Coordinator) planMove(v View) time.Duration {
	if c.rates.singles <= 0 {
		return 0
	}
	left := boundMargin*c.bounds.Share*float64(c.total.Sent) + (1-slackPart)*c.bounds.Slack - float64(c.total.Trial) - c.unreported(v)
	span := min(time.Duration(left/c.rates.singles*float64(time.Second)), mostMove, c.after(movePart))
	if span < ReportInterval(v.Hosts) {
		return 0 // over before all hosts have heard of it
	}
	return span
}

// Advise tells a host what to do.
func (c *Coordinator) Advise(v View, now time.Time) Advice {
	a := Advice{LogReachable: v.RecordCurrent, Phase: PhaseHeld}
	if c.condemned || !c.running(v) || v.Versions[c.order.Version] == 0 {
		return a
	}
	c.share = c.trialShare(v)
	a.Phase, a.Share = PhaseTrial, c.share
	if left := c.moving.Add(c.moveFor).Sub(now); !c.moving.IsZero() && left > 0 {
		a.Phase, a.MovingMs = PhaseMoving, left.Milliseconds()
	}
	return a
}

// trialShare is the part of the requests that goes to the new version: enough to judge by, and
// within the bounds.
func (c *Coordinator) trialShare(v View) float64 {
	allowed := trialPart*boundMargin*c.bounds.Share*float64(c.total.Sent) + slackPart*c.bounds.Slack
	spare := allowed - float64(c.total.Trial) - c.unreported(v)
	if spare <= 0 {
		return 0
	}
	if c.rates.all <= 0 {
		return carefulShare
	}
	share, wanted := carefulShare, carefulRate/c.rates.all
	if c.judge.answers() >= carefulAnswers {
		wanted = wantedRate / c.rates.all
		share = min(max(wanted, leastTrial), trialPart*boundMargin*c.bounds.Share)
	}
	// Where callers are few, the slack brings the answers.
	bySlack := spare / (c.rates.all * ReportInterval(v.Hosts).Seconds())
	return min(max(share, min(wanted, bySlack)), mostTrial)
}

// Decide gives the record that is to be written now; ok is false if there is none.
func (c *Coordinator) Decide(v View, now time.Time) (next Record, ok bool) {
	switch {
	case !v.RecordCurrent:
		return next, false
	case !v.Record.decides(c.order):
		return begin(c.order, v.Record, versionsOf(v), now), true
	case v.Record.State.Final():
		return next, false
	}
	state, decided := c.verdict(v, now)
	return v.Record.ended(state), decided
}

func versionsOf(v View) []string {
	list := make([]string, 0, len(v.Versions))
	for version := range v.Versions {
		list = append(list, version)
	}
	return list
}

// verdict is the final state of a rollout that is to end now.
func (c *Coordinator) verdict(v View, now time.Time) (s State, decided bool) {
	age := c.age(v, now)
	last := age >= c.after(lastPart)
	switch {
	case c.condemned:
		return RolledBack, true
	case v.Versions[c.order.Version] == 0:
		return RolledBack, last // there is nothing to move to
	case c.old(v) == 0:
		return Done, age >= settleFor
	case !c.moving.IsZero() && now.Sub(c.moving) >= c.moveFor:
		return Done, true
	case last && c.doubted():
		return RolledBack, true
	}
	return Done, last
}

// Withdraw is the record of an order that was taken back before it was decided; ok is false if
// nothing is to be written.
func Withdraw(r *Record) (next Record, ok bool) {
	if r == nil || r.State.Final() {
		return next, false
	}
	return r.ended(RolledBack), true
}
