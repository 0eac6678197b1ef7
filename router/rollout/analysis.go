package rollout

import (
	"math"
	"time"
)

// The version on trial is compared with the old version route by route, on three symptoms: failed
// outcomes, responses that began much later than 90 % of the old version's, and stream events whose
// interval was as much longer. Each comparison is a sequential test of two hypotheses: the share of
// bad outcomes equals that of the old version, or is higher by minRegression or more. The worst
// failure domain (or the worst target, if there is just one domain) is left out on both sides: a
// crashed or unreachable target says nothing about its version.

// Parameters of the tests.
const (
	// minRegression is the smallest increase in the share of bad outcomes that must be found.
	minRegression = 0.1
	// falseAlarmProbability bounds the probability that any test of a rollout rejects a good version.
	falseAlarmProbability = 1e-5
	// A duration is late if it is more than lateBucketOffset buckets above the old version's
	// lateQuantile: more than about twice as long.
	lateBucketOffset = 2
	lateQuantile     = 0.9
	// minOldOutcomes is how many outcomes of the old version a comparison needs. With fewer, latency
	// is not compared, and its share of failures is taken as assumedBadShare.
	minOldOutcomes  = 10
	assumedBadShare = 0.1
	minBadShare     = 0.01 // floor of any version's share of bad outcomes
	// snapshotInterval is the time between snapshots, from each of which on outcomes are compared,
	// so that good early outcomes don't hide a version that turns bad late.
	snapshotInterval = time.Second
	maxSnapshots     = 24
	// minOutcomesPerTarget is how many outcomes show whether a target has the symptom.
	minOutcomesPerTarget = 4
)

// analysis gathers the outcomes of one rollout.
type analysis struct {
	cells     map[cell]*counts
	snapshots []snapshot
}

// snapshot is a copy of the counts at one time.
type snapshot struct {
	at    time.Time
	cells map[cell]counts
}

func newAnalysis() *analysis { return &analysis{cells: map[cell]*counts{}} }

// add adds counts of a cell, multiplied by times.
func (a *analysis) add(c cell, n counts, times int64) {
	known := a.cells[c]
	if known == nil {
		known = &counts{}
		a.cells[c] = known
	}
	known.addScaled(n, times)
}

// takeSnapshot keeps a copy of the counts if the last snapshot is old enough.
func (a *analysis) takeSnapshot(now time.Time) {
	if n := len(a.snapshots); n > 0 && now.Sub(a.snapshots[n-1].at) < snapshotInterval {
		return
	}
	s := snapshot{at: now, cells: make(map[cell]counts, len(a.cells))}
	for c, n := range a.cells {
		s.cells[c] = n.clone()
	}
	a.snapshots = append(a.snapshots, s)
	if len(a.snapshots) > maxSnapshots {
		a.snapshots = a.snapshots[len(a.snapshots)-maxSnapshots:]
	}
}

// trialOutcomes counts the outcomes of the version on trial.
func (a *analysis) trialOutcomes() (n int64) {
	for c, count := range a.cells {
		if c.Target != "" {
			n += count.Outcomes
		}
	}
	return n
}

// finding is the strongest evidence against the version on trial.
type finding struct {
	Route      string
	Symptom    symptom
	LogRatio   float64 // log-likelihood ratio of "worse" over "as good as the old version"
	Bad, Total int64   // outcomes of the new version without its worst failure domain
	OldShare   float64 // share of bad outcomes of the old version
}

// symptom is what makes an outcome bad.
type symptom string

// The symptoms.
const (
	symptomFailed     symptom = "failed"
	symptomLate       symptom = "late"
	symptomSlowStream symptom = "slow_stream"
)

// exceedsThreshold reports whether the evidence suffices; tests is the number of tests made.
func (f finding) exceedsThreshold(tests int) bool { return f.LogRatio > threshold(tests) }

// threshold is the log-likelihood ratio that rejects, corrected for the number of tests so that all
// of them together stay within falseAlarmProbability.
func threshold(tests int) float64 { return math.Log(float64(max(tests, 1)) / falseAlarmProbability) }

// allRoutes names the test over all routes together: a version that is bad on each is found sooner.
const allRoutes = "*"

// worst finds the strongest evidence over all routes, symptoms and snapshots. listed is how many
// targets have the version on trial.
func (a *analysis) worst(listed int) (worst finding, tests int) {
	routes := a.byRoute()
	for _, s := range []symptom{symptomFailed, symptomLate, symptomSlowStream} {
		measures := map[string]measure{}
		for route, cells := range routes {
			if m, ok := a.measure(cells, s); ok {
				measures[route] = m
			}
		}
		tests += len(routes) + 1
		for snap := -1; snap < len(a.snapshots); snap++ {
			all := map[string]samples{}
			for route, m := range measures {
				all[route] = a.samplesSince(routes[route], m, snap)
				f, ok := compare(map[string]samples{route: all[route]}, listed)
				if f.Route, f.Symptom = route, s; ok && f.LogRatio > worst.LogRatio {
					worst = f
				}
			}
			f, ok := compare(all, listed)
			if f.Route, f.Symptom = allRoutes, s; ok && f.LogRatio > worst.LogRatio {
				worst = f
			}
		}
	}
	return worst, tests
}

// byRoute lists the cells of each route on which the version on trial has outcomes.
func (a *analysis) byRoute() map[string][]cell {
	routes := map[string][]cell{}
	for c := range a.cells {
		if c.Target != "" {
			routes[c.Route] = nil
		}
	}
	for c := range a.cells {
		if _, asked := routes[c.Route]; asked {
			routes[c.Route] = append(routes[c.Route], c)
		}
	}
	return routes
}

// measure returns how many of a cell's outcomes show a symptom, and for how many it is known.
type measure func(counts) (bad, of int64)

// measure returns the measure of a symptom on a route, given its cells; ok is false if the old
// version has too little to compare with.
func (a *analysis) measure(cells []cell, s symptom) (m measure, ok bool) {
	if s == symptomFailed {
		return func(c counts) (int64, int64) { return c.Failed, c.Outcomes }, true
	}
	times := func(c counts) histogram { return c.FirstByte }
	if s == symptomSlowStream {
		times = func(c counts) histogram { return c.EventInterval }
	}
	var old histogram
	for _, c := range cells {
		if c.Target == "" {
			old = old.addScaled(times(*a.cells[c]), 1)
		}
	}
	if old.total() < minOldOutcomes {
		return nil, false
	}
	limit, _ := old.quantile(lateQuantile)
	limit += lateBucketOffset
	return func(c counts) (int64, int64) { return times(c).above(limit), times(c).total() }, true
}

// proportion is bad outcomes of a total.
type proportion struct{ bad, total int64 }

func (p *proportion) add(bad, of int64) {
	p.bad += bad
	p.total += of
}

// share is the smoothed share of bad outcomes.
func (p proportion) share() float64 { return (float64(p.bad) + 1) / (float64(p.total) + 2) }

// proportions are keyed by failure domain or by target.
type proportions map[string]*proportion

func (p proportions) add(key string, bad, of int64) {
	if p[key] == nil {
		p[key] = &proportion{}
	}
	p[key].add(bad, of)
}

func (p proportions) addAll(o proportions) {
	for key, part := range o {
		p.add(key, part.bad, part.total)
	}
}

// worst is the key with the most bad outcomes; empty if it is the only key, or none is bad.
func (p proportions) worst() (key string) {
	if len(p) < 2 {
		return ""
	}
	most := int64(0)
	for k, part := range p {
		if part.bad > most {
			key, most = k, part.bad
		}
	}
	return key
}

// without sums all proportions except that of key.
func (p proportions) without(key string) (sum proportion) {
	for k, part := range p {
		if k != key {
			sum.add(part.bad, part.total)
		}
	}
	return sum
}

// samples are the outcomes of both versions on one route.
type samples struct {
	old, trial, targets proportions // by domain, by domain, by target
}

// samplesSince counts the outcomes of a route's cells since a snapshot; -1: since the order.
func (a *analysis) samplesSince(cells []cell, m measure, snap int) samples {
	s := samples{proportions{}, proportions{}, proportions{}}
	for _, c := range cells {
		bad, of := m(*a.cells[c])
		if snap >= 0 {
			badThen, ofThen := m(a.snapshots[snap].cells[c])
			bad, of = bad-badThen, of-ofThen
		}
		if c.Target == "" {
			s.old.add(c.Domain, bad, of)
			continue
		}
		s.trial.add(c.Domain, bad, of)
		s.targets.add(c.Target, bad, of)
	}
	return s
}

// compare compares the versions over some routes together. Where the version has several targets,
// the outcomes of just one are no evidence.
func compare(routes map[string]samples, listed int) (f finding, ok bool) {
	domains, targets := proportions{}, proportions{}
	for _, side := range routes {
		domains.addAll(side.trial)
		targets.addAll(side.targets)
	}
	if listed > 1 && targets.nonEmpty() < 2 || !targets.mostTargetsBad() {
		return f, false
	}
	excluded := domains.worst()
	for _, side := range routes {
		seen := side.trial.without(excluded)
		if len(domains) < 2 {
			seen = side.targets.without(targets.worst())
		}
		old := side.oldShare()
		f.LogRatio += logLikelihoodRatio(seen, old)
		f.Bad += seen.bad
		f.Total += seen.total
		f.OldShare = max(f.OldShare, old)
	}
	return f, f.Bad > 0
}

// oldShare is the old version's share of bad outcomes, without its worst domain.
func (s samples) oldShare() float64 {
	rest := s.old.without(s.old.worst())
	if rest.total < minOldOutcomes {
		return assumedBadShare
	}
	return max(rest.share(), minBadShare)
}

// nonEmpty counts the keys that have outcomes.
func (p proportions) nonEmpty() (n int) {
	for _, part := range p {
		if part.total > 0 {
			n++
		}
	}
	return n
}

// mostTargetsBad reports whether at least half of the targets with enough outcomes have a bad one: a
// fault of the version shows at all of its targets.
func (p proportions) mostTargetsBad() bool {
	judged, bad := 0, 0
	for _, part := range p {
		if part.total < minOutcomesPerTarget {
			continue
		}
		judged++
		if part.bad > 0 {
			bad++
		}
	}
	return 2*bad >= judged
}

// logLikelihoodRatio compares the outcomes under a worse version's share of bad ones with the old
// version's. The worse share is the one that was seen, if it is large enough to matter.
func logLikelihoodRatio(seen proportion, old float64) float64 {
	if seen.total == 0 {
		return 0
	}
	worse := max(old+minRegression, float64(seen.bad)/float64(seen.total))
	worse = min(worse, (1+max(old, 1-2*minBadShare))/2)
	good := float64(seen.total - seen.bad)
	return float64(seen.bad)*math.Log(worse/old) + good*math.Log((1-worse)/(1-old))
}
