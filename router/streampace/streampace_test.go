package streampace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestBoundIsUnknownUntilEnoughStreams(t *testing.T) {
	is := is.New(t)
	m := New()
	for range leastStreams - 1 {
		m.Observe("s", 100*ms, 200*ms, 11)
	}
	_, known := m.MaxUndelivered("s", ms, 0)
	is.True(!known)
	m.Observe("s", 100*ms, 200*ms, 2) // too short to tell
	_, known = m.MaxUndelivered("s", ms, 0)
	is.True(!known)
	m.Observe("s", 100*ms, 200*ms, 11)
	events, known := m.MaxUndelivered("s", 40*ms, 0)
	is.True(known)
	is.Equal(events, 0) // not even the first event can have been made
	events, _ = m.MaxUndelivered("s", 50*ms, 0)
	is.Equal(events, 1)
	events, _ = m.MaxUndelivered("s", 105*ms, 2) // the first after 50 ms, then one each 10 ms
	is.Equal(events, 4)
	_, known = m.MaxUndelivered("s", 105*ms, 9) // more came than such a target makes
	is.True(!known)
	_, known = m.MaxUndelivered("other", ms, 0)
	is.True(!known)
}

// A target that is at most twice as fast as the fastest stream seen never made more
// events than came and the bound together, however late its events come.
func TestBoundCoversGeneratedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		first, gap := time.Hour, time.Hour
		for range leastStreams + rapid.IntRange(0, 10).Draw(t, "streams") {
			f := time.Duration(rapid.IntRange(1, 500).Draw(t, "first")) * ms
			g := time.Duration(rapid.IntRange(2, 50).Draw(t, "gap")) * ms
			m.Observe("s", f, 10*g, 11)
			first, gap = min(first, f), min(gap, g)
		}
		elapsed := time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed")) * ms
		made := 0
		for next := first / 2; next <= elapsed; next += gap / 2 {
			made++
		}
		came := rapid.IntRange(0, made).Draw(t, "came") // the others are late or lost
		events, known := m.MaxUndelivered("s", elapsed, came)
		if !known || came+events < made {
			t.Fatalf("%d events, %d came and %d more are charged (known %v)", made, came, events, known)
		}
	})
}
