package target

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/tunnel"
)

// noTunnels is a fleet in which no other host reaches a target.
type noTunnels struct{}

func (noTunnels) Dial(context.Context, string, string) (*tunnel.Conn, error) {
	return nil, tunnel.ErrNoHost
}

func (noTunnels) OpenedSince(string, time.Time) bool { return false }

// Guards against a service that stays out of reach, though one of its targets is reached, as most of them are gone for all.
func TestTargetIsUsedThoughMostOfItsServiceAreGone(t *testing.T) {
	is := is.New(t)
	live, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = live.Close() })
	go func() {
		for {
			if _, err := live.Accept(); err != nil {
				return
			}
		}
	}()
	r := NewRegistry(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 8, Tunnels: noTunnels{}})
	var gone []*Target
	for i := range 3 {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(closed.Close())
		id := fmt.Sprintf("gone%d", i)
		r.Put(Entry{ID: id, Service: "s", Address: closed.Addr().String(), Slots: 1})
		gone = append(gone, r.targets[id])
	}
	r.Put(Entry{ID: "live", Service: "s", Address: live.Addr().String(), Slots: 1})
	never := func() bool { return false }
	for _, g := range gone {
		_, err := r.GetConn(context.Background(), g, time.Minute, never)
		is.True(err != nil)
	}
	time.Sleep(hopelessAge + 100*time.Millisecond)
	for range 5 {
		_, err := r.GetConn(context.Background(), r.targets["live"], time.Minute, never)
		is.NoErr(err)
	}
}
