// Package rawtarget is a target that sends given bytes, whatever they are, and then does with the connection as it is told.
package rawtarget

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Ending is what becomes of a connection after a reply.
type Ending int

const (
	Keep  Ending = iota // it serves the next request
	Close               // it is closed in order
	Reset               // it is reset
	Hold                // it stays open, and nothing more is sent
)

// Reply is how a request is answered.
type Reply struct {
	Text       string        // sent first
	Pause      time.Duration // between Text and Rest
	Rest       string
	Ending     Ending
	AfterClose bool // begin only once the peer has closed the connection
}

// Target listens on a free port of 127.0.0.1.
type Target struct {
	listener net.Listener
	answer   func(*http.Request) Reply

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

// Start starts a target. It calls answer, at times concurrently, with each request once its body was read.
func Start(answer func(*http.Request) Reply) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{listener: listener, answer: answer, conns: map[net.Conn]bool{}}
	go t.accept()
	return t, nil
}

// Address is the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close closes the listener and all connections.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// track records a connection and reports whether the target is open.
func (t *Target) track(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
	return !t.closed
}

func (t *Target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	if !t.track(c) {
		return
	}
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !reply(c, reader, t.answer(req)) {
			return
		}
	}
}

// reply answers a request and reports whether the connection serves the next one.
func reply(c net.Conn, reader *bufio.Reader, r Reply) bool {
	if r.AfterClose {
		_, _ = reader.Peek(1) // returns as the peer closes
	}
	_, err := io.WriteString(c, r.Text)
	if r.Pause > 0 {
		time.Sleep(r.Pause)
	}
	if err == nil && r.Rest != "" {
		_, err = io.WriteString(c, r.Rest)
	}
	switch r.Ending {
	case Keep:
		return err == nil
	case Reset:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Hold:
		_, _ = reader.Peek(1)
	}
	return false
}
