package fleet

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/prepaid"
)

// A host that can't be reached for a moment gets the gift a little later: on a busy machine a
// connection alone may outlast the time for an answer, and where no other host is there to take
// them the tokens of a planned stop would be lost.
func TestGiftReachesAHostThatWasOutOfReach(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	taker := New(Options{Self: Host{Incarnation: "7"}, Credit: func(prepaid.Transfer) bool { return true }})
	go func() {
		time.Sleep(2 * giveTimeout)
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = l.Close() })
		_ = http.Serve(l, taker.Handler()) // ends with the listener
	}()
	f := newFleet(Host{Name: "self"})
	is.True(f.giveTo(context.Background(), []peerHost{{address: address, incarnation: "7"}}, "org", 70))
}

// A host that says no is not asked again.
func TestGiftThatIsRefusedIsNotOfferedAgain(t *testing.T) {
	is := is.New(t)
	asked := 0
	taker := New(Options{Self: Host{Incarnation: "7"}, Credit: func(prepaid.Transfer) bool { asked++; return false }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = http.Serve(l, taker.Handler()) }()
	f := newFleet(Host{Name: "self"})
	is.True(!f.giveTo(context.Background(), []peerHost{{address: l.Addr().String(), incarnation: "7"}}, "org", 70))
	is.NoErr(l.Close())
	is.Equal(asked, 1)
}
