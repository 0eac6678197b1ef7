package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"maststage.dev/load/caller"
	"maststage.dev/load/verdict"
	"maststage.dev/proofs/fleet"
)

// Slicing is a way to give out budgets.
type Slicing struct {
	Name     string
	Settings string
}

// Slicings are ours, and the baselines.
var Slicings = []Slicing{
	{"by demand, with loans", ""},
	{"by demand, no loans", "[budgets]\nborrow = false\n"},
	{"fixed sixth of the budget", "[budgets]\nfixed_share = 16\nborrow = false\n"},
	{"central counter in the log", "[budgets]\nslice_seconds = 0\nidle_after = 0s\nborrow = false\n"},
}

// Scenario is what happens while requests come.
type Scenario struct {
	Name   string
	Budget uint64
	Happen func(*fleet.Fleet)
}

// Of a scenario's storm: about 600 requests that use 53 tokens each.
const (
	stormLength = 6 * time.Second
	stormEvery  = 10 * time.Millisecond
	stormTokens = 50
	stormNeed   = stormTokens + 3 + 32
	beforeFault = time.Second
)

// Scenarios are those of docs/design/false-refusals.md.
var Scenarios = []Scenario{
	{"the budget ends half way", 16_000, func(*fleet.Fleet) {}},
	{"a host is killed, budget 1.5 times the demand", 48_000, func(f *fleet.Fleet) { f.Kill(1) }},
	{"the log goes down, budget 1.5 times the demand", 48_000, func(f *fleet.Fleet) { f.Switch("log", "down=1") }},
	{"a domain loses the log and the others, budget 1.5 times the demand", 48_000, func(f *fleet.Fleet) {
		f.CutLog(0, 3)
		f.Cut([]int{0, 3}, []int{1, 2, 4, 5})
	}},
}

// Refusals is the outcome of a scenario.
type Refusals struct {
	Requests, Whole, False, Overspend int
	Stranded                          uint64
	Used                              float64 // % of the budget
}

// Refuse runs a scenario. Callers send each request once and don't retry.
func Refuse(s Scenario, by Slicing) (r Refusals, err error) {
	o := fleet.Options{Hosts: 6, Domains: 3, Targets: targets(0), Settings: by.Settings}
	err = withFleet(o, s.Budget, func(f *fleet.Fleet) error {
		cases := storm(f, s.Happen)
		r, err = judge(f, cases, s.Budget)
		return err
	})
	return r, err
}

// Margins runs the first scenario with engines that overrun their maximum, by
// the tokens that the policy reserves beyond it.
func Margins(margin int) (r Refusals, err error) {
	const budget = 16_000
	o := fleet.Options{Hosts: 6, Domains: 3, Targets: targets(500 * time.Microsecond)}
	err = withDeclared(o, marginDeclarations(budget, margin), func(f *fleet.Fleet) error {
		f.Switch("e0", "overrun=100000")
		f.Switch("e1", "overrun=100000")
		cases := storm(f, func(*fleet.Fleet) {})
		r, err = judge(f, cases, budget)
		return err
	})
	return r, err
}

func storm(f *fleet.Fleet, happen func(*fleet.Fleet)) []verdict.Case {
	var addrs []string
	for _, h := range f.Hosts {
		addrs = append(addrs, h.Listen)
	}
	c := caller.New(addrs)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var cases []verdict.Case
	fault := time.AfterFunc(beforeFault, func() { happen(f) })
	defer fault.Stop()
	tick := time.NewTicker(stormEvery)
	defer tick.Stop()
	for n := range int(stormLength / stormEvery) {
		<-tick.C
		wg.Go(func() {
			id := fmt.Sprint("r-", n)
			o := c.Send(context.Background(), caller.Request{
				Key: fleetKey, ID: id, Class: "chat", Input: []byte("a question"), MaxTokens: stormTokens,
				IdleTimeout: 4 * time.Second, Timeout: 5 * time.Second, First: n, Once: true,
			})
			mu.Lock()
			defer mu.Unlock()
			cases = append(cases, verdict.Case{Outcome: o, FullID: fleetAccount + "/" + id, Account: "main", Need: stormNeed})
		})
	}
	wg.Wait()
	return cases
}

func judge(f *fleet.Fleet, cases []verdict.Case, budget uint64) (Refusals, error) {
	var addrs []string
	for _, a := range f.Targets {
		addrs = append(addrs, a)
	}
	runs, err := verdict.Runs(addrs)
	if err != nil {
		return Refusals{}, err
	}
	c := verdict.Judge(cases, runs, nil, map[string]uint64{"main": budget})
	var used uint64
	stranded := f.Budget(2, "main").Stranded // h2 is never cut off or killed
	for _, r := range runs {
		used += r.Tokens
	}
	return Refusals{
		Requests: c.Requests, Whole: c.Whole, False: c.FalseRefusals, Overspend: int(c.Overspend), Stranded: stranded,
		Used: 100 * float64(used) / float64(budget),
	}, nil
}
