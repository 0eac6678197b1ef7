package proofs

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"maststage.dev/proofs/fleet"
)

var standstillSeeds = flag.Uint64("standstill.seeds", 1, "seeds of TestSavesAndBillsThroughDrawnStandstills")

const (
	standstillRounds = 4
	shortestStop     = 200 * time.Millisecond
	longestStop      = 4 * time.Second
)

// parts are what may stand still: some hosts, a target, the log. Each gives the begin and the end.
var parts = []func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()){
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) { return hostsStop(f, random, 1) },
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) { return hostsStop(f, random, 2) },
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) { return hostsStop(f, random, 5) },
	func(f *fleet.Fleet, _ *rand.Rand) (stop, resume func()) {
		return func() { f.Switch("log", "down=1") }, func() { f.Switch("log", "down=0") }
	},
	func(f *fleet.Fleet, random *rand.Rand) (stop, resume func()) {
		name := []string{"s0", "s1", "e0", "e1"}[random.IntN(4)]
		slow := strconv.Itoa(int(longestStop.Milliseconds()))
		return func() { f.Switch(name, "slow="+slow) }, func() { f.Switch(name, "slow=0") }
	},
}

func hostsStop(f *fleet.Fleet, random *rand.Rand, n int) (stop, resume func()) {
	chosen := random.Perm(len(f.Hosts))[:n]
	return func() {
			for _, i := range chosen {
				f.Freeze(i)
			}
		}, func() {
			for _, i := range chosen {
				f.Thaw(i)
			}
		}
}

// Saves run at most once, everything is billed once and spending stays within the budget whatever
// stands still at drawn moments for drawn times: none of them may take silence for "it did not happen".
func TestSavesAndBillsThroughDrawnStandstills(t *testing.T) {
	for seed := range *standstillSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { throughStandstills(t, seed) })
	}
}

func throughStandstills(t *testing.T, seed uint64) {
	f := sixHosts(t, append(engines(10*time.Millisecond), services(20*time.Millisecond)...), "")
	f.Apply(declarations(plenty))
	random := rand.New(rand.NewPCG(seed, 0))
	keep := saves(f, "save", 20*time.Millisecond)
	chats := &storm{f: f, class: "chat", name: "chat", tokens: 40, every: 50 * time.Millisecond}
	chats.begin()
	time.Sleep(500 * time.Millisecond)
	for range standstillRounds {
		stop, resume := parts[random.IntN(len(parts))](f, random)
		span := shortestStop + time.Duration(random.Int64N(int64(longestStop-shortestStop)))
		t.Logf("a standstill of %v", span)
		stop()
		time.Sleep(span)
		resume()
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	f.Eventually("all are members again", func() bool { return len(f.View(0)) == len(f.Hosts) })
	time.Sleep(time.Second)
	judge(t, f, append(keep.end(), chats.end()...), plenty)
}
