// Package soak runs the router's real program as several processes, with traffic,
// and lets faults drawn from a seed strike them from outside: signals, proxies that
// delay, reset, cut one way or silence connections, a store and targets that misbehave,
// planned work in series. It checks the promises of the product from what callers and
// targets see. docs/SOAK.md says how to run it and what it found.
package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	log "github.com/sirupsen/logrus"
)

// Flags of a soak by hand.
var (
	seeds    = flag.Int("soak.seeds", 0, "fresh seeds to run")
	minutes  = flag.Float64("soak.minutes", 0, "begin seeds for so long, whatever soak.seeds says")
	oneSeed  = flag.Uint64("soak.seed", 0, "run this seed alone")
	keepLogs = flag.String("soak.logs", "", "folder for the logs of seeds that failed")
	together = flag.Int("soak.parallel", 2, "seeds at the same time")
)

// program is the router's binary.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	log.SetLevel(log.PanicLevel)
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "maststage-soak-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "maststage-router")
	if out, err := exec.Command("go", "build", "-o", program, "maststage.dev/cmd/maststage-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Numbers of hosts.
const (
	usualHosts = 5
	manyHosts  = 16
	manyEvery  = 10 // one seed of so many has many hosts
)

// plannedWork are the kinds of events that are no faults.
var plannedWork = []string{"config", "config storm", "hangup", "target leaves", "target new", "term", "term all", "top up"}

// plannedEvery is of how many seeds one has planned work only.
const plannedEvery = 5

func kindsOf(random *rand.Rand) []string {
	if random.IntN(plannedEvery) == 0 {
		return plannedWork
	}
	var all []string
	for kind := range strikes {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// thinEvery is of how many seeds one has thin links and a large configuration.
const thinEvery = 3

// thin says whether the hosts of a seed have thin links. It is drawn apart from the
// events, which stay what they are for a seed.
func thin(seed uint64) bool { return rand.New(rand.NewPCG(seed, 2)).IntN(thinEvery) == 0 }

// runSeed runs one seed and fails the test if a promise was broken.
func runSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	hosts := usualHosts
	if random.IntN(manyEvery) == 0 {
		hosts = manyHosts
	}
	events := schedule(random)
	events = append(events, hushes(seed, events)...)
	events = append(events, evacuations(seed)...)
	events = append(events, deadlies(seed, events)...)
	events = append(events, limits(seed)...)
	events = append(events, stops(seed)...)
	w := newWorld(t, hosts, seed)
	if thin(seed) {
		w.thinLinks()
		w.grow()
	}
	w.playAll(events, seed)
	w.check()
	w.report(seed, events)
}

// playAll plays the events under traffic, and then looks whether all recover.
func (w *world) playAll(events []event, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	var traffic sync.WaitGroup
	traffic.Go(func() { w.traffic(ctx, seed) })
	for _, h := range w.hosts {
		traffic.Go(func() { w.probe(ctx, h) })
	}
	w.play(ctx, events)
	w.recovered()
	w.checkDeadly(events)
	w.checkLimitsOver()
	stop()
	traffic.Wait()
	w.endReplacing()
}

// report tells of broken promises and keeps the logs of hosts.
func (w *world) report(seed uint64, events []event) {
	w.watch.mu.Lock()
	defer w.watch.mu.Unlock()
	w.t.Logf("seed %d: %d hosts, thin links %v, %d events, %d requests, %d runs of deadly ones", seed, len(w.hosts), thin(seed), len(events), len(w.watch.calls), len(w.watch.deadly))
	if len(w.watch.violations) == 0 {
		return
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	for _, e := range events {
		w.t.Log(e)
	}
	for promise, list := range w.watch.violations {
		w.t.Errorf("seed %d broke %s:\n  %s", seed, promise, strings.Join(list, "\n  "))
	}
	if *keepLogs == "" {
		return
	}
	dir := filepath.Join(*keepLogs, strconv.FormatUint(seed, 10))
	if err := os.CopyFS(dir, os.DirFS(w.dir)); err != nil {
		w.t.Log(err)
	}
}

// TestSoak runs fresh seeds by hand: -soak.seeds, -soak.minutes or -soak.seed.
func TestSoak(t *testing.T) {
	if *oneSeed != 0 {
		runSeed(t, *oneSeed)
		return
	}
	begin := time.Now()
	wanted := func(n int) bool {
		if *minutes > 0 {
			return time.Since(begin).Minutes() < *minutes
		}
		return n < *seeds
	}
	places := make(chan struct{}, max(*together, 1))
	var all sync.WaitGroup
	n := 0
	for ; wanted(n); n++ {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			seed := rand.Uint64()>>1 | 1
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
		})
	}
	all.Wait()
	t.Logf("%d fresh seeds", n)
}

// fixedSeeds are run in CI. Between them they have planned work only, many hosts and
// all kinds of faults.
var fixedSeeds = []uint64{1, 2, 3}

func TestFixedSeeds(t *testing.T) {
	for _, seed := range fixedSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// TestRegressions runs the seeds that failed before: lines of "SEED cause" in
// testdata/regressions.txt.
func TestRegressions(t *testing.T) {
	file, err := os.Open("testdata/regressions.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		word, cause, _ := strings.Cut(lines.Text(), " ")
		if word == "" || strings.HasPrefix(word, "#") {
			continue
		}
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		t.Run(word, func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			runSeed(t, seed)
		})
	}
}
