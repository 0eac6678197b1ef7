package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner stands in for a runner of the platform. It serves one request at a time on a connection, gives back Attempt-Id, signs
// its answers, answers 421 to a request for another instance, and drops a request whose connection closes.
type runner struct {
	id       string
	listener net.Listener
	// serve answers one request that this runner is to run. It returns whether the connection can be kept.
	serve func(e *exchange) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// exchange is one request at a runner.
type exchange struct {
	runner  *runner
	conn    net.Conn
	request *http.Request
	id      string
	body    []byte
	gone    context.Context // ends as the caller's connection closes
}

func startRunner(address, id string, serve func(e *exchange) bool) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, listener: listener, serve: serve, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serveConn(conn)
		}
	}()
	return r, nil
}

func (r *runner) address() string { return r.listener.Addr().String() }

func (r *runner) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *runner) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e := &exchange{runner: r, conn: conn, request: req, id: req.Header.Get("Attempt-Id"), body: body}
		if !r.handle(e, reader) {
			return
		}
	}
}

// handle answers one request and reports whether the connection can be kept.
func (r *runner) handle(e *exchange, reader *bufio.Reader) bool {
	if instance := e.request.Header.Get("Expect-Instance"); instance != "" && instance != r.id {
		return e.answer("421 Misdirected Request", []string{"Instance-Id: " + r.id}, "") == nil
	}
	if e.request.Method == http.MethodGet && e.request.URL.Path == "/health" {
		return e.answer("200 OK", []string{"Instance-Id: " + r.id}, "") == nil
	}
	gone, cancel := context.WithCancel(context.Background())
	e.gone = gone
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := reader.Peek(1); err != nil && !errors.Is(err, errStopWatching) && !isTimeout(err) {
			cancel()
		}
	}()
	keep := r.serve(e)
	cancel()
	_ = e.conn.SetReadDeadline(time.Unix(1, 0))
	<-watched
	_ = e.conn.SetReadDeadline(time.Time{})
	return keep
}

var errStopWatching = errors.New("not watched any more")

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// stamp is the signature of a runner's answer.
func (e *exchange) stamp() string { return "Response-Stamp: " + e.runner.id + "." + e.id }

// answer sends a whole answer with a length.
func (e *exchange) answer(status string, headers []string, body string) error {
	lines := append([]string{"HTTP/1.1 " + status, "Attempt-Id: " + e.id, "Content-Length: " + strconv.Itoa(len(body))}, headers...)
	_, err := io.WriteString(e.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	return err
}

// beginStream sends the head of a stream, in chunks or without framing.
func (e *exchange) beginStream(chunked bool) error {
	lines := []string{"HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Attempt-Id: " + e.id, e.stamp()}
	if chunked {
		lines = append(lines, "Transfer-Encoding: chunked")
	} else {
		lines = append(lines, "Connection: close")
	}
	_, err := io.WriteString(e.conn, strings.Join(lines, "\r\n")+"\r\n\r\n")
	return err
}

// event sends one event.
func (e *exchange) event(id int, chunked bool) error {
	text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, e.id)
	if chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(e.conn, text)
	return err
}

// endChunks ends a stream in chunks.
func (e *exchange) endChunks() error {
	_, err := io.WriteString(e.conn, "0\r\n\r\n")
	return err
}

// sleep waits; false means that the caller's connection closed meanwhile.
func (e *exchange) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.gone.Done():
		return false
	}
}

// tokenUsage reads the header Token-Usage.
func tokenUsage(h http.Header) (in, out int64) {
	first, second, _ := strings.Cut(h.Get("Token-Usage"), ",")
	in, _ = strconv.ParseInt(first, 10, 64)
	out, _ = strconv.ParseInt(second, 10, 64)
	return in, out
}
