package rollout

import (
	"math"
	"time"
)

// The version on trial is judged route by route, by three signs: answers that failed, answers
// that began much later than nine in ten of the old version's do, and events of streams that came
// as much later one after the other. Each is a sequential test of two hypotheses: the share of
// bad answers is that of the old version, or worseBy more. What strikes one failure domain, or
// one target where there is one domain, is left out on both sides: a target that crashes or is cut
// off says nothing of its version.

// Figures of the test.
const (
	// worseBy is how much larger the share of bad answers of a version is, at least, that is to
	// be found.
	worseBy = 0.1
	// falseAlarm is the chance that one test condemns a good version at some moment.
	falseAlarm = 1e-5
	// lateBuckets is how far above the old version's ninth decile a time counts as late: twice it.
	lateBuckets = 2
	lateDecile  = 0.9
	// leastOld is how many answers of the old version a comparison needs. With fewer, lateness
	// is not judged, and guessedShare is what is taken for its failures.
	leastOld     = 10
	guessedShare = 0.1
	leastShare   = 0.01 // of bad answers that any version has
	// snapEvery is the time between two moments from which on answers are looked at, so that a
	// version that turns bad late is not saved by what it answered before.
	snapEvery = time.Second
	mostSnaps = 24
	// eachAnswers is how many answers of a target show whether it shares in what is bad.
	eachAnswers = 4
)

// judge gathers the evidence of one rollout.
type judge struct {
	cells map[cell]*counts
	snaps []snapshot
}

// snapshot is the evidence as of a moment.
type snapshot struct {
	at    time.Time
	cells map[cell]counts
}

func newJudge() *judge { return &judge{cells: map[cell]*counts{}} }

// add takes in a multiple of counts of a cell.
func (j *judge) add(c cell, n counts, times int64) {
	known := j.cells[c]
	if known == nil {
		known = &counts{}
		j.cells[c] = known
	}
	known.plus(n, times)
}

// snap keeps the evidence as of now, if the last one that was kept is old enough.
func (j *judge) snap(now time.Time) {
	if n := len(j.snaps); n > 0 && now.Sub(j.snaps[n-1].at) < snapEvery {
		return
	}
	s := snapshot{at: now, cells: make(map[cell]counts, len(j.cells))}
	for c, n := range j.cells {
		s.cells[c] = n.clone()
	}
	j.snaps = append(j.snaps, s)
	if len(j.snaps) > mostSnaps {
		j.snaps = j.snaps[len(j.snaps)-mostSnaps:]
	}
}

// answers counts the answers of the version on trial.
func (j *judge) answers() (n int64) {
	for c, count := range j.cells {
		if c.Target != "" {
			n += count.Answers
		}
	}
	return n
}

// finding is the strongest evidence against the version on trial.
type finding struct {
	Route    string
	Sign     sign
	Weight   float64 // logarithm of how much likelier the answers are if the version is worse
	Bad, Of  int64   // of its answers, after what one failure domain had is left out
	OldShare float64 // of bad answers of the old version
}

// sign is what makes an answer bad.
type sign string

// The signs.
const (
	signFailed sign = "failed"
	signLate   sign = "late"
	signSlow   sign = "slow_stream"
)

// condemns says whether the evidence is enough; tests is how many were made.
func (f finding) condemns(tests int) bool { return f.Weight > threshold(tests) }

// threshold is the weight that condemns, so that all tests together err as seldom as said.
func threshold(tests int) float64 { return math.Log(float64(max(tests, 1)) / falseAlarm) }

// allRoutes names the test of all routes together: a version that is bad on each is found sooner.
const allRoutes = "*"

// worst finds the strongest evidence over all routes, signs and moments from which on answers
// are looked at. listed is how many targets have the version on trial.
func (j *judge) worst(listed int) (worst finding, tests int) {
	routes := j.byRoute()
	for _, s := range []sign{signFailed, signLate, signSlow} {
		measures := map[string]measure{}
		for route, cells := range routes {
			if m, ok := j.measure(cells, s); ok {
				measures[route] = m
			}
		}
		tests += len(routes) + 1
		for snap := -1; snap < len(j.snaps); snap++ {
			all := map[string]sides{}
			for route, m := range measures {
				all[route] = j.since(routes[route], m, snap)
				f, ok := test(map[string]sides{route: all[route]}, listed)
				if f.Route, f.Sign = route, s; ok && f.Weight > worst.Weight {
					worst = f
				}
			}
			f, ok := test(all, listed)
			if f.Route, f.Sign = allRoutes, s; ok && f.Weight > worst.Weight {
				worst = f
			}
		}
	}
	return worst, tests
}

// byRoute lists the cells of each route on which the version on trial answered.
func (j *judge) byRoute() map[string][]cell {
	routes := map[string][]cell{}
	for c := range j.cells {
		if c.Target != "" {
			routes[c.Route] = nil
		}
	}
	for c := range j.cells {
		if _, asked := routes[c.Route]; asked {
			routes[c.Route] = append(routes[c.Route], c)
		}
	}
	return routes
}

// measure tells how many of a cell's answers show a sign, and of how many it is known.
type measure func(counts) (bad, of int64)

// measure gives the measure of a sign on a route, by its cells; ok is false where there is nothing
// to compare with.
func (j *judge) measure(cells []cell, s sign) (m measure, ok bool) {
	if s == signFailed {
		return func(c counts) (int64, int64) { return c.Failed, c.Answers }, true
	}
	times := func(c counts) histogram { return c.First }
	if s == signSlow {
		times = func(c counts) histogram { return c.Pace }
	}
	var old histogram
	for _, c := range cells {
		if c.Target == "" {
			old = old.plus(times(*j.cells[c]), 1)
		}
	}
	if old.total() < leastOld {
		return nil, false
	}
	limit, _ := old.quantile(lateDecile)
	limit += lateBuckets
	return func(c counts) (int64, int64) { return times(c).above(limit), times(c).total() }, true
}

// part is bad answers of some.
type part struct{ bad, of int64 }

func (p *part) add(bad, of int64) {
	p.bad += bad
	p.of += of
}

// share is the smoothed part of bad answers.
func (p part) share() float64 { return (float64(p.bad) + 1) / (float64(p.of) + 2) }

// parts are parts by failure domain or by target.
type parts map[string]*part

func (p parts) add(key string, bad, of int64) {
	if p[key] == nil {
		p[key] = &part{}
	}
	p[key].add(bad, of)
}

func (p parts) addAll(o parts) {
	for key, part := range o {
		p.add(key, part.bad, part.of)
	}
}

// worst is the key with the most bad answers; empty if there is no other key, or none is bad.
func (p parts) worst() (key string) {
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

// without adds all up but for one key.
func (p parts) without(key string) (sum part) {
	for k, part := range p {
		if k != key {
			sum.add(part.bad, part.of)
		}
	}
	return sum
}

// sides are the answers of both versions on one route.
type sides struct {
	old, fresh, targets parts // by domain, by domain, by target
}

// since gathers the answers on a route, by its cells, that came since a snapshot, -1: since ever.
func (j *judge) since(cells []cell, m measure, snap int) sides {
	s := sides{parts{}, parts{}, parts{}}
	for _, c := range cells {
		bad, of := m(*j.cells[c])
		if snap >= 0 {
			badThen, ofThen := m(j.snaps[snap].cells[c])
			bad, of = bad-badThen, of-ofThen
		}
		if c.Target == "" {
			s.old.add(c.Domain, bad, of)
			continue
		}
		s.fresh.add(c.Domain, bad, of)
		s.targets.add(c.Target, bad, of)
	}
	return s
}

// test compares the versions on some routes together. One target's answers prove nothing where
// the version has others.
func test(routes map[string]sides, listed int) (f finding, ok bool) {
	domains, targets := parts{}, parts{}
	for _, side := range routes {
		domains.addAll(side.fresh)
		targets.addAll(side.targets)
	}
	if listed > 1 && targets.answered() < 2 || !targets.mostBad() {
		return f, false
	}
	left := domains.worst()
	for _, side := range routes {
		got := side.fresh.without(left)
		if len(domains) < 2 {
			got = side.targets.without(targets.worst())
		}
		old := side.oldShare()
		f.Weight += weight(got, old)
		f.Bad += got.bad
		f.Of += got.of
		f.OldShare = max(f.OldShare, old)
	}
	return f, f.Bad > 0
}

// oldShare is the share of bad answers that the old version has, but for its worst domain.
func (s sides) oldShare() float64 {
	was := s.old.without(s.old.worst())
	if was.of < leastOld {
		return guessedShare
	}
	return max(was.share(), leastShare)
}

// answered counts the parts that are not empty.
func (p parts) answered() (n int) {
	for _, part := range p {
		if part.of > 0 {
			n++
		}
	}
	return n
}

// mostBad says whether most of the targets that answered a few times had a bad answer: what is
// wrong with a version shows at all of them.
func (p parts) mostBad() bool {
	asked, bad := 0, 0
	for _, part := range p {
		if part.of < eachAnswers {
			continue
		}
		asked++
		if part.bad > 0 {
			bad++
		}
	}
	return 2*bad >= asked
}

// weight is the logarithm of how much likelier answers are under the share of a worse version
// than under the old one's: the share that was seen, if it is large enough to matter.
func weight(got part, old float64) float64 {
	if got.of == 0 {
		return 0
	}
	worse := max(old+worseBy, float64(got.bad)/float64(got.of))
	worse = min(worse, (1+max(old, 1-2*leastShare))/2)
	good := float64(got.of - got.bad)
	return float64(got.bad)*math.Log(worse/old) + good*math.Log((1-worse)/(1-old))
}
