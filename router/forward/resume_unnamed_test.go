package forward

import (
	"net/http"
	"testing"
	"time"

	"maststage.dev/standin/backend"
)

// Guards against a stream that its caller takes up without naming it, and that goes on at the version of another stream
// which the same organisation took up without a name before.
func TestStreamsWithoutANameAreNotTakenForEachOther(t *testing.T) {
	f := newFixture(t)
	old := f.add("old", "engine", backend.Behaviour{Events: 10, BreakAfter: 4})
	f.do(f.request("POST", "/stream/x", "p")) // r1 begins at the only version so far
	old.SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Events: 10} })
	time.Sleep(600 * time.Millisecond) // until the target is no longer ejected
	got := f.do(f.takeUp("", "4"))
	f.is.NoErr(got.err)
	f.is.Equal(got.status, http.StatusOK)

	f.addVersion("new", "v2", backend.Behaviour{Events: 10, BreakAfter: 4})
	old.SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Refuse: true} })
	got = f.do(f.request("POST", "/stream/x", "p"))
	f.is.Equal(got.header.Get("X-Stamp"), "new") // r3 begins at v2
	f.is.True(got.err != nil)
	old.SetBehaviour(func(backend.Run) backend.Behaviour { return backend.Behaviour{Events: 10} })
	got = f.do(f.takeUp("", "4"))
	f.is.Equal(got.status, http.StatusServiceUnavailable)
	f.is.Equal(f.recorder.waitOutcome(t, "r4").Kind, StreamUnknown)
}
