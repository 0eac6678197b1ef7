package proofs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/load/verdict"
	"maststage.dev/proofs/fleet"
)

// Hosts of each failure domain, in a fleet of six hosts and three domains.
var (
	domain0 = []int{0, 3}
	domain1 = []int{1, 4}
	domain2 = []int{2, 5}
)

// requestCost bounds the cost in tokens of a request with at most 100 tokens of output: 100, and 6
// for the prompt.
const requestCost = 100 + 6

func sixHosts(t *testing.T, targets []fleet.Target, more string) *fleet.Fleet {
	return fleet.Start(t, fleet.Options{Hosts: 6, Domains: 3, Targets: targets, Settings: more})
}

// runTraffic sends requests through each group of hosts for d and returns the cases of each group.
func runTraffic(f *fleet.Fleet, name string, d time.Duration, groups ...[]int) [][]verdict.Case {
	var loads []*traffic
	for i, g := range groups {
		s := &traffic{f: f, class: "chat", name: fmt.Sprint(name, i), tokens: 100, interval: 10 * time.Millisecond, hosts: g, timeout: 4 * time.Second}
		loads = append(loads, s)
		s.start()
	}
	time.Sleep(d)
	out := make([][]verdict.Case, len(loads))
	var wg sync.WaitGroup
	for i, s := range loads {
		wg.Go(func() { out[i] = s.finish() })
	}
	wg.Wait()
	return out
}

func flatten(groups [][]verdict.Case) []verdict.Case {
	var cases []verdict.Case
	for _, g := range groups {
		cases = append(cases, g...)
	}
	return cases
}

// Three failure domains, cut off from each other and from the log, spend one budget that is too small
// for their requests.
func TestOverspendDomainsCutOff(t *testing.T) {
	is := is.New(t)
	const total = 60_000
	f := sixHosts(t, engines(time.Millisecond), "")
	f.Apply(declarations(total))
	warm := runTraffic(f, "warm", time.Second, domain0, domain1, domain2)
	f.CutLog(0, 1, 2, 3, 4, 5)
	f.Cut(domain0, domain1)
	f.Cut(domain0, domain2)
	f.Cut(domain1, domain2)
	cut := runTraffic(f, "cut", 3*time.Second, domain0, domain1, domain2)
	checkSpend(t, f, total)
	f.HealLog(0, 1, 2, 3, 4, 5)
	c := checkCases(t, f, flatten(warm), total)
	is.True(c.Whole > 0)
	c = checkCases(t, f, flatten(cut), total)
	is.True(c.Whole > 0)             // the tokens held locally are spent
	is.True(c.Refused+c.Unknown > 0) // the budget is too small for all
}

// checkSpend compares just the targets' records with the budget, for when the log is unavailable.
func checkSpend(t *testing.T, f *fleet.Fleet, total uint64) {
	t.Helper()
	if used := f.UsedTokens(account); used > total {
		t.Errorf("targets recorded %d tokens used, the budget is %d", used, total)
	}
}

// Hosts are killed while they hold tokens and run requests.
func TestOverspendHolderKilled(t *testing.T) {
	is := is.New(t)
	const total = 30_000
	f := sixHosts(t, engines(2*time.Millisecond), "")
	f.Apply(declarations(total))
	s := &traffic{f: f, class: "chat", name: "k", tokens: 100, interval: 5 * time.Millisecond}
	s.start()
	time.Sleep(700 * time.Millisecond)
	f.Kill(1)
	time.Sleep(400 * time.Millisecond)
	f.Kill(2)
	time.Sleep(3 * time.Second)
	c := checkCases(t, f, s.finish(), total)
	is.True(c.Whole > 50)
}

// A host that holds tokens is paused, evicted and resumed, and continues to spend its old allocation;
// the engines don't check fences.
func TestOverspendHolderFrozen(t *testing.T) {
	is := is.New(t)
	const total = 20_000
	f := sixHosts(t, engines(2*time.Millisecond), "")
	f.Apply(declarations(total))
	s := &traffic{f: f, class: "chat", name: "z", tokens: 100, interval: 10 * time.Millisecond}
	s.start()
	time.Sleep(700 * time.Millisecond)
	f.Pause(1)
	f.Eventually("eviction of h1", func() bool { return len(f.View(0)) == 5 })
	time.Sleep(time.Second)
	f.Resume(1)
	time.Sleep(2 * time.Second)
	c := checkCases(t, f, s.finish(), total)
	is.True(c.Whole > 50)
	f.Eventually("h1 is back", func() bool { return len(f.View(0)) == 6 })
}

// Half of the log's responses are lost after the append took effect.
func TestOverspendRepliesLost(t *testing.T) {
	is := is.New(t)
	const total = 20_000
	f := sixHosts(t, engines(time.Millisecond), "")
	f.Apply(declarations(total))
	f.Switch("log", "losepercent=50")
	cases := flatten(runTraffic(f, "lossy", 4*time.Second, domain0, domain1, domain2))
	c := checkCases(t, f, cases, total)
	is.True(c.Whole > 100)
	b := f.Budget(0, account)
	is.True(b.Granted <= total)
}

// All hosts compete for the last tokens of a budget.
func TestOverspendLastTokens(t *testing.T) {
	is := is.New(t)
	const total = 12 * requestCost
	f := sixHosts(t, engines(time.Millisecond), "[budgets]\noverrun = 0\n")
	f.Apply(declarations(total))
	var wg sync.WaitGroup
	answers := make([]fleet.Response, 60)
	for i := range answers {
		wg.Go(func() {
			answers[i] = f.Do(i%6, fleet.Request{Key: key, ID: fmt.Sprint("last-", i), Class: "chat", Input: []byte("a question of 24 bytes."), MaxTokens: 100})
		})
	}
	wg.Wait()
	whole := 0
	for _, a := range answers {
		if a.Whole {
			whole++
			continue
		}
		is.Equal(a.Kind, "budget")
		is.Equal(a.Ran, "no")
		is.True(a.RetryAfter > 0)
	}
	is.True(f.UsedTokens(account) <= total)
	t.Logf("%d complete responses of 12 possible", whole)
	is.True(whole >= 8)
}

// Engines continue past the maximum number of tokens and have to be stopped by the host.
func TestOverspendTargetOverruns(t *testing.T) {
	is := is.New(t)
	const total = 5_000
	f := sixHosts(t, engines(3*time.Millisecond), "")
	f.Apply(declarations(total))
	f.Switch("e0", "overrun=100000")
	f.Switch("e1", "overrun=100000")
	cases := flatten(runTraffic(f, "over", 2*time.Second, domain0, domain1, domain2))
	c := checkCases(t, f, cases, total)
	is.True(c.Whole > 20)
	// Hosts may return idle tokens meanwhile, enough for some more requests, but then the budget is
	// exhausted.
	kind := ""
	for n := 0; n < 20 && kind != "budget"; n++ {
		kind = f.Do(0, fleet.Request{Key: key, ID: fmt.Sprintf("after-%d", n), Class: "chat", MaxTokens: 100}).Kind
	}
	is.Equal(kind, "budget")
	is.True(f.UsedTokens(account) <= total)
}

// Two regions are cut off from each other, and one of them from the log; both spend one budget.
func TestOverspendRegionsCutOff(t *testing.T) {
	is := is.New(t)
	const total = 30_000
	f := fleet.Start(t, fleet.Options{Hosts: 6, Domains: 6, Regions: 2, Targets: engines(time.Millisecond)})
	f.Apply(declarations(total))
	even, odd := []int{0, 2, 4}, []int{1, 3, 5}
	warm := runTraffic(f, "warm", time.Second, even, odd)
	f.Cut(even, odd)
	f.CutLog(odd...)
	cut := runTraffic(f, "cut", 3*time.Second, even, odd)
	checkSpend(t, f, total)
	f.Heal(even, odd)
	f.HealLog(odd...)
	checkCases(t, f, flatten(warm), total)
	c := checkCases(t, f, flatten(cut), total)
	is.True(c.Whole > 0)
	is.True(c.Refused > 0)
}
