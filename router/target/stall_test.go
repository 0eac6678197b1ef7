package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// streams gives every target a pace: so many events, each so long after the one before.
func streams(r *Registry, t *Target, gap time.Duration) {
	for range 200 {
		r.RecordGap(t, gap, 300*ms)
	}
}

// prompts makes the mean prompt of the service about 1,000 tokens.
func prompts(r *Registry, t *Target) {
	for range 100 {
		r.BeginRequest(t, 1000)
		r.EndRequest(t, 1000, Abandoned)
	}
}

func TestLongPromptsAvoidSlowTargetsThatStalled(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{})
	for i := range 4 {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Slots: 8})
	}
	all := r.services["s"]
	prompts(r, all[0])
	slow, fast := all[0], all[1]
	streams(r, slow, 30*ms)
	for _, target := range all[1:] {
		streams(r, target, 20*ms)
	}
	asked := func(work float64) map[*Target]bool {
		chosen := map[*Target]bool{}
		for i := range 200 {
			chosen[r.Choose(Requirements{Service: "s", PromptTokens: work, Affinity: fmt.Sprint(i)})] = true
		}
		return chosen
	}
	is.True(asked(9000)[slow]) // slower, but nobody was kept waiting
	r.RecordGap(slow, 310*ms, 300*ms)
	r.RecordGap(fast, 310*ms, 300*ms)
	is.True(!asked(9000)[slow])
	is.True(asked(9000)[fast]) // it stalled by chance: it is as fast as most
	is.True(asked(900)[slow])  // short prompts stall nobody
	slow.stall.until = time.Now()
	is.True(asked(9000)[slow])
}

// If only a stalled target is left, it is used.
func TestStalledTargetIsBetterThanNone(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{})
	for i := range 3 {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Slots: 8})
	}
	all := r.services["s"]
	prompts(r, all[0])
	streams(r, all[0], 30*ms)
	streams(r, all[1], 20*ms)
	streams(r, all[2], 20*ms)
	r.RecordGap(all[0], 310*ms, 300*ms)
	others := map[string]bool{all[1].ID: true, all[2].ID: true}
	is.Equal(r.Choose(Requirements{Service: "s", PromptTokens: 9000, Exclude: others}), all[0])
}

// BenchmarkChoose measures the choice of a target for a long prompt with affinity.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 140, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := NewRegistry(Options{})
			for i := range n {
				r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Slots: 8})
			}
			prompts(r, r.services["s"][0])
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Choose(Requirements{Service: "s", PromptTokens: 9000, Affinity: "5c1e07a2,91bd3f06"})
			}
		})
	}
}
