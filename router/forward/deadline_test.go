package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"maststage.dev/router/target"
)

// addUntilDeadline adds a target that sends pieces of a response without framing until the deadline that it was given, or
// early before that.
func (f *fixture) addUntilDeadline(service, piece string, early time.Duration) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = l.Close() })
	f.targets.Put(target.Entry{ID: service, Service: service, Address: l.Addr().String(), Domain: "z1", Slots: 4})
	serve := func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return // a probe
		}
		ms, err := strconv.Atoi(req.Header.Get("X-Deadline"))
		if err != nil {
			f.t.Error(err)
		}
		ends := time.Now().Add(time.Duration(ms)*time.Millisecond - early)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\n\r\n", req.Header.Get("X-Id"))
		for n := 1; time.Now().Before(ends); n++ {
			_, _ = fmt.Fprintf(c, piece, n)
			time.Sleep(min(20*time.Millisecond, time.Until(ends)))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

// Guards against taking a response without framing for whole though its target ended it as its deadline passed: it lives on.
func TestUnframedResponseThatEndsAtItsDeadlineIsNotWhole(t *testing.T) {
	const calls = 12
	for _, early := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		for path, c := range map[string]struct{ service, piece string }{
			"/once/x": {"engine", "id: %d\ndata: x\n\n"}, "/stream/x": {"engine", "id: %d\ndata: x\n\n"}, "/unsafe/x": {"plain", "piece %d"},
		} {
			t.Run(fmt.Sprintf("%s, %v early", path, early), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.addUntilDeadline(c.service, c.piece, early)
				whole := 0
				for range calls {
					if f.call("HTTP/1.1", path, "Connection: close\r\nContent-Length: 1\r\nX-Deadline: 200\r\n", "p").readAll().looksWhole() {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d look whole", whole, calls)
				}
			})
		}
	}
}
