package measure

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	hdr "github.com/HdrHistogram/hdrhistogram-go"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/load/caller"
	"maststage.dev/proofs/fleet"
)

const (
	ampleTokens = 1 << 40 // tokens
	manySlots   = 4096
	// manyWorkers is enough for a lone host, whose bills wait for the log, to be
	// limited by its processor.
	manyWorkers = 512
	settleTime  = 500 * time.Millisecond
)

func targets(each time.Duration) []fleet.Target {
	return []fleet.Target{
		{Name: "e0", Kind: "engine", Pool: "model", Slots: manySlots, Each: each},
		{Name: "e1", Kind: "engine", Pool: "model", Slots: manySlots, Each: each},
		{Name: "s0", Kind: "service", Pool: "plain", Slots: manySlots, Each: 0},
	}
}

// oneCore returns the options of a fleet of n hosts that use one core each.
func oneCore(n int, each time.Duration) fleet.Options {
	return fleet.Options{Hosts: n, Domains: min(n, 3), Targets: targets(each), Env: []string{"GOMAXPROCS=1"}, Settings: "[requests]\nkeep_answers = 1s\n"}
}

// closedLoop lets each worker send one request after another for d, and counts the whole responses.
func closedLoop(f *fleet.Fleet, class, name string, tokens uint32, workers int, d time.Duration) (done int, err error) {
	c := caller.New([]string{f.Hosts[0].Listen})
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for w := range workers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				o := c.Send(context.Background(), caller.Request{
					Key: fleetKey, ID: fmt.Sprintf("%s-%d-%d", name, w, n), Class: class, Input: []byte("a question of some length, as callers send it"),
					MaxTokens: tokens, IdleTimeout: 10 * time.Second, Timeout: 20 * time.Second,
				})
				mu.Lock()
				if o.Whole {
					done++
				} else {
					err = fmt.Errorf("%s: %s", o.Request.ID, o.Kind)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return done, err
}

// Throughput is the maximum load of one host on one core.
type Throughput struct {
	Tokens   int     // of each response; 0: a call of a plain service
	Requests float64 // per second
	CPU      float64 // ns of the host per request
}

// PerRequest measures a lone host on one core with responses of several sizes.
func PerRequest(sizes ...int) ([]Throughput, error) {
	var out []Throughput
	err := withFleet(oneCore(1, 0), ampleTokens, func(f *fleet.Fleet) error {
		if _, err := closedLoop(f, "chat", "warm", 20, 16, time.Second); err != nil {
			return err
		}
		for _, n := range sizes {
			class := "chat"
			if n == 0 {
				class = "ping"
			}
			before, err := CPU(f.Pid(0))
			if err != nil {
				return err
			}
			begun := time.Now()
			done, err := closedLoop(f, class, fmt.Sprint("t", n), uint32(n), manyWorkers, 3*time.Second)
			if err != nil {
				return err
			}
			took := time.Since(begun)
			after, err := CPU(f.Pid(0))
			if err != nil {
				return err
			}
			out = append(out, Throughput{Tokens: n, Requests: float64(done) / took.Seconds(), CPU: float64(after-before) / float64(done)})
		}
		return nil
	})
	return out, err
}

// SaveCPU measures the processor time of all hosts of a fleet of n for a request that
// must not run twice, in ns.
func SaveCPU(sizes ...int) (Slope, error) {
	s := Slope{Name: "processor time of all hosts for a save, by hosts", Unit: "ns", At: sizes}
	for _, n := range sizes {
		err := withFleet(oneCore(n, 0), ampleTokens, func(f *fleet.Fleet) error {
			if _, err := closedLoop(f, "save", "warm", 1, 16, time.Second); err != nil {
				return err
			}
			before, err := allCPU(f)
			if err != nil {
				return err
			}
			done, err := closedLoop(f, "save", "s", 1, 64, 3*time.Second)
			if err != nil {
				return err
			}
			after, err := allCPU(f)
			s.Costs = append(s.Costs, float64(after-before)/float64(max(done, 1)))
			return err
		})
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

func allCPU(f *fleet.Fleet) (time.Duration, error) {
	var sum time.Duration
	for i := range f.Hosts {
		c, err := CPU(f.Pid(i))
		if err != nil {
			return 0, err
		}
		sum += c
	}
	return sum, nil
}

// Idle measures a host without requests: its share of a core in percent, and its
// resident memory in bytes, by number of hosts in the fleet.
func Idle(sizes ...int) (cpu, rss Slope, err error) {
	cpu = Slope{Name: "processor of an idle host, by hosts", Unit: "% of a core", At: sizes}
	rss = Slope{Name: "resident memory of an idle host, by hosts", Unit: "bytes", At: sizes}
	const watch = 5 * time.Second
	for _, n := range sizes {
		err := withFleet(oneCore(n, 0), ampleTokens, func(f *fleet.Fleet) error {
			time.Sleep(2 * time.Second)
			before, err := allCPU(f)
			if err != nil {
				return err
			}
			time.Sleep(watch)
			after, err := allCPU(f)
			if err != nil {
				return err
			}
			cpu.Costs = append(cpu.Costs, 100*float64(after-before)/float64(watch)/float64(n))
			mem, err := RSS(f.Pid(0))
			rss.Costs = append(rss.Costs, mem)
			return err
		})
		if err != nil {
			return cpu, rss, err
		}
	}
	return cpu, rss, nil
}

// StreamBytes measures the resident memory of a lone host per open stream, in bytes.
func StreamBytes(sizes ...int) (Slope, error) {
	s := Slope{Name: "memory of an open stream", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		err := withFleet(oneCore(1, 50*time.Millisecond), ampleTokens, func(f *fleet.Fleet) error {
			if _, err := closedLoop(f, "chat", "warm", 5, 16, time.Second); err != nil {
				return err
			}
			before, err := RSS(f.Pid(0))
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := caller.New([]string{f.Hosts[0].Listen})
			var wg sync.WaitGroup
			for i := range n {
				wg.Go(func() {
					c.Send(ctx, caller.Request{Key: fleetKey, ID: fmt.Sprint("open-", i), Class: "chat", Input: []byte("open"), MaxTokens: 400, IdleTimeout: time.Minute, Timeout: time.Minute})
				})
			}
			time.Sleep(4 * time.Second)
			after, err := RSS(f.Pid(0))
			s.Costs = append(s.Costs, (after-before)/float64(n))
			cancel()
			wg.Wait()
			return err
		})
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// Latency holds the times to the first token and between tokens that callers see, in microseconds.
type Latency struct {
	First, Gap *hdr.Histogram
}

func newLatency() *Latency {
	const most, digits = 60_000_000, 3
	return &Latency{First: hdr.New(1, most, digits), Gap: hdr.New(1, most, digits)}
}

// Compare streams responses from an engine directly and through the fleet, alternately
// and at the same rate.
func Compare(hosts, streams, rounds int, each time.Duration) (direct, through *Latency, err error) {
	direct, through = newLatency(), newLatency()
	o := fleet.Options{Hosts: hosts, Domains: min(hosts, 3), Targets: targets(each)}
	err = withFleet(o, ampleTokens, func(f *fleet.Fleet) error {
		var addrs []string
		for _, h := range f.Hosts {
			addrs = append(addrs, h.Listen)
		}
		c := caller.New(addrs)
		web := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, DisableCompression: true}}
		engine := platformv1connect.NewTargetClient(web, "http://"+f.Targets["e0"])
		for r := range rounds {
			name := fmt.Sprint("r", r)
			if r == 0 {
				// A warm-up, which isn't recorded, opens the connections.
				inParallel(streams, func(i int) { viaFleet(c, newLatency(), nil, fmt.Sprint(name, "w-", i), i) })
				inParallel(streams, func(i int) { viaEngine(engine, newLatency(), nil, fmt.Sprint(name, "wd-", i)) })
				time.Sleep(settleTime)
			}
			var mu sync.Mutex
			inParallel(streams, func(i int) { viaEngine(engine, direct, &mu, fmt.Sprint(name, "d-", i)) })
			inParallel(streams, func(i int) { viaFleet(c, through, &mu, fmt.Sprint(name, "f-", i), i) })
		}
		return nil
	})
	return direct, through, err
}

func inParallel(n int, do func(int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond) // spread the starts
			do(i)
		})
	}
	wg.Wait()
}

const compareTokens = 50

func viaFleet(c *caller.Caller, l *Latency, mu *sync.Mutex, id string, first int) {
	o := c.Send(context.Background(), caller.Request{
		Key: fleetKey, ID: id, Class: "chat", Input: []byte("a question"), MaxTokens: compareTokens,
		IdleTimeout: 10 * time.Second, Timeout: 30 * time.Second, First: first,
	})
	l.record(mu, o.FirstToken, o.Gaps)
}

func viaEngine(c platformv1connect.TargetClient, l *Latency, mu *sync.Mutex, id string) {
	begun := time.Now()
	s, err := c.Generate(context.Background(), connect.NewRequest(&platformv1.GenerateRequest{
		RequestId: id, Prompt: []byte("a question"), MaxTokens: compareTokens, Account: "direct",
	}))
	if err != nil {
		return
	}
	defer s.Close()
	var first time.Duration
	var gaps []time.Duration
	last := begun
	for s.Receive() {
		if s.Msg().End {
			break
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(begun)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	l.record(mu, first, gaps)
}

func (l *Latency) record(mu *sync.Mutex, first time.Duration, gaps []time.Duration) {
	if mu == nil {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = l.First.RecordValue(first.Microseconds())
	for _, g := range gaps {
		_ = l.Gap.RecordValue(g.Microseconds())
	}
}
