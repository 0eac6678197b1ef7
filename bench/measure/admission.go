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

// parts are fakes round one admission decision.
type parts struct{}

// Put drops records.
func (parts) Put(...*peerv1.Record) error { return nil }

// Left is plenty.
func (parts) Left(string) (int64, bool) { return plenty, true }

// Sharers is one.
func (parts) Sharers() int { return 1 }

// Total is plenty.
func (parts) Total(string) (uint64, bool) { return plenty, true }

// Borrow gets nothing.
func (parts) Borrow(context.Context, string, uint64) uint64 { return 0 }

// list is a membership list of n engines.
type list int

// List gives it.
func (n list) List(context.Context, *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	res := &platformv1.ListResponse{}
	for i := range n {
		res.Members = append(res.Members, &platformv1.Member{
			Name: fmt.Sprint("e", i), Address: "127.0.0.1:1", Role: "engine", Pool: "model", Domain: "d", Slots: 1 << 20,
		})
	}
	return connect.NewResponse(res), nil
}

// Admission is the cost of one decision by targets in the pool: policy, budget
// and choice of a target.
type Admission struct {
	Targets int
	NS      float64
	Allocs  int64
}

// Admit measures it.
func Admit(sizes ...int) ([]Admission, error) {
	set, err := declare.Parse(fleetDeclarations(plenty))
	if err != nil {
		return nil, err
	}
	var out []Admission
	for _, n := range sizes {
		reg := target.NewRegistry(settings.Targets{LoadInterval: time.Hour, Queue: 100, MaxEjected: 50, RetryBudget: 20}, "d", list(n), time.Hour, time.Second, http.DefaultClient)
		ctx, cancel := context.WithCancel(context.Background())
		go reg.Run(ctx)
		time.Sleep(50 * time.Millisecond) // the list is read
		l := ledger.New("inc", settings.Budgets{SliceSeconds: 5, MaxSlice: 1 << 30, LeftDivisor: 16, Wait: time.Second}, parts{}, parts{}, parts{}, func() bool { return true })
		l.Event(fold.Granted{Incarnation: "inc", Budget: "main", Tokens: plenty})
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
