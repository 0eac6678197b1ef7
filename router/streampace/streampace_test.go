package streampace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var source = Source{Service: "s", Version: "v1"}

func TestBoundIsUnknownUntilEnoughStreams(t *testing.T) {
	is := is.New(t)
	e := New()
	for range minStreams - 1 {
		e.Observe(source, 400*ms, 11)
	}
	_, known := e.MaxUndelivered(source, ms, 0)
	is.True(!known)
	e.Observe(source, 400*ms, 2) // too short to count
	_, known = e.MaxUndelivered(source, ms, 0)
	is.True(!known)
	e.Observe(source, 400*ms, 11)
	events, known := e.MaxUndelivered(source, 9*ms, 0)
	is.True(known)
	is.Equal(events, 0)                            // not even the first event can have been generated
	events, _ = e.MaxUndelivered(source, 10*ms, 0) // the prompt may have been short or cached
	is.Equal(events, 1)
	events, _ = e.MaxUndelivered(source, 55*ms, 2) // one every 10 ms
	is.Equal(events, 3)
	_, known = e.MaxUndelivered(source, 55*ms, 9) // more than such a target generates
	is.True(!known)
	_, known = e.MaxUndelivered(Source{Service: "other", Version: "v1"}, ms, 0)
	is.True(!known)
}

// Guards against the pace of one software version that bounds what targets of a faster one generated.
func TestPaceOfAnotherVersionIsUnknown(t *testing.T) {
	is := is.New(t)
	e := New()
	for range minStreams {
		e.Observe(source, 400*ms, 11)
	}
	_, known := e.MaxUndelivered(Source{Service: "s", Version: "v2"}, 50*ms, 0)
	is.True(!known)
}

// A target at most four times as fast as the fastest observed stream, which may need no longer for its first event than for others,
// never generates more events than those received plus the bound, however late its events arrive.
func TestBoundCoversGeneratedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		gap := time.Hour
		for range minStreams + rapid.IntRange(0, 10).Draw(t, "streams") {
			g := time.Duration(rapid.IntRange(4, 50).Draw(t, "gap")) * ms
			e.Observe(source, 10*g, 11)
			gap = min(gap, g)
		}
		elapsed := time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed")) * ms
		prompt := time.Duration(rapid.IntRange(0, 500).Draw(t, "prompt")) * ms // time to read it
		generated := 0
		for next := prompt + gap/4; next <= elapsed; next += gap / 4 {
			generated++
		}
		received := rapid.IntRange(0, generated).Draw(t, "received") // the others are late or lost
		events, known := e.MaxUndelivered(source, elapsed, received)
		if !known || received+events < generated {
			t.Fatalf("%d events generated, %d received, and the bound on the others is %d (known %v)", generated, received, events, known)
		}
	})
}

func TestSourcesAreBounded(t *testing.T) {
	is := is.New(t)
	e := New()
	for i := range 10 * maxSources {
		e.Observe(Source{Service: "s", Version: fmt.Sprint(i)}, 400*ms, 11)
	}
	is.True(len(e.paces) <= maxSources)
}
