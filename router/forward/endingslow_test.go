package forward

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"maststage.dev/router/unread"
	"maststage.dev/standin/backend"
)

// smallBuffers is the size of the kernel's buffers of connections with small ones, in bytes.
const smallBuffers = 2 << 10

// smallBufferListener makes the send buffers of accepted connections small.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(smallBuffers)
	}
	return c, err
}

// smallBufferDialer makes connections with a small receive buffer.
var smallBufferDialer = net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffers)
	})
}}

// readTooLate has a caller request a response and read it only after the handler has aborted the write to it.
func (f *fixture) readTooLate(protocol, path string) (received, Outcome) {
	f.t.Helper()
	f.handler.opts.Unread = unread.New(1, func() {})
	go f.handler.opts.Unread.Run(f.t.Context())
	server := startServer(f.t, f.handler, func(s *httptest.Server) { s.Listener = smallBufferListener{s.Listener} })
	conn, err := smallBufferDialer.Dial("tcp", server.Listener.Addr().String())
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: a.example\r\nX-Id: r1\r\nX-Key: k1\r\nX-Tokens: 100,50\r\n\r\n", path, protocol)
	f.is.NoErr(err)
	outcome := f.recorder.waitOutcome(f.t, "r1")
	return (&rawCaller{t: f.t, conn: conn.(*net.TCPConn)}).readAll(), outcome
}

// Guards against a buffered response that counts as whole though the write to its caller failed.
func TestBufferedResponseWhoseWriteFailedIsNotWhole(t *testing.T) {
	body := strings.Repeat("x", alwaysBuffered-1)
	for name, how := range map[string]backend.Behaviour{
		"framed": {Body: body}, "unframed": {Body: body, NoLength: true}, "failure": {Body: body, Status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.add("p1", "plain", how)
			_, outcome := f.readTooLate("HTTP/1.1", "/safe/x")
			f.is.Equal(outcome.End, EndAborted)
		})
	}
}

// Guards against an orderly close after a failed write to the caller, where the response ends with the connection: net/http
// closes the connection as soon as a write fails.
func TestResponseThatEndsWithTheConnectionIsResetAfterAFailedWrite(t *testing.T) {
	body := strings.Repeat("x", alwaysBuffered-1)
	long := strings.Repeat("x", maxBuffered+1000)
	for _, c := range []struct {
		name, protocol, path string
		how                  backend.Behaviour
	}{
		{"response", "HTTP/1.1", "/safe/x", backend.Behaviour{Body: body, NoLength: true}},
		{"response", "HTTP/1.0", "/safe/x", backend.Behaviour{Body: body, NoLength: true}},
		{"failure", "HTTP/1.1", "/safe/x", backend.Behaviour{Body: body, NoLength: true, Status: 500}},
		{"long response", "HTTP/1.1", "/safe/x", backend.Behaviour{Body: long, NoLength: true}},
		{"stream", "HTTP/1.1", "/once/x", backend.Behaviour{Events: 3000, NoLength: true}},
		{"framed stream", "HTTP/1.0", "/once/x", backend.Behaviour{Events: 3000}},
		{"stream of long events", "HTTP/1.1", "/once/x", backend.Behaviour{Events: 20, Mark: strings.Repeat("x", 6000), NoLength: true}},
		{"framed stream of long events", "HTTP/1.0", "/once/x", backend.Behaviour{Events: 20, Mark: strings.Repeat("x", 6000)}},
	} {
		t.Run(c.name+", "+c.protocol, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.add("p1", "plain", c.how)
			f.add("e1", "engine", c.how)
			got, _ := f.readTooLate(c.protocol, c.path)
			if _, part, err := got.response(); err == nil {
				t.Errorf("the caller takes %d bytes for the whole response", len(part))
			}
		})
	}
}

// Guards against an orderly close by a host that gives up its connections at the end of its shutdown, where the response ends
// with the connection.
func TestResponseThatEndsWithTheConnectionIsResetByAHostThatCloses(t *testing.T) {
	for protocol, noLength := range map[string]bool{"HTTP/1.1": true, "HTTP/1.0": false} {
		t.Run(protocol, func(t *testing.T) {
			f := newFixture(t)
			f.add("e1", "engine", backend.Behaviour{Events: 40, Gap: 30 * time.Millisecond, NoLength: noLength})
			caller := f.call(protocol, "/once/x", "Content-Length: 1\r\n", "p")
			beginning := caller.readUntil("id: 3\n")
			f.is.NoErr(f.server.Config.Close())
			got := caller.readAll()
			got.bytes = beginning + got.bytes
			if got.looksWhole() {
				t.Errorf("the caller takes this for a whole response: %.300q, reset: %t", got.bytes, got.reset)
			}
		})
	}
}
