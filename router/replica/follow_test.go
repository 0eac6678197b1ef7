package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

// run runs a replica until stop is called.
func run(t *testing.T, r *Replica) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// largeFleet is a number of hosts at which retries at the log are seconds apart.
const largeFleet = 2000

// Guards against a fleet whose hosts all fall back on the log, which can't bear that, when their readers fail.
func TestFollowerNeverCallsTheLog(t *testing.T) {
	record := eventlog.Record{Key: "k", Value: []byte("v"), Position: at(7)}
	for name, response := range map[string]struct {
		update Update
		err    error
	}{
		"no reader":           {err: ErrNoReader},
		"wrapped":             {err: fmt.Errorf("%w: silent", ErrNoReader)},
		"another error":       {err: errors.New("decoding failed")},
		"refused":             {err: eventlog.ErrRefused},
		"trimmed":             {err: eventlog.ErrTrimmed},
		"era error":           {err: &eventlog.EraError{Era: 3}},
		"nothing":             {},
		"changes":             {update: Update{Records: []eventlog.Record{record}, End: at(8)}},
		"the whole partition": {update: Update{Records: []eventlog.Record{record}, End: at(8), Full: true}},
		"a later era":         {update: Update{End: eventlog.Position{Era: 2, Offset: 1}}},
		"a later era, whole":  {update: Update{End: eventlog.Position{Era: 2, Offset: 1}, Full: true}},
		"very old":            {update: Update{End: at(8), Age: time.Hour}},
	} {
		for _, state := range []string{"empty", "loaded", "behind"} {
			t.Run(name+", "+state, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					l := memlog.New()
					l.Put(partition, "k", []byte("v"))
					asked := 0
					r := New(Options{
						Log: l.Host("h"), Partition: partition, LongPoll: time.Second, ReadTimeout: time.Second, MinInterval: 100 * time.Millisecond,
						Hosts: func() int { return largeFleet },
						Relay: func(context.Context, eventlog.Position) (Update, bool) {
							t.Error("a follower asked a relay")
							return Update{}, false
						},
						Follow: func(context.Context, eventlog.Position) (Update, bool, error) {
							asked++
							return response.update, true, response.err
						},
					})
					if state != "empty" {
						r.Merge(nil, at(1), at(0))
					}
					r.setBehind(state == "behind")
					stop := run(t, r)
					time.Sleep(time.Minute)
					stop()
					_, reads := l.Calls()
					is.Equal(reads, 0)
					is.True(asked > 10)
				})
			})
		}
	}
}

// Guards against a follower that asks for the next reader only seconds after one failed, since retries at the log are
// that far apart in a large fleet.
func TestFollowerRetriesSoonInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Options{Hosts: func() int { return largeFleet }})
		is.Equal(r.backoffLimit(fmt.Errorf("%w: silent", ErrNoReader)), maxBackoff)
		is.True(r.backoffLimit(eventlog.ErrRefused) > maxBackoff)

		l := memlog.New()
		l.SetFault("h", memlog.Fault{Refuse: true})
		var following atomic.Bool
		var asked []time.Time
		r = New(Options{
			Log: l.Host("h"), Partition: partition, LongPoll: time.Second, ReadTimeout: time.Second,
			Hosts: func() int { return largeFleet },
			Follow: func(context.Context, eventlog.Position) (Update, bool, error) {
				if !following.Load() {
					return Update{}, false, nil
				}
				asked = append(asked, time.Now())
				return Update{}, true, ErrNoReader
			},
		})
		stop := run(t, r)
		time.Sleep(time.Minute) // the pauses after refused calls have grown
		following.Store(true)
		time.Sleep(time.Minute)
		stop()
		is.True(len(asked) > 60)
		for i := range asked[1:] {
			is.True(asked[i+1].Sub(asked[i]) <= maxBackoff*3/2) // with jitter
		}
	})
}

// Guards against a host that stays without the log's records after it became a reader.
func TestReadsTheLogOnceItDoesNotFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := memlog.New()
		l.Put(partition, "k", []byte("1"))
		var following atomic.Bool
		following.Store(true)
		var from eventlog.Position
		r := New(Options{
			Log: l.Host("h"), Partition: partition, LongPoll: time.Second, ReadTimeout: time.Second, MinInterval: 100 * time.Millisecond,
			Follow: func(_ context.Context, position eventlog.Position) (Update, bool, error) {
				if !following.Load() {
					return Update{}, false, nil
				}
				from = position
				return Update{Records: []eventlog.Record{{Key: "k", Value: []byte("1")}}, End: at(1)}, true, nil
			},
		})
		stop := run(t, r)
		defer stop()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(from, at(1))
		_, reads := l.Calls()
		is.Equal(reads, 0)

		following.Store(false)
		l.Put(partition, "k", []byte("2"))
		time.Sleep(2 * time.Second)
		is.Equal(r.End(), at(2))
		_, reads = l.Calls()
		is.True(reads > 0)

		following.Store(true)
		time.Sleep(2 * time.Second)
		_, before := l.Calls()
		time.Sleep(10 * time.Second)
		_, after := l.Calls()
		is.Equal(after, before)
	})
}
