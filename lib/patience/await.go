package patience

import (
	"context"
	"sync"
	"time"
)

// lifeKey is the key of a context's life: the context that bounds calls which go on after Await has returned.
type lifeKey struct{}

// WithLife returns a context derived from ctx. Calls of Await with that context, or one derived from it, go on no longer
// than ctx.
func WithLife(ctx context.Context) context.Context { return context.WithValue(ctx, lifeKey{}, ctx) }

// Await runs call and returns what it returned, or ErrSilent once no data has arrived for as long as the limits say. Then
// call goes on, so that a response that is only slow is not lost: late gets its result if it succeeds before it has been
// silent for grace longer. If ctx ends before Await returns, or its life (WithLife) at any time, call is cancelled.
func Await[T any](ctx context.Context, l Limits, grace time.Duration, call func(context.Context) (T, error), late func(T)) (T, error) {
	life, ok := ctx.Value(lifeKey{}).(context.Context)
	if !ok {
		life = context.WithoutCancel(ctx)
	}
	detached, cancel := New(life, Limits{First: l.First + grace, Silence: l.Silence + grace, Most: l.Most})
	stopCancel := context.AfterFunc(ctx, cancel)
	silent := make(chan struct{}, 1)
	notice := detached.Value(contextKey{}).(*idleTimer).notify(l, silent)
	type outcome struct {
		result T
		err    error
	}
	var (
		mu     sync.Mutex // held while it is decided whether the result is late
		isLate bool
		done   = make(chan outcome, 1)
		none   T
	)
	go func() {
		defer cancel()
		defer notice.Stop()
		result, err := call(detached)
		mu.Lock()
		defer mu.Unlock()
		done <- outcome{result, err}
		if isLate && err == nil {
			late(result)
		}
	}()
	select {
	case o := <-done:
		stopCancel()
		return o.result, o.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-silent:
	}
	mu.Lock()
	defer mu.Unlock()
	select {
	case o := <-done:
		stopCancel()
		return o.result, o.err
	default:
		isLate = stopCancel()
		return none, ErrSilent
	}
}
