package measure

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	peerv1 "maststage.dev/api/peer/v1"
	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/daemon/ledger"
	"maststage.dev/daemon/run"
	"maststage.dev/daemon/settings"
	"maststage.dev/daemon/target"
	"maststage.dev/fold"
	"maststage.dev/lib/declare"
)

// fakes replaces the parts of a host that an admission decision calls.
type fakes struct{}

// Put discards the records.
func (fakes) Put(...*peerv1.Record) error { return nil }

// Left returns ample tokens.
func (fakes) Left(string) (int64, bool) { return ampleTokens, true }

// Sharers returns 1.
func (fakes) Sharers() int { return 1 }

// Total returns ample tokens.
func (fakes) Total(string) (uint64, bool) { return ampleTokens, true }

// Borrow returns 0: no loan.
func (fakes) Borrow(context.Context, string, uint64) uint64 { return 0 }

// engineList is a membership list of that many engines.
type engineList int

// List returns the engines.
func (n engineList) List(context.Context, *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	res := &platformv1.ListResponse{}
	for i := range n {
		res.Members = append(res.Members, &platformv1.Member{
			Name: fmt.Sprint("e", i), Address: "127.0.0.1:1", Role: "engine", Pool: "model", Domain: "d", Slots: 1 << 20,
		})
	}
	return connect.NewResponse(res), nil
}

// Admission is the cost of one admission decision (policy, budget and choice of a
// target) with a number of targets in the pool.
type Admission struct {
	Targets int
	NS      float64
	Allocs  int64
}

// MeasureAdmission measures admission decisions with pools of several sizes.
func MeasureAdmission(sizes ...int) ([]Admission, error) {
	set, err := declare.Parse(fleetDeclarations(ampleTokens))
	if err != nil {
		return nil, err
	}
	var out []Admission
	for _, n := range sizes {
		reg := target.NewRegistry(settings.Targets{LoadInterval: time.Hour, Queue: 100, MaxEjected: 50, RetryBudget: 20}, "d", engineList(n), time.Hour, time.Second, http.DefaultClient)
		ctx, cancel := context.WithCancel(context.Background())
		go reg.Run(ctx)
		time.Sleep(50 * time.Millisecond) // until the registry has read the list
		l := ledger.New("inc", settings.Budgets{SliceSeconds: 5, MaxSlice: 1 << 30, LeftDivisor: 16, Wait: time.Second}, fakes{}, fakes{}, fakes{}, func() bool { return true })
		l.Event(fold.Granted{Incarnation: "inc", Budget: "main", Tokens: ampleTokens})
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				decideOnce(b, set, reg, l)
			}
		})
		cancel()
		out = append(out, Admission{Targets: n, NS: float64(r.T.Nanoseconds()) / float64(r.N), Allocs: r.AllocsPerOp()})
	}
	return out, nil
}

func decideOnce(b *testing.B, set *declare.Set, reg *target.Registry, l *ledger.Ledger) {
	ctx := context.Background()
	req := &peerv1.ExecuteRequest{Organisation: fleetAccount, RequestId: "id", Class: "chat", Input: []byte("a question"), Attempt: 1}
	_, d, failure := run.Decide(set, req, true)
	if failure != nil {
		b.Fatal(failure)
	}
	res, err := l.Reserve(ctx, "main", uint64(d.Tokens))
	if err != nil {
		b.Fatal(err)
	}
	t, err := reg.Acquire(ctx, target.Want{Pool: d.Pool, Priority: d.Rank})
	if err != nil {
		b.Fatal(err)
	}
	reg.Release(t, target.Result{})
	res.Close(0)
}
