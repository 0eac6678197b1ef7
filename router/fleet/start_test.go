package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/prepaid"
	"maststage.dev/standin/memlog"
)

// liveCalls carries calls to the hosts that run; the addresses of the others refuse connections.
type liveCalls struct {
	mu       sync.Mutex
	handlers inProcess
}

func (c *liveCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	handler := c.handlers[r.URL.Host]
	c.mu.Unlock()
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return inProcess{r.URL.Host: handler}.RoundTrip(r)
}

func (c *liveCalls) add(address string, handler http.Handler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers[address] = handler
}

// Guards against tokens that are lost as hosts start: what they take for waiting requests before they know their fleet, and give
// away, lend or return before it is used.
func TestHostsThatStartLoseNoTokens(t *testing.T) {
	for _, size := range []int{1, 2, 3, 6, 8, 20} { // keeper.SmallFleet is 8
		for _, how := range []struct {
			name  string
			back  int           // hosts that start
			delay time.Duration // between their starts
		}{{"one", 1, 0}, {"all at once", size, 0}, {"one by one", size, 700 * time.Millisecond}} {
			t.Run(fmt.Sprintf("%d hosts/%s", size, how.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { startHosts(t, size, how.back, how.delay) })
			})
		}
	}
}

// startHosts starts some hosts of a fleet, has each serve requests of ten organisations as soon as it runs, and requires that all
// tokens that were granted are used or free afterwards. Most requests are to be served: the budgets are large.
func startHosts(t *testing.T, size, back int, delay time.Duration) {
	const (
		organisations = 10
		limit         = 5_000_000
		sizeUnknown   = 6 * time.Second // after a host's start
		span          = 12 * time.Second
	)
	all, calls, log := makeHosts(size, 3), &liveCalls{handlers: inProcess{}}, memlog.New()
	limits := map[string]int64{}
	var budgets []prepaid.Budget
	for i := range organisations {
		name := fmt.Sprint("org", i)
		limits[name] = limit
		budgets = append(budgets, prepaid.Budget{Organisation: name, Limit: limit})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running, requests sync.WaitGroup
	var asked, served atomic.Int64
	var allocators []*prepaid.Allocator
	for i, self := range all[:back] {
		r := rand.New(rand.NewPCG(uint64(size), uint64(i)))
		f := newFleet(self)
		f.client.http.Transport = calls
		announceHosts(f, all...)
		f.SetBudgetShares(budgetSharesOf(limits))
		started := time.Now()
		allocator := prepaid.New(prepaid.Options{
			Log: log.Host(self.Name), Topic: "b", Partitions: 4, Host: self.Name, Sizing: prepaid.DefaultSizing,
			Timeout: time.Second, RefreshInterval: 400 * time.Millisecond, MaxWait: 150 * time.Millisecond, Hosts: f.Size,
			Keepers: func(organisation string) (int, bool) {
				if time.Since(started) < sizeUnknown {
					return 1, false
				}
				return f.Keepers(organisation)
			},
			Borrow: f.Borrow, BorrowFromKeepers: f.BorrowFromKeepers, TransferIdle: f.TransferIdle,
		})
		f.opts.Lend, f.opts.Recall, f.opts.Credit = allocator.Lend, allocator.Recall, allocator.Credit
		calls.add(self.Address, f.Handler())
		allocator.Configure(1, budgets, true)
		allocators = append(allocators, allocator)
		running.Go(func() { allocator.Run(ctx) })
		requests.Go(func() {
			for time.Since(started) < span {
				organisation, tokens := fmt.Sprint("org", r.IntN(organisations)), int64(500+r.IntN(9000))
				requests.Go(func() {
					asked.Add(1)
					if got, err := allocator.Reserve(ctx, organisation, tokens); err == nil {
						served.Add(1)
						time.Sleep(300 * time.Millisecond)
						got.Settle(tokens * 9 / 10)
					}
				})
				time.Sleep(time.Duration(20+r.IntN(100)) * time.Millisecond)
			}
		})
		time.Sleep(delay)
	}
	requests.Wait()
	time.Sleep(5 * time.Second) // idle tokens move meanwhile
	cancel()
	running.Wait()
	time.Sleep(3 * time.Second) // until calls between hosts have ended
	t.Logf("%d of %d served", served.Load(), asked.Load())
	if served.Load() < asked.Load()*9/10 {
		t.Errorf("%d of %d requests served", served.Load(), asked.Load())
	}
	for i, b := range budgets {
		held, granted := int64(0), grantedOf(t, log, b.Organisation)
		for _, allocator := range allocators {
			h, _ := allocator.Holding(b.Organisation)
			held += h.Free + h.Reserved + h.Totals.Used
		}
		if held != granted {
			t.Errorf("org%d: %d tokens granted, and hosts have or used %d", i, granted, held)
		}
	}
}

// grantedOf reads what the log says was granted of a budget.
func grantedOf(t *testing.T, log *memlog.Log, organisation string) int64 {
	for partition := range 4 {
		if record, ok := log.Get(eventlog.Partition{Topic: "b", Number: partition}, organisation); ok {
			var account struct{ Granted int64 }
			if err := json.Unmarshal(record.Value, &account); err != nil {
				t.Fatal(err)
			}
			return account.Granted
		}
	}
	return 0
}
