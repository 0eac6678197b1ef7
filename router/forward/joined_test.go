package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"maststage.dev/router/target"
	"maststage.dev/standin/rawtarget"
)

// addReplies adds engines that, whichever they are, serve the first attempt with the first reply, the second with the second one,
// and so on, and counts the attempts.
func (f *fixture) addReplies(replies ...rawtarget.Reply) *atomic.Int64 {
	f.t.Helper()
	next := &atomic.Int64{}
	for i := range replies {
		raw, err := rawtarget.Start(func(*http.Request) rawtarget.Reply {
			return replies[min(int(next.Add(1)), len(replies))-1]
		})
		f.is.NoErr(err)
		f.t.Cleanup(raw.Close)
		f.targets.Put(target.Entry{ID: fmt.Sprintf("e%d", i), Service: "engine", Address: raw.Address(), Domain: "z1", Slots: 4})
	}
	return next
}

// streamed is a reply with chunks of a stream. A whole one has the last chunk, too.
func streamed(whole bool, status string, chunks ...string) rawtarget.Reply {
	text := "HTTP/1.1 " + status + "\r\nX-Id: r1\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range chunks {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
	}
	if whole {
		return rawtarget.Reply{Text: text + "0\r\n\r\n"}
	}
	return rawtarget.Reply{Text: text, Ending: rawtarget.Close}
}

// Guards against events without ids that a caller gets twice: no target can be told to go on behind them.
func TestStreamWhoseLastEventHasNoIDIsNotJoinedWithAnother(t *testing.T) {
	for name, c := range map[string]struct{ first, second []string }{
		"no ids":           {[]string{"data: 1\n\n", "data: 2\n\n"}, []string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n"}},
		"none in the last": {[]string{"id: 1\ndata: 1\n\n", "data: 2\n\n"}, []string{"data: 2\n\n", "id: 3\ndata: 3\n\n"}},
		"an empty one":     {[]string{"id: 1\ndata: 1\n\n", "id:\ndata: 2\n\n"}, []string{"data: 2\n\n", "id: 3\ndata: 3\n\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addReplies(streamed(false, "200 OK", c.first...), streamed(true, "200 OK", c.second...))
			got := f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nContent-Length: 1\r\n", "p").readAll()
			_, body, err := got.response()
			if body != c.first[0]+c.first[1] || err == nil {
				t.Errorf("the caller received %q, %v", body, err)
			}
		})
	}
	t.Run("comments are none", func(t *testing.T) {
		f := newFixture(t)
		f.addReplies(streamed(false, "200 OK", ": wait\n\n", "id: 1\ndata: 1\n\n", ": wait\n\n"), streamed(true, "200 OK", "id: 2\ndata: 2\n\n"))
		_, body, err := f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nContent-Length: 1\r\n", "p").readAll().response()
		f.is.NoErr(err)
		f.is.Equal(body, ": wait\n\nid: 1\ndata: 1\n\n: wait\n\nid: 2\ndata: 2\n\n")
	})
}

// Guards against a stream that ends as whole after a part, as the target that should go on with it responds with another success.
func TestAnotherStatusDoesNotEndAStream(t *testing.T) {
	for name, text := range map[string]string{
		"no content":    "HTTP/1.1 204 No Content\r\nX-Id: r1\r\nX-Stamp: s\r\n\r\n",
		"accepted":      "HTTP/1.1 202 Accepted\r\nX-Id: r1\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
		"reset content": "HTTP/1.1 205 Reset Content\r\nX-Id: r1\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addReplies(streamed(false, "200 OK", "id: 1\ndata: 1\n\n"), rawtarget.Reply{Text: text})
			got := f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nContent-Length: 1\r\n", "p").readAll()
			if got.looksWhole() {
				t.Errorf("the caller takes this for a whole response: %q", got.bytes)
			}
		})
	}
}

// Guards against events that a caller who takes up a stream has, and gets again since the first target broke off after bytes
// without an event and the next one sends the stream from the start.
func TestTargetThatRepeatsEventsAfterACommentDoesNotGoOnWithAStream(t *testing.T) {
	f := newFixture(t)
	f.addReplies(streamed(false, "200 OK", ": wait\n\n"), streamed(true, "200 OK", "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n"))
	got := f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nLast-Event-Id: 1\r\nContent-Length: 1\r\n", "p").readAll()
	_, body, err := got.response()
	if body != ": wait\n\n" || err == nil {
		t.Errorf("the caller received %q, %v", body, err)
	}
}

// Guards against an event that a caller gets twice since its id, which is no number, is not compared.
func TestTargetThatRepeatsTheLastEventDoesNotGoOnWithAStream(t *testing.T) {
	f := newFixture(t)
	f.addReplies(streamed(false, "200 OK", "id: a\ndata: 1\n\n"), streamed(true, "200 OK", "id: a\ndata: 1\n\n", "id: b\ndata: 2\n\n"))
	got := f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nContent-Length: 1\r\n", "p").readAll()
	_, body, err := got.response()
	if body != "id: a\ndata: 1\n\n" || err == nil {
		t.Errorf("the caller received %q, %v", body, err)
	}
}

// Guards against a switch of protocols that is forwarded as the response to a request that did not ask for it.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	f := newFixture(t)
	events := []string{"id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n"}
	switches := "HTTP/1.1 101 Switching Protocols\r\nX-Id: r1\r\nX-Stamp: s\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	f.addReplies(rawtarget.Reply{Text: switches + events[0], Ending: rawtarget.Close}, streamed(true, "200 OK", events...))
	resp, body, err := f.call("HTTP/1.1", "/stream/x", "Connection: close\r\nContent-Length: 1\r\n", "p").readAll().response()
	f.is.NoErr(err)
	f.is.Equal(resp.StatusCode, http.StatusOK)
	f.is.Equal(body, events[0]+events[1])
}
