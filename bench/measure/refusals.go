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

// Scheme is a way to allocate a budget to the hosts: its name and the settings that select it.
type Scheme struct {
	Name     string
	Settings string
}

// Schemes holds the fleet's scheme, which comes first, and the baselines.
var Schemes = []Scheme{
	{"by demand, with loans", ""},
	{"by demand, no loans", "[budgets]\nborrow = false\n"},
	{"fixed sixth of the budget", "[budgets]\nfixed_share = 16\nborrow = false\n"},
	{"central counter in the log", "[budgets]\nslice_seconds = 0\nidle_after = 0s\nborrow = false\n"},
}

// Scenario is a budget and a fault that happens during a burst of requests.
type Scenario struct {
	Name   string
	Budget uint64
	Fault  func(*fleet.Fleet)
}

// The burst of a scenario: about 600 requests that use 53 tokens each.
const (
	burstLength     = 6 * time.Second
	requestInterval = 10 * time.Millisecond
	requestTokens   = 50
	requestNeed     = requestTokens + 3 + 32
	beforeFault     = time.Second
)

// Scenarios holds the scenarios of docs/design/false-refusals.md.
var Scenarios = []Scenario{
	{"the budget ends half way", 16_000, func(*fleet.Fleet) {}},
	{"a host is killed, budget 1.5 times the demand", 48_000, func(f *fleet.Fleet) { f.Kill(1) }},
	{"the log goes down, budget 1.5 times the demand", 48_000, func(f *fleet.Fleet) { f.Switch("log", "down=1") }},
	{"a domain loses the log and the others, budget 1.5 times the demand", 48_000, func(f *fleet.Fleet) {
		f.CutLog(0, 3)
		f.Cut([]int{0, 3}, []int{1, 2, 4, 5})
	}},
}

// Refusals is the result of a scenario.
type Refusals struct {
	Requests, Whole, False, Overspend int
	Stranded                          uint64
	Used                              float64 // % of the budget
}

// RunScenario runs a scenario under an allocation scheme. Callers don't retry.
func RunScenario(s Scenario, scheme Scheme) (r Refusals, err error) {
	o := fleet.Options{Hosts: 6, Domains: 3, Targets: targets(0), Settings: scheme.Settings}
	err = withFleet(o, s.Budget, func(f *fleet.Fleet) error {
		cases := burst(f, s.Fault)
		r, err = judge(f, cases, s.Budget)
		return err
	})
	return r, err
}

// Margins runs the first scenario with engines that exceed a request's maximum of
// tokens, and a policy that reserves margin tokens beyond that maximum.
func Margins(margin int) (r Refusals, err error) {
	const budget = 16_000
	o := fleet.Options{Hosts: 6, Domains: 3, Targets: targets(500 * time.Microsecond)}
	err = withDeclared(o, marginDeclarations(budget, margin), func(f *fleet.Fleet) error {
		f.Switch("e0", "overrun=100000")
		f.Switch("e1", "overrun=100000")
		cases := burst(f, func(*fleet.Fleet) {})
		r, err = judge(f, cases, budget)
		return err
	})
	return r, err
}

func burst(f *fleet.Fleet, injectFault func(*fleet.Fleet)) []verdict.Case {
	var addrs []string
	for _, h := range f.Hosts {
		addrs = append(addrs, h.Listen)
	}
	c := caller.New(addrs)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var cases []verdict.Case
	fault := time.AfterFunc(beforeFault, func() { injectFault(f) })
	defer fault.Stop()
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	for n := range int(burstLength / requestInterval) {
		<-tick.C
		wg.Go(func() {
			id := fmt.Sprint("r-", n)
			o := c.Send(context.Background(), caller.Request{
				Key: fleetKey, ID: id, Class: "chat", Input: []byte("a question"), MaxTokens: requestTokens,
				IdleTimeout: 4 * time.Second, Timeout: 5 * time.Second, First: n, Once: true,
			})
			mu.Lock()
			defer mu.Unlock()
			cases = append(cases, verdict.Case{Outcome: o, FullID: fleetAccount + "/" + id, Account: "main", Need: requestNeed})
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
	stranded := f.Budget(2, "main").Stranded // h2 is neither cut off nor killed in any scenario
	for _, r := range runs {
		used += r.Tokens
	}
	return Refusals{
		Requests: c.Requests, Whole: c.Whole, False: c.FalseRefusals, Overspend: int(c.Overspend), Stranded: stranded,
		Used: 100 * float64(used) / float64(budget),
	}, nil
}
