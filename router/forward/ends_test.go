package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/quarantine"
	"maststage.dev/standin/backend"
)

// addCrashing adds targets that end on each request that they begin to run.
func (b *bench) addCrashing(n int) {
	for i := range n {
		b.add(fmt.Sprintf("crashing-%d", i), "engine", backend.Behaviour{Crash: true, Delay: 5 * time.Millisecond})
	}
}

// ended counts the backends that have ended.
func (b *bench) ended() int {
	n := 0
	for _, e := range b.backends {
		select {
		case <-e.Done():
			n++
		default:
		}
	}
	return n
}

// A host sends a request by itself to no third target once two ended under it.
func TestOneRequestEndsTwoTargetsAtMost(t *testing.T) {
	b := newBench(t)
	b.addCrashing(4)
	got := b.do(b.request("POST", "/stream/x", "deadly"))
	b.is.Equal(got.status, http.StatusBadGateway) // it may have run
	b.is.Equal(b.ended(), 2)
	b.eventually("both ends are reported", func() bool {
		b.recorder.mu.Lock()
		defer b.recorder.mu.Unlock()
		return len(b.recorder.breaks) == 2
	})
}

// Once held, a request is told so at once, truthfully and not to come back, whatever its id;
// others of the same caller and path are served.
func TestHeldRequestIsNotSent(t *testing.T) {
	b := newBench(t)
	b.addCrashing(5)
	for range 2 {
		b.do(b.request("POST", "/stream/x", "deadly"))
	}
	b.eventually("it is held", func() bool { return b.guard.Len() == 1 })
	b.add("good", "engine", backend.Behaviour{Events: 3})
	runs, arrivals := b.runs(), b.arrivals()
	got := b.do(b.request("POST", "/stream/x", "deadly"))
	b.is.Equal(got.status, http.StatusServiceUnavailable) // a promise: it has not run
	b.is.Equal(got.header.Get("Retry-After"), "3600")
	b.is.Equal(b.arrivals(), arrivals)
	b.is.Equal(b.runs(), runs)
	b.is.Equal(b.recorder.last(t, fmt.Sprintf("r%d", b.nextID)).Kind, Quarantined)
	b.eventually("another body is served", func() bool {
		return b.do(b.request("POST", "/stream/x", "harmless")).status == http.StatusOK
	})
	other := b.request("POST", "/stream/x", "deadly")
	other.Header.Set("X-Key", "none")
	b.is.Equal(b.do(other).status, http.StatusUnauthorized)
}

// What waits at a target as its request is held is taken back: it may not have begun to run.
func TestWaitingTriesOfAHeldRequestAreTakenBack(t *testing.T) {
	b := newBench(t)
	b.add("slow", "engine", backend.Behaviour{Events: 3, Delay: 3 * time.Second})
	answers := make(chan reply, 1)
	req := b.request("POST", "/stream/x", "deadly")
	go func() { answers <- b.do(req) }()
	b.eventually("it waits at the target", func() bool { return b.arrivals() == 1 })
	d := quarantine.Content{Organisation: "org", Method: "POST", Host: "a.example", URI: "/stream/x", Body: []byte("deadly")}.Digest()
	b.guard.HandleNotice(quarantine.Notice{Entry: quarantine.Entry{Digest: d}})
	got := <-answers
	b.is.Equal(got.status, http.StatusBadGateway)
	b.eventually("the target is told", func() bool { return b.backends["slow"].Runs()[0].Cancelled })
	b.is.Equal(b.arrivals(), 1)
}

// Only a whole success clears a request: a failure may come before the run, and an answer
// without a length ends as its target does.
func TestWhatClearsARequest(t *testing.T) {
	for name, c := range map[string]struct {
		how     backend.Behaviour
		cleared bool
	}{
		"whole":     {backend.Behaviour{Events: 3}, true},
		"failure":   {backend.Behaviour{Status: 504, Body: "late"}, false},
		"no length": {backend.Behaviour{Events: 3, NoLength: true}, false},
		"cut":       {backend.Behaviour{Events: 3, BreakAfter: 2}, false},
		"refused":   {backend.Behaviour{Refuse: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.add("t", "engine", c.how)
			b.do(b.request("POST", "/once/x", "body"))
			d := quarantine.Content{Organisation: "org", Method: "POST", Host: "a.example", URI: "/once/x", Body: []byte("body")}.Digest()
			b.recorder.last(t, "r1")
			b.is.Equal(b.guard.IsCleared(d), c.cleared)
		})
	}
}

// A stream that had run for a while as its target ended has the try for free: it goes on at
// a fourth target though its route allows three.
func TestEndsOfTargetsCostAStreamNoTry(t *testing.T) {
	b := newBench(t)
	t.Cleanup(func() { b.tellTries() })
	for i := range 4 {
		b.add(fmt.Sprint("t", i), "engine", backend.Behaviour{Events: 150, Gap: 10 * time.Millisecond})
	}
	answers := make(chan reply, 1)
	req := b.request("POST", "/stream/x", "long")
	go func() { answers <- b.do(req) }()
	is := is.New(t)
	for tries := 1; tries <= 3; tries++ {
		b.eventually("the next target makes events", func() bool { return b.runs() == tries })
		time.Sleep(400 * time.Millisecond)
		for _, e := range b.running() {
			e.Close()
		}
	}
	got := <-answers
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(b.runs(), 4)
	is.Equal(b.guard.Len(), 0)
}
