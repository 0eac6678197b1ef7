package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"maststage.dev/router/target"
)

// startTargetThatGoesDark starts a target that sends the first events of an unframed stream, closes the connection, and whose
// address accepts no further connections and doesn't refuse them either.
func (f *fixture) startTargetThatGoesDark(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n", request.Header.Get("X-Id"), id)
		f.fillBacklog(l)
	}()
	f.targets.Put(target.Entry{ID: id, Service: "engine", Address: l.Addr().String(), Domain: "z1", Slots: 4})
}

// fillBacklog makes the kernel drop the packets that open connections to a listener.
func (f *fixture) fillBacklog(l net.Listener) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	f.is.NoErr(err)
	f.is.NoErr(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	f.is.NoErr(err)
	for range 4 {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond); err == nil {
			f.t.Cleanup(func() { _ = c.Close() })
		}
	}
}

// Guards against a stream without framing that is taken for whole, though its target went dark as the connection ended, so that nothing shows
// whether it exited.
func TestUnframedStreamOfATargetThatWentDarkIsNotWhole(t *testing.T) {
	f := newFixture(t)
	f.startTargetThatGoesDark("e1")
	got := f.do(f.request("POST", "/once/x", "p"))
	f.is.True(got.err != nil)
	f.is.Equal(f.recorder.waitOutcome(t, "r1").Kind, CutOff)
}
