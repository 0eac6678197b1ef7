package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

var attempts atomic.Int64

// newAttempt returns a new Attempt-Id.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// call is one client attempt.
type call struct {
	method, path string
	headers      []string
	body         string
	deadline     time.Duration
	id           string
}

// reply is what a client saw of a call.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error // the connection ended before the answer was whole
	elapsed time.Duration
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	if r.err != nil {
		return fmt.Sprintf("%d, broken off after %d bytes: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("%d, whole, %d bytes, stamp %q, retry after %q", r.status, len(r.body), r.header.Get("Response-Stamp"), r.header.Get("Retry-After"))
}

// connection is a client's kept connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	closed bool // the node said that it closes the connection
}

func dial(address string) (*connection, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: nc, reader: bufio.NewReader(nc)}, nil
}

// do sends a call and reads its answer until the deadline.
func (c *connection) do(q call) (r reply) {
	began := time.Now()
	defer func() { r.elapsed = time.Since(began) }()
	lines := []string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + host, "Attempt-Id: " + q.id,
		"Deadline-Ms: " + strconv.FormatInt(q.deadline.Milliseconds(), 10),
	}
	lines = append(lines, q.headers...)
	if q.method == http.MethodPost {
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(q.body)))
	}
	_ = c.SetDeadline(began.Add(q.deadline))
	if _, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"+q.body); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	c.closed = resp.Close
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// once makes a call on a connection of its own.
func once(address string, q call) reply {
	c, err := dial(address)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	return c.do(q)
}

// ended reports whether the connection ended at the node's side, not at the client's deadline.
func (r reply) ended() bool {
	return r.err != nil && !isTimeout(r.err) && !errors.Is(r.err, net.ErrClosed)
}

// events counts the whole events of a stream.
func (r reply) events() int { return strings.Count(r.body, "\n\n") }
