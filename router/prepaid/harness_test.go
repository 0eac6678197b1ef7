package prepaid

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/standin/memlog"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// hosts is a group of treasuries on one log.
type hosts struct {
	t    *testing.T
	log  *memlog.Log
	size atomic.Int64
}

func newHosts(t *testing.T, size int) *hosts {
	h := &hosts{t: t, log: memlog.New()}
	h.size.Store(int64(size))
	return h
}

// start starts a treasury; stop kills it without giving anything back.
func (h *hosts) start(name string, borrow func(context.Context, string, int64, float64) Loan) (tr *Allocator, stop func()) {
	return h.startWith(Options{
		Log: h.log.Host(name), Topic: "b", Partitions: 2, Host: name, Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 100 * time.Millisecond,
		Hosts: func() int { return int(h.size.Load()) }, Borrow: borrow,
	})
}

func (h *hosts) startWith(opts Options) (tr *Allocator, stop func()) {
	tr = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tr.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	h.t.Cleanup(stop)
	return tr, stop
}

func (h *hosts) account(tr *Allocator, organisation string) Account {
	h.t.Helper()
	rec, ok := h.log.Get(tr.clerkOf(organisation).partition, organisation)
	if !ok {
		return Account{}
	}
	a, err := DecodeAccount(rec.Value)
	if err != nil {
		h.t.Fatal(err)
	}
	return a
}

// spend reserves and settles until the treasury has no more, at most n times.
func spend(tr *Allocator, organisation string, tokens int64, n int) (spent int64) {
	for range n {
		r, err := tr.Reserve(context.Background(), organisation, tokens)
		if err != nil {
			return spent
		}
		r.Settle(tokens)
		spent += tokens
	}
	return spent
}
