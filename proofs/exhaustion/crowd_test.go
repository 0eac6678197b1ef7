package exhaustion

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Figures of a crowd.
const (
	fewClients   = 150 // that send much
	manyClients  = 600 // that send little, and keep their connections open
	ordinaryBody = 4 << 10
	dialTimeout  = 2 * time.Second
	// stuckTime is how long a client tries to send what the router doesn't read.
	stuckTime = 3 * time.Second
	// connections bounds those that a client opens one after the other, as the router closes them.
	connections = 3
	// endlessBytes is where a client ends that sends without end.
	endlessBytes = 16 << 20
)

// conduct is what clients of a crowd do on a connection before they keep it open. An error means that the router closed it.
type conduct struct {
	name    string
	clients int
	send    func(c net.Conn, l listener) error
}

var conducts = []conduct{
	{"bodies in large chunks stop short", fewClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, "Transfer-Encoding: chunked", func() error { return writeChunks(c, l.maxBody-1, 64<<10) })
	}},
	{"bodies in small chunks stop short", fewClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, "Transfer-Encoding: chunked", func() error { return writeChunks(c, l.maxBody-1, 16) })
	}},
	{"bodies with a length stop short", fewClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, fmt.Sprintf("Content-Length: %d", l.maxBody), func() error { return writeBytes(c, l.maxBody-1) })
	}},
	{"bodies with a length do not begin", fewClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, fmt.Sprintf("Content-Length: %d", l.maxBody), func() error { return nil })
	}},
	{"announced bodies over the limit", fewClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, "Content-Length: 1099511627776", func() error { return writeBytes(c, endlessBytes) })
	}},
	{"chunked bodies over the limit", fewClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, "Transfer-Encoding: chunked", func() error { return writeChunks(c, endlessBytes, 64<<10) })
	}},
	{"many small bodies stop short", manyClients, func(c net.Conn, l listener) error {
		return unfinished(c, l, "Content-Length: 8000", func() error { return writeBytes(c, 7999) })
	}},
	{"many refused bodies stop short", manyClients, func(c net.Conn, l listener) error {
		return unfinished(c, listener{l.name, l.address, "/nowhere", l.maxBody, l.headers}, "Content-Length: 8000", func() error { return writeBytes(c, 7999) })
	}},
	{"heads over the limit", manyClients, func(c net.Conn, l listener) error { return writeHead(c, l, 4*maxHeaderBytes) }},
	{"heads without end", manyClients, func(c net.Conn, l listener) error { return writeHead(c, l, endlessBytes) }},
	{"empty lines without end", manyClients, func(c net.Conn, l listener) error { return writeLines(c, endlessBytes) }},
	{"nothing is sent", manyClients, func(net.Conn, listener) error { return nil }},
}

// Guards against clients that make a process hold more than its machine has: bodies, heads and connections that don't end.
func TestHostOutlivesClientsThatDoNotEndTheirRequests(t *testing.T) {
	for _, l := range listeners {
		for _, what := range conducts {
			t.Run(l.name+"/"+strings.ReplaceAll(what.name, " ", "_"), func(t *testing.T) {
				startMachine(t).outlives(what, l)
			})
		}
	}
}

// outlives requires that the process lives and serves beside a crowd, and after it.
func (m *machine) outlives(what conduct, l listener) {
	crowd := startCrowd(what, l)
	defer crowd.leave()
	crowd.sent.Wait()
	m.settle()
	m.checkHeld()
	m.eventuallyServes()
	crowd.leave()
	m.eventuallyServes()
	m.checkHeld()
}

// Guards against a bound that requests inside the limits meet while nothing else is in progress.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	startMachine(t)
	for _, c := range []struct {
		name, framing string
		bytes         int
		body          func(c net.Conn) error
	}{
		{"length", fmt.Sprintf("Content-Length: %d", maxBodyBytes), maxBodyBytes, func(c net.Conn) error { return writeBytes(c, maxBodyBytes) }},
		{"large chunks", "Transfer-Encoding: chunked", maxBodyBytes, func(c net.Conn) error {
			return errors.Join(writeChunks(c, maxBodyBytes, 64<<10), endChunks(c))
		}},
		{"small chunks", "Transfer-Encoding: chunked", maxBodyBytes / 8, func(c net.Conn) error {
			return errors.Join(writeChunks(c, maxBodyBytes/8, 1), endChunks(c))
		}},
		{"large head", "Content-Length: 1\r\n" + manyHeaders(maxHeaderBytes-1000), 1, func(c net.Conn) error { return writeBytes(c, 1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := exchange(c.bytes, func(conn net.Conn) error {
				return writeRequest(conn, c.framing, func() error { return c.body(conn) })
			}); err != nil {
				t.Error(err)
			}
		})
	}
}

// crowd is a number of clients at one listener.
type crowd struct {
	sent   sync.WaitGroup // clients whose last connection is open, or that have opened all theirs
	all    sync.WaitGroup
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// startCrowd has clients open connections and keep them open.
func startCrowd(what conduct, l listener) *crowd {
	c := &crowd{open: map[net.Conn]bool{}}
	for range what.clients {
		c.sent.Add(1)
		c.all.Go(func() { c.client(what, l) })
	}
	return c
}

// client opens a connection, and another one each time that the router closes it while the client sends. The last one is kept open.
func (c *crowd) client(what conduct, l listener) {
	defer c.sent.Done()
	for range connections {
		nc, err := net.DialTimeout("tcp", l.address, dialTimeout)
		if err != nil {
			continue
		}
		_ = nc.SetWriteDeadline(time.Now().Add(stuckTime))
		kept := what.send(nc, l) == nil
		if !c.keep(nc) || kept {
			return
		}
	}
}

// keep keeps a connection until the crowd leaves. It reports whether the crowd is there.
func (c *crowd) keep(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = nc.Close()
		return false
	}
	c.open[nc] = true
	return true
}

// leave closes all connections of the crowd.
func (c *crowd) leave() {
	c.mu.Lock()
	c.closed = true
	for nc := range c.open {
		_ = nc.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

// unfinished sends the head of a request and what body writes.
func unfinished(c net.Conn, l listener, framing string, body func() error) error {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a\r\n%s%s\r\n\r\n", l.path, routeHost, l.headers, framing); err != nil {
		return err
	}
	return body()
}

// writeRequest sends a request to callers' listener.
func writeRequest(c net.Conn, headers string, body func() error) error {
	return unfinished(c, listeners[0], headers, body)
}

// exchange connects as a caller, sends a request with a body of some bytes, and requires the target's response to it.
func exchange(bytes int, send func(c net.Conn) error) error {
	c, err := net.DialTimeout("tcp", callersAddress, dialTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(attemptTime)); err != nil {
		return err
	}
	if err := send(c); err != nil {
		return fmt.Errorf("sending: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(body) != strconv.Itoa(bytes) {
		return fmt.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	return nil
}

// payload is what bodies consist of: the beginning of a call between hosts, which has a long value.
var payload = append([]byte(`{"id":"`), bytes.Repeat([]byte("x"), endlessBytes)...)

// writeBytes writes n bytes of the payload.
func writeBytes(w io.Writer, n int) error {
	_, err := w.Write(payload[:n])
	return err
}

// writeChunks writes n bytes in chunks of a size, without the last, empty one.
func writeChunks(w io.Writer, n, size int) error {
	buffered := bufio.NewWriterSize(w, 16<<10)
	for rest := payload[:n]; len(rest) > 0; {
		part := rest[:min(len(rest), size)]
		if _, err := fmt.Fprintf(buffered, "%x\r\n%s\r\n", len(part), part); err != nil {
			return err
		}
		rest = rest[len(part):]
	}
	return buffered.Flush()
}

// endChunks writes the last chunk.
func endChunks(w io.Writer) error {
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// manyHeaders returns about n bytes of headers, each of them short.
func manyHeaders(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "X%x: 1\r\n", i)
	}
	return strings.TrimSuffix(b.String(), "\r\n")
}

// writeHead writes n bytes of a head that doesn't end.
func writeHead(c net.Conn, l listener, n int) error {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n", l.path, routeHost); err != nil {
		return err
	}
	buffered := bufio.NewWriterSize(c, 4<<10)
	for i := 0; n > 0; i++ {
		wrote, err := fmt.Fprintf(buffered, "X%x: 1\r\n", i)
		if err != nil {
			return err
		}
		n -= wrote
	}
	return buffered.Flush()
}

// writeLines writes n bytes of empty lines.
func writeLines(w io.Writer, n int) error {
	lines := bytes.Repeat([]byte("\r\n"), 4<<10)
	for ; n > 0; n -= len(lines) {
		if _, err := w.Write(lines); err != nil {
			return err
		}
	}
	return nil
}
