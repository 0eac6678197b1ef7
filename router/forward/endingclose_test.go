package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// Guards against breaking off a whole response without framing whose caller has sent its next request: a connection that is
// closed with bytes unread is reset, and what is still on the way is lost.
func TestWholeResponseWithoutFramingReachesCallerThatSendsMore(t *testing.T) {
	for name, body := range map[string]string{"short": "whole", "longer than the kernel's buffers": strings.Repeat("x", 200<<10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.add("p1", "plain", backend.Behaviour{Body: body, NoLength: true, Delay: 50 * time.Millisecond})
			caller := f.call("HTTP/1.1", "/unsafe/x", "Content-Length: 1\r\n", "p")
			time.Sleep(10 * time.Millisecond) // the first request is under way
			_, err := io.WriteString(caller.conn, "GET /open/x HTTP/1.1\r\nHost: a.example\r\nX-Id: next\r\n\r\n")
			f.is.NoErr(err)
			f.recorder.waitOutcome(t, "r1")
			_, got, err := caller.readAll().response()
			f.is.NoErr(err)
			f.is.Equal(len(got), len(body))
		})
	}
}

// Guards against an orderly close of a broken response to a caller that speaks HTTP/1.0 whose length its target applies to one
// connection only: it is not passed on.
func TestBrokenResponseWhoseLengthIsNotPassedOnIsReset(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	defer l.Close()
	f.targets.Put(target.Entry{ID: "p1", Service: "plain", Address: l.Addr().String(), Domain: "z1", Slots: 4})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: s\r\nConnection: Content-Length\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("x", 300000))
	}()
	f.is.True(!f.call("HTTP/1.0", "/unsafe/x", "", "").readAll().looksWhole())
}
