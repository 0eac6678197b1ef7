package metering

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestUnknownUntilStreamsWereSeen(t *testing.T) {
	is := is.New(t)
	m := New()
	for range leastStreams - 1 {
		m.Note("s", 100*ms, 200*ms, 11)
	}
	_, known := m.Unseen("s", ms, false)
	is.True(!known)
	m.Note("s", 100*ms, 200*ms, 2) // too short to tell
	_, known = m.Unseen("s", ms, false)
	is.True(!known)
	m.Note("s", 100*ms, 200*ms, 11)
	events, known := m.Unseen("s", 40*ms, false)
	is.True(known)
	is.Equal(events, 0) // not even the first event can have been made
	events, _ = m.Unseen("s", 50*ms, false)
	is.Equal(events, 1)
	events, _ = m.Unseen("s", 55*ms, true) // 20 ms an event, or 10
	is.Equal(events, 6)
	_, known = m.Unseen("other", ms, true)
	is.True(!known)
}

// A target that is at most twice as fast as the fastest stream seen never made more
// events than the bound.
func TestBoundsWhatATargetMade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		first, gap := time.Hour, time.Hour
		for range leastStreams + rapid.IntRange(0, 10).Draw(t, "streams") {
			f := time.Duration(rapid.IntRange(1, 500).Draw(t, "first")) * ms
			g := time.Duration(rapid.IntRange(2, 50).Draw(t, "gap")) * ms
			m.Note("s", f, 10*g, 11)
			first, gap = min(first, f), min(gap, g)
		}
		silent := time.Duration(rapid.IntRange(0, 5000).Draw(t, "silent")) * ms
		begun := rapid.Bool().Draw(t, "begun")
		made := 0
		next := first / 2
		if begun {
			next = gap / 2
		}
		for ; next <= silent; next += gap / 2 {
			made++
		}
		events, known := m.Unseen("s", silent, begun)
		if !known || events < made {
			t.Fatalf("%d events bounded by %d (known %v)", made, events, known)
		}
	})
}
