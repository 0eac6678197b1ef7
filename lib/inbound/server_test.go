package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve starts a server of an account that answers with the length of the body, 503 if that was evicted, and returns its address.
func serve(t *testing.T, a *Account, share float64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ConnContext: ConnContext, ConnState: TrackState, Handler: a.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if errors.Is(err, ErrEvicted) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprint(w, len(body))
	}), time.Minute)}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(a.Listener(share).Accept(l)) }()
	return l.Addr().String()
}

// post sends a request whose body lacks some bytes on a new connection.
func post(t *testing.T, address string, length, missing int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-missing))
	return c
}

// status reads the status of a response; 0: the connection was closed.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// eventually waits until a condition is met.
func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not met: " + what)
		}
	}
}

// Guards against bodies that are evicted without an answer, and against charges that outlive their requests.
func TestEvictedBodyIsAnsweredAndReleased(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	address := serve(t, a, 1)
	stalled := post(t, address, 30*smallBytes, 1)
	eventually(t, "the body is charged", func() bool { return a.Bytes() > 59*smallBytes })
	whole := post(t, address, 10*smallBytes, 0)
	is.Equal(status(stalled), http.StatusServiceUnavailable)
	is.Equal(status(whole), http.StatusOK)
	_ = whole.Close()
	eventually(t, "nothing is held", func() bool { return a.Bytes() == 0 && a.Connections() == 0 })
}

// Guards against clients that keep a listener's connections, idle or in the middle of a body, from all others.
func TestConnectionsThatWaitLongestGiveWay(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 1 << 30, Connections: 16}, func() {})
	address := serve(t, a, 1)
	for range 40 {
		post(t, address, 10, 1)
	}
	eventually(t, "an ordinary request is answered", func() bool { return status(post(t, address, 10, 0)) == http.StatusOK })
	is.True(a.Connections() <= 16)
}

// Guards against a request that was received whole and is broken off, as its connection was evicted at that moment.
func TestRequestsBesideEvictionsAreAnsweredOrClosedUnread(t *testing.T) {
	a := New(Limits{Bytes: 1 << 30, Connections: 16}, func() {})
	address := serve(t, a, 1)
	var clients sync.WaitGroup
	for range 30 {
		clients.Go(func() {
			for range 20 {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				reader := bufio.NewReader(c)
				for range 5 {
					if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx"); err != nil {
						break
					}
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break // closed, which is allowed before the request is read
					}
					body, err := io.ReadAll(resp.Body)
					if resp.StatusCode == http.StatusOK && (err != nil || string(body) != "2") {
						t.Errorf("body %q, %v", body, err)
					}
				}
				_ = c.Close()
			}
		})
	}
	clients.Wait()
	eventually(t, "nothing is held", func() bool { return a.Bytes() == 0 && a.Connections() == 0 })
}
