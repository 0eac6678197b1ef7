package memlog

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
)

var limited = eventlog.Partition{Topic: "t"}

// Guards against a simulated log that bears any number of calls.
func TestCallsBeyondTheLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		l := New()
		l.SetLimits(Limits{ReadsPerSecond: 3})
		a, b := l.Host("a"), l.Host("b")
		_, err := a.Newest(ctx, limited, "")
		is.NoErr(err)
		_, err = b.Read(ctx, limited, eventlog.Position{}, 0)
		is.NoErr(err)
		for range 10 { // a tenth of a call each
			_, err = a.Join(ctx, eventlog.Membership{Group: "g", Member: "a", TTL: ttl})
			is.NoErr(err)
		}
		_, err = b.Newest(ctx, limited, "")
		is.True(errors.Is(err, eventlog.ErrRefused))
		_, err = b.Read(ctx, limited, eventlog.Position{}, time.Minute)
		is.True(errors.Is(err, eventlog.ErrRefused))
		_, err = b.Owners(ctx, "g")
		is.True(errors.Is(err, eventlog.ErrRefused))
		is.Equal(l.TakeLoad(), Load{Reads: 15, Refused: 3})
		_, reads := l.Calls()
		is.Equal(reads, 15) // refused ones included

		time.Sleep(time.Second)
		_, err = b.Newest(ctx, limited, "")
		is.NoErr(err)
		is.Equal(l.TakeLoad(), Load{Reads: 1})
	})
}

// Guards against a host without access to the log that uses up what the others may call.
func TestCallsThatFailByAFaultDoNotCountTowardsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		l.SetLimits(Limits{ReadsPerSecond: 1})
		l.SetFault("cut", Fault{Refuse: true})
		for range 5 {
			_, err := l.Host("cut").Read(t.Context(), limited, eventlog.Position{}, 0)
			is.True(errors.Is(err, eventlog.ErrRefused))
		}
		_, err := l.Host("other").Read(t.Context(), limited, eventlog.Position{}, 0)
		is.NoErr(err)
		is.Equal(l.TakeLoad(), Load{Reads: 6})
	})
}

// Guards against a long poll that counts again when it finds a record.
func TestLongPollIsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		time.AfterFunc(time.Second, func() { l.Put(limited, "k", []byte("v")) })
		batch, err := l.Host("h").Read(t.Context(), limited, eventlog.Position{}, time.Minute)
		is.NoErr(err)
		is.Equal(len(batch.Records), 1)
		_, reads := l.Calls()
		is.Equal(reads, 1)
	})
}

// Guards against a simulated log that sends any number of large responses at once.
func TestResponsesAreSentOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		l.Put(limited, "k", make([]byte, 999)) // with its key, a second of the bandwidth
		l.SetLimits(Limits{ReadBandwidth: 1000})
		began := time.Now()
		took := make(chan time.Duration, 3)
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() {
				_, err := l.Host("h").Read(context.Background(), limited, eventlog.Position{}, 0)
				is.NoErr(err)
				took <- time.Since(began)
			})
		}
		all.Wait()
		for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			is.Equal(<-took, want)
		}
		is.Equal(l.TakeLoad(), Load{Reads: 3, Bytes: 3000})

		// A response that its caller gave up takes as long as if it had not.
		began = time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := l.Host("h").Newest(ctx, limited, "")
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = l.Host("h").Newest(t.Context(), limited, "")
		is.NoErr(err)
		is.Equal(time.Since(began), 2*time.Second)

		// The link is free again after a pause.
		time.Sleep(time.Minute)
		began = time.Now()
		_, err = l.Host("h").Newest(t.Context(), limited, "")
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second)
	})
}

// Guards against a simulated partition that takes any number of appends at once.
func TestAppendsOfAPartitionTakeTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const appendTime = 10 * time.Millisecond
		l := New()
		l.SetLimits(Limits{AppendTime: appendTime})
		records := []eventlog.Record{{Key: "k", Value: []byte("v")}}
		began := time.Now()
		queue := int(maxAppendQueue/appendTime) + 1 // the last one waits for maxAppendQueue
		took := make(chan time.Duration, queue)
		var all sync.WaitGroup
		for range queue {
			all.Go(func() {
				_, err := l.Host("h").Append(context.Background(), limited, records)
				is.NoErr(err)
				took <- time.Since(began)
			})
		}
		synctest.Wait()
		_, err := l.Host("h").Append(t.Context(), limited, records)
		is.True(errors.Is(err, eventlog.ErrRefused))
		_, err = l.Host("h").AppendAt(t.Context(), limited, eventlog.Position{}, records)
		is.True(errors.Is(err, eventlog.ErrRefused))
		_, err = l.Host("h").Append(t.Context(), eventlog.Partition{Topic: "t", Number: 1}, records)
		is.NoErr(err) // another partition has no queue
		is.Equal(time.Since(began), appendTime)
		all.Wait()
		for i := range queue {
			is.Equal(<-took, time.Duration(i+1)*appendTime)
		}
		rec, _ := l.Get(limited, "k")
		is.Equal(rec.Position.Offset, int64(queue-1)) // refused ones had no effect
	})
}

// Guards against a conditional append whose condition is checked before its turn, so that two with the same one succeed.
func TestConditionOfAnAppendIsCheckedInItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		l.SetLimits(Limits{AppendTime: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := l.Host("h").AppendAt(context.Background(), limited, eventlog.Position{}, []eventlog.Record{{Key: "k", Value: []byte("v")}})
				errs <- err
			}()
		}
		is.NoErr(<-errs)
		var conflict *eventlog.ConflictError
		is.True(errors.As(<-errs, &conflict))
		is.Equal(conflict.End, eventlog.Position{Offset: 1})
	})
}
