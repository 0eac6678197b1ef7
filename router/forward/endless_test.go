package forward

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/endless"
)

const (
	// fastGap and trickleGap are the pauses between bytes of an endless answer. No silence time-out fires within trickleGap.
	fastGap    = 0
	trickleGap = 2 * time.Millisecond
	// maxEndlessMemory bounds what a host allocates for one endless answer and a retry: an event or a head may be copied a
	// few times as it grows to its limit.
	maxEndlessMemory = 16 << 20
	// endlessMargin is what a response may take beyond its bound on a busy machine.
	endlessMargin = time.Second
)

const (
	okHead      = "HTTP/1.1 200 OK\r\nX-Id: " + endless.IDMark + "\r\nX-Stamp: bad\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	chunk       = "3\r\nabc\r\n"
)

// endlessHeads are answers whose head is none or never ends.
var endlessHeads = map[string]endless.Answer{
	"no HTTP":           {Repeat: "garbage"},
	"no HTTP, lines":    {Repeat: "\x16\x03\x01\r\n"},
	"status line":       {Start: "HTTP/1.1 200 ", Repeat: "OK"},
	"header lines":      {Start: okHead, Repeat: "X-More: more\r\n"},
	"other headers":     {Start: okHead, Repeat: "X-0: a\r\nX-1: b\r\nX-2: c\r\n"},
	"header":            {Start: okHead + "X-Long: ", Repeat: "long"},
	"continued header":  {Start: okHead + "X-Long: a\r\n", Repeat: " b\r\n"},
	"interim responses": {Repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
	"interim headers":   {Start: "HTTP/1.1 103 Early Hints\r\n", Repeat: "Link: </a>\r\n"},
}

// endlessFramings are answers whose body never ends since its framing doesn't.
var endlessFramings = map[string]endless.Answer{
	"chunk size":      {Start: chunkedHead + chunk, Repeat: "0"},
	"chunk extension": {Start: chunkedHead + chunk + "3;", Repeat: "ext"},
	"trailers":        {Start: chunkedHead + chunk + "0\r\n", Repeat: "X-Trailer: more\r\n"},
	"trailer":         {Start: chunkedHead + chunk + "0\r\nX-Trailer: ", Repeat: "more"},
	"other response":  {Start: "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: bad\r\n\r\n", Repeat: "other"},
}

// addEndless registers a target that answers without end.
func (f *fixture) addEndless(service string, answer endless.Answer, gap time.Duration) *endless.Target {
	f.t.Helper()
	answer.Gap = gap
	bad, err := endless.Start("X-Id", answer)
	f.is.NoErr(err)
	f.t.Cleanup(bad.Close)
	f.targets.Put(target.Entry{ID: "bad", Service: service, Address: bad.Address(), Domain: "z1", Slots: 4})
	return bad
}

// endlessReply is the reply to the request that an endless answer was sent to.
type endlessReply struct {
	reply
	took      time.Duration
	allocated uint64 // bytes
}

// doEndless makes requests until one arrives at bad, and returns the reply to it: equal targets are chosen at random.
func (f *fixture) doEndless(bad *endless.Target, next func() *http.Request) endlessReply {
	f.t.Helper()
	for range 100 {
		req := next()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := time.Now()
		got := f.do(req)
		took := time.Since(began)
		runtime.ReadMemStats(&after)
		if bad.Arrivals() > 0 {
			return endlessReply{reply: got, took: took, allocated: after.TotalAlloc - before.TotalAlloc}
		}
	}
	f.t.Fatal("no request arrived at the target")
	return endlessReply{}
}

// checkBounded checks what holds for each endless answer, whatever the request.
func (f *fixture) checkBounded(bad *endless.Target, got endlessReply, within time.Duration) {
	f.t.Helper()
	if got.took > within {
		f.t.Errorf("the caller waited for %v, and %v is the bound", got.took, within)
	}
	if bad.Fast() && got.allocated > maxEndlessMemory {
		f.t.Errorf("%d bytes were allocated, and %d is the bound", got.allocated, maxEndlessMemory)
	}
	f.eventually("the target's connection is closed", func() bool { return bad.Answering() == 0 })
}

// eachEndless runs a test with each answer, sent as fast as it is read and as a trickle. Trickles run beside each other once
// the others have ended: what is allocated is counted for the whole process.
func eachEndless(t *testing.T, answers map[string]endless.Answer, run func(t *testing.T, answer endless.Answer, gap time.Duration)) {
	for name, answer := range answers {
		t.Run(name+"/fast", func(t *testing.T) { run(t, answer, fastGap) })
		t.Run(name+"/trickle", func(t *testing.T) {
			t.Parallel()
			run(t, answer, trickleGap)
		})
	}
}

// Guards against a head or a body without end that uses up the host's memory, or holds up the retry of a request that may
// be repeated until its deadline.
func TestEndlessAnswerIsRetriedElsewhere(t *testing.T) {
	run := func(t *testing.T, answer endless.Answer, gap time.Duration) {
		f := newFixture(t)
		bad := f.addEndless("plain", answer, gap)
		f.add("good", "plain", backend.Behaviour{Body: "ok"})
		got := f.doEndless(bad, func() *http.Request { return f.request("GET", "/safe/x", "") })
		f.is.NoErr(got.err)
		f.is.Equal(got.status, 200)
		f.is.Equal(got.body, "ok")
		f.checkBounded(bad, got, f.safeSilence()+endlessMargin)
	}
	eachEndless(t, endlessHeads, run)
	eachEndless(t, endlessFramings, run)
}

// safeSilence is how long a target may take to begin its response to a request for /safe/.
func (f *fixture) safeSilence() time.Duration {
	config := f.handler.Config()
	q := &request{handler: f.handler, route: config.Match("a.example", "/safe/x")}
	return q.firstByteTimeout()
}

// Guards against a second run of a request that may not be repeated after an answer without end, against an answer that
// looks complete, and against a wait beyond the deadline.
func TestEndlessAnswerToUnsafeRequestIsNotRetried(t *testing.T) {
	run := func(t *testing.T, answer endless.Answer, gap time.Duration) {
		f := newFixture(t)
		bad := f.addEndless("plain", answer, gap)
		got := f.doEndless(bad, func() *http.Request { return f.request("POST", "/unsafe/x", "b") })
		f.is.NoErr(got.err)
		f.is.True(got.status == 502 || got.status == 504)
		f.is.Equal(bad.Arrivals(), 1)
		f.checkBounded(bad, got, f.handler.Config().Match("a.example", "/unsafe/x").Timeout()+endlessMargin)
	}
	eachEndless(t, endlessHeads, run)
	eachEndless(t, endlessFramings, run)
}

// Guards against a caller that waits until its deadline, and is then told that nothing is known, though the target's first
// bytes show that no HTTP follows.
func TestAnswerThatIsNoHTTPFailsAtOnce(t *testing.T) {
	f := newFixture(t)
	bad := f.addEndless("plain", endless.Answer{Repeat: "garbage"}, trickleGap)
	got := f.doEndless(bad, func() *http.Request { return f.request("POST", "/unsafe/x", "b") })
	f.is.Equal(got.status, 502) // at the deadline it would be 504
}
