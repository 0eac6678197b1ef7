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

// ampleBudget is a budget with far more left than any test requests.
type ampleBudget struct{}

const budget = "b"

func (ampleBudget) Left(string) (int64, bool)                         { return 1_000_000, true }
func (ampleBudget) Sharers() int                                      { return 6 }
func (ampleBudget) Total(string) (uint64, bool)                       { return 1_000_000, true }
func (ampleBudget) Borrow(context.Context, string, uint64) (n uint64) { return 0 }

// takeCounter is an outbox that only counts the tokens requested.
type takeCounter struct{ tokens atomic.Uint64 }

func (o *takeCounter) Put(records ...*peerv1.Record) error {
	for _, r := range records {
		o.tokens.Add(r.GetTake().GetTokens())
	}
	return nil
}

// grant notifies the ledger that everything requested was granted.
func (o *takeCounter) grant(l *Ledger) {
	l.Event(fold.Granted{Incarnation: "host", Budget: budget, Tokens: o.tokens.Swap(0)})
}

func outageLedger(wait time.Duration) (*Ledger, *takeCounter, *atomic.Bool) {
	cfg := settings.Budgets{SliceSeconds: 60, MaxSlice: 100_000, LeftDivisor: 2, IdleAfter: 10 * time.Second, SettleEvery: 500 * time.Millisecond, Wait: wait, Borrow: true}
	out, up := &takeCounter{}, &atomic.Bool{}
	up.Store(true)
	return New("host", cfg, out, ampleBudget{}, ampleBudget{}, up.Load), out, up
}

// Guards against a host that takes only what its first request needs, and then refuses the next
// ones while the log is unavailable although the budget has plenty left.
func TestHostHoldsTokensForNextRequestsInOutage(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(time.Second)
	ctx := context.Background()
	time.AfterFunc(20*time.Millisecond, func() { out.grant(l) })
	first, err := l.Reserve(ctx, budget, 93)
	is.NoErr(err)
	out.grant(l) // requested while serving the first
	first.Close(61)
	up.Store(false)
	for range 3 {
		_, err := l.Reserve(ctx, budget, 93)
		is.NoErr(err)
	}
}

// A request is not refused because of a log outage that ends within its wait for tokens.
func TestRequestWaitsThroughShortOutage(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(time.Second)
	up.Store(false)
	time.AfterFunc(300*time.Millisecond, func() { up.Store(true); out.grant(l) })
	_, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
}

// lender grants any loan.
type lender struct {
	ampleBudget
	ledger *Ledger
}

func (p *lender) Borrow(_ context.Context, name string, tokens uint64) uint64 {
	p.ledger.Credit("loan", name, tokens)
	return tokens
}

// A request borrows from other hosts when the log does not respond. A silent log is recognised as
// unavailable only after a while, so the request waited for its allocation until it was refused.
func TestRequestBorrowsWhileLogIsSilent(t *testing.T) {
	is := is.New(t)
	l, _, _ := outageLedger(time.Second)
	l.lender = &lender{ledger: l}
	_, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
}

// A stall of this process is not mistaken for a long outage of the log.
func TestProcessStallIsNotTakenForLogOutage(t *testing.T) {
	is := is.New(t)
	l, out, up := outageLedger(2 * time.Second)
	up.Store(false)
	l.Tick(time.Now(), 7*time.Second)
	time.AfterFunc(300*time.Millisecond, func() { out.grant(l) })
	_, err := l.Reserve(context.Background(), budget, 93)
	is.NoErr(err)
}

// During a long outage, a request for which no host has tokens is refused at once.
func TestRequestIsRefusedAtOnceInLongOutage(t *testing.T) {
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

// Idle tokens are kept while the log is unavailable: once returned, nobody could spend them until
// the log had accepted the record.
func TestIdleTokensAreKeptDuringOutage(t *testing.T) {
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
