package target_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/limit"
	"maststage.dev/router/target"
)

// Guards against hosts that send a target its usual load although it advertises a limit, or each the whole limit: eight
// hosts, a hundred requests per second, two of twelve targets with limits.
func TestAdvertisedLimitHoldsAcrossHosts(t *testing.T) {
	for _, limits := range [][2]float64{{1.4, 1}, {1.5, 1}, {0.5, 3}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 8, 12, 12.5)
				f.run(5 * time.Second)
				f.advertise(f.targets[0], limits[0])
				f.advertise(f.targets[1], limits[1])
				f.run(25 * time.Second)
				for _, limited := range f.targets[:2] {
					part, sends, _ := limited.maxUse()
					t.Logf("%s: %d requests in %s, %.2f of what is allowed", limited.id, sends, limitSpan, part)
					is.True(part <= 1)
				}
				is.Equal(len(f.refused), 0)
			})
		})
	}
}

// limitSeeds is the number of seeds to simulate for each case.
var limitSeeds = flag.Uint64("limits.seeds", 1, "seeds of each simulated fleet whose targets name limits")

// limitCase is a fleet in which all targets advertise limits and requests exceed them.
type limitCase struct {
	hosts   int
	limit   float64
	perHost float64 // requests per second
}

var limitCases = []limitCase{
	{2, 0.5, 10}, {2, 50, 150}, {8, 0.5, 12}, {8, 1, 12}, {8, 1.5, 12}, {8, 50, 30}, {87, 0.5, 4}, {87, 5, 4}, {87, 50, 4},
	{300, 0.5, 2}, {300, 50, 2}, {1000, 0.5, 1}, {1000, 50, 1},
}

// Hosts have to use most of a limit, and a target's usual load must soon be back after its limit ends.
const (
	minUsed     = 0.5
	maxRecovery = 15 * time.Second
)

// Guards against bounds that fail at some fleet sizes or limits, limits that are hardly used, and targets that stay
// unused after their limits have ended.
func TestLimitsHoldAndAreUsedAtAllSizes(t *testing.T) {
	for _, c := range limitCases {
		t.Run(fmt.Sprintf("%d hosts/%v", c.hosts, c.limit), func(t *testing.T) {
			for seed := range *limitSeeds {
				synctest.Test(t, func(t *testing.T) { c.run(t, seed) })
			}
		})
	}
}

func (c limitCase) run(t *testing.T, seed uint64) {
	is := is.New(t)
	f := newLimitFleet(t, seed, c.hosts, 2, c.perHost)
	f.run(time.Second)
	for _, limited := range f.targets {
		f.advertise(limited, c.limit)
	}
	f.run(12 * time.Second)
	from := time.Now()
	f.run(20 * time.Second)
	to := time.Now()
	for _, limited := range f.targets {
		f.withdraw(limited)
	}
	f.run(20 * time.Second)
	for _, limited := range f.targets {
		part, sends, ofAll := limited.maxUse()
		used := float64(limited.sent(from, to)) / (to.Sub(from).Seconds() * c.limit)
		recovery := f.recoveryTime(limited, to)
		t.Logf("seed %d, %s: %d in %s, %.2f of what is allowed (%.2f from all hosts later), %.2f of the limit used, whole load %.1f s after its end",
			seed, limited.id, sends, limitSpan, part, ofAll, used, recovery.Seconds())
		is.True(part <= 1)
		is.True(ofAll <= 1)
		is.True(used >= minUsed)
		is.True(recovery <= maxRecovery)
	}
}

// recoveryTime is how long after the end of its limit a target gets eight tenths of its even load.
func (f *limitFleet) recoveryTime(t *limitedTarget, ended time.Time) time.Duration {
	even := f.perHost * float64(len(f.hosts)) / float64(len(f.targets))
	for at := ended; at.Before(time.Now()); at = at.Add(200 * time.Millisecond) {
		if float64(t.sent(at, at.Add(time.Second))) >= 0.8*even {
			return at.Sub(ended)
		}
	}
	return time.Hour
}

// newLimited returns the registry of a single host with targets of one service.
func newLimited(ids ...string) *target.Registry {
	r := target.NewRegistry(target.Options{})
	for _, id := range ids {
		r.Put(target.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 4})
	}
	return r
}

// countChoices counts how often the only target of a service is chosen within a duration, and records its response.
func countChoices(r *target.Registry, d time.Duration, advertised limit.Advertisement) (n int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if t := r.Choose(target.Requirements{Service: "s"}); t != nil {
			n++
			r.RecordLimit(t, advertised)
		}
	}
	return n
}

func advertising(perSecond float64) limit.Advertisement {
	return limit.Advertisement{HasLimit: true, PerSecond: perSecond}
}

// Guards against a limit of zero that counts as none, or after which the target never gets a request again.
func TestTargetRecoversFromLimitOfZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newLimited("t")
		countChoices(r, 100*time.Millisecond, advertising(0))
		n := countChoices(r, time.Minute, advertising(0))
		is.True(n >= 1 && n <= 6) // to detect its end
		is.True(countChoices(r, 20*time.Second, limit.Advertisement{}) > 50)
	})
}

// Guards against a limit advertised by refusals only that other responses end, or that never ends.
func TestLimitAdvertisedByRefusalsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 8, 4, 6)
		for _, limited := range f.targets[:2] {
			limited.refusalsOnly = true
			f.advertise(limited, 2)
		}
		f.run(2 * time.Minute)
		for _, limited := range f.targets[:2] {
			part, sends, _ := limited.maxUse()
			t.Logf("%s: %d requests in %s, %.2f of what is allowed", limited.id, sends, limitSpan, part)
			is.True(part <= 1)
			f.withdraw(limited)
		}
		ended := time.Now()
		f.run(2 * time.Minute)
		for _, limited := range f.targets[:2] {
			is.True(f.recoveryTime(limited, ended) < 2*time.Minute)
		}
	})
}

// Guards against a limit that carries over to the next incarnation of a target, from this host's memory or from a
// notice in the log.
func TestLimitEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := target.NewRegistry(target.Options{})
		entry := target.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", Slots: 4, StartedAt: time.Now()}
		r.Put(entry)
		old := limit.Notice{Target: "t", StartedAt: entry.StartedAt.UnixMilli(), PerSecond: 1, InForce: true}
		r.ApplyLimitNotice(old)
		is.Equal(len(r.Limits()), 1)
		time.Sleep(time.Second)
		entry.StartedAt = time.Now()
		r.Put(entry)
		is.Equal(len(r.Limits()), 0)
		r.ApplyLimitNotice(old)
		is.Equal(len(r.Limits()), 0)
	})
}

// Guards against notices of targets that are gone, which stay in the log forever.
func TestNoticeOfUnknownTargetIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newLimited("here")
		for _, id := range []string{"here", "gone"} {
			r.ApplyLimitNotice(limit.Notice{Target: id, PerSecond: 1, InForce: true})
		}
		var deleted []limit.Notice
		for range 60 {
			deleted = append(deleted, r.DueLimitNotices(time.Now())...)
			time.Sleep(time.Second)
		}
		is.Equal(deleted, []limit.Notice{{Target: "gone"}})
	})
}

// Guards against hosts that never send to a target again, because the log is unavailable and can't report the end of
// its limit.
func TestTargetRecoversFromLimitWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 8, 2, 12)
		for _, h := range f.hosts {
			h.logCut = true
		}
		f.run(time.Second)
		limited := f.targets[0]
		f.advertise(limited, 1)
		f.run(10 * time.Second)
		f.withdraw(limited)
		ended := time.Now()
		f.run(60 * time.Second)
		is.True(f.recoveryTime(limited, ended) < 50*time.Second)
	})
}

// Guards against urgent requests that are refused while less urgent ones use up the limits, and against less urgent
// ones that starve.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newLimited("t0", "t1", "t2", "t3")
		for range 4 { // each advertises 5 per second
			r.RecordLimit(r.Choose(target.Requirements{Service: "s"}), advertising(5))
		}
		sent, served := map[int]int{}, map[int]int{}
		for range 6000 { // a minute: 10 urgent requests per second, 30 and 30 others
			rank := []int{0, 3, 7}[drawWeighted(10, 30, 30)]
			sent[rank]++
			if c := r.Choose(target.Requirements{Service: "s", Priority: rank}); c != nil {
				served[rank]++
				r.RecordLimit(c, advertising(5))
			}
			time.Sleep(time.Second * 60 / 6000 * 100 / 70)
		}
		part := func(rank int) float64 { return float64(served[rank]) / float64(sent[rank]) }
		t.Logf("served: %.2f of the urgent requests, %.2f and %.2f of the others", part(0), part(3), part(7))
		is.True(part(0) > 2*part(3))
		is.True(part(3) > part(7))
		is.True(part(7) > 0)
		is.True(served[0]+served[3]+served[7] > sent[0]) // the rest is used
	})
}

// drawWeighted draws an index by the weights.
func drawWeighted(weights ...int) int {
	total := 0
	for _, w := range weights {
		total += w
	}
	draw := rand.IntN(total)
	for i, w := range weights {
		if draw < w {
			return i
		}
		draw -= w
	}
	return 0
}

// Guards against refused callers that all retry at the same moment, when only one of them can be served.
func TestRetryTimesAreSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newLimited("t")
		r.RecordLimit(r.Choose(target.Requirements{Service: "s"}), advertising(2))
		var last time.Duration
		for range 5 {
			is.Equal(r.Choose(target.Requirements{Service: "s"}), nil)
			full, ok := r.LimitsExhaustedFor(target.Requirements{Service: "s"})
			is.True(ok)
			is.True(full.RetryAfter >= last+400*time.Millisecond)
			last = full.RetryAfter
		}
		urgent, _ := r.LimitsExhaustedFor(target.Requirements{Service: "s", Priority: 0})
		later, _ := r.LimitsExhaustedFor(target.Requirements{Service: "s", Priority: 5})
		is.True(urgent.RetryAfter > 0 && later.RetryAfter > 0)
		_, other := r.LimitsExhaustedFor(target.Requirements{Service: "other"})
		is.True(!other)
	})
}
