// Mastload sends the two users' mixes of requests to a fleet at a steady rate,
// with retries on other hosts, and compares the outcomes with the records of the
// stand-ins.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"maststage.dev/lib/declare"
	"maststage.dev/load/caller"
	"maststage.dev/load/verdict"
)

// options holds the flags.
type options struct {
	hosts, targets, log, keys, declarations string
	mix                                     string
	length                                  time.Duration
	rate                                    float64
	seed                                    uint64
}

func main() {
	var o options
	flag.StringVar(&o.hosts, "hosts", "", "addresses of the hosts, IP:port,IP:port")
	flag.StringVar(&o.targets, "targets", "", "addresses of the simulated targets, IP:port,IP:port")
	flag.StringVar(&o.log, "log", "", "address of the simulated log, IP:port")
	flag.StringVar(&o.keys, "keys", "", "keys of organisations, NAME=KEY,NAME=KEY")
	flag.StringVar(&o.declarations, "declarations", "", "file with the configuration in force, for the budgets")
	flag.StringVar(&o.mix, "mix", "petfood,examora", "mixes to send, separated by commas")
	flag.DurationVar(&o.length, "for", 20*time.Second, "how long to send")
	flag.Float64Var(&o.rate, "rate", 1, "factor applied to the rates of the mixes")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the random inputs")
	flag.Parse()
	violations, err := load(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mastload:", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// sender sends the requests and collects their outcomes.
type sender struct {
	opts   options
	keys   map[string]string
	budget map[string]string // by organisation
	caller *caller.Caller
	prefix string

	mu    sync.Mutex
	cases []verdict.Case
	stats map[string]*stats
	wg    sync.WaitGroup
}

// stats holds the latencies, in microseconds, and the outcomes of a class.
type stats struct {
	first, gap, whole *hdr.Histogram
	done, failed      int
	kinds             map[string]int
}

func newStats() *stats {
	const most, digits = 120_000_000, 3
	return &stats{first: hdr.New(1, most, digits), gap: hdr.New(1, most, digits), whole: hdr.New(1, most, digits), kinds: map[string]int{}}
}

func load(o options) (violations int, err error) {
	text, err := os.ReadFile(o.declarations)
	if err != nil {
		return 0, err
	}
	set, err := declare.Parse(string(text))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", o.declarations, err)
	}
	s := &sender{
		opts: o, keys: map[string]string{}, budget: map[string]string{}, caller: caller.New(strings.Split(o.hosts, ",")),
		prefix: fmt.Sprintf("%x", time.Now().UnixNano()), stats: map[string]*stats{},
	}
	for pair := range strings.SplitSeq(o.keys, ",") {
		name, key, _ := strings.Cut(pair, "=")
		s.keys[name] = key
	}
	totals := map[string]uint64{}
	for name, b := range set.Budgets {
		totals[name] = b.Tokens
	}
	for name, org := range set.Organisations {
		s.budget[name] = org.Budget
	}
	if err := s.send(); err != nil {
		return 0, err
	}
	s.print()
	return s.judge(totals)
}

// send sends all kinds of requests of the mixes concurrently and waits for their outcomes.
func (s *sender) send() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.length)
	defer cancel()
	for name := range strings.SplitSeq(s.opts.mix, ",") {
		mix := mixes[name]
		if mix == nil {
			return fmt.Errorf("unknown mix %q", name)
		}
		for _, k := range mix {
			if s.keys[k.org] == "" {
				return errors.New("no key for organisation " + k.org)
			}
			s.stats[k.class] = newStats()
			s.wg.Go(func() { s.drive(ctx, k) })
		}
	}
	s.wg.Wait()
	return nil
}

// drive sends one kind of request at its rate, whether or not earlier ones were answered.
func (s *sender) drive(ctx context.Context, k kind) {
	r := rand.New(rand.NewPCG(s.opts.seed, uint64(len(k.class))))
	tick := time.NewTicker(time.Duration(float64(time.Second) / (k.perSec * s.opts.rate)))
	defer tick.Stop()
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%s-%d", s.prefix, k.class, n)
		input := k.text(r)
		first := r.IntN(1 << 16)
		s.wg.Go(func() { s.sendOne(k, id, input, first) })
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *sender) sendOne(k kind, id string, input []byte, first int) {
	out := s.caller.Send(context.Background(), caller.Request{
		Key: s.keys[k.org], ID: id, Class: k.class, Input: input, MaxTokens: k.tokens,
		IdleTimeout: k.idleTimeout, Timeout: k.timeout, First: first,
	})
	full := k.org + "/" + id
	c := verdict.Case{Outcome: out, FullID: full, Single: k.once, Want: k.want(full, input), Account: s.budget[k.org], Need: k.need()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cases = append(s.cases, c)
	s.stats[k.class].record(out)
}

func (t *stats) record(o caller.Outcome) {
	if !o.Whole {
		t.failed++
		t.kinds[o.Kind]++
		return
	}
	t.done++
	_ = t.first.RecordValue(o.FirstToken.Microseconds())
	_ = t.whole.RecordValue(o.Took.Microseconds())
	for _, g := range o.Gaps {
		_ = t.gap.RecordValue(g.Microseconds())
	}
}

// print prints the latencies and failures of each class.
func (s *sender) print() {
	var classes []string
	for c := range s.stats {
		classes = append(classes, c)
	}
	slices.Sort(classes)
	fmt.Printf("%-16s %7s %7s  %22s  %22s  %22s\n", "class", "whole", "failed", "first ms p50/p99/max", "gap ms p50/p99/max", "whole ms p50/p99/max")
	for _, c := range classes {
		t := s.stats[c]
		fmt.Printf("%-16s %7d %7d  %22s  %22s  %22s", c, t.done, t.failed, quantiles(t.first), quantiles(t.gap), quantiles(t.whole))
		if t.failed > 0 {
			fmt.Printf("  %v", t.kinds)
		}
		fmt.Println()
	}
}

func quantiles(h *hdr.Histogram) string {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()))
}

const (
	billWait = 8 * time.Second // maximum wait for the last bills to reach the log
	billPoll = 300 * time.Millisecond
)

// judge waits for the last bills, prints the verdict and returns the number of violations.
func (s *sender) judge(totals map[string]uint64) (int, error) {
	end := time.Now().Add(billWait)
	for {
		runs, err := verdict.Runs(strings.Split(s.opts.targets, ","))
		if err != nil {
			return 0, err
		}
		bills, err := verdict.Bills(context.Background(), s.opts.log)
		if err != nil {
			return 0, err
		}
		c := verdict.Judge(s.cases, runs, bills, totals)
		if c.LostBills > 0 && time.Now().Before(end) {
			time.Sleep(billPoll)
			continue
		}
		for _, e := range c.Examples {
			fmt.Println("violation:", e)
		}
		fmt.Println("maststage-run:", c)
		return c.Violations(), nil
	}
}
