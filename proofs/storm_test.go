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

// storm sends requests of one class at a steady rate while a test breaks
// things, and collects what the callers were told.
type storm struct {
	f        *fleet.Fleet
	class    string
	name     string // goes into the ids
	tokens   uint32
	every    time.Duration
	silence  time.Duration
	patience time.Duration
	hosts    []int // where callers go first, nil: all in turn
	once     bool  // callers don't try again

	mu    sync.Mutex
	cases []verdict.Case
	wg    sync.WaitGroup
	stop  chan struct{}
}

func (s *storm) begin() {
	if s.silence == 0 {
		s.silence = 2 * time.Second
	}
	if s.patience == 0 {
		s.patience = 8 * time.Second
	}
	s.stop = make(chan struct{})
	s.wg.Add(1)
	go s.drive()
}

func (s *storm) drive() {
	defer s.wg.Done()
	var addrs []string
	for i, h := range s.f.Hosts {
		if s.hosts == nil || contains(s.hosts, i) {
			addrs = append(addrs, h.Listen)
		}
	}
	c := caller.New(addrs)
	tick := time.NewTicker(s.every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.wg.Add(1)
		go s.one(c, n)
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

func (s *storm) one(c *caller.Caller, n int) {
	defer s.wg.Done()
	id := fmt.Sprintf("%s-%d", s.name, n)
	input := []byte("input of " + id)
	o := c.Send(context.Background(), caller.Request{
		Key: key, ID: id, Class: s.class, Input: input, MaxTokens: s.tokens,
		IdleTimeout: s.silence, Timeout: s.patience, First: n, Once: s.once,
	})
	k := verdict.Case{Outcome: o, FullID: "org/" + id, Single: s.class == "save", Want: want(s.class, id, input, s.tokens), Account: account, Need: uint64(s.tokens) + 50}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cases = append(s.cases, k)
}

// want is the answer that the stand-ins give.
func want(class, id string, input []byte, tokens uint32) []byte {
	if class != "chat" {
		return target.Output("org/"+id, input)
	}
	var b bytes.Buffer
	for i := range tokens {
		b.Write(target.Token("org/"+id, i))
	}
	return b.Bytes()
}

// end stops sending and waits for the last answers.
func (s *storm) end() []verdict.Case {
	close(s.stop)
	s.wg.Wait()
	return s.cases
}

// judge holds the answers against the targets' records and the log, once the
// bills had time to get there.
func judge(t *testing.T, f *fleet.Fleet, cases []verdict.Case, total uint64) *verdict.Count {
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
