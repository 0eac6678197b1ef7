package proofs

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"maststage.dev/proofs/fleet"
)

var stallSeeds = flag.Uint64("standstill.seeds", 1, "number of seeds of TestSavesAndBillsThroughRandomStalls")

const (
	stallRounds = 4
	minStall    = 200 * time.Millisecond
	maxStall    = 4 * time.Second
)

// stallKinds are the components that may stall: some hosts, the log, a target. Each returns the
// functions that start and end the stall.
var stallKinds = []func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()){
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) { return stallHosts(f, random, 1) },
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) { return stallHosts(f, random, 2) },
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) { return stallHosts(f, random, 5) },
	func(f *fleet.Fleet, _ *rand.Rand) (stop, resume func()) {
		return func() { f.Switch("log", "down=1") }, func() { f.Switch("log", "down=0") }
	},
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) {
		name := []string{"s0", "s1", "e0", "e1"}[random.IntN(4)]
		slow := strconv.Itoa(int(maxStall.Milliseconds()))
		return func() { f.Switch(name, "slow="+slow) }, func() { f.Switch(name, "slow=0") }
	},
}

func stallHosts(f *fleet.Fleet, random *rand.Rand, n int) (stop, resume func()) {
	chosen := random.Perm(len(f.Hosts))[:n]
	return func() {
			for _, i := range chosen {
				f.Pause(i)
			}
		}, func() {
			for _, i := range chosen {
				f.Resume(i)
			}
		}
}

// Guards against taking silence as proof that something did not happen. Components stall at random
// times for random durations; non-repeatable requests run at most once, each request is billed once,
// and spending stays within the budget.
func TestSavesAndBillsThroughRandomStalls(t *testing.T) {
	for seed := range *stallSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runRandomStalls(t, seed) })
	}
}

func runRandomStalls(t *testing.T, seed uint64) {
	f := sixHosts(t, append(engines(10*time.Millisecond), services(20*time.Millisecond)...), "")
	f.Apply(declarations(ampleBudget))
	random := rand.New(rand.NewPCG(seed, 0))
	saves := startSaves(f, "save", 20*time.Millisecond)
	chats := &traffic{f: f, class: "chat", name: "chat", tokens: 40, interval: 50 * time.Millisecond}
	chats.start()
	time.Sleep(500 * time.Millisecond)
	for range stallRounds {
		stop, resume := stallKinds[random.IntN(len(stallKinds))](f, random)
		span := minStall + time.Duration(random.Int64N(int64(maxStall-minStall)))
		t.Logf("stall of %v", span)
		stop()
		time.Sleep(span)
		resume()
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	f.Eventually("all are members again", func() bool { return len(f.View(0)) == len(f.Hosts) })
	time.Sleep(time.Second)
	checkCases(t, f, append(saves.finish(), chats.finish()...), ampleBudget)
}
