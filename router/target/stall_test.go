package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// recordGaps sets a target's median gap by a stream of events with this gap.
func recordGaps(r *Registry, t *Target, gap time.Duration) {
	for range 200 {
		r.RecordGap(t, gap, 300*ms)
	}
}

// recordPrompts sets the service's mean prompt to about 1,000 tokens.
func recordPrompts(r *Registry, t *Target) {
	for range 100 {
		r.BeginRequest(t, 1000)
		r.EndRequest(t, 1000, Abandoned)
	}
}

// Guards against long prompts at a slow target that stalls its streams, and against fast targets or short prompts that
// are treated the same way.
func TestLongPromptsAvoidSlowTargetsThatStalled(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{})
	for i := range 4 {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Slots: 8})
	}
	all := r.services["s"]
	recordPrompts(r, all[0])
	slow, fast := all[0], all[1]
	recordGaps(r, slow, 30*ms)
	for _, target := range all[1:] {
		recordGaps(r, target, 20*ms)
	}
	chosenFor := func(work float64) map[*Target]bool {
		chosen := map[*Target]bool{}
		for i := range 200 {
			chosen[r.Choose(Requirements{Service: "s", PromptTokens: work, Affinity: fmt.Sprint(i)})] = true
		}
		return chosen
	}
	is.True(chosenFor(9000)[slow]) // slower, but no gap was too long
	r.RecordGap(slow, 310*ms, 300*ms)
	r.RecordGap(fast, 310*ms, 300*ms)
	is.True(!chosenFor(9000)[slow])
	is.True(chosenFor(9000)[fast]) // it stalled by chance and is as fast as most
	is.True(chosenFor(900)[slow])  // short prompts stall no stream
	slow.stall.until = time.Now()
	is.True(chosenFor(9000)[slow])
}

func TestStalledTargetIsUsedAsLastResort(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{})
	for i := range 3 {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Slots: 8})
	}
	all := r.services["s"]
	recordPrompts(r, all[0])
	recordGaps(r, all[0], 30*ms)
	recordGaps(r, all[1], 20*ms)
	recordGaps(r, all[2], 20*ms)
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
			recordPrompts(r, r.services["s"][0])
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Choose(Requirements{Service: "s", PromptTokens: 9000, Affinity: "5c1e07a2,91bd3f06"})
			}
		})
	}
}
