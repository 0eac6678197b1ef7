package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/rawtarget"
)

// cutShapes are the responses that the tests cut at each byte. Where they end shows in themselves.
var cutShapes = []shape{
	{name: "length, repeatable", path: "/safe/", framing: FramingLength},
	{name: "length", path: "/unsafe/", framing: FramingLength},
	{name: "chunks, repeatable", path: "/safe/", framing: FramingChunks, dressed: true},
	{name: "chunks", path: "/unsafe/", framing: FramingChunks},
	{name: "failure with a length, repeatable", path: "/safe/", status: http.StatusInternalServerError, framing: FramingLength},
	{name: "failure with chunks", path: "/unsafe/", status: http.StatusInternalServerError, framing: FramingChunks},
	{name: "after interim responses", path: "/unsafe/", framing: FramingLength, interim: interimResponses},
	{name: "after interim responses, repeatable", path: "/safe/", framing: FramingChunks, interim: interimResponses},
	{name: "no content", path: "/unsafe/", status: http.StatusNoContent, framing: FramingNone},
	{name: "not modified", path: "/unsafe/", status: http.StatusNotModified, framing: FramingLength},
	{name: "head with a length", method: http.MethodHead, path: "/safe/", framing: FramingLength, body: 260},
	{name: "head with chunks", method: http.MethodHead, path: "/unsafe/", framing: FramingChunks},
	{name: "head without framing", method: http.MethodHead, path: "/unsafe/", framing: FramingNone},
	{name: "long length", path: "/unsafe/", framing: FramingLength, body: 260},
	{name: "stream with chunks", path: "/once/", events: 3, framing: FramingChunks},
	{name: "stream with chunks, resumable", path: "/stream/", events: 3, framing: FramingChunks, dressed: true},
	{name: "stream with a length", path: "/once/", events: 3, framing: FramingLength},
	{name: "stream with a length, resumable", path: "/stream/", events: 3, framing: FramingLength},
	{name: "stream whose chunks split events", path: "/once/", events: 3, framing: FramingChunks, piece: 7, dressed: true},
	{name: "stream whose chunks split events, resumable", path: "/stream/", events: 3, framing: FramingChunks, piece: 7},
	{name: "stream after interim responses", path: "/stream/", events: 2, framing: FramingChunks, interim: interimResponses},
}

// interimResponses resemble a whole response of their target.
const interimResponses = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: r1\r\nX-Stamp: t1\r\nContent-Length: 0\r\n\r\n"

// repeatable reports whether another target may serve the request.
func (s shape) repeatable() bool { return s.path == "/safe/" || s.path == "/stream/" }

// drawn returns a case with a drawn ending, number of targets and caller.
func (s shape) drawn(random *rand.Rand) cut {
	endings := []rawtarget.Ending{rawtarget.Close, rawtarget.Reset}
	return cut{shape: s, ending: endings[random.IntN(len(endings))], targets: 1 + random.IntN(2), kind: callerKind(random.IntN(int(callerKinds)))}
}

// headLength returns the length of the head, with the interim responses before it.
func (s shape) headLength() int {
	s.method = http.MethodHead
	return len(s.bytes("r1", "t1", 1))
}

// Guards against a response that its target closes or resets at any byte of its head or its body, and that a caller takes
// for a target's whole one.
func TestResponseCutAtAnyByteIsNotWhole(t *testing.T) {
	t.Parallel()
	for i, s := range cutShapes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(1, uint64(i)))
			var cases []cut
			for at := range len(s.bytes("r1", "t1", 1)) {
				c := s.drawn(random)
				c.at, c.served = at, c.targets > 1 && s.repeatable()
				cases = append(cases, c)
			}
			runCuts(t, cases, casesAtATime)
		})
	}
}

// Guards against bytes that a target sends after the host has given it up, as it was silent, and that reach the caller, and
// against a stream that does not go on elsewhere meanwhile.
func TestResponseOfASilentTargetThatGoesOnIsNotMixedIn(t *testing.T) {
	t.Parallel()
	endings := []rawtarget.Ending{rawtarget.Keep, rawtarget.Close, rawtarget.Reset, rawtarget.Hold}
	for i, s := range []shape{
		{name: "length", path: "/safe/", framing: FramingLength},
		{name: "chunks", path: "/safe/", framing: FramingChunks, dressed: true},
		{name: "stream with chunks", path: "/stream/", events: 3, framing: FramingChunks, dressed: true},
		{name: "stream with a length", path: "/stream/", events: 3, framing: FramingLength},
		{name: "stream whose chunks split events", path: "/stream/", events: 3, framing: FramingChunks, piece: 7},
		{name: "stream without framing", path: "/stream/", events: 3, framing: FramingNone},
		{name: "stream that may not be resumed", path: "/once/", events: 3, framing: FramingChunks},
		{name: "length, not repeatable", path: "/unsafe/", framing: FramingLength},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(2, uint64(i)))
			var cases []cut
			for at := 0; at < len(s.bytes("r1", "t1", 1)); at += 1 + random.IntN(2) {
				c := s.drawn(random)
				c.at, c.targets, c.ending, c.served = at, 2, endings[random.IntN(len(endings))], true
				if !s.repeatable() && c.ending == rawtarget.Hold {
					c.ending = rawtarget.Close
				}
				c.pause, c.laterPause = silentFor, goesOnFor
				cases = append(cases, c)
			}
			runCuts(t, cases, len(cases))
		})
	}
}

// A silent target goes on after more than the host waits, while the sound response of another target is under way.
const (
	silentFor = 1100 * time.Millisecond
	goesOnFor = 600 * time.Millisecond
)

// Guards against a response that a target sends after the host closed its connection, as that of a target that was suspended,
// and that reaches a caller.
func TestResponseAfterTheConnectionWasClosedReachesNobody(t *testing.T) {
	t.Parallel()
	for i, s := range []shape{
		{name: "length, repeatable", path: "/safe/", framing: FramingLength},
		{name: "length", path: "/unsafe/", framing: FramingLength},
		{name: "stream, resumable", path: "/stream/", events: 3, framing: FramingChunks},
		{name: "stream", path: "/once/", events: 3, framing: FramingNone},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(3, uint64(i)))
			total := len(s.bytes("r1", "t1", 1))
			var cases []cut
			for range 24 {
				c := s.drawn(random)
				c.at, c.deadline, c.afterClose = random.IntN(total+1), 400, true
				if c.targets > 1 && s.repeatable() {
					c.deadline, c.served = 0, true
				}
				cases = append(cases, c)
			}
			runCuts(t, cases, len(cases))
		})
	}
}

// Guards against a long response whose body is cut and that a caller takes for whole, whether the host buffers it or forwards
// it as it arrives.
func TestLongResponseCutIsNotWhole(t *testing.T) {
	t.Parallel()
	for i, s := range []shape{
		{name: "length, repeatable", path: "/safe/", framing: FramingLength},
		{name: "length", path: "/unsafe/", framing: FramingLength},
		{name: "chunks, repeatable", path: "/safe/", framing: FramingChunks, piece: 5000, dressed: true},
		{name: "chunks", path: "/unsafe/", framing: FramingChunks, piece: 4096},
	} {
		for _, s.body = range []int{alwaysBuffered, alwaysBuffered + 1, 20000, maxBuffered, maxBuffered + 1, 300000} {
			t.Run(fmt.Sprintf("%s, %d bytes", s.name, s.body), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(4, uint64(i*1000000+s.body)))
				total, head := len(s.bytes("r1", "t1", 1)), s.headLength()
				positions := []int{head - 1, head, head + 1, total - 6, total - 4, total - 2, total - 1, total, total, total}
				for _, edge := range []int{head + alwaysBuffered, head + maxBuffered} {
					positions = append(positions, edge-1, edge, edge+1)
				}
				for range 4 {
					positions = append(positions, head+random.IntN(total-head))
				}
				var cases []cut
				for _, at := range positions {
					c := s.drawn(random)
					c.at, c.noRoom = min(at, total), random.IntN(2) == 0
					c.served = at >= total || c.targets > 1 && s.repeatable() && (at < head || s.body <= alwaysBuffered)
					if at >= total {
						c.ending = rawtarget.Keep
					}
					cases = append(cases, c)
				}
				runCuts(t, cases, casesAtATime)
			})
		}
	}
}

// Guards against a cut response that a caller takes for whole because it has closed its sending side, at any moment.
func TestCutResponseIsNotWholeForACallerThatStoppedSending(t *testing.T) {
	t.Parallel()
	for i, s := range cutShapes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(5, uint64(i)))
			total := len(s.bytes("r1", "t1", 1))
			var cases []cut
			for range 16 {
				c := s.drawn(random)
				c.at, c.stops = random.IntN(total+1), time.Duration(1+random.IntN(40_000))*time.Microsecond
				if random.IntN(2) == 0 {
					c.pause = time.Duration(1+random.IntN(40)) * time.Millisecond
				}
				cases = append(cases, c)
			}
			runCuts(t, cases, len(cases))
		})
	}
}

// Guards against a sound response that is lost, or not whole, if it arrives in two pieces, divided at any byte, and against one
// whose target closes its connection right after it.
func TestResponseInPiecesIsDeliveredWhole(t *testing.T) {
	t.Parallel()
	for i, s := range append(unframedShapes, cutShapes...) {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(6, uint64(i)))
			total := len(s.bytes("r1", "t1", 1))
			var cases []cut
			for at := random.IntN(3); at <= total; at += 1 + random.IntN(7) {
				c := s.drawn(random)
				c.at, c.pause, c.served, c.ending = at, time.Millisecond, true, rawtarget.Close
				if s.framing != FramingNone && random.IntN(2) == 0 {
					c.ending = rawtarget.Keep
				}
				cases = append(cases, c)
			}
			runCuts(t, cases, casesAtATime)
		})
	}
}

// unframedShapes end with their connections.
var unframedShapes = []shape{
	{name: "no framing", path: "/unsafe/", framing: FramingNone},
	{name: "no framing, repeatable", path: "/safe/", framing: FramingNone},
	{name: "stream without framing", path: "/once/", events: 3, framing: FramingNone},
	{name: "stream without framing, resumable", path: "/stream/", events: 3, framing: FramingNone},
}

// Guards against a response that ends with its connection, whose head is cut, or that is reset at any byte, and that a caller
// takes for whole.
func TestUnframedResponseThatIsVisiblyCutIsNotWhole(t *testing.T) {
	t.Parallel()
	for i, s := range unframedShapes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(7, uint64(i)))
			var cases []cut
			for at := range len(s.bytes("r1", "t1", 1)) {
				c := s.drawn(random)
				c.at, c.served = at, c.targets > 1 && s.repeatable()
				if at >= s.headLength() {
					c.ending = rawtarget.Reset
				}
				cases = append(cases, c)
			}
			runCuts(t, cases, 4*casesAtATime)
		})
	}
}

// Guards against a response that ends with its connection, that its target, which lives on, closes at any byte of the body, and
// that is forwarded with a framing that says that it is whole.
func TestUnframedResponseThatIsClosedIsNotFramedAsWhole(t *testing.T) {
	t.Parallel()
	for i, s := range unframedShapes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(8, uint64(i)))
			var cases []cut
			for at := s.headLength(); at < len(s.bytes("r1", "t1", 1)); at++ {
				c := s.drawn(random)
				c.at, c.ending, c.endsAnywhere = at, rawtarget.Close, true
				cases = append(cases, c)
			}
			runCuts(t, cases, 4*casesAtATime)
		})
	}
}

// Guards against a stream that ends as whole after a part, as the target that should go on with it switches protocols.
func TestSwitchOfProtocolsDoesNotEndAStream(t *testing.T) {
	t.Parallel()
	s := shape{name: "stream", path: "/stream/", events: 3, framing: FramingChunks}
	switches := shape{path: s.path, status: http.StatusSwitchingProtocols, events: 3, framing: FramingNone}
	var cases []cut
	for kind := range callerKinds {
		at := strings.Index(s.bytes("r1", "t1", 1), "id: 2")
		cases = append(cases, cut{shape: s, at: at, ending: rawtarget.Close, targets: 2, kind: kind, later: &switches, deadline: 1000})
	}
	runCuts(t, cases, casesAtATime)
}

// Guards against a buffered response that ends with its caller's connection and that is broken off by a close, as the caller
// has not read it for long: it would take that for the end.
func TestBufferedResponseThatIsNotReadIsNotWhole(t *testing.T) {
	t.Parallel()
	f := newFixtureWithoutServer(t)
	f.server = startServer(t, f.handler, func(s *httptest.Server) {
		s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			_ = c.(*net.TCPConn).SetWriteBuffer(8 << 10)
			return ConnContext(ctx, c)
		}
	})
	s := shape{path: "/safe/", framing: FramingChunks, body: maxBuffered - 1}
	raw, err := rawtarget.Start(func(*http.Request) rawtarget.Reply { return rawtarget.Reply{Text: s.bytes("r1", "t1", 1)} })
	f.is.NoErr(err)
	t.Cleanup(raw.Close)
	f.targets.Put(target.Entry{ID: "t1", Service: "plain", Address: raw.Address(), Domain: "z1", Slots: 4})
	go f.unread.Run(t.Context())

	caller := f.call("HTTP/1.0", "/safe/x", "Content-Length: 1\r\n", "p")
	f.is.NoErr(caller.conn.SetReadBuffer(8 << 10))
	caller.readUntil("answer")
	f.unread.Track(func() {}).BeginWrite(2<<20, time.Now()) // others that don't read either
	f.recorder.waitOutcome(t, "r1")
	got := caller.readAll()
	if !got.reset {
		t.Errorf("the response of %d bytes ends without a reset after %d more bytes", s.body, len(got.bytes))
	}
}
