package node

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/ledger"
	"maststage.dev/daemon/peer"
	"maststage.dev/daemon/run"
	"maststage.dev/daemon/settings"
	"maststage.dev/fold"
	"maststage.dev/fold/view"
)

// lender is a host that lends all that it is asked for; other calls panic.
type lender struct{ peer.Handler }

func (lender) Lend(_, _, _ string, tokens uint64) uint64 { return tokens }

// noBudgets is a budget view without budgets.
type noBudgets struct{}

func (noBudgets) Left(string) (int64, bool)   { return 0, false }
func (noBudgets) Total(string) (uint64, bool) { return 0, false }
func (noBudgets) Sharers() int                { return 1 }

// sentRecords discards records.
type sentRecords struct{}

func (sentRecords) Put(...*peerv1.Record) error { return nil }

func emptyLedger(inc string) *ledger.Ledger {
	return ledger.New(inc, settings.Budgets{}, sentRecords{}, noBudgets{}, nil, func() bool { return true })
}

// A loan requested by an evicted incarnation is credited to that incarnation only, and once,
// though the host already has a new incarnation and the log reports the loan too.
func TestLoanIsCreditedToEvictedBorrowerOnly(t *testing.T) {
	is := is.New(t)
	const secret = "a secret of the test"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer(lender{}, secret)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()

	evicted, present := emptyLedger("old"), emptyLedger("new")
	n := &Node{cfg: &settings.Settings{}, pool: peer.NewPool(secret, nil)}
	n.cfg.Peers.Timeout = 5e9
	n.current.Store(&identity{Identity: run.Identity{Incarnation: "new", Ledger: present}})
	l := n.newPeerCalls("old")
	l.ledger = evicted

	got := l.borrowAt(context.Background(), view.Member{Address: listener.Addr().String()}, "b", 50)
	is.Equal(got, uint64(50))
	evicted.Event(fold.Moved{ID: "old/1", From: "giver", To: "old", Budget: "b", Tokens: 50})
	free, _ := evicted.Holding("b")
	is.Equal(free, uint64(50))
	free, _ = present.Holding("b")
	is.Equal(free, uint64(0))
}
