package fleet

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/prepaid"
	"maststage.dev/standin/faultlink"
)

// Connections to another host that go silent without a reset cost one call its time.
func TestSilentPeerConnectionsCostOneCall(t *testing.T) {
	is := is.New(t)
	lender := New(Options{
		Self: Host{Name: "lender"}, Timeout: time.Second,
		Lend: func(_ context.Context, ask prepaid.LoanRequest) prepaid.Loan { return prepaid.Loan{Tokens: ask.Tokens} },
	})
	server := httptest.NewServer(lender.Handler())
	t.Cleanup(server.Close)
	link := faultlink.Open(t, faultlink.Options{Listen: "127.0.0.1:0", To: server.Listener.Addr().String()})
	borrower := New(Options{Self: Host{Name: "borrower"}, Timeout: time.Second, Seeds: []string{link.Address()}})
	borrow := func() int64 { return borrower.Borrow(context.Background(), "org", 10, 0).Tokens }
	slow := link.Strike(faultlink.Fault{Delay: 10 * time.Millisecond}) // so that calls overlap
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { borrow() })
	}
	all.Wait()
	slow()
	link.Hush()
	is.Equal(borrow(), int64(0)) // on a silent connection
	is.Equal(borrow(), int64(10))
}
