package prepaid

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

func TestSpendsTheBudgetAndNoMore(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
	tr, _ := h.start("h1", nil)
	tr.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(tr, "org", 10, 200), int64(1000))
	_, err := tr.Reserve(context.Background(), "org", 10)
	is.True(errors.Is(err, ErrExhausted))
	_, err = tr.Reserve(context.Background(), "org", 1001)
	is.True(errors.Is(err, ErrTooLarge))
}

func TestOrganisationWithoutBudgetHasNoLimit(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
	tr, _ := h.start("h1", nil)
	r, err := tr.Reserve(context.Background(), "free", 1e9)
	is.NoErr(err)
	is.True(r.Extend(1e9))
	r.Settle(1e9)
}

func TestSettleGivesTheRestBack(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
	tr, _ := h.start("h1", nil)
	tr.Configure(1, []Budget{{"org", 1000}}, true)
	for range 50 {
		r, err := tr.Reserve(context.Background(), "org", 400)
		is.NoErr(err)
		r.Settle(10)
		r.Settle(400) // a second time changes nothing
	}
	got, _ := tr.Holding("org")
	is.Equal(got.Reserved, int64(0))
}

func TestTopUp(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
	tr, _ := h.start("h1", nil)
	tr.Configure(1, []Budget{{"org", 100}}, true)
	is.Equal(spend(tr, "org", 10, 50), int64(100))
	tr.Configure(2, []Budget{{"org", 150}}, false)
	is.Equal(spend(tr, "org", 10, 50), int64(50))
}

// A limit that is lowered below what hosts hold stops all of them, also one that
// has not heard of it but asks the log.
func TestLoweredLimit(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 2)
	a, _ := h.start("a", nil)
	b, _ := h.start("b", nil)
	for _, tr := range []*Allocator{a, b} {
		tr.Configure(1, []Budget{{"org", 1000}}, true)
	}
	spent := spend(a, "org", 10, 30) + spend(b, "org", 10, 30)
	is.Equal(spent, int64(600))
	a.Configure(2, []Budget{{"org", 700}}, false)
	until.True(t, "the lowering is in the log", func() bool { return h.account(a, "org").Version == 2 })
	// b still knows the old limit, but the account tells it the new one.
	spent += spend(a, "org", 10, 100)
	b.Configure(2, []Budget{{"org", 700}}, false)
	spent += spend(b, "org", 10, 100)
	is.True(spent <= 700)
}

// A host that was told of a lower limit spends nothing until it has seen the
// account under it.
func TestLoweredLimitWithoutTheLog(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
	tr, _ := h.start("h1", nil)
	tr.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(tr, "org", 10, 1), int64(10))
	until.True(t, "a slice", func() bool { got, _ := tr.Holding("org"); return got.Free > 100 })
	h.log.SetFault("", memlog.Fault{Silent: true})
	tr.Configure(2, []Budget{{"org", 900}}, false)
	_, err := tr.Reserve(context.Background(), "org", 10)
	is.True(errors.Is(err, ErrExhausted))
	h.log.SetFault("", memlog.Fault{})
	until.True(t, "it goes on", func() bool { return spend(tr, "org", 10, 1) == 10 })
}

func TestGoesOnWithoutTheLog(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
	tr, _ := h.start("h1", nil)
	tr.Configure(1, []Budget{{"org", 1000}}, true)
	is.Equal(spend(tr, "org", 10, 1), int64(10))
	until.True(t, "a slice", func() bool { got, _ := tr.Holding("org"); return got.Free >= 100 })
	h.log.SetFault("", memlog.Fault{Silent: true})
	is.True(spend(tr, "org", 10, 10) == 100)
}

// Whatever a host held when it was killed counts as spent.
func TestKilledHostStrandsItsSlice(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 2)
	a, kill := h.start("a/1", nil)
	a.Configure(1, []Budget{{"org", 1000}}, true)
	spent := spend(a, "org", 10, 5)
	kill()
	again, _ := h.start("a/2", nil)
	again.Configure(1, []Budget{{"org", 1000}}, true)
	spent += spend(again, "org", 10, 500)
	is.True(spent <= 1000)
	is.True(spent > 500) // the rest of the budget is not lost with it
}

func TestPlannedStopGivesBack(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 1)
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
