package target

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/until"
)

// newBackendTarget returns a registry with one target that is a real backend.
func newBackendTarget(t *testing.T) (*Registry, *Target, *backend.Backend) {
	t.Helper()
	b, err := backend.Start("t1", backend.Names{}, func(backend.Run) backend.Behaviour { return backend.Behaviour{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r := newRegistry(Entry{ID: "t1", Service: "s", Address: b.Address(), Domain: "z1", Slots: 4})
	return r, r.Choose(Requirements{Service: "s"}), b
}

// Guards against an exit that only some of the concurrent callers see.
func TestExitOfTargetIsDetected(t *testing.T) {
	is := is.New(t)
	r, target, b := newBackendTarget(t)
	b.Close()
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() { is.True(r.ProbeExited(context.Background(), target)) })
	}
	all.Wait()
}

// Guards against a target that is taken for alive as its process exits, since its listening socket is closed after its
// connections and accepts the probe's connection until then.
func TestExitIsDetectedThoughTheSocketIsClosedLate(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := newRegistry(Entry{ID: "t1", Service: "s", Address: listener.Addr().String(), Domain: "z1", Slots: 4})
	target := r.Choose(Requirements{Service: "s"})
	time.AfterFunc(10*time.Millisecond, func() { _ = listener.Close() })
	is.Equal(r.ProbePresence(t.Context(), target, 200*time.Millisecond), Gone)
}

// Guards against an exit that stays unknown since the socket that is being closed resets or drops the probe's connection.
func TestProbeConnectsAgainAfterAResetOrATimeout(t *testing.T) {
	results := []error{
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)},
		&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
		errors.New("one attempt too many"),
	}
	attempts := 0
	err := repeatConnect(t.Context(), func() error {
		attempts++
		return results[attempts-1]
	})
	is := is.New(t)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.Equal(attempts, 3)
}

// Data that was in flight when the target exited is read later and must not count as a sign of life.
func TestExitIsDetectedDespiteDataInFlight(t *testing.T) {
	r, target, b := newBackendTarget(t)
	b.Close()
	target.RecordActivity(time.Now().Add(time.Second))
	is.New(t).True(r.ProbeExited(context.Background(), target))
}

// Guards against a broken connection, a planned exit or a cancelled probe that counts as an exit.
func TestOtherFailuresAreNotTakenForExits(t *testing.T) {
	t.Run("one connection broke", func(t *testing.T) {
		r, target, b := newBackendTarget(t)
		is.New(t).True(!r.ProbeExited(context.Background(), target))
		until.True(t, "the connection is kept for a request", func() bool { return b.Connections() == 1 })
	})
	t.Run("a planned end", func(t *testing.T) {
		r, target, b := newBackendTarget(t)
		r.Put(Entry{ID: "t1", Service: "s", Address: b.Address(), Domain: "z1", State: Draining})
		b.Close()
		is.New(t).True(!r.ProbeExited(context.Background(), target))
	})
	t.Run("its entry is gone", func(t *testing.T) {
		r, target, b := newBackendTarget(t)
		r.Remove("t1")
		b.Close()
		is.New(t).True(!r.ProbeExited(context.Background(), target))
	})
	t.Run("the probe is cancelled", func(t *testing.T) {
		r, target, _ := newBackendTarget(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.New(t).True(!r.ProbeExited(ctx, target))
	})
}
