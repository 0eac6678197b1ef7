package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func digestOf(n int) Digest { return Content{URI: fmt.Sprint(n)}.Digest() }

func TestOneExitCountsOnce(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for range 10 { // many attempts were interrupted there, at several hosts
		s := tally.add(Report{Digest: crasher, Target: "a", Early: true}, now, false)
		is.True(!s.sufficient())
	}
	is.True(!tally.add(Report{Digest: crasher, Target: "b", Early: true}, now, false).sufficient())
	is.True(tally.add(Report{Digest: crasher, Target: "c", Early: true}, now, false).sufficient())
}

func TestLateExitsCountLess(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for i := range exitsToQuarantine - 1 {
		is.True(!tally.add(Report{Digest: crasher, Target: fmt.Sprint(i)}, now, false).sufficient())
	}
	is.True(tally.add(Report{Digest: crasher, Target: "last"}, now, false).sufficient())
}

// Requests in flight beside a quarantined one are not blamed for the same exits.
func TestAttributedExitsDoNotCount(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for _, target := range []string{"a", "b"} {
		tally.add(Report{Digest: digestOf(1), Target: target, Early: true}, now, false)
	}
	tally.attribute(KindRequest, []string{"a", "b", "c"}, now)
	is.Equal(tally.exits(digestOf(1)), 0)
	is.True(tally.add(Report{Digest: digestOf(1), Target: "c", Early: true}, now, false) == nil)
	is.Equal(len(tally.add(Report{Digest: digestOf(1), Target: "d", Early: true}, now, false).exits), 1)
}

func TestSuspectsAreBoundedAndExpire(t *testing.T) {
	is := is.New(t)
	tally, now := newTally(), time.Now()
	for i := range maxSuspects + 100 {
		tally.add(Report{Digest: digestOf(i), Target: "a", Early: true}, now.Add(time.Duration(i)), false)
	}
	is.Equal(len(tally.suspects), maxSuspects)
	is.Equal(tally.exits(digestOf(0)), 0) // the oldest was evicted
	is.Equal(tally.exits(digestOf(maxSuspects+99)), 1)
	later := now.Add(suspectTTL + time.Minute)
	is.Equal(len(tally.add(Report{Digest: digestOf(maxSuspects + 99), Target: "b", Early: true}, later, false).exits), 1)
}

func TestClearedSetKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	s := newClearedSet()
	for i := range 10 * clearedGenerationSize {
		s.add(digestOf(i))
		s.add(crasher) // repeated all the time
	}
	is.True(s.has(crasher))
	is.True(s.has(digestOf(10*clearedGenerationSize - 1)))
	is.True(!s.has(digestOf(0)))
	is.True(len(s.newer)+len(s.older) <= 2*clearedGenerationSize)
}

// Targets that exit by themselves, one of twelve each second on average, must quarantine almost none of the
// interrupted requests: 60 requests per second take 0.2 s to their first event and up to 6 s in total,
// and are retried up to twice by their host and once by their caller.
func TestRepeatedExitsQuarantineFewRequests(t *testing.T) {
	const (
		targets     = 12
		perSecond   = 60
		seconds     = 600
		maxAttempts = 6
		step        = 20 * time.Millisecond
		first       = 200 * time.Millisecond
	)
	type run struct {
		digest      Digest
		target      int
		began, ends time.Time
		attempts    int
	}
	random := rand.New(rand.NewPCG(1, 2))
	tally, now := newTally(), time.Now()
	var runs []run
	quarantined, interrupted := map[Digest]bool{}, 0
	for i := range seconds * int(time.Second/step) {
		now = now.Add(step)
		for range int(perSecond * step / time.Second) {
			runs = append(runs, run{digestOf(i), random.IntN(targets), now, now.Add(first + time.Duration(random.Int64N(int64(6*time.Second)))), 1})
		}
		exited := -1
		if random.Int64N(int64(time.Second)) < int64(step) {
			exited = random.IntN(targets)
		}
		remaining := runs[:0]
		for _, r := range runs {
			switch {
			case now.After(r.ends):
				tally.forget(r.digest)
				continue
			case r.target == exited:
				interrupted++
				s := tally.add(Report{Digest: r.digest, Target: fmt.Sprint(i), Early: IsEarlyExit(now.Sub(r.began) - first)}, now, false)
				quarantined[r.digest] = quarantined[r.digest] || s.sufficient()
				if r.attempts == maxAttempts {
					continue
				}
				r.attempts++
				r.ends = now.Add(r.ends.Sub(r.began))
				r.target, r.began = random.IntN(targets), now
			}
			remaining = append(remaining, r)
		}
		runs = remaining
	}
	n := 0
	for _, h := range quarantined {
		if h {
			n++
		}
	}
	t.Logf("%d requests quarantined of %d interrupted (%d interruptions) in %d exits", n, len(quarantined), interrupted, seconds)
	is.New(t).True(n <= len(quarantined)/2000)
}
