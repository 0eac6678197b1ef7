package ledger

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/settings"
	"maststage.dev/fold"
)

// plenty is a budget of which far more is left than any test asks for.
type plenty struct{}

const budget = "b"

func (plenty) Left(string) (int64, bool)                         { return 1_000_000, true }
func (plenty) Sharers() int                                      { return 6 }
func (plenty) Total(string) (uint64, bool)                       { return 1_000_000, true }
func (plenty) Borrow(context.Context, string, uint64) (n uint64) { return 0 }

// takes is an outbox that only counts what is asked for.
type takes struct{ tokens atomic.Uint64 }

func (o *takes) Put(records ...*peerv1.Record) error {
	for _, r := range records {
		o.tokens.Add(r.GetTake().GetTokens())
	}
	return nil
}

// grant tells the ledger that the log has all that was asked for.
func (o *takes) grant(l *Ledger) {
	l.Event(fold.Granted{Incarnation: "host", Budget: budget, Tokens: o.tokens.Swap(0)})
}

func outageLedger(wait time.Duration) (*Ledger, *takes, *atomic.Bool) {
	cfg := settings.Budgets{SliceSeconds: 60, MaxSlice: 100_000, LeftDivisor: 2, IdleAfter: 10 * time.Second, SettleEvery: 500 * time.Millisecond, Wait: wait, Borrow: true}
	out, up := &takes{}, &atomic.Bool{}
	up.Store(true)
	return New("host", cfg, out, plenty{}, plenty{}, up.Load), out, up
}

// A host that has served a request serves the next ones while the log is away: it had taken just
// what the first one needed, and refused them though the budget had plenty.
func TestServedHostHoldsTokensForTheNextRequests(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(time.Second)
	ctx := context.Background()
	time.AfterFunc(20*time.Millisecond, func() { out.grant(l) })
	first, err := l.Reserve(ctx, budget, 93)
	is.NoErr(err)
	out.grant(l) // what it asked for as it served the first
	first.Close(61)
	up.Store(false)
	for range 3 {
		_, err := l.Reserve(ctx, budget, 93)
		is.NoErr(err)
	}
}

// A request is not refused for an outage of the log that is over within its wait for tokens.
func TestRequestWaitsThroughAnOutageThatHasJustBegun(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(time.Second)
	up.Store(false)
	time.AfterFunc(300*time.Millisecond, func() { up.Store(true); out.grant(l) })
	_, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
}

// lender has tokens for any loan.
type lender struct {
	plenty
	ledger *Ledger
}

func (p *lender) Borrow(_ context.Context, name string, tokens uint64) uint64 {
	p.ledger.Credit("loan", name, tokens)
	return tokens
}

// A request borrows from other hosts when the log says nothing: it waited for its slice until it was
// refused, as a log that says nothing is noticed as away only after a while.
func TestRequestBorrowsWhileTheLogSaysNothing(t *testing.T) {
	is := is.New(t)
	l, _, _ := outageLedger(time.Second)
	l.lender = &lender{ledger: l}
	_, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
}

// A standstill of this process is not taken for an outage that lasts.
func TestRequestAfterAStandstillWaitsForTheLog(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(2 * time.Second)
	up.Store(false)
	l.Tick(time.Now(), 7*time.Second)
	time.AfterFunc(300*time.Millisecond, func() { out.grant(l) })
	_, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
}

// In an outage that lasts, a request that no host has tokens for is refused at once.
func TestRequestIsRefusedAtOnceInALongOutage(t *testing.T) {
	is := is.New(t)
	l, _, up := outageLedger(time.Second)
	up.Store(false)
	for range 3 {
		l.Tick(time.Now(), 500*time.Millisecond)
	}
	began := time.Now()
	_, err := l.Reserve(context.Background(), budget, 93)
	is.True(err != nil)
	is.True(time.Since(began) < 500*time.Millisecond)
}

// Idle tokens stay where they are while the log is away: given back, nobody could spend them until
// it had taken the record.
func TestNothingIsGivenBackWhileTheLogIsAway(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(time.Second)
	time.AfterFunc(20*time.Millisecond, func() { out.grant(l) })
	first, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
	out.grant(l)
	first.Close(61)
	held, _ := l.Holding(budget)
	idle := time.Now().Add(l.cfg.IdleAfter + time.Second)
	up.Store(false)
	l.Tick(idle, 500*time.Millisecond)
	free, _ := l.Holding(budget)
	is.Equal(free, held)
	up.Store(true)
	l.Tick(idle, 500*time.Millisecond)
	free, _ = l.Holding(budget)
	is.Equal(free, uint64(0))
}
