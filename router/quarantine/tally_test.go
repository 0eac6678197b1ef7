package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func digestOf(n int) Digest { return Content{URI: fmt.Sprint(n)}.Digest() }

func TestOneEndCountsOnce(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for range 10 { // many tries of it broke there, at several hosts
		s := tally.add(Report{Digest: guilty, Target: "a", Early: true}, now)
		is.True(!s.guilty())
	}
	is.True(!tally.add(Report{Digest: guilty, Target: "b", Early: true}, now).guilty())
	is.True(tally.add(Report{Digest: guilty, Target: "c", Early: true}, now).guilty())
}

func TestRunsOfSomeLengthCountLess(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for i := range endsOfAnyRun - 1 {
		is.True(!tally.add(Report{Digest: guilty, Target: fmt.Sprint(i)}, now).guilty())
	}
	is.True(tally.add(Report{Digest: guilty, Target: "last"}, now).guilty())
}

// What ran beside a held request is not blamed for the same ends.
func TestExplainedEndsDoNotCount(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for _, target := range []string{"a", "b"} {
		tally.add(Report{Digest: digestOf(1), Target: target, Early: true}, now)
	}
	tally.explain([]string{"a", "b", "c"}, now)
	is.Equal(tally.ends(digestOf(1)), 0)
	is.True(tally.add(Report{Digest: digestOf(1), Target: "c", Early: true}, now) == nil)
	is.Equal(len(tally.add(Report{Digest: digestOf(1), Target: "d", Early: true}, now).ends), 1)
}

func TestSuspicionIsBoundedAndPasses(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for i := range maxSuspects + 100 {
		tally.add(Report{Digest: digestOf(i), Target: "a", Early: true}, now.Add(time.Duration(i)))
	}
	is.Equal(len(tally.suspects), maxSuspects)
	is.Equal(tally.ends(digestOf(0)), 0) // the oldest gave way
	is.Equal(tally.ends(digestOf(maxSuspects+99)), 1)
	later := now.Add(suspectMemory + time.Minute)
	is.Equal(len(tally.add(Report{Digest: digestOf(maxSuspects + 99), Target: "b", Early: true}, later).ends), 1)
}

func TestClearedSetKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	s := newClearedSet()
	for i := range 10 * clearedGeneration {
		s.add(digestOf(i))
		s.add(guilty) // repeated all the time
	}
	is.True(s.has(guilty))
	is.True(s.has(digestOf(10*clearedGeneration - 1)))
	is.True(!s.has(digestOf(0)))
	is.True(len(s.newer)+len(s.older) <= 2*clearedGeneration)
}

// Targets that end by themselves in series, one of twelve each second on average, hold next to none
// of the requests that break: 60 requests a second run for 0.2 s until their first event and
// up to 6 s in all, and are sent on up to twice by their host and once by their caller.
func TestEndsInSeriesHoldNextToNobody(t *testing.T) {
	const (
		targets   = 12
		perSecond = 60
		seconds   = 600
		mostTries = 6
		step      = 20 * time.Millisecond
		first     = 200 * time.Millisecond
	)
	type run struct {
		digest      Digest
		target      int
		began, ends time.Time
		tries       int
	}
	random := rand.New(rand.NewPCG(1, 2))
	tally, now := newTally(), time.Now()
	var runs []run
	held, broken := map[Digest]bool{}, 0
	for i := range seconds * int(time.Second/step) {
		now = now.Add(step)
		for range int(perSecond * step / time.Second) {
			runs = append(runs, run{digestOf(i), random.IntN(targets), now, now.Add(first + time.Duration(random.Int64N(int64(6*time.Second)))), 1})
		}
		ended := -1
		if random.Int64N(int64(time.Second)) < int64(step) {
			ended = random.IntN(targets)
		}
		kept := runs[:0]
		for _, r := range runs {
			switch {
			case now.After(r.ends):
				tally.forget(r.digest)
				continue
			case r.target == ended:
				broken++
				s := tally.add(Report{Digest: r.digest, Target: fmt.Sprint(i), Early: IsEarlyExit(now.Sub(r.began) - first)}, now)
				held[r.digest] = held[r.digest] || s.guilty()
				if r.tries == mostTries {
					continue
				}
				r.tries++
				r.ends = now.Add(r.ends.Sub(r.began))
				r.target, r.began = random.IntN(targets), now
			}
			kept = append(kept, r)
		}
		runs = kept
	}
	n := 0
	for _, h := range held {
		if h {
			n++
		}
	}
	t.Logf("%d requests held of %d that broke (%d breaks) in %d ends", n, len(held), broken, seconds)
	is.New(t).True(n <= len(held)/2000)
}
