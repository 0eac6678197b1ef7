package quarantine

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The load: requests of which no two are alike share one part, which crashes each target soon after it begins to respond.
// They come at any host, beside sound requests that share their organisation and their other parts, and that each crash
// interrupts. The bounds are those of the platform: few of them may be sent later than simReconnect after the fifth crash, and
// sound requests are to be sent as before.

// Parameters of the load.
const (
	simPrefill   = 100 * time.Millisecond // until a run's first event
	simRun       = 1500 * time.Millisecond
	simSurvival  = 500 * time.Millisecond // after the first event, as the forwarding code has it
	simFifth     = 5                      // crashes
	simWarmUp    = 5 * time.Second
	simPartsTime = 20 * time.Second
)

var partSeeds = flag.Int("quarantine.seeds", 5, "seeds of each simulated fleet with parts")

// partsFleet is a simulated fleet whose requests have parts.
type partsFleet struct {
	*simFleet
	random *rand.Rand

	engines []*simEngine
	crashes []time.Time
	late    int // sends of the guilty part that were too late
	wrong   map[Digest]bool
	warmUp  time.Duration // in which only sound requests come
	sound   [2]shares     // before the guilty requests, and from twice simReconnect after the last crash that counts
	other   int
}

// shares counts sound requests that were sent, and those of them that were not refused.
type shares struct{ asked, sent int }

// simEngine is one incarnation of a target.
type simEngine struct {
	name string
	gone chan struct{} // closed as it crashes
	up   time.Time     // when it has started
}

func newPartsFleet(t *testing.T, hosts, engines int, seed uint64) *partsFleet {
	f := &partsFleet{simFleet: newSimFleet(t, hosts, 3), random: rand.New(rand.NewPCG(seed, 0)), wrong: map[Digest]bool{}}
	for i := range engines {
		f.engines = append(f.engines, &simEngine{name: fmt.Sprint("engine-", i), gone: make(chan struct{}), up: time.Now()})
	}
	return f
}

// pick returns a random host and a target that is up, if there is one.
func (f *partsFleet) pick() (h *simHost, slot int, e *simEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h = f.hosts[f.random.IntN(len(f.hosts))]
	now := time.Now()
	var up []int
	for i, e := range f.engines {
		if !now.Before(e.up) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return h, 0, nil
	}
	slot = up[f.random.IntN(len(up))]
	return h, slot, f.engines[slot]
}

// crash makes a target exit; another one is up in its place after simRestart.
func (f *partsFleet) crash(slot int, e *simEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-e.gone:
		return
	default:
	}
	close(e.gone)
	f.crashes = append(f.crashes, time.Now())
	f.other++
	f.engines[slot] = &simEngine{name: fmt.Sprint("engine-", slot, "-", f.other), gone: make(chan struct{}), up: time.Now().Add(simRestart)}
}

// request runs one request. It reports whether it was sent.
func (f *partsFleet) request(organisation string, ids []string, guilty bool) bool {
	h, slot, e := f.pick()
	parts := PartsOf("s", organisation, ids)
	if _, hold := h.guard.QuarantinedPart(parts); hold == Held {
		return false
	}
	if e == nil {
		return true // what targets there are is not judged
	}
	if guilty {
		f.mu.Lock()
		if len(f.crashes) >= simFifth && time.Since(f.crashes[simFifth-1]) > simReconnect {
			f.late++
		}
		f.mu.Unlock()
		go func() {
			time.Sleep(simPrefill)
			f.crash(slot, e)
		}()
	}
	sent := time.Now()
	var digest Digest
	f.mu.Lock()
	for i := range digest {
		digest[i] = byte(f.random.Uint32())
	}
	f.mu.Unlock()
	select {
	case <-e.gone:
		r := Report{Digest: digest, Organisation: organisation, Target: e.name, Early: IsEarlyExit(time.Since(sent) - simPrefill)}
		h.guard.RecordExit(r)
		h.guard.RecordPartExits(r, parts, sent)
		return true
	case <-time.After(simPrefill + simSurvival):
		h.guard.RecordSurvival(parts)
	}
	select {
	case <-e.gone: // too late to say anything about the parts
	case <-time.After(simRun - simSurvival):
	}
	return true
}

// run plays the load for simPartsTime after a time of sound requests only. perSecond are the rates of sound and of guilty
// requests; organisations is how many send the guilty ones.
func (f *partsFleet) run(sound, guilty float64, organisations int) {
	var all sync.WaitGroup
	begin := time.Now()
	end := begin.Add(f.warmUp + simPartsTime)
	all.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			all.Go(func() { f.soundRequest(begin, n) })
			time.Sleep(time.Duration(float64(time.Second) / sound))
		}
	})
	time.Sleep(f.warmUp)
	for n := 0; time.Now().Before(end); n++ {
		all.Go(func() { f.request(fmt.Sprint("org", n%organisations), []string{"a", "guilty", "b"}, true) })
		time.Sleep(time.Duration(float64(time.Second) / guilty))
	}
	all.Wait()
}

// soundRequest runs a sound request that shares the parts around the guilty one, and counts whether it was sent.
func (f *partsFleet) soundRequest(begin time.Time, n int) {
	at := time.Now()
	f.mu.Lock()
	third := fmt.Sprint("c", f.random.IntN(5))
	counts, fifth := len(f.crashes) > 0, time.Time{}
	if counts {
		fifth = f.crashes[min(len(f.crashes), simFifth)-1]
	}
	f.mu.Unlock()
	sent := f.request(fmt.Sprint("org", n%2), []string{"a", third, "b"}, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	period := -1
	switch {
	case at.Sub(begin) < f.warmUp:
		period = 0
	case counts && at.Sub(fifth) > 2*simReconnect:
		period = 1
	}
	if period < 0 {
		return
	}
	f.sound[period].asked++
	if sent {
		f.sound[period].sent++
	}
}

// wrongEntries counts the entries about parts other than the guilty one that a host has.
func (f *partsFleet) wrongEntries() (wrong int) {
	for _, e := range f.hosts[0].guard.Entries() {
		if e.Kind.isPart() && e.Part != "guilty" {
			wrong++
		}
	}
	return wrong
}

// Guards against a part that crashes target after target, as no two requests with it are alike, and against refusing sound
// requests for the parts that they share with those.
func TestFleetStopsAPartThatCrashesTargets(t *testing.T) {
	for _, c := range []struct {
		hosts, engines, organisations int
		sound, guilty                 float64 // requests a second
		warmUp                        time.Duration
	}{
		{1, 9, 1, 20, 4, simWarmUp}, {6, 9, 1, 40, 4, simWarmUp}, {6, 9, 1, 4, 4, simWarmUp}, {8, 12, 1, 20, 0.7, simWarmUp}, {8, 12, 3, 20, 2, simWarmUp},
		{24, 24, 1, 40, 10, simWarmUp}, {87, 60, 2, 60, 20, simWarmUp}, {300, 200, 1, 100, 4, simWarmUp},
		// All hosts have just started: no part is known to have been survived.
		{8, 12, 1, 20, 4, 0}, {8, 12, 1, 20, 1, 0}, {8, 12, 1, 2, 4, 0}, {87, 60, 1, 60, 20, 0},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d targets, %v sound and %v guilty a second of %d, after %v", c.hosts, c.engines, c.sound, c.guilty, c.organisations, c.warmUp), func(t *testing.T) {
			for seed := range uint64(*partSeeds) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(context.Background())
					f := newPartsFleet(t, c.hosts, c.engines, seed)
					f.warmUp = c.warmUp
					f.start(ctx)
					f.run(c.sound, c.guilty, c.organisations)
					wrong := f.wrongEntries()
					f.finish(stop)
					t.Logf("%d crashes, %d sent late; sound requests sent before %v, after %v; %d wrong entries at the end", len(f.crashes), f.late, f.sound[0], f.sound[1], wrong)
					is := is.New(t)
					is.True(f.late <= 3)
					is.True(len(f.crashes) >= 3)
					is.True(f.sound[1].sent*2 >= f.sound[1].asked)
					is.Equal(wrong, 0)
				})
			}
		})
	}
}

// Guards against an organisation that has a part quarantined for all others by naming it in requests that crash targets.
func TestPartIsNotQuarantinedForOthersByOneOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		mine, theirs := PartsOf("s", "attacker", []string{"p"}), PartsOf("s", "victim", []string{"p"})
		for i := range 12 {
			l.RecordPartExits(Report{Organisation: "attacker", Target: fmt.Sprint("t", i), Early: true}, mine, time.Now())
			sleep(time.Second)
		}
		is.True(l.holds(mine))
		is.True(!l.holds(theirs))
		is.True(!l.holds(PartsOf("other service", "attacker", []string{"p"})))
	})
}

// Guards against a part that crashes targets for several organisations and is counted for each of them anew.
func TestPartIsQuarantinedForAllBySeveralOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		for i, organisation := range []string{"a", "b", "c"} {
			l.RecordPartExits(Report{Organisation: organisation, Target: fmt.Sprint("t", i), Early: true}, PartsOf("s", organisation, []string{"p"}), time.Now())
			sleep(time.Second)
		}
		is.True(l.holds(PartsOf("s", "d", []string{"p"})))
	})
}

// Guards against a part that stays quarantined though a target survives it, and against one that crashes targets again
// after an operator lifted it and is not stopped then.
func TestQuarantineOfAPartEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		parts := PartsOf("s", "o", []string{"p"})
		crash := func(from, to int) {
			for i := from; i < to; i++ {
				l.RecordPartExits(Report{Organisation: "o", Target: fmt.Sprint("t", i), Early: true}, parts, time.Now())
				sleep(time.Second)
			}
		}
		held := func() bool { return l.holds(parts) }
		crash(0, earlyExitsToQuarantine)
		is.True(held())
		is.True(l.removeAs(parts[0].Own)) // by an operator
		is.True(!held())
		crash(10, 10+earlyExitsToQuarantine)
		is.True(held())
		l.RecordSurvival(parts)
		sleep(time.Second)
		is.True(!held())
		crash(20, 20+earlyExitsToQuarantine)
		is.True(!held()) // it was survived before
		crash(30, 30+earlyExitsDespiteSurvival-earlyExitsToQuarantine)
		is.True(held())
	})
}

// holds reports whether requests with these parts are not sent.
func (l *loneGuard) holds(parts []Part) bool {
	_, hold := l.QuarantinedPart(parts)
	return hold == Held
}

// removeAs lifts an entry as an operator does, by deleting its record.
func (l *loneGuard) removeAs(d Digest) bool {
	_, had := l.removeEntry(d, "its record was deleted")
	return had
}

// Guards against an exit that breaks requests well after they began, and is counted against their parts.
func TestLateExitsSayNothingOfParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		parts := PartsOf("s", "o", []string{"p"})
		for i := range 3 * exitsToQuarantine {
			l.RecordPartExits(Report{Organisation: "o", Target: fmt.Sprint("t", i)}, parts, time.Now())
		}
		is.Equal(l.PartExits(parts), 0)
	})
}

// Guards against memory that grows with the parts that callers name.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(len(PartsOf("s", "o", make([]string, 10*maxParts))), maxParts)
	s, now := newSurvivals(), time.Now()
	for i := range 10 * survivalGenerationSize {
		s.add(digestOf(i), now)
	}
	is.True(len(s.newer)+len(s.older) <= 2*survivalGenerationSize)
	_, ok := s.last(digestOf(10*survivalGenerationSize - 1))
	is.True(ok)
}

// Guards against innocent parts that stay quarantined since they came with the guilty one at all exits, as the fleet had just
// started: later requests that lack one of the parts tell them apart, whether they crash their target or not.
func TestLaterTrialsTellPartsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		guilty, sound := PartsOf("s", "o", []string{"bad", "a", "b"}), PartsOf("s", "o", []string{"c", "a", "b"})
		for i := range 3 {
			target := fmt.Sprint("t", i)
			l.RecordPartExits(Report{Organisation: "o", Target: target, Early: true}, guilty, time.Now())
			l.RecordPartExits(Report{Organisation: "o", Target: target, Early: true}, sound, time.Now())
		}
		sleep(time.Second)
		is.Equal(l.Len(), 4)
		sleep(laterTrialInterval)
		_, hold := l.QuarantinedPart(guilty) // it lacks c
		is.Equal(hold, Trial)
		sleep(10 * time.Millisecond)
		l.RecordPartExits(Report{Organisation: "o", Target: "t9", Early: true}, guilty, time.Now().Add(-5*time.Millisecond))
		sleep(time.Second)
		is.Equal(l.Len(), 3) // c is innocent
		is.True(l.holds(guilty))
		rest := PartsOf("s", "o", []string{"d", "a", "b"})
		_, hold = l.QuarantinedPart(rest)
		is.Equal(hold, Trial)
		l.RecordSurvival(rest)
		sleep(time.Second)
		is.Equal(l.Len(), 1)
		is.True(l.holds(guilty))
		is.True(!l.holds(sound))
	})
}

// Guards against a guilty part that is never quarantined, and an innocent one that is for good, as the exits are attributed to
// the innocent one before the last report about the guilty one arrives.
func TestReportsAboutAPartCountAfterAnotherWasQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		bad, other := PartsOf("s", "o", []string{"bad"}), PartsOf("s", "o", []string{"b"})
		for i := range 3 {
			l.RecordPartExits(Report{Organisation: "o", Target: fmt.Sprint("t", i), Early: true}, other, time.Now())
			if i < 2 {
				l.RecordPartExits(Report{Organisation: "o", Target: fmt.Sprint("t", i), Early: true}, bad, time.Now())
			}
		}
		sleep(time.Second)
		is.True(l.holds(other))
		l.RecordPartExits(Report{Organisation: "o", Target: "t2", Early: true}, bad, time.Now())
		sleep(time.Second)
		is.Equal(l.Len(), 2)
		sleep(trialTime)
		is.True(l.holds(bad))
		sleep(laterTrialInterval)
		_, hold := l.QuarantinedPart(other) // bad is not among its parts
		is.Equal(hold, Trial)
		l.RecordExit(Report{Digest: digestOf(1), Target: "t2", Early: true})
		is.Equal(l.TargetExits(digestOf(1)), 0) // requests are not blamed
	})
}
