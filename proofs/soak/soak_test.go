// Package soak runs the router's real program as several processes under traffic and injects
// faults that a seed determines: signals, proxies that delay, reset, cut one way or silence
// connections, a faulty store, faulty targets, and repeated planned work. It checks the product's
// guarantees from what callers and targets see. docs/SOAK.md says how to run it and what it found.
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

// Flags of a manual soak run.
var (
	seeds         = flag.Int("soak.seeds", 0, "number of random seeds to run")
	minutes       = flag.Float64("soak.minutes", 0, "start random seeds for this many minutes; overrides soak.seeds")
	oneSeed       = flag.Uint64("soak.seed", 0, "run only this seed")
	keepLogs      = flag.String("soak.logs", "", "folder for the logs of seeds that failed")
	longParts     = flag.Bool("soak.long", false, "run all parts of TestStreamsAfterTheLossOfAllHostsAndMore")
	givenProgram  = flag.String("soak.program", "", "the router's program to run instead of one built from this tree")
	parallelSeeds = flag.Int("soak.parallel", 2, "number of seeds that run in parallel")
)

// program is the path of the router's binary.
var program string

func TestMain(m *testing.M) {
	if id := os.Getenv(processVariable); id != "" {
		runTargetProcess(id)
		return
	}
	flag.Parse()
	log.SetLevel(log.PanicLevel)
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if program = *givenProgram; program != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "maststage-soak-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "maststage-router")
	if out, err := exec.Command("go", "build", "-o", program, "maststage.dev/cmd/maststage-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Numbers of hosts in a seed.
const (
	usualHosts     = 5
	manyHosts      = 16
	manyHostsEvery = 10 // one seed in this many has manyHosts
)

// plannedWork lists the kinds of events that are not faults.
var plannedWork = []string{"config", "config storm", "hangup", "target leaves", "target new", "term", "term all", "top up"}

// One seed in plannedEvery has only planned work.
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

// One seed in slowLinksEvery has slow links and a large configuration.
const slowLinksEvery = 3

// hasSlowLinks reports whether the hosts of a seed have slow links. It uses a random source of its
// own, so that the events of a seed stay the same.
func hasSlowLinks(seed uint64) bool { return rand.New(rand.NewPCG(seed, 2)).IntN(slowLinksEvery) == 0 }

// runSeed runs one seed and fails the test if a guarantee was violated.
func runSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	hosts := usualHosts
	if random.IntN(manyHostsEvery) == 0 {
		hosts = manyHosts
	}
	scheduled := schedule(random)
	events := append(scheduled, silences(seed, scheduled)...)
	events = append(events, evacuations(seed)...)
	events = append(events, deadlies(seed, events)...)
	events = append(events, limits(seed)...)
	events = append(events, readerStalls(seed)...)
	events = append(events, announcedExits(seed)...)
	events = append(events, pauses(seed)...)
	events = append(events, restores(seed)...)
	events = append(events, crowds(seed)...)
	events = append(events, cuts(seed)...)
	events = append(events, crashingParts(seed)...)
	events = append(events, rolloutLosses(seed)...)
	events = append(events, targetSilences(seed, scheduled)...)
	w := newWorldWith(t, hosts, seed, worldOptions{thinHosts: hasThinHosts(seed), ownDialIPs: hasCuts(seed), versions: softwareVersions(seed)})
	if hasSlowLinks(seed) {
		w.slowDownLinks()
		w.addManyRoutes()
	}
	w.playAll(events, seed)
	w.check()
	w.checkCuts()
	w.checkSockets()
	w.report(seed, events)
}

// playAll runs the events under traffic, then checks that all hosts recover.
func (w *world) playAll(events []event, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	var traffic sync.WaitGroup
	traffic.Go(func() { w.traffic(ctx, seed) })
	for _, h := range w.hosts {
		traffic.Go(func() { w.probe(ctx, h) })
	}
	traffic.Go(func() { w.seedSocketTraffic(ctx, seed) })
	var streams, patient []*resumedStream
	if len(w.options.versions) > 0 {
		traffic.Go(func() { streams = w.resumeTraffic(ctx, seed, seedResumers) })
		traffic.Go(func() { patient = w.patientUntil(ctx, seed) })
	}
	w.play(ctx, events)
	w.recovered()
	w.checkDeadly(events)
	w.checkCrashingParts(events)
	w.checkLimitsLifted()
	stop()
	traffic.Wait()
	if len(streams) > 0 {
		w.checkVersions(streams)
		w.checkNotJoined(slices.Concat(streams, patient))
	}
	w.endReplacing()
}

// report fails the test with the violations, and keeps the hosts' logs if a folder for them is set.
func (w *world) report(seed uint64, events []event) {
	w.watch.mu.Lock()
	defer w.watch.mu.Unlock()
	silences := 0
	for _, e := range events {
		if e.kind == silentKind {
			silences++
		}
	}
	w.t.Logf("seed %d: %d hosts, slow links %v, thin hosts %v, %d events, %d of them silences of targets, %d requests, %d judged at sockets, %d runs of deadly requests",
		seed, len(w.hosts), hasSlowLinks(seed), w.options.thinHosts, len(events), silences, len(w.watch.calls), len(w.watch.socketAnswers), len(w.watch.deadly))
	if len(w.watch.violations) == 0 {
		return
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	for _, e := range events {
		w.t.Log(e)
	}
	for guarantee, list := range w.watch.violations {
		w.t.Errorf("seed %d broke %s:\n  %s", seed, guarantee, strings.Join(list, "\n  "))
	}
	if *keepLogs == "" {
		return
	}
	dir := filepath.Join(*keepLogs, strconv.FormatUint(seed, 10))
	if err := os.CopyFS(dir, os.DirFS(w.dir)); err != nil {
		w.t.Log(err)
	}
}

// TestSoak runs seeds as the flags -soak.seeds, -soak.minutes and -soak.seed say; none by default.
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
	slots := make(chan struct{}, max(*parallelSeeds, 1))
	var all sync.WaitGroup
	n := 0
	for ; wanted(n); n++ {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			seed := rand.Uint64()>>1 | 1
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
		})
	}
	all.Wait()
	t.Logf("%d fresh seeds", n)
}

// fixedSeeds run in CI. Together they cover planned work alone, many hosts and all kinds of faults, what targets announce,
// a store that comes back from a copy, targets that fall silent in numbers, and callers that close their sending side.
var fixedSeeds = []uint64{1, 2, 3, 21, 9}

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
