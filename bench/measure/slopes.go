// Package measure measures what docs/CAPACITY.md and docs/MEASUREMENTS.md are
// made of: sizes, processor time and memory, each at several sizes so that it is
// seen whether the cost is linear.
package measure

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold"
	"maststage.dev/fold/view"
)

// Slope is one cost measured at several sizes.
type Slope struct {
	Name  string
	Unit  string
	At    []int
	Costs []float64
}

// Last is the cost at the largest size.
func (s Slope) Last() float64 { return s.Costs[len(s.Costs)-1] }

// Names as long as the users' are.
const (
	exampleInc    = "host-101-0123456789ab"
	exampleID     = "examora/0123456789abcdef0123"
	exampleBudget = "examora-2026-autumn"
)

// Sizes gives the bytes of each kind of record in the log, in a batch of many.
func Sizes() map[string]float64 {
	records := map[string]*peerv1.Record{
		"bill":    {Kind: &peerv1.Record_Bill{Bill: &peerv1.Bill{Id: exampleID, Budget: exampleBudget, Tokens: 900, Claimant: exampleInc}}},
		"intent":  {Kind: &peerv1.Record_Intent{Intent: &peerv1.Intent{Id: exampleID, Claimant: exampleInc + "#12345"}}},
		"take":    {Kind: &peerv1.Record_Take{Take: &peerv1.Take{Budget: exampleBudget, Tokens: 100000, Least: 1}}},
		"settle":  {Kind: &peerv1.Record_Settle{Settle: &peerv1.Settle{Budget: exampleBudget, Tokens: 100000}}},
		"return":  {Kind: &peerv1.Record_Return{Return: &peerv1.Return{Budget: exampleBudget, Tokens: 100000}}},
		"join":    {Kind: &peerv1.Record_Join{Join: &peerv1.Join{Host: "host-101", Address: "10.11.12.13:7400", Domain: "domain-12", Region: "region-3"}}},
		"evict":   {Kind: &peerv1.Record_Evict{Evict: &peerv1.Evict{Incarnation: exampleInc, Epoch: 100000}}},
		"flushed": {Kind: &peerv1.Record_Flushed{Flushed: &peerv1.Flushed{Epoch: 100000}}},
	}
	out := map[string]float64{}
	const many = 1000
	for name, r := range records {
		b := &peerv1.Batch{Incarnation: exampleInc, Seq: 1000}
		for range many {
			b.Records = append(b.Records, r)
		}
		out[name] = float64(proto.Size(b)) / many
	}
	out["batch"] = float64(proto.Size(&peerv1.Batch{Incarnation: exampleInc, Seq: 1000}))
	out["ping"] = 2 * float64(proto.Size(&peerv1.PingRequest{Status: exampleStatus()}))
	return out
}

func exampleStatus() *peerv1.Status {
	return &peerv1.Status{
		Incarnation: exampleInc, Host: "host-101", Epoch: 100000, Offset: 100000000, ConfigVersion: 100000, LogUp: true,
	}
}

// perOp runs f under the testing package's clock and gives ns for each call.
func perOp(f func(b *testing.B)) float64 {
	r := testing.Benchmark(f)
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

func batchOf(seq uint64, records ...*peerv1.Record) []byte {
	data, err := proto.Marshal(&peerv1.Batch{Incarnation: exampleInc, Seq: seq, Records: records})
	if err != nil {
		panic(err)
	}
	return data
}

func billRecord(i int) *peerv1.Record {
	return &peerv1.Record{Kind: &peerv1.Record_Bill{Bill: &peerv1.Bill{
		Id: fmt.Sprintf("examora/%020d", i), Budget: exampleBudget, Tokens: 900, Claimant: exampleInc,
	}}}
}

const batchRecords = 100

// FoldBill is the time to fold one bill into a table of n facts, in ns.
func FoldBill(sizes ...int) Slope {
	s := Slope{Name: "fold a bill, by facts kept", Unit: "ns", At: sizes}
	for _, n := range sizes {
		st := filled(n)
		seq := uint64(n + 1)
		cost := perOp(func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				var rs []*peerv1.Record
				for j := range batchRecords {
					rs = append(rs, billRecord(int(seq)*batchRecords+j))
				}
				data := batchOf(seq, rs...)
				b.StartTimer()
				st.Apply(st.Offset+1, data)
				seq++
			}
		})
		s.Costs = append(s.Costs, cost/batchRecords)
	}
	return s
}

// filled is a state with n billed facts.
func filled(n int) *fold.State {
	st := fold.New()
	for i := range n {
		st.Apply(uint64(i+1), batchOf(uint64(i+1), billRecord(i)))
	}
	return st
}

// FactBytes is the memory of one fact, in bytes.
func FactBytes(sizes ...int) Slope {
	s := Slope{Name: "memory of a fact", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		s.Costs = append(s.Costs, heapOf(func() any { return filled(n) })/float64(n))
	}
	return s
}

// heapOf is what a value keeps on the heap, in bytes.
func heapOf(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// withBudgets is a state with n budgets, each held by some hosts.
func withBudgets(n, holders int) *fold.State {
	st := fold.New()
	for i := range n {
		name := fmt.Sprintf("budget-%06d", i)
		st.Budgets.Declare(name, "organisation", 1<<40)
		for h := range holders {
			st.Budgets.Take(name, fmt.Sprintf("host-%03d-0123456789ab", h), 1000, 1)
		}
	}
	return st
}

// BudgetBytes is the memory of a budget and of one holder's part of it.
func BudgetBytes(sizes ...int) (budget, holding Slope) {
	budget = Slope{Name: "memory of a budget", Unit: "bytes", At: sizes}
	holding = Slope{Name: "memory of one host's holding of a budget", Unit: "bytes", At: sizes}
	const holders = 8
	for _, n := range sizes {
		none := heapOf(func() any { return withBudgets(n, 0) }) / float64(n)
		some := heapOf(func() any { return withBudgets(n, holders) }) / float64(n)
		budget.Costs = append(budget.Costs, none)
		holding.Costs = append(holding.Costs, (some-none)/holders)
	}
	return budget, holding
}

// FoldTake is the time to fold one take, in ns, by number of budgets.
func FoldTake(sizes ...int) Slope {
	s := Slope{Name: "fold a take, by budgets", Unit: "ns", At: sizes}
	for _, n := range sizes {
		st := withBudgets(n, 0)
		st.View.Join(view.Member{Incarnation: exampleInc, Host: "host-101"})
		seq := uint64(0)
		cost := perOp(func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				seq++
				var rs []*peerv1.Record
				for j := range batchRecords {
					name := fmt.Sprintf("budget-%06d", (int(seq)*batchRecords+j)%n)
					rs = append(rs, &peerv1.Record{Kind: &peerv1.Record_Take{Take: &peerv1.Take{Budget: name, Tokens: 1, Least: 1}}})
				}
				data := batchOf(seq, rs...)
				b.StartTimer()
				st.Apply(st.Offset+1, data)
			}
		})
		s.Costs = append(s.Costs, cost/batchRecords)
	}
	return s
}

func viewOf(n int) *view.View {
	v := &view.View{}
	for i := range n {
		v.Join(view.Member{
			Incarnation: fmt.Sprintf("host-%03d-0123456789ab", i), Host: fmt.Sprintf("host-%03d", i),
			Address: "10.11.12.13:7400", Domain: fmt.Sprintf("domain-%d", i%18), Region: "main",
		})
	}
	return v
}

// Replicas is the time to find who answers for an id, in ns, by members.
func Replicas(sizes ...int) Slope {
	s := Slope{Name: "find the replicas of an id, by members of the region", Unit: "ns", At: sizes}
	for _, n := range sizes {
		v := viewOf(n)
		s.Costs = append(s.Costs, perOp(func(b *testing.B) {
			for b.Loop() {
				v.Replicas(exampleID, "main")
			}
		}))
	}
	return s
}

// MemberBytes is the memory of a member of the view.
func MemberBytes(sizes ...int) Slope {
	s := Slope{Name: "memory of a member of the view", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		s.Costs = append(s.Costs, heapOf(func() any { return viewOf(n) })/float64(n))
	}
	return s
}

// Snapshot is the time to encode a state, in ns for each fact, and its bytes.
func Snapshot(sizes ...int) (cost, size Slope) {
	cost = Slope{Name: "encode a snapshot, for each fact", Unit: "ns", At: sizes}
	size = Slope{Name: "snapshot, for each fact", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		st := filled(n)
		var bytes int
		c := perOp(func(b *testing.B) {
			for b.Loop() {
				data, err := st.Encode()
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
		})
		cost.Costs = append(cost.Costs, c/float64(n))
		size.Costs = append(size.Costs, float64(bytes)/float64(n))
	}
	return cost, size
}

// Publish is the bytes and the time to check declarations, for each
// organisation with a budget, in a set of n.
func Publish(sizes ...int) (cost, size Slope) {
	cost = Slope{Name: "fold a configuration, for each organisation", Unit: "ns", At: sizes}
	size = Slope{Name: "configuration, for each organisation and budget", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		text := declarations(n)
		seq := uint64(0)
		st := fold.New()
		c := perOp(func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				seq++
				data := batchOf(seq, &peerv1.Record{Kind: &peerv1.Record_Publish{Publish: &peerv1.Publish{BaseVersion: st.Config.Version, Text: text}}})
				b.StartTimer()
				st.Apply(st.Offset+1, data)
			}
		})
		cost.Costs = append(cost.Costs, c/float64(n))
		size.Costs = append(size.Costs, float64(len(text))/float64(n))
	}
	return cost, size
}
