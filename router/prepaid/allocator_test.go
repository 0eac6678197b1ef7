package prepaid

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

func TestBudgetIsSpentExactly(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc, _ := h.start("h1", nil)
	alloc.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(alloc, "org", 10, 200), int64(1000))
	_, err := alloc.Reserve(context.Background(), "org", 10)
	is.True(errors.Is(err, ErrExhausted))
	_, err = alloc.Reserve(context.Background(), "org", 1001)
	is.True(errors.Is(err, ErrTooLarge))
}

func TestOrganisationWithoutBudgetHasNoLimit(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc, _ := h.start("h1", nil)
	r, err := alloc.Reserve(context.Background(), "free", 1e9)
	is.NoErr(err)
	is.True(r.Extend(1e9))
	r.Settle(1e9)
}

func TestSettleReleasesUnusedTokens(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc, _ := h.start("h1", nil)
	alloc.Configure(1, []Budget{{"org", 1000}}, true)
	for range 50 {
		r, err := alloc.Reserve(context.Background(), "org", 400)
		is.NoErr(err)
		r.Settle(10)
		r.Settle(400) // settling again has no effect
	}
	got, _ := alloc.Holding("org")
	is.Equal(got.Reserved, int64(0))
}

func TestTopUpIsSpendable(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc, _ := h.start("h1", nil)
	alloc.Configure(1, []Budget{{"org", 100}}, true)
	is.Equal(spend(alloc, "org", 10, 50), int64(100))
	alloc.Configure(2, []Budget{{"org", 150}}, false)
	is.Equal(spend(alloc, "org", 10, 50), int64(50))
}

// A limit lowered below what hosts hold stops all of them, also one that has not received the new
// configuration but reads the log.
func TestLoweredLimitStopsAllHosts(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 2)
	a, _ := h.start("a", nil)
	b, _ := h.start("b", nil)
	for _, alloc := range []*Allocator{a, b} {
		alloc.Configure(1, []Budget{{"org", 1000}}, true)
	}
	spent := spend(a, "org", 10, 30) + spend(b, "org", 10, 30)
	is.Equal(spent, int64(600))
	a.Configure(2, []Budget{{"org", 700}}, false)
	until.True(t, "the lowered limit is in the log", func() bool { return h.account(a, "org").Version == 2 })
	// b still knows the old limit, but the account shows it the new one.
	spent += spend(a, "org", 10, 100)
	b.Configure(2, []Budget{{"org", 700}}, false)
	spent += spend(b, "org", 10, 100)
	is.True(spent <= 700)
}

// A host that received a lower limit spends nothing until it has seen the account under it.
func TestLoweredLimitBlocksSpendingWithoutLog(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc, _ := h.start("h1", nil)
	alloc.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(alloc, "org", 10, 1), int64(10))
	until.True(t, "a slice", func() bool { got, _ := alloc.Holding("org"); return got.Free > 100 })
	h.log.SetFault("", memlog.Fault{Silent: true})
	alloc.Configure(2, []Budget{{"org", 900}}, false)
	_, err := alloc.Reserve(context.Background(), "org", 10)
	is.True(errors.Is(err, ErrExhausted))
	h.log.SetFault("", memlog.Fault{})
	until.True(t, "spending resumes", func() bool { return spend(alloc, "org", 10, 1) == 10 })
}

func TestSpendingContinuesWithoutLog(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	alloc, _ := h.start("h1", nil)
	alloc.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(alloc, "org", 10, 1), int64(10))
	until.True(t, "a slice", func() bool { got, _ := alloc.Holding("org"); return got.Free >= 100 })
	h.log.SetFault("", memlog.Fault{Silent: true})
	is.True(spend(alloc, "org", 10, 10) == 100)
}

// What a host held when it was killed counts as spent.
func TestKilledHostLosesItsAllocation(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 2)
	a, kill := h.start("a/1", nil)
	a.Configure(1, []Budget{{"org", 1000}}, true)
	spent := spend(a, "org", 10, 5)
	kill()
	again, _ := h.start("a/2", nil)
	again.Configure(1, []Budget{{"org", 1000}}, true)
	spent += spend(again, "org", 10, 500)
	is.True(spent <= 1000)
	is.True(spent > 500) // the rest of the budget is not lost
}

func TestPlannedStopReturnsFreeTokens(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 1)
	a, stop := h.start("a/1", nil)
	a.Configure(1, []Budget{{"org", 1000}}, true)
	spent := spend(a, "org", 10, 5)
	is.NoErr(a.Close(context.Background()))
	stop()
	is.Equal(h.account(a, "org").Granted, spent)
	again, _ := h.start("a/2", nil)
	again.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spent+spend(again, "org", 10, 500), int64(1000))
}

// Guards against a reservation of a negative number of tokens, which would add them to the budget.
func TestNegativeReservationIsRefused(t *testing.T) {
	is := is.New(t)
	alloc := New(Options{Partitions: 1, Hosts: func() int { return 1 }})
	alloc.Configure(1, []Budget{{Organisation: "o", Limit: 100}}, false)
	got, err := alloc.Reserve(context.Background(), "o", -50)
	is.True(got == nil && errors.Is(err, ErrTooLarge))
	held, _ := alloc.Holding("o")
	is.Equal(held.Free, int64(0))
}
