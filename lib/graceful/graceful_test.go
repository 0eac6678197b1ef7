package graceful

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 10 * time.Second

// startServer serves on a free local port. It calls onAccept for each accepted connection, before
// it accepts the next one.
func startServer(t *testing.T, onAccept func()) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "ok")
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			onAccept()
			return ctx
		},
	})
	s.idleGrace = testTimeout / 4
	go func() { _ = s.Serve(l) }()
	for s.activeListener() == nil {
		time.Sleep(time.Millisecond)
	}
	return s, l.Addr().String()
}

func acceptImmediately() {}

// startShutdown starts Shutdown of a server; the channel delivers its result.
func startShutdown(s *Server) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	return ended
}

// client writes requests on one connection and reads their responses.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func connect(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t: t, conn: c, r: bufio.NewReader(c)}
}

func (c *client) send() {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nin"); err != nil {
		c.t.Fatalf("sending the request: %v", err)
	}
}

// readResponse reads a response and reports whether it closes the connection.
func (c *client) readResponse() (last bool) {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("no response to the request: %v", err)
	}
	defer res.Body.Close()
	if b, err := io.ReadAll(res.Body); err != nil || string(b) != "ok" {
		c.t.Fatalf("response body %q, %v", b, err)
	}
	return res.Close
}

// A request on a connection that waits to be accepted when shutdown begins gets its
// response. The kernel resets such a connection when the listener is closed ("connection
// reset by peer" at the client), and the client can't tell whether the request ran.
func TestPendingConnectionIsServedDuringShutdown(t *testing.T) {
	is := is.New(t)
	held, release := make(chan struct{}, 1), make(chan struct{})
	s, addr := startServer(t, func() {
		select {
		case held <- struct{}{}:
			<-release
		default:
		}
	})
	first := connect(t, addr)
	<-held // no other connection is accepted now
	var waiting []*client
	for range 20 {
		c := connect(t, addr)
		c.send()
		waiting = append(waiting, c)
	}
	ended := startShutdown(s)
	time.Sleep(50 * time.Millisecond)
	close(release)
	for _, c := range waiting {
		is.True(c.readResponse())
	}
	first.send()
	is.True(first.readResponse())
	is.NoErr(<-ended)
	_, err := net.DialTimeout("tcp", addr, testTimeout)
	is.True(err != nil) // the server refuses connections after shutdown
}

// A request that arrives during shutdown on a connection opened before it gets its
// response. http.Server alone reads it and closes the connection.
func TestRequestOnConnectionOpenedBeforeShutdownIsServed(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, acceptImmediately)
	c := connect(t, addr)
	ended := startShutdown(s)
	time.Sleep(50 * time.Millisecond)
	c.send()
	is.True(c.readResponse())
	is.NoErr(<-ended)
}

// A client may reuse a keep-alive connection just as shutdown begins: the request gets its
// response, which says that the connection closes.
func TestKeepAliveConnectionIsServedOnceMoreDuringShutdown(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, acceptImmediately)
	c := connect(t, addr)
	c.send()
	is.True(!c.readResponse())
	ended := startShutdown(s)
	time.Sleep(50 * time.Millisecond)
	c.send()
	is.True(c.readResponse())
	is.NoErr(<-ended)
}

// After Leave every response closes its connection, while new connections are served.
func TestLeaveEndsConnectionsWithTheirAnswers(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, acceptImmediately)
	kept := connect(t, addr)
	kept.send()
	is.True(!kept.readResponse())
	s.Leave()
	kept.send()
	is.True(kept.readResponse())
	late := connect(t, addr)
	late.send()
	is.True(late.readResponse())
	is.NoErr(<-startShutdown(s))
}

// Unused connections delay shutdown only briefly: an idle keep-alive connection for the
// grace period, one that never sent a request until the context of Shutdown ends.
func TestUnusedConnectionsDoNotHoldUpShutdown(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, acceptImmediately)
	s.idleGrace = 20 * time.Millisecond
	kept := connect(t, addr)
	kept.send()
	is.True(!kept.readResponse())
	is.NoErr(<-startShutdown(s))
	_, err := kept.r.ReadByte()
	is.Equal(err, io.EOF)

	s, addr = startServer(t, acceptImmediately)
	connect(t, addr)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
}

// sendRequestsUntil opens one connection per request until stop is closed, and counts the requests
// that were sent and got no response.
func sendRequestsUntil(stop <-chan struct{}, addr string, unanswered *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", addr, testTimeout/20)
		if err != nil {
			time.Sleep(time.Millisecond) // refused, so no request was sent
			continue
		}
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nin")
		if err == nil {
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		if err != nil {
			unanswered.Add(1)
		}
		_ = c.Close()
	}
}

// No connection opened while the listener closes is reset: its client could not tell whether
// the request ran.
func TestConnectionsOpenedWhileListenerClosesAreNotReset(t *testing.T) {
	const servers, callers = 60, 24
	var unanswered atomic.Int64
	for range servers {
		s, addr := startServer(t, acceptImmediately)
		s.idleGrace = 10 * time.Millisecond
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() { sendRequestsUntil(stop, addr, &unanswered) })
		}
		time.Sleep(5 * time.Millisecond)
		if err := <-startShutdown(s); err != nil {
			t.Error(err)
		}
		close(stop)
		wg.Wait()
	}
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d requests were sent and got no response while %d servers shut down", n, servers)
	}
}

// Guards against a shutdown that fails though every request was answered: Accept closes the listener, and http.Server
// closes it again unless Serve has returned by then.
func TestListenerMayBeClosedAgain(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newListener(tcp.(*net.TCPListener), func() bool { return true })
	is.NoErr(l.Close())
	is.NoErr(l.Close())
}

// Guards against connections that are read though they are not admitted, and against turning one away once the server
// shuts down: the balancer may still send it there.
func TestConnectionsThatAreNotAdmittedAreClosedUnread(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })})
	s.SetAdmission(func(int) bool { return false })
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	_, err = client.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader("x"))
	is.True(err != nil)
	is.Equal(requests.Load(), int64(0))
	s.Leave()
	resp, err := client.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader("x"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(requests.Load(), int64(1))
}
