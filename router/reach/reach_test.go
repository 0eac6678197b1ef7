package reach

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

const (
	dialTime = 300 * time.Millisecond
	limit    = 250 * time.Millisecond
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// add adds n targets of a service.
func add(m *Monitor, service string, n int) (paths []*Path) {
	for i := range n {
		paths = append(paths, m.Add(service, fmt.Sprintf("%s%d", service, i)))
	}
	return paths
}

// fail records a dial that ended at d.
func (p *Path) fail(d time.Duration) { p.RecordDial(TimedOut, at(d-dialTime), at(d)) }

func (p *Path) connect(d time.Duration) { p.RecordDial(Connected, at(d), at(d)) }

// cutOff makes dials to the first targets fail until the service is out of reach.
func cutOff(paths []*Path, d time.Duration) {
	for _, p := range paths[:min(minFailing, len(paths))] {
		p.fail(d)
	}
}

func TestServiceIsCutOnceDialsFailAtSeveralTargets(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 10)
	paths[5].connect(-time.Second) // before the links were lost
	paths[0].fail(dialTime)
	paths[1].fail(dialTime)
	is.True(!paths[9].Cut())
	paths[2].fail(dialTime)
	is.True(paths[9].Cut())
	is.True(paths[9].OpenConnectionsDead())
}

// Targets that crash one after the other are no reason to doubt the links, as others are reached.
func TestServiceIsNotCutWhileOthersAreReached(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 10)
	for i := range 4 {
		now := time.Duration(i) * 100 * time.Millisecond
		paths[i].RecordDial(Refused, at(now), at(now))
		paths[5+i].connect(now + 50*time.Millisecond)
	}
	is.True(!paths[0].Cut())
}

// A failed dial is forgotten.
func TestOldFailuresDontCount(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 10)
	paths[0].fail(0)
	paths[1].fail(0)
	paths[2].fail(dialWindow + time.Millisecond)
	is.True(!paths[0].Cut())
}

// A host that reaches no target at all doesn't wait for each service to fail by itself, but keeps to what it reaches.
func TestOtherServicesAreCutWithTheHost(t *testing.T) {
	is := is.New(t)
	m := New()
	many, few, reached := add(m, "many", 12), add(m, "few", 3), add(m, "reached", 3)
	cutOff(many, dialTime)
	is.True(few[0].Cut())
	is.True(reached[0].Cut())

	m = New()
	many, few, reached = add(m, "many", 12), add(m, "few", 3), add(m, "reached", 3)
	reached[0].connect(dialTime / 2)
	cutOff(many, dialTime)
	is.True(many[0].Cut())
	is.True(!few[0].Cut())
	is.True(!reached[0].Cut())
}

func TestServiceIsCutOnceSeveralTargetsAreSilent(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 4)
	paths[0].BeginWait(at(0))
	paths[0].JudgeSilence(limit, at(limit))
	is.True(!paths[0].Cut()) // one target
	paths[1].BeginWait(at(0))
	paths[0].JudgeSilence(limit, at(limit))
	is.True(paths[0].Cut())
	is.True(paths[0].OpenConnectionsDead())
}

func TestServiceIsNotCutWhileAnythingArrives(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 4)
	paths[0].BeginWait(at(0))
	paths[1].BeginWait(at(0))
	paths[3].RecordReceived(at(limit / 2))
	paths[0].JudgeSilence(limit, at(limit))
	is.True(!paths[0].Cut())
}

// Requests that were given up one after the other count as well as those that wait together.
func TestRequestsGivenUpCountAsSilent(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 4)
	for i := range 2 {
		began := time.Duration(i) * limit
		paths[i].BeginWait(at(began))
		paths[i].EndWait(true, at(began+limit))
		paths[i].JudgeSilence(limit, at(began+limit))
	}
	is.True(paths[0].Cut())
}

// All dials succeed while connections are silent: only a response ends that, and single requests test it.
func TestSilenceEndsByAResponse(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 4)
	for _, p := range paths[:2] {
		p.BeginWait(at(0))
	}
	paths[0].JudgeSilence(limit, at(limit))
	for _, p := range paths {
		p.connect(2 * limit)
	}
	is.True(paths[0].Cut())
	for range requestsPerCanary {
		is.True(!paths[0].TakeCanary(true, at(2*limit)))
	}
	is.True(paths[0].TakeCanary(true, at(limit+canaryInterval)))
	is.True(!paths[1].TakeCanary(true, at(limit+canaryInterval+time.Millisecond)))
	paths[0].RecordReceived(at(time.Second))
	is.True(!paths[0].Cut())
}

// A dial shows nothing of links that are silent.
func TestSilentLinksAreNotProbed(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 4)
	for _, p := range paths[:2] {
		p.BeginWait(at(0))
	}
	paths[0].JudgeSilence(limit, at(limit))
	is.True(paths[0].Silent())
	is.Equal(len(m.DueProbes(at(limit))), 0)
}

// Few requests are tests, as each may cost a retry.
func TestFewRequestsAreCanaries(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 4)
	for _, p := range paths[:2] {
		p.BeginWait(at(0))
	}
	paths[0].JudgeSilence(limit, at(limit))
	taken := 0
	for i := range 100 {
		if paths[0].TakeCanary(true, at(limit+time.Duration(i)*time.Minute)) {
			taken++
		}
	}
	is.Equal(taken, 100/requestsPerCanary)
}

// A host with little traffic has one request to each of two services.
func TestSilenceOfTwoServicesCountsTogether(t *testing.T) {
	is := is.New(t)
	m := New()
	a, b, idle := add(m, "a", 4), add(m, "b", 4), add(m, "idle", 4)
	a[0].BeginWait(at(0))
	a[0].JudgeSilence(limit, at(limit))
	is.True(!a[0].Cut())
	b[0].BeginWait(at(0))
	b[0].JudgeSilence(limit, at(limit))
	is.True(b[0].Cut())
	a[0].JudgeSilence(limit, at(limit))
	is.True(a[0].Cut())
	is.True(!idle[0].Cut())

	m = New()
	a, b = add(m, "a", 4), add(m, "b", 4)
	c := add(m, "c", 4)
	a[0].BeginWait(at(0))
	b[0].BeginWait(at(0))
	c[0].RecordReceived(at(limit / 2))
	b[0].JudgeSilence(limit, at(limit))
	is.True(!b[0].Cut())
}

// A service without requests that may be repeated tests its links with others, now and then.
func TestUnsafeRequestsTestSilentLinksRarely(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 4)
	for _, p := range paths[:2] {
		p.BeginWait(at(0))
	}
	paths[0].JudgeSilence(limit, at(limit))
	taken := 0
	for now := limit; now <= limit+2*unsafeCanaryInterval; now += 100 * time.Millisecond {
		if paths[0].TakeCanary(false, at(now)) {
			taken++
		}
	}
	is.Equal(taken, 2)
}

// returnTime plays dials that succeed from d on, a probe each 100 ms, and returns when the service is reached again.
func returnTime(m *Monitor, paths []*Path, d time.Duration) time.Duration {
	byName := map[string]*Path{}
	for _, p := range paths {
		byName[p.target] = p
	}
	for now := d; now < d+time.Minute; now += 100 * time.Millisecond {
		for _, id := range m.DueProbes(at(now)) {
			byName[id].connect(now)
		}
		if !paths[0].Cut() {
			return now
		}
	}
	return -1
}

func TestReturnTakesLongerEachTimeThatLinksAreLostAgain(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 12)
	now := dialTime
	var last time.Duration
	for range 4 {
		cutOff(paths, now)
		took := returnTime(m, paths, now+100*time.Millisecond) - now
		is.True(took > last)
		is.True(took < 2*maxHold)
		last = took
		now += took + 500*time.Millisecond
	}
	is.True(last >= 8*minHold)
	now += flapTime
	cutOff(paths, now)
	is.True(returnTime(m, paths, now+100*time.Millisecond)-now < time.Second)
}

// A target that is gone doesn't keep the host from its other targets.
func TestReturnDespiteATargetThatIsGone(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 6)
	cutOff(paths, dialTime)
	byName := map[string]*Path{}
	for _, p := range paths {
		byName[p.target] = p
	}
	for now := time.Second; now < 10*time.Second && paths[0].Cut(); now += 100 * time.Millisecond {
		for _, id := range m.DueProbes(at(now)) {
			if p := byName[id]; p == paths[3] {
				p.RecordDial(Refused, at(now), at(now))
			} else {
				p.connect(now)
			}
		}
	}
	is.True(!paths[0].Cut())
}

// Half of the targets are gone; the others are reached again.
func TestReturnWithHalfOfTheTargets(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 4)
	cutOff(paths, dialTime)
	byName := map[string]*Path{}
	for _, p := range paths {
		byName[p.target] = p
	}
	for now := time.Second; now < 20*time.Second && paths[0].Cut(); now += 100 * time.Millisecond {
		for _, id := range m.DueProbes(at(now)) {
			if p := byName[id]; p == paths[1] || p == paths[2] {
				p.RecordDial(Refused, at(now), at(now))
			} else {
				p.connect(now)
			}
		}
	}
	is.True(!paths[0].Cut())
}

// If no other host reaches the targets, one that connects ends the test.
func TestReturnAtOnceIfNoHostHelps(t *testing.T) {
	is := is.New(t)
	paths := add(New(), "a", 12)
	cutOff(paths, dialTime)
	is.Equal(paths[0].LostSince(), at(dialTime))
	paths[5].connect(time.Second)
	paths[5].EndDialTest(at(time.Second))
	is.True(!paths[0].Cut())
	is.True(paths[0].LostSince().IsZero())
}

// A failure calls for a few probes of other targets, which tell a lost link from a target that is gone.
func TestFailureCallsForProbes(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 10)
	is.Equal(len(m.DueProbes(at(0))), 0)
	paths[0].fail(dialTime)
	probes := m.DueProbes(at(dialTime))
	is.Equal(len(probes), maxProbes)
	for _, id := range probes {
		is.True(id != paths[0].target)
	}
	is.True(m.NeedsProbes(at(dialTime)))
	is.True(!m.NeedsProbes(at(dialTime + suspicionTime)))
}

// A service with one target is out of reach as soon as that isn't reached: asking other hosts tells which it is.
func TestServiceWithOneTarget(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 1)
	paths[0].fail(dialTime)
	is.True(paths[0].Cut())
	is.True(returnTime(m, paths, time.Second) >= 0)
}

func TestRemovedTargetsDontCount(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 4)
	paths[0].fail(dialTime)
	paths[1].fail(dialTime)
	paths[0].Remove()
	paths[2].fail(dialTime)
	is.True(!paths[2].Cut())
	paths[3].fail(dialTime)
	is.True(paths[3].Cut())
	is.Equal(m.CutServices(), 1)
}

// Guards against a service that counts as out of reach as a request to a target that has left it fails or waits: no target of it
// shows that.
func TestServiceWithoutTargetsIsNotCut(t *testing.T) {
	for name, notice := range map[string]func(*Path){
		"a dial fails":    func(p *Path) { p.fail(dialTime) },
		"a request waits": func(p *Path) { p.BeginWait(at(0)); p.JudgeSilence(limit, at(limit)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			paths := add(m, "a", 3)
			for _, p := range paths {
				p.Remove()
			}
			notice(paths[0])
			is.True(!paths[0].Cut())
			is.True(!m.Add("a", "a0").Cut()) // its entry is back
		})
	}
}

// Guards against a service that stays out of reach as long as more of its targets are gone than live.
func TestServiceReturnsBesideTargetsThatAreGone(t *testing.T) {
	is := is.New(t)
	m := New()
	paths := add(m, "a", 8)
	gone := paths[3:]
	byName := map[string]*Path{}
	for _, p := range paths {
		byName[p.target] = p
	}
	now := dialTime
	cutOff(paths, now)
	is.True(paths[0].Cut())
	probe := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			now += 100 * time.Millisecond
			for _, id := range m.DueProbes(at(now)) {
				p := byName[id]
				isGone := false
				for _, g := range gone {
					isGone = isGone || g == p
				}
				if isGone {
					p.RecordDial(Refused, at(now), at(now))
				} else {
					p.connect(now)
				}
			}
		}
	}
	probe(5 * time.Second)
	is.True(!paths[0].Cut())
	for range 3 { // more failures of the same targets say nothing of the links
		for _, p := range gone {
			now += 10 * time.Millisecond
			p.RecordDial(Refused, at(now), at(now))
		}
		is.True(!paths[0].Cut())
	}
	cutOff(paths, now+time.Second) // a cut of the links is still noticed
	is.True(paths[0].Cut())
}
