package standstill

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A call that was cancelled while the process was stalled is seen as cancelled; without a stall
// calls don't wait.
func TestSettleWaitsOnlyAfterStall(t *testing.T) {
	is := is.New(t)
	w := New()
	w.recordTick()
	began := time.Now()
	is.NoErr(w.Settle(context.Background()))
	is.True(time.Since(began) < settleTime/2)

	w.start = w.start.Add(-time.Second) // a second without a tick
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(settleTime/5, cancel)
	is.True(errors.Is(w.Settle(ctx), context.Canceled))

	w.recordTick()
	began = time.Now()
	is.NoErr(w.Settle(context.Background()))
	is.True(time.Since(began) >= settleTime/2) // the stall has just ended
}
