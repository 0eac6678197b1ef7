package prepaid

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/memlog"
)

// Pattern: a thousand hosts, each of which keeps a third of a budget's account on average and looks
// at the accounts of 333 budgets. Where this host keeps none and nobody asks, it makes no call, also
// when limits are lowered; the first request for a budget brings one.
func TestAccountsThatNobodyNeedsCostNoCalls(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	tr := New(Options{
		Log: l.Host("h"), Topic: "t", Partitions: 24, Host: "h", Timeout: time.Second, Interval: 10 * time.Millisecond,
		Wait: 50 * time.Millisecond, Hosts: func() int { return 20 }, Keepers: func(string) (int, bool) { return 1, false },
	})
	budgets := func(limit int64) (list []Budget) {
		for i := range 333 {
			list = append(list, Budget{Organisation: fmt.Sprint("o", i), Limit: limit})
		}
		return list
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tr.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	tr.Configure(1, budgets(1000), true)
	tr.Configure(2, budgets(500), false)
	time.Sleep(300 * time.Millisecond)
	appends, reads := l.Calls()
	is.Equal(appends+reads, 0)

	got, err := tr.Reserve(ctx, "o7", 10)
	is.NoErr(err)
	is.True(got != nil)
	appends, reads = l.Calls()
	is.True(appends > 0 && reads > 0)
	is.True(appends+reads < 10)
	got.Settle(10)
}

// The longest pause after a failed call grows with the fleet.
func TestRetriesOfALargeFleet(t *testing.T) {
	is := is.New(t)
	pause := func(hosts int) time.Duration {
		return newClerk(New(Options{Partitions: 1, Hosts: func() int { return hosts }}), 0).mostRetry()
	}
	is.Equal(pause(8), maxRetry)
	is.Equal(pause(90), maxRetry)
	is.Equal(pause(1000), 8*time.Second)
}
