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
	e := New()
	for range minStreams - 1 {
		e.Observe("s", 100*ms, 200*ms, 11)
	}
	_, known := e.MaxUndelivered("s", ms, 0)
	is.True(!known)
	e.Observe("s", 100*ms, 200*ms, 2) // too short to count
	_, known = e.MaxUndelivered("s", ms, 0)
	is.True(!known)
	e.Observe("s", 100*ms, 200*ms, 11)
	events, known := e.MaxUndelivered("s", 40*ms, 0)
	is.True(known)
	is.Equal(events, 0) // not even the first event can have been generated
	events, _ = e.MaxUndelivered("s", 50*ms, 0)
	is.Equal(events, 1)
	events, _ = e.MaxUndelivered("s", 105*ms, 2) // the first after 50 ms, then one every 10 ms
	is.Equal(events, 4)
	_, known = e.MaxUndelivered("s", 105*ms, 9) // more than such a target generates
	is.True(!known)
	_, known = e.MaxUndelivered("other", ms, 0)
	is.True(!known)
}

// A target at most twice as fast as the fastest observed stream never generates more events than
// those received plus the bound, however late its events arrive.
func TestBoundCoversGeneratedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		first, gap := time.Hour, time.Hour
		for range minStreams + rapid.IntRange(0, 10).Draw(t, "streams") {
			f := time.Duration(rapid.IntRange(1, 500).Draw(t, "first")) * ms
			g := time.Duration(rapid.IntRange(2, 50).Draw(t, "gap")) * ms
			e.Observe("s", f, 10*g, 11)
			first, gap = min(first, f), min(gap, g)
		}
		elapsed := time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed")) * ms
		generated := 0
		for next := first / 2; next <= elapsed; next += gap / 2 {
			generated++
		}
		received := rapid.IntRange(0, generated).Draw(t, "received") // the others are late or lost
		events, known := e.MaxUndelivered("s", elapsed, received)
		if !known || received+events < generated {
			t.Fatalf("%d events generated, %d received, and the bound on the others is %d (known %v)", generated, received, events, known)
		}
	})
}
