package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/endless"
)

// endlessStreams are streams that go on without another event.
var endlessStreams = map[string]endless.Answer{
	"event":           {Repeat: "data: x"},
	"event, lines":    {Repeat: "data: x\n"},
	"event, returns":  {Repeat: "data: x\r"},
	"comment":         {Start: ":", Repeat: "x"},
	"blank lines":     {Repeat: "\n"},
	"blank CRLFs":     {Repeat: "\r\n"},
	"no text":         {Repeat: "\x00\xff"},
	"other framing":   {Repeat: `{"a":1}`},
	"second response": {Repeat: "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"},
}

// asStream returns an answer that sends some complete events first.
func asStream(answer endless.Answer, first int) endless.Answer {
	answer.Start = okHead + "Content-Type: text/event-stream\r\n\r\n" + events(endless.IDMark, first) + answer.Start
	return answer
}

// Guards against a stream without another event that uses up the host's memory, or keeps the caller waiting until its
// deadline since its bytes are taken for progress.
func TestEndlessEventIsResumedElsewhere(t *testing.T) {
	for _, first := range []int{0, 3} {
		eachEndless(t, endlessStreams, func(t *testing.T, answer endless.Answer, gap time.Duration) {
			f := newFixture(t)
			bad := f.addEndless("engine", asStream(answer, first), gap)
			f.add("good", "engine", backend.Behaviour{Events: 10})
			got := f.doEndless(bad, func() *http.Request { return f.request("POST", "/stream/x", "p") })
			f.is.NoErr(got.err)
			f.is.Equal(got.status, 200)
			f.is.Equal(withoutBlankLines(got.body), withoutBlankLines(events(f.lastID(), 10)))
			// Blank lines beside the last event, and in the read that passes the limit, are forwarded.
			f.is.True(len(got.body) <= maxEventBytes+2*streamReadBytes+len(events(f.lastID(), 10)))
			f.checkBounded(bad, got, minGapSilence+endlessMargin)
		})
	}
}

// withoutBlankLines removes the blank lines of a stream, of which any number may end an event.
func withoutBlankLines(stream string) string {
	return strings.Join(strings.FieldsFunc(stream, func(r rune) bool { return r == '\n' || r == '\r' }), "\n")
}

// Guards against a stream that may not be repeated and ends as complete, or runs twice, after an event without end.
func TestEndlessEventOfStreamThatMayNotBeRepeatedIsCutOff(t *testing.T) {
	for _, first := range []int{0, 3} {
		eachEndless(t, endlessStreams, func(t *testing.T, answer endless.Answer, gap time.Duration) {
			f := newFixture(t)
			bad := f.addEndless("engine", asStream(answer, first), gap)
			const deadline = "1000" // ms
			got := f.doEndless(bad, func() *http.Request {
				req := f.request("POST", "/once/x", "p")
				req.Header.Set("X-Deadline", deadline)
				return req
			})
			f.is.True(got.err != nil || got.status == 502 || got.status == 504)
			if first > 0 {
				f.is.True(strings.HasPrefix(got.body, events(f.lastID(), first)))
			}
			f.is.Equal(bad.Arrivals(), 1)
			f.checkBounded(bad, got, time.Second+endlessMargin)
		})
	}
}

// Guards against taking a long event for one without end.
func TestLongEventIsForwarded(t *testing.T) {
	f := newFixture(t)
	long := "data: " + strings.Repeat("x", 200<<10) + "\n\n"
	f.add("e1", "engine", backend.Behaviour{Body: long + long + events("r1", 2)})
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.NoErr(got.err)
	f.is.Equal(got.body, long+long+events("r1", 2))
	f.recorder.waitOutcome(t, "r1")       // the caller has the response before the request has ended
	f.is.Equal(f.unread.Held(), int64(0)) // nothing stays reserved
}

// Guards against a silence time-out that begins with a blank line behind an event, on a route without one.
func TestBlankLineBeginsNoSilenceTimeout(t *testing.T) {
	f := newFixture(t)
	f.configure(strings.ReplaceAll(testConfig, `"gap_target_ms":100,`, ""))
	bad := f.addEndless("engine", asStream(endless.Answer{Repeat: "\n"}, 3), trickleGap)
	good := f.add("good", "engine", backend.Behaviour{Events: 3})
	got := f.doEndless(bad, func() *http.Request {
		req := f.request("POST", "/stream/x", "p")
		req.Header.Set("X-Deadline", "1000")
		return req
	})
	f.is.True(got.err != nil)
	f.is.Equal(f.recorder.waitOutcome(t, f.lastID()).Attempts, 1)
	f.is.Equal(good.Arrivals()+1, f.nextID) // the others
}
