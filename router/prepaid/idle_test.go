package prepaid

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startAlone starts an Allocator of a host that doesn't know the size of its fleet yet, so that it is no keeper, and
// that has nobody to give idle tokens to.
func startAlone(h *hostGroup, partitions int) *Allocator {
	alloc, _ := h.startWith(Options{
		Log: h.log.Host("a"), Topic: "b", Partitions: partitions, Host: "a", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 500 * time.Millisecond,
		Hosts: func() int { return 1 }, Keepers: func(string) (int, bool) { return 1, false },
		TransferIdle: func(context.Context, string, int64) bool { return false },
	})
	return alloc
}

// Guards against a host that starts alone and loses the tokens that it takes for waiting requests, since it has
// admitted no request yet and gives them away as idle.
func TestTokensTakenForFirstRequestsAreNotIdle(t *testing.T) {
	is := is.New(t)
	const organisations, limit, tokens = 20, 10000, 1000
	h := newHostGroup(t, 1)
	alloc := startAlone(h, 1)
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
