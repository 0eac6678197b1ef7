package prepaid

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/until"
)

// startAlone starts an Allocator of a host that doesn't know the size of its fleet yet, so that it is no keeper, and
// whose transfers of idle tokens get no response.
func startAlone(h *hostGroup) *Allocator {
	alloc, _ := h.startWith(Options{
		Log: h.log.Host("a"), Topic: "b", Partitions: 1, Host: "a", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 500 * time.Millisecond,
		Hosts: func() int { return 1 }, Keepers: func(string) (int, bool) { return 1, false },
		TransferIdle: func(context.Context, string, int64) TransferResult { return TransferUncertain },
	})
	return alloc
}

// Guards against a host that starts alone and loses the tokens that it takes for waiting requests, since it has
// admitted no request yet and gives them away as idle.
func TestTokensTakenForFirstRequestsAreNotIdle(t *testing.T) {
	is := is.New(t)
	const organisations, limit, tokens = 20, 10000, 1000
	h := newHostGroup(t, 1)
	alloc := startAlone(h)
	var budgets []Budget
	for i := range organisations {
		budgets = append(budgets, Budget{fmt.Sprint("o", i), limit})
	}
	alloc.Configure(1, budgets, false)
	admitted := make(chan error, organisations)
	for _, b := range budgets {
		go func() {
			got, err := alloc.Reserve(t.Context(), b.Organisation, tokens)
			if err == nil {
				got.Settle(tokens)
			}
			admitted <- err
		}()
	}
	for range organisations {
		is.NoErr(<-admitted)
	}
	for _, b := range budgets {
		is.Equal(h.account(alloc, b.Organisation).Granted, int64(tokens))
	}
}

// Guards against tokens that are lost since they came after the request that waited for them had given up, so that no
// request was waiting for them any more.
func TestTokensThatCameTooLateAreNotIdle(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc := New(Options{
		Log: h.log.Host("a"), Topic: "b", Partitions: 1, Host: "a", Sizing: DefaultSizing, Timeout: time.Second,
		Hosts: func() int { return 1 }, Keepers: func(string) (int, bool) { return 1, false },
		TransferIdle: func(context.Context, string, int64) TransferResult { return TransferUncertain },
	})
	alloc.Configure(1, []Budget{{"o", 10000}}, false)
	got, err := alloc.tryReserve("o", 1000)
	is.True(got == nil && err == nil)
	alloc.addWaiter("o", 1000)
	is.NoErr(alloc.writers[0].round(t.Context()))
	alloc.removeWaiter("o", 1000)
	is.Equal(len(alloc.debitIdle(alloc.writers[0], time.Now())), 0)
	is.NoErr(alloc.writers[0].round(t.Context()))
	held, _ := alloc.Holding("o")
	is.Equal(held.Free, int64(1000))
	is.Equal(len(alloc.debitIdle(alloc.writers[0], time.Now().Add(idlePeriod))), 1) // they are if nobody needs them
}

// Guards against tokens that are taken twice for a request, as it still counts as waiting once it has them.
func TestNothingIsTakenForARequestThatHasItsTokens(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc := New(Options{
		Log: h.log.Host("a"), Topic: "b", Partitions: 1, Host: "a", Sizing: DefaultSizing, Timeout: time.Second,
		Hosts: func() int { return 1 }, Keepers: func(string) (int, bool) { return 1, false },
	})
	alloc.Configure(1, []Budget{{"o", 10000}}, false)
	alloc.addWaiter("o", 1000)
	is.NoErr(alloc.writers[0].round(t.Context()))
	got, err := alloc.tryReserveWaiting("o", 1000)
	is.True(got != nil && err == nil)
	is.NoErr(alloc.writers[0].round(t.Context()))
	is.Equal(h.account(alloc, "o").Granted, int64(1000))
}

// Guards against borrowed tokens that are given away before the request for which they were borrowed is admitted.
func TestBorrowedTokensAreNotIdle(t *testing.T) {
	is := is.New(t)
	alloc := New(Options{Partitions: 1, Hosts: func() int { return 20 }, Keepers: func(string) (int, bool) { return 1, false }})
	alloc.Configure(1, []Budget{{"o", 10000}}, false)
	alloc.acceptLoan("o", 1000, Loan{Tokens: 1000})
	is.Equal(len(alloc.debitIdle(alloc.writers[0], time.Now())), 0)
}

// Guards against idle tokens that are lost because no host was there to accept them.
func TestDeclinedTransferIsUndone(t *testing.T) {
	is := is.New(t)
	given := make(chan int64, 1)
	alloc := New(Options{
		Partitions: 1, Hosts: func() int { return 1 }, Keepers: func(string) (int, bool) { return 1, false },
		TransferIdle: func(_ context.Context, _ string, tokens int64) TransferResult {
			given <- tokens
			return TransferDeclined
		},
	})
	alloc.Configure(1, []Budget{{"o", 10000}}, false)
	al := alloc.allocations["o"]
	al.account, al.known, al.free = Account{Granted: 1000, Limit: 10000, Version: 1}, true, 1000
	al.totals.Taken = 1000
	alloc.transferIdle(t.Context(), alloc.writers[0])
	is.Equal(<-given, int64(1000))
	until.True(t, "the tokens are back", func() bool { held, _ := alloc.Holding("o"); return held.Free == 1000 })
	held, _ := alloc.Holding("o")
	is.Equal(held.Totals.Given, int64(0))
	is.Equal(len(alloc.debitIdle(alloc.writers[0], time.Now())), 0) // not offered again at once
}

// Guards against a host that is no keeper and lends what it has just taken for a request that waits there.
func TestTokensOfAWaitingRequestAreNotLent(t *testing.T) {
	is := is.New(t)
	alloc := New(Options{Partitions: 1, Hosts: func() int { return 20 }, Keepers: func(string) (int, bool) { return 1, false }})
	alloc.Configure(1, []Budget{{"o", 10000}}, false)
	is.True(alloc.Credit(Transfer{ID: "1", Organisation: "o", Tokens: 1000}))
	ask := LoanRequest{ID: "a", Organisation: "o", Tokens: 500, FreeOnly: true, AllowPartial: true}
	alloc.addWaiter("o", 1000)
	is.Equal(alloc.Lend(t.Context(), ask).Tokens, int64(0))
	is.True(!alloc.AnswerSurvey(Survey{Organisation: "o", Tokens: 500}).Lends)
	alloc.removeWaiter("o", 1000)
	ask.ID = "b"
	is.Equal(alloc.Lend(t.Context(), ask).Tokens, int64(500))
}
