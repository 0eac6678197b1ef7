package standstill

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A call that was cancelled while the process stood still is seen as cancelled, and one that comes
// otherwise does not wait.
func TestSettleAfterAStandstill(t *testing.T) {
	is := is.New(t)
	w := New()
	w.look()
	began := time.Now()
	is.NoErr(w.Settle(context.Background()))
	is.True(time.Since(began) < settle/2)

	w.start = w.start.Add(-time.Second) // a second without a tick
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(settle/5, cancel)
	is.True(errors.Is(w.Settle(ctx), context.Canceled))

	w.look()
	began = time.Now()
	is.NoErr(w.Settle(context.Background()))
	is.True(time.Since(began) >= settle/2) // it woke a moment ago
}
