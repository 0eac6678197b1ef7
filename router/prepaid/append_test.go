package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

// Lost responses of the log and appends that take effect late must not lead to overspending.
func TestUncertainAppendsDoNotOverspend(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{
		"response lost": {Lose: true}, "done late": {Late: 60 * time.Millisecond}, "refused": {Refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHostGroup(t, 2)
			a, _ := h.start("a", nil)
			b, _ := h.start("b", nil)
			for _, alloc := range []*Allocator{a, b} {
				alloc.Configure(1, []Budget{{"org", 1000}}, true)
			}
			spent := spend(a, "org", 10, 10) + spend(b, "org", 10, 10)
			h.log.SetFault("a", fault)
			for range 20 {
				spent += spend(a, "org", 10, 1) + spend(b, "org", 10, 1)
			}
			h.log.SetFault("a", memlog.Fault{})
			until.True(t, "both have spent it all", func() bool {
				n := spend(a, "org", 10, 100) + spend(b, "org", 10, 100)
				spent += n
				return n == 0 && spent >= 950
			})
			is.True(spent <= 1000)
		})
	}
}

// Records are trimmed before the outcome of an append is known. The tokens it took are lost, never
// counted twice.
func TestTrimmedAppendIsNotCountedTwice(t *testing.T) {
	is := is.New(t)
	h := newHostGroup(t, 2)
	a, _ := h.start("a", nil)
	b, _ := h.start("b", nil)
	for _, alloc := range []*Allocator{a, b} {
		alloc.Configure(1, []Budget{{"org", 1000}}, true)
	}
	spent := int64(0)
	for range 10 {
		h.log.SetFault("a", memlog.Fault{Lose: true})
		spent += spend(a, "org", 10, 2) + spend(b, "org", 10, 2)
		for i := range 2 {
			h.log.Trim(eventlog.Partition{Topic: "b", Number: i})
		}
		h.log.SetFault("a", memlog.Fault{})
		time.Sleep(20 * time.Millisecond)
	}
	for range 50 {
		spent += spend(a, "org", 10, 10) + spend(b, "org", 10, 10)
	}
	is.True(spent <= 1000)
}

// Tokens returned by an append without a response are not credited again, although the records that
// would show its outcome were trimmed.
func TestTrimmedReturnIsNotCreditedAgain(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	dropping := &droppingLog{Log: l.Host("a"), log: l}
	alloc := New(Options{
		Log: dropping, Topic: "b", Partitions: 1, Host: "a", Sizing: DefaultSizing, RetryDelay: time.Nanosecond,
		Timeout: time.Second, Hosts: func() int { return 1 },
	})
	alloc.Configure(1, []Budget{{"org", 1000}}, true)
	is.NoErr(alloc.writers[0].round(context.Background()))
	held, _ := alloc.Holding("org")
	is.True(held.Free > 0)

	dropping.drops = true
	alloc.closing = true // everything is returned
	is.NoErr(alloc.writers[0].round(context.Background()))
	held, _ = alloc.Holding("org")
	is.Equal(held.Granted, int64(0))
	is.Equal(held.Free, int64(0))
}

// droppingLog does appends, then trims their records and returns no response.
type droppingLog struct {
	eventlog.Log
	log   *memlog.Log
	drops bool
}

func (f *droppingLog) AppendAt(ctx context.Context, p eventlog.Partition, at eventlog.Position, records []eventlog.Record) (eventlog.Position, error) {
	end, err := f.Log.AppendAt(ctx, p, at, records)
	if !f.drops || err != nil {
		return end, err
	}
	f.log.Trim(p)
	return eventlog.Position{}, memlog.ErrNoResponse
}
