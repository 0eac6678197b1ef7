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

// Answers of the log that are lost, or whose effect comes late, change nothing.
func TestUncertainAppends(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{
		"answer lost": {Lose: true}, "done late": {Late: 60 * time.Millisecond}, "refused": {Refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHosts(t, 2)
			a, _ := h.start("a", nil)
			b, _ := h.start("b", nil)
			for _, tr := range []*Allocator{a, b} {
				tr.Configure(1, []Budget{{"org", 1000}}, true)
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

// Records that are gone before an append's fate is known: what it took is lost,
// never counted twice.
func TestTrimmedBeforeRead(t *testing.T) {
	is := is.New(t)
	h := newHosts(t, 2)
	a, _ := h.start("a", nil)
	b, _ := h.start("b", nil)
	for _, tr := range []*Allocator{a, b} {
		tr.Configure(1, []Budget{{"org", 1000}}, true)
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

// Tokens that were given back by an append without an answer are not credited again,
// though the records that would tell are gone.
func TestUnansweredReturnThatWasTrimmed(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	forgetful := &forgetfulLog{Log: l.Host("a"), log: l}
	tr := New(Options{
		Log: forgetful, Topic: "b", Partitions: 1, Host: "a", Sizing: DefaultSizing, RetryDelay: time.Nanosecond,
		Timeout: time.Second, Hosts: func() int { return 1 },
	})
	tr.Configure(1, []Budget{{"org", 1000}}, true)
	is.NoErr(tr.clerks[0].round(context.Background()))
	held, _ := tr.Holding("org")
	is.True(held.Free > 0)

	forgetful.forgets = true
	tr.closing = true // all is given back
	is.NoErr(tr.clerks[0].round(context.Background()))
	held, _ = tr.Holding("org")
	is.Equal(held.Granted, int64(0))
	is.Equal(held.Free, int64(0))
}

// forgetfulLog does appends, answers none and drops their records.
type forgetfulLog struct {
	eventlog.Log
	log     *memlog.Log
	forgets bool
}

func (f *forgetfulLog) AppendAt(ctx context.Context, p eventlog.Partition, at int64, records []eventlog.Record) (int64, error) {
	end, err := f.Log.AppendAt(ctx, p, at, records)
	if !f.forgets || err != nil {
		return end, err
	}
	f.log.Trim(p)
	return 0, memlog.ErrNoAnswer
}
