package patience

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// testLimits have a call count as silent after a second.
var testLimits = Limits{First: time.Second, Silence: time.Second, Most: time.Minute}

// testGrace is how much longer the calls of these tests are taken.
const testGrace = 3 * time.Second

// awaited is a call of Await.
type awaited struct {
	result int
	err    error
	took   time.Duration
	late   []int
	ended  error // of the call's context, when the call returned
}

// await makes a call that returns 7 after a time, unless its context ends before.
func await(ctx context.Context, after time.Duration) *awaited {
	began, a := time.Now(), &awaited{}
	a.result, a.err = Await(ctx, testLimits, testGrace, func(ctx context.Context) (int, error) {
		select {
		case <-time.After(after):
			return 7, nil
		case <-ctx.Done():
			a.ended = context.Cause(ctx)
			return 0, ctx.Err()
		}
	}, func(result int) { a.late = append(a.late, result) })
	a.took = time.Since(began)
	return a
}

// Guards against a late response that is lost, or that is told as late though its caller has it.
func TestLateResultIsTaken(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration
		result int
		err    error
		took   time.Duration
		late   int
	}{
		"in time":     {after: 900 * time.Millisecond, result: 7, took: 900 * time.Millisecond},
		"late":        {after: 2500 * time.Millisecond, err: ErrSilent, took: time.Second, late: 1},
		"almost lost": {after: 3900 * time.Millisecond, err: ErrSilent, took: time.Second, late: 1},
		"too late":    {after: 4100 * time.Millisecond, err: ErrSilent, took: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := await(t.Context(), c.after)
				time.Sleep(time.Minute)
				is.Equal(a.result, c.result)
				is.Equal(a.err, c.err)
				is.Equal(a.took, c.took)
				is.Equal(len(a.late), c.late)
			})
		})
	}
}

// Guards against a call that goes on though nobody wants its result any more.
func TestCallEndsWithItsContextAndItsLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, cancel)
		a := await(ctx, time.Hour)
		is.True(errors.Is(a.err, context.Canceled))
		is.Equal(a.took, 500*time.Millisecond)

		life, end := context.WithCancel(t.Context())
		step, endStep := context.WithCancel(WithLife(life))
		a = await(step, 3*time.Second)
		is.Equal(a.err, ErrSilent)
		endStep() // the call goes on
		time.Sleep(time.Second)
		is.True(a.ended == nil)
		end()
		time.Sleep(time.Hour)
		is.True(errors.Is(a.ended, context.Canceled))
		is.Equal(len(a.late), 0)
	})
}
