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

// A gift that comes twice counts once; one that was refused stays refused.
func TestGiftCountsOnce(t *testing.T) {
	is := is.New(t)
	tr := New(Options{Partitions: 1, Hosts: func() int { return 1 }})
	gift := Transfer{ID: "a/1", Organisation: "o", Tokens: 50}
	is.True(!tr.Credit(gift)) // the budget is not known
	tr.Configure(1, []Budget{{Organisation: "o", Limit: 100}}, false)
	is.True(!tr.Credit(gift))
	gift.ID = "a/2"
	is.True(tr.Credit(gift))
	is.True(tr.Credit(gift))
	held, _ := tr.Holding("o")
	is.Equal(held.Free, int64(50))
}

// A host that takes gifts and never answers holds up neither the gifts of other budgets
// of a host that stops, nor what a living one does with its budgets.
func TestSilentTakerHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	tr := New(Options{Partitions: 1, Hosts: func() int { return 1 }})
	var budgets []Budget
	for i := range 20 {
		budgets = append(budgets, Budget{Organisation: fmt.Sprint("o", i), Limit: 100})
	}
	tr.Configure(1, budgets, false)
	for _, b := range budgets {
		is.True(tr.Credit(Transfer{ID: b.Organisation, Organisation: b.Organisation, Tokens: 50}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var given atomic.Int64
	tr.TransferAll(ctx, func(ctx context.Context, organisation string, tokens int64) bool {
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

func TestSilentKeeperDoesNotHoldUpBudgets(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 20)
	asked := make(chan struct{}, 1)
	tr, _ := h.startWith(Options{
		Log: h.log.Host("b"), Topic: "b", Partitions: 1, Host: "b", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 200 * time.Millisecond,
		Hosts:   func() int { return 20 },
		Keepers: func(organisation string) (int, bool) { return 1, organisation == "kept" },
		TransferIdle: func(ctx context.Context, _ string, _ int64) bool {
			asked <- struct{}{}
			<-ctx.Done() // the keeper never answers
			return false
		},
	})
	tr.Configure(1, []Budget{{"kept", 1000}, {"idle", 1000}}, true)
	is.True(tr.Credit(Transfer{ID: "a/1", Organisation: "idle", Tokens: 50}))
	<-asked
	until.True(t, "a request for another budget of the same partition gets a slice", func() bool {
		got, err := tr.Reserve(context.Background(), "kept", 10)
		return err == nil && got != nil
	})
}

// A host that gives idle tokens away tells what it has left before they are on their way: if it ends
// then, the lines of all hosts would show the same tokens twice, here and where they went.
func TestGiftIsToldBeforeItIsOnItsWay(t *testing.T) {
	is := is.New(t)
	told := make(chan Holding, 1)
	given := make(chan int64, 1)
	tr := New(Options{
		Partitions: 1, Hosts: func() int { return 20 }, Keepers: func(string) (int, bool) { return 1, false },
		BeforeTransfer: func(h Holding) { told <- h },
		TransferIdle: func(_ context.Context, _ string, tokens int64) bool {
			is.Equal(len(told), 1)
			given <- tokens
			return true
		},
	})
	tr.Configure(1, []Budget{{"org", 1000}}, true)
	w := tr.wallets["org"]
	w.account, w.known, w.free = Account{Granted: 16, Limit: 1000, Version: 1}, true, 16
	w.flows.Borrowed = 16
	tr.giveIdle(t.Context(), tr.clerks[0])
	is.Equal(<-given, int64(16))
	h := <-told
	is.Equal(h.Free, int64(0))
	is.Equal(h.Totals.Given, int64(16))
}

// A host that got tokens of a stopping one while the log is away keeps all of them: it gave what it
// did not need back to the log, where they were out of use until that was up again.
func TestNothingIsGivenBackToALogThatIsAway(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 2)
	var up atomic.Bool
	up.Store(true)
	tr, _ := h.startWith(Options{
		Log: h.log.Host("b"), Topic: "b", Partitions: 1, Host: "b", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 100 * time.Millisecond,
		Hosts: func() int { return 2 }, LogAvailable: up.Load,
	})
	tr.Configure(1, []Budget{{"org", 100000}}, true)
	free := func() int64 {
		held, _ := tr.Holding("org")
		return held.Free
	}
	until.True(t, "it holds a slice", func() bool { return free() > 0 })
	time.Sleep(100 * time.Millisecond) // what is under way ends
	h.log.SetFault("", memlog.Fault{Silent: true})
	up.Store(false)
	all := free() + 50000
	is.True(tr.Credit(Transfer{ID: "a/1", Organisation: "org", Tokens: 50000}))
	time.Sleep(300 * time.Millisecond)
	is.Equal(free(), all)
	h.log.SetFault("", memlog.Fault{})
	up.Store(true)
	until.True(t, "the rest goes back", func() bool { return free() < all })
}
