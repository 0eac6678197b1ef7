package proofs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/load/verdict"
	"maststage.dev/proofs/fleet"
)

// runsAfter returns how many runs a target began after a time.
func runsAfter(f *fleet.Fleet, target string, when time.Time) int {
	n := 0
	for _, r := range f.Ledger() {
		if r.Target == target && r.Start.After(when) {
			n++
		}
	}
	return n
}

// drainWithin is how long a leaving target may still get new work.
const drainWithin = 4 * time.Second

func testLeavingTarget(t *testing.T, leave func(*fleet.Fleet)) {
	is := is.New(t)
	f := sixHosts(t, engines(time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := &traffic{f: f, class: "chat", name: "l", tokens: 20, interval: 10 * time.Millisecond}
	s.start()
	time.Sleep(time.Second)
	leave(f)
	left := time.Now()
	time.Sleep(drainWithin + 2*time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(runsAfter(f, "e0", left.Add(-time.Second)) > 0) // it had work before
	is.Equal(runsAfter(f, "e0", left.Add(drainWithin)), 0)
	is.Equal(c.Whole, c.Requests)
}

// A leaving target is marked only in the membership list, which lags by 2 s; it gets no new work.
func TestLeavingByLaggingList(t *testing.T) {
	testLeavingTarget(t, func(f *fleet.Fleet) {
		f.Switch("members", "lag=2000")
		f.Change("e0", "leaving")
	})
}

// The membership list is unavailable and the leaving target itself refuses new work; it gets none.
func TestLeavingWhileListIsDown(t *testing.T) {
	testLeavingTarget(t, func(f *fleet.Fleet) {
		f.Switch("members", "down=1")
		f.Switch("e0", "leaving=1")
	})
}

// An engine that goes silent is detected by its streams, and new work goes to other engines.
func TestSilentEngine(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(2*time.Millisecond), "[targets]\nsilent_after = 400ms\n")
	f.Apply(declarations(ampleBudget))
	f.Switch("e0", "silent=1000000")
	s := &traffic{f: f, class: "chat", name: "s", tokens: 30, interval: 25 * time.Millisecond, idleTimeout: 5 * time.Second}
	s.start()
	time.Sleep(4 * time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.Equal(c.Whole, c.Requests)
	runs := map[string]int{}
	for _, r := range f.Ledger() {
		runs[r.Target]++
	}
	t.Logf("runs by engine: %v", runs)
	is.True(runs["e0"] < runs["e1"]) // e0 is tried less often
}

// All engines of a pool fail: ejection never empties the pool, callers get an error without waiting
// for their deadline, and requests are served once the failure is over.
func TestWholePoolFails(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	f.Switch("e0", "cut=1000000")
	f.Switch("e1", "cut=1000000")
	begun := time.Now()
	a := f.Do(0, fleet.Request{Key: key, ID: "fails", Class: "chat", MaxTokens: 10})
	is.Equal(a.Kind, "target_failed")
	is.Equal(a.Ran, "yes")
	is.True(time.Since(begun) < 10*time.Second) // well before its deadline of 15 s
	for range 20 {
		f.Do(1, fleet.Request{Key: key, ID: "fails-too", Class: "chat", MaxTokens: 10})
	}
	f.Switch("e0", "cut=0")
	f.Switch("e1", "cut=0")
	b := f.Do(2, fleet.Request{Key: key, ID: "works", Class: "chat", MaxTokens: 10})
	is.NoErr(b.Err)
	is.True(b.Whole)
}

// checkNoneCut checks that no attempt of a caller lost its connection.
func checkNoneCut(t *testing.T, cases []verdict.Case) {
	t.Helper()
	for _, k := range cases {
		if k.Outcome.Cut > 0 {
			t.Errorf("%s was cut off %d times, by %s after %v", k.FullID, k.Outcome.Cut, k.Outcome.CutBy, k.Outcome.Took)
		}
	}
}

// A graceful shutdown of a host with streams, non-repeatable requests and long streams in flight
// breaks none of them; its ids, claims and tokens are transferred.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, append(engines(15*time.Millisecond), services(10*time.Millisecond)...), "")
	f.Apply(declarations(ampleBudget))
	chats := &traffic{f: f, class: "chat", name: "c", tokens: 20, interval: 20 * time.Millisecond}
	// A session takes 4.5 s, and longer on a busy machine, hence the long timeout.
	sessions := &traffic{f: f, class: "chat", name: "open", tokens: 300, interval: 100 * time.Millisecond, timeout: 30 * time.Second}
	saves := startSaves(f, "s", 20*time.Millisecond)
	chats.start()
	sessions.start()
	time.Sleep(1500 * time.Millisecond)
	f.Term(1)
	ended := make(chan error, 1)
	go func() { ended <- f.WaitExit(1) }()
	time.Sleep(time.Second)
	cases := sessions.finish()
	is.NoErr(<-ended)
	time.Sleep(time.Second)
	cases = append(cases, chats.finish()...)
	cases = append(cases, saves.finish()...)
	checkNoneCut(t, cases)
	c := checkCases(t, f, cases, ampleBudget)
	is.Equal(c.Whole, c.Requests)
	is.Equal(len(f.View(0)), 5)
	is.Equal(f.Budget(0, account).Stranded, uint64(0))
}

// A graceful shutdown with a drain limit moves open streams to other hosts.
func TestPlannedStopWithLimit(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(20*time.Millisecond), "[requests]\ndrain_limit = 500ms\n")
	f.Apply(declarations(ampleBudget))
	s := &traffic{f: f, class: "chat", name: "m", tokens: 200, interval: 50 * time.Millisecond}
	s.start()
	time.Sleep(1500 * time.Millisecond)
	begun := time.Now()
	f.Term(2)
	is.NoErr(f.WaitExit(2))
	took := time.Since(begun)
	cases := s.finish()
	checkNoneCut(t, cases)
	c := checkCases(t, f, cases, ampleBudget)
	is.Equal(c.Whole, c.Requests)
	t.Logf("shutdown took %v, streams take 4 s", took.Round(time.Millisecond))
}
