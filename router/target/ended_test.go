package target

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/until"
)

// endTarget is a registry with one target on a real backend.
func endTarget(t *testing.T) (*Registry, *Target, *backend.Backend) {
	t.Helper()
	b, err := backend.Start("t1", backend.Names{}, func(backend.Run) backend.Behaviour { return backend.Behaviour{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r := newRegistry(Entry{ID: "t1", Service: "s", Address: b.Address(), Domain: "z1", Slots: 4})
	return r, r.Choose(Requirements{Service: "s"}), b
}

func TestEndOfATargetIsSeen(t *testing.T) {
	is := is.New(t)
	r, target, b := endTarget(t)
	b.Close()
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() { is.True(r.ProbeExited(context.Background(), target)) })
	}
	all.Wait()
}

// Bytes that were on their way at the end are read after it, and are no sign of life.
func TestEndIsSeenThoughBytesStillCome(t *testing.T) {
	r, target, b := endTarget(t)
	b.Close()
	target.RecordActivity(time.Now().Add(time.Second))
	is.New(t).True(r.ProbeExited(context.Background(), target))
}

// What breaks one connection, or is planned, is no end.
func TestWhatIsNoEnd(t *testing.T) {
	t.Run("one connection broke", func(t *testing.T) {
		r, target, b := endTarget(t)
		is.New(t).True(!r.ProbeExited(context.Background(), target))
		until.True(t, "the connection is kept for a request", func() bool { return b.Connections() == 1 })
	})
	t.Run("a planned end", func(t *testing.T) {
		r, target, b := endTarget(t)
		r.Put(Entry{ID: "t1", Service: "s", Address: b.Address(), Domain: "z1", State: Draining})
		b.Close()
		is.New(t).True(!r.ProbeExited(context.Background(), target))
	})
	t.Run("its entry is gone", func(t *testing.T) {
		r, target, b := endTarget(t)
		r.Remove("t1")
		b.Close()
		is.New(t).True(!r.ProbeExited(context.Background(), target))
	})
	t.Run("nothing answers", func(t *testing.T) {
		r, target, _ := endTarget(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.New(t).True(!r.ProbeExited(ctx, target))
	})
}
