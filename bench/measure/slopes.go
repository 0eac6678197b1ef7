// Package measure takes the measurements for docs/CAPACITY.md and docs/MEASUREMENTS.md:
// bytes, processor time and memory, each at several sizes, which shows whether a
// cost is linear.
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

// Slope is one cost, measured at several sizes.
type Slope struct {
	Name  string
	Unit  string
	At    []int
	Costs []float64
}

// Last returns the cost at the last and largest size.
func (s Slope) Last() float64 { return s.Costs[len(s.Costs)-1] }

// Names of the same length as the users'.
const (
	exampleInc    = "host-101-0123456789ab"
	exampleID     = "examora/0123456789abcdef0123"
	exampleBudget = "examora-2026-autumn"
)

// Sizes returns the bytes that each kind of record takes in the log, in a large batch.
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

// perOp runs f as a benchmark and returns ns per iteration.
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

// FoldBill measures the time to apply one bill to a table of n facts, in ns.
func FoldBill(sizes ...int) Slope {
	s := Slope{Name: "fold a bill, by facts kept", Unit: "ns", At: sizes}
	for _, n := range sizes {
		st := stateWithBills(n)
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

// stateWithBills returns a state with n billed facts.
func stateWithBills(n int) *fold.State {
	st := fold.New()
	for i := range n {
		st.Apply(uint64(i+1), batchOf(uint64(i+1), billRecord(i)))
	}
	return st
}

// FactBytes measures the memory of one fact, in bytes.
func FactBytes(sizes ...int) Slope {
	s := Slope{Name: "memory of a fact", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		s.Costs = append(s.Costs, heapOf(func() any { return stateWithBills(n) })/float64(n))
	}
	return s
}

// heapOf returns the bytes that a value keeps on the heap.
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

// withBudgets returns a state with n budgets, each with allocations of that many holders.
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

// BudgetBytes measures the memory of a budget and that of one holder's allocation, in bytes.
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

// FoldTake measures the time to apply one take, in ns, by number of budgets.
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

// Replicas measures the time to find the replicas of an id, in ns, by number of members.
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

// MemberBytes measures the memory of a member of the view, in bytes.
func MemberBytes(sizes ...int) Slope {
	s := Slope{Name: "memory of a member of the view", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		s.Costs = append(s.Costs, heapOf(func() any { return viewOf(n) })/float64(n))
	}
	return s
}

// Snapshot measures the time to encode a state, in ns per fact, and its bytes per fact.
func Snapshot(sizes ...int) (cost, size Slope) {
	cost = Slope{Name: "encode a snapshot, for each fact", Unit: "ns", At: sizes}
	size = Slope{Name: "snapshot, for each fact", Unit: "bytes", At: sizes}
	for _, n := range sizes {
		st := stateWithBills(n)
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

// Publish measures the time to apply a configuration of n organisations with a budget
// each, in ns per organisation, and its bytes per organisation.
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
