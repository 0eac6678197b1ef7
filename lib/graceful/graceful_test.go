package graceful

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const patience = 10 * time.Second

// begin serves on a free port of this machine. hold is called for each connection as it
// is accepted, before the next one is.
func begin(t *testing.T, hold func()) (*Server, string) {
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
			hold()
			return ctx
		},
	})
	s.quiet = patience / 4
	go func() { _ = s.Serve(l) }()
	for s.accepting() == nil {
		time.Sleep(time.Millisecond)
	}
	return s, l.Addr().String()
}

func acceptAll() {}

// shutdown begins the end of a server; the channel tells its result.
func shutdown(s *Server) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	return ended
}

// caller is one connection, used by hand.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func connect(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &caller{t: t, conn: c, r: bufio.NewReader(c)}
}

func (c *caller) send() {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nin"); err != nil {
		c.t.Fatalf("not sent: %v", err)
	}
}

// answer reads an answer and says whether it is the last on its connection.
func (c *caller) answer() (last bool) {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("sent and not answered: %v", err)
	}
	defer res.Body.Close()
	if b, err := io.ReadAll(res.Body); err != nil || string(b) != "ok" {
		c.t.Fatalf("answer %q, %v", b, err)
	}
	return res.Close
}

// A request on a connection that waits to be accepted as the server ends is answered.
// The kernel resets such a connection when the listener is closed ("connection reset by
// peer" at the caller), and nobody knows whether the request ran.
func TestConnectionThatWaitsToBeAcceptedIsServed(t *testing.T) {
	is := is.New(t)
	held, release := make(chan struct{}, 1), make(chan struct{})
	s, addr := begin(t, func() {
		select {
		case held <- struct{}{}:
			<-release
		default:
		}
	})
	first := connect(t, addr)
	<-held // nothing else is accepted now
	var waiting []*caller
	for range 20 {
		c := connect(t, addr)
		c.send()
		waiting = append(waiting, c)
	}
	ended := shutdown(s)
	time.Sleep(50 * time.Millisecond)
	close(release)
	for _, c := range waiting {
		is.True(c.answer())
	}
	first.send()
	is.True(first.answer())
	is.NoErr(<-ended)
	_, err := net.DialTimeout("tcp", addr, patience)
	is.True(err != nil) // nobody connects to a server that ended
}

// A request that comes on a connection made before the end began is answered:
// http.Server reads it and hangs up.
func TestRequestOnAConnectionMadeBeforeTheEndIsServed(t *testing.T) {
	is := is.New(t)
	s, addr := begin(t, acceptAll)
	c := connect(t, addr)
	ended := shutdown(s)
	time.Sleep(50 * time.Millisecond)
	c.send()
	is.True(c.answer())
	is.NoErr(<-ended)
}

// A kept connection may be used again at the moment the server ends: it isn't closed
// under the request, and the answer says that it is the last.
func TestKeptConnectionIsServedOnceMore(t *testing.T) {
	is := is.New(t)
	s, addr := begin(t, acceptAll)
	c := connect(t, addr)
	c.send()
	is.True(!c.answer())
	ended := shutdown(s)
	time.Sleep(50 * time.Millisecond)
	c.send()
	is.True(c.answer())
	is.NoErr(<-ended)
}

// From Leave on answers end their connections, while new ones are served.
func TestLeaveEndsConnectionsWithTheirAnswers(t *testing.T) {
	is := is.New(t)
	s, addr := begin(t, acceptAll)
	kept := connect(t, addr)
	kept.send()
	is.True(!kept.answer())
	s.Leave()
	kept.send()
	is.True(kept.answer())
	late := connect(t, addr)
	late.send()
	is.True(late.answer())
	is.NoErr(<-shutdown(s))
}

// Connections that nobody uses hold up the end for a moment only: a kept one until it
// was quiet, one that never sent a request until the caller of Shutdown gives up.
func TestUnusedConnectionsEnd(t *testing.T) {
	is := is.New(t)
	s, addr := begin(t, acceptAll)
	s.quiet = 20 * time.Millisecond
	kept := connect(t, addr)
	kept.send()
	is.True(!kept.answer())
	is.NoErr(<-shutdown(s))
	_, err := kept.r.ReadByte()
	is.Equal(err, io.EOF)

	s, addr = begin(t, acceptAll)
	connect(t, addr)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
}

// callUntil makes one connection after another for a request each until stop is closed, and counts
// the requests that were sent and not answered.
func callUntil(stop <-chan struct{}, addr string, unanswered *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", addr, patience/20)
		if err != nil {
			time.Sleep(time.Millisecond) // refused: it was not sent
			continue
		}
		_ = c.SetDeadline(time.Now().Add(patience))
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

// No connection that is made in the moment in which the listener is closed is reset: its caller
// would not know whether the request ran.
func TestConnectionsMadeAsTheListenerClosesAreNotReset(t *testing.T) {
	const servers, callers = 60, 24
	var unanswered atomic.Int64
	for range servers {
		s, addr := begin(t, acceptAll)
		s.quiet = 10 * time.Millisecond
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() { callUntil(stop, addr, &unanswered) })
		}
		time.Sleep(5 * time.Millisecond)
		if err := <-shutdown(s); err != nil {
			t.Error(err)
		}
		close(stop)
		wg.Wait()
	}
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d requests were sent and not answered as %d servers ended", n, servers)
	}
}
