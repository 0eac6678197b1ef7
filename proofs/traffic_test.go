package proofs

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"maststage.dev/load/caller"
	"maststage.dev/load/verdict"
	"maststage.dev/proofs/fleet"
	"maststage.dev/standin/target"
)

// traffic sends requests of one class at a steady rate while a test injects faults, and collects the
// outcomes that callers see.
type traffic struct {
	f           *fleet.Fleet
	class       string
	name        string // prefix of the request ids
	tokens      uint32
	interval    time.Duration
	idleTimeout time.Duration
	timeout     time.Duration
	hosts       []int // that callers try first, in turn; nil means all
	noRetry     bool  // callers don't retry

	mu    sync.Mutex
	cases []verdict.Case
	wg    sync.WaitGroup
	stop  chan struct{}
}

func (s *traffic) start() {
	if s.idleTimeout == 0 {
		s.idleTimeout = 2 * time.Second
	}
	if s.timeout == 0 {
		s.timeout = 8 * time.Second
	}
	s.stop = make(chan struct{})
	s.wg.Add(1)
	go s.run()
}

func (s *traffic) run() {
	defer s.wg.Done()
	var addrs []string
	for i, h := range s.f.Hosts {
		if s.hosts == nil || contains(s.hosts, i) {
			addrs = append(addrs, h.Listen)
		}
	}
	c := caller.New(addrs)
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.wg.Add(1)
		go s.send(c, n)
	}
}

func contains(list []int, n int) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

func (s *traffic) send(c *caller.Caller, n int) {
	defer s.wg.Done()
	id := fmt.Sprintf("%s-%d", s.name, n)
	input := []byte("input of " + id)
	o := c.Send(context.Background(), caller.Request{
		Key: key, ID: id, Class: s.class, Input: input, MaxTokens: s.tokens,
		IdleTimeout: s.idleTimeout, Timeout: s.timeout, First: n, Once: s.noRetry,
	})
	k := verdict.Case{Outcome: o, FullID: "org/" + id, Single: s.class == "save", Want: wantOutput(s.class, id, input, s.tokens), Account: account, Need: uint64(s.tokens) + 50}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cases = append(s.cases, k)
}

// wantOutput returns the response that the stand-ins give.
func wantOutput(class, id string, input []byte, tokens uint32) []byte {
	if class != "chat" {
		return target.Output("org/"+id, input)
	}
	var b bytes.Buffer
	for i := range tokens {
		b.Write(target.Token("org/"+id, i))
	}
	return b.Bytes()
}

// finish stops sending, waits for the last responses and returns all cases.
func (s *traffic) finish() []verdict.Case {
	close(s.stop)
	s.wg.Wait()
	return s.cases
}

// checkCases checks the cases against the targets' records and the bills in the log. It waits up to 8 s
// for bills that are not in the log yet.
func checkCases(t *testing.T, f *fleet.Fleet, cases []verdict.Case, total uint64) *verdict.Count {
	t.Helper()
	var addrs []string
	for _, a := range f.Targets {
		addrs = append(addrs, a)
	}
	var c *verdict.Count
	for deadline := time.Now().Add(8 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		runs, err := verdict.Runs(addrs)
		if err != nil {
			t.Fatal(err)
		}
		bills, err := verdict.Bills(context.Background(), f.Log)
		if err != nil {
			t.Fatal(err)
		}
		c = verdict.Judge(cases, runs, bills, map[string]uint64{account: total})
		if c.LostBills == 0 || time.Now().After(deadline) {
			break
		}
	}
	kinds := map[string]int{}
	for _, k := range cases {
		if !k.Outcome.Whole {
			kinds[k.Outcome.Kind+"/"+k.Outcome.Ran]++
		}
	}
	t.Logf("%v kinds=%v", c, kinds)
	for _, e := range c.Examples {
		t.Error(e)
	}
	if c.Violations() != 0 {
		t.Errorf("%d violations", c.Violations())
	}
	return c
}
