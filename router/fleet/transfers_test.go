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

// A transfer to a briefly unreachable host succeeds a little later: on a busy machine connecting
// alone may outlast transferTimeout, and if no other host can accept them, the tokens of a
// planned stop would be lost.
func TestTransferReachesHostThatWasUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	receiver := New(Options{Self: Host{Incarnation: "7"}, Credit: func(prepaid.Transfer) bool { return true }})
	go func() {
		time.Sleep(2 * transferTimeout)
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = l.Close() })
		_ = http.Serve(l, receiver.Handler()) // ends with the listener
	}()
	f := newFleet(Host{Name: "self"})
	is.Equal(f.transferTo(context.Background(), []peerHost{{address: address, incarnation: "7"}}, "org", 70), prepaid.TransferAccepted)
}

// A host that refused a transfer is not asked again.
func TestRefusedTransferIsNotRetried(t *testing.T) {
	is := is.New(t)
	asked := 0
	receiver := New(Options{Self: Host{Incarnation: "7"}, Credit: func(prepaid.Transfer) bool { asked++; return false }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = http.Serve(l, receiver.Handler()) }()
	f := newFleet(Host{Name: "self"})
	is.Equal(f.transferTo(context.Background(), []peerHost{{address: l.Addr().String(), incarnation: "7"}}, "org", 70), prepaid.TransferDeclined)
	is.NoErr(l.Close())
	is.Equal(asked, 1)
}
