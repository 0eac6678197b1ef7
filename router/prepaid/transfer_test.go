package prepaid

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

// A repeated transfer counts once; a rejected one stays rejected.
func TestRepeatedTransferCountsOnce(t *testing.T) {
	is := is.New(t)
	alloc := New(Options{Partitions: 1, Hosts: func() int { return 1 }})
	transfer := Transfer{ID: "a/1", Organisation: "o", Tokens: 50}
	is.True(!alloc.Credit(transfer)) // the budget is unknown
	alloc.Configure(1, []Budget{{Organisation: "o", Limit: 100}}, false)
	is.True(!alloc.Credit(transfer))
	transfer.ID = "a/2"
	is.True(alloc.Credit(transfer))
	is.True(alloc.Credit(transfer))
	held, _ := alloc.Holding("o")
	is.Equal(held.Free, int64(50))
}

// A receiver that never responds must not delay the transfers of other budgets when a host stops.
func TestSilentReceiverDoesNotDelayOtherTransfers(t *testing.T) {
	is := is.New(t)
	alloc := New(Options{Partitions: 1, Hosts: func() int { return 1 }})
	var budgets []Budget
	for i := range 20 {
		budgets = append(budgets, Budget{Organisation: fmt.Sprint("o", i), Limit: 100})
	}
	alloc.Configure(1, budgets, false)
	for _, b := range budgets {
		is.True(alloc.Credit(Transfer{ID: b.Organisation, Organisation: b.Organisation, Tokens: 50}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var given atomic.Int64
	alloc.TransferAll(ctx, func(ctx context.Context, organisation string, tokens int64) bool {
		if organisation == "o0" {
			<-ctx.Done()
		}
		if ctx.Err() != nil && organisation != "o0" {
			return false
		}
		given.Add(tokens)
		return true
	})
	is.Equal(given.Load(), int64(20*50))
}

func TestSilentKeeperDoesNotDelayOtherBudgets(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 20)
	asked := make(chan struct{}, 1)
	alloc, _ := h.startWith(Options{
		Log: h.log.Host("b"), Topic: "b", Partitions: 1, Host: "b", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 200 * time.Millisecond,
		Hosts:   func() int { return 20 },
		Keepers: func(organisation string) (int, bool) { return 1, organisation == "kept" },
		TransferIdle: func(ctx context.Context, _ string, _ int64) TransferResult {
			asked <- struct{}{}
			<-ctx.Done() // the keeper never responds
			return TransferUncertain
		},
	})
	alloc.Configure(1, []Budget{{"kept", 1000}, {"idle", 1000}}, true)
	is.True(alloc.Credit(Transfer{ID: "a/1", Organisation: "idle", Tokens: 50}))
	<-asked
	until.True(t, "a request for another budget of the same partition is admitted", func() bool {
		got, err := alloc.Reserve(context.Background(), "kept", 10)
		return err == nil && got != nil
	})
}

// A host reports what it has left before idle tokens are sent. Otherwise, if it exited during the
// transfer, the reports of all hosts would show the tokens twice: here and at the receiver.
func TestRemainderIsReportedBeforeTransfer(t *testing.T) {
	is := is.New(t)
	reported := make(chan Holding, 1)
	given := make(chan int64, 1)
	alloc := New(Options{
		Partitions: 1, Hosts: func() int { return 20 }, Keepers: func(string) (int, bool) { return 1, false },
		BeforeTransfer: func(h Holding) { reported <- h },
		TransferIdle: func(_ context.Context, _ string, tokens int64) TransferResult {
			is.Equal(len(reported), 1)
			given <- tokens
			return TransferAccepted
		},
	})
	alloc.Configure(1, []Budget{{"org", 1000}}, true)
	al := alloc.allocations["org"]
	al.account, al.known, al.free = Account{Granted: 16, Limit: 1000, Version: 1}, true, 16
	al.totals.Borrowed = 16
	alloc.transferIdle(t.Context(), alloc.writers[0])
	is.Equal(<-given, int64(16))
	h := <-reported
	is.Equal(h.Free, int64(0))
	is.Equal(h.Totals.Given, int64(16))
}

// A host that receives tokens from a stopping one while the log is unavailable keeps all of them.
// Returned tokens are debited before the append, so they would be unusable until the log responds
// again.
func TestNothingIsReturnedWhileLogIsUnavailable(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 2)
	var up atomic.Bool
	up.Store(true)
	alloc, _ := h.startWith(Options{
		Log: h.log.Host("b"), Topic: "b", Partitions: 1, Host: "b", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 100 * time.Millisecond,
		Hosts: func() int { return 2 }, LogAvailable: up.Load,
	})
	alloc.Configure(1, []Budget{{"org", 100000}}, true)
	free := func() int64 {
		held, _ := alloc.Holding("org")
		return held.Free
	}
	until.True(t, "it holds an allocation", func() bool { return free() > 0 })
	time.Sleep(100 * time.Millisecond) // appends in flight finish
	h.log.SetFault("", memlog.Fault{Silent: true})
	up.Store(false)
	all := free() + 50000
	is.True(alloc.Credit(Transfer{ID: "a/1", Organisation: "org", Tokens: 50000}))
	time.Sleep(300 * time.Millisecond)
	is.Equal(free(), all)
	h.log.SetFault("", memlog.Fault{})
	up.Store(true)
	until.True(t, "the excess is returned", func() bool { return free() < all })
}
