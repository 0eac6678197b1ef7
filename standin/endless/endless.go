// Package endless simulates a target in trouble: its answer to each request never ends.
package endless

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Answer is sent until the other side closes. IDMark in it stands for the request's id.
type Answer struct {
	Start  string        // sent once
	Repeat string        // sent again and again
	Gap    time.Duration // before each byte of Repeat; 0: sent as fast as it is read
}

// IDMark stands for the id of the request.
const IDMark = "{id}"

const (
	// maxFastBytes bounds what is sent without a gap, so that a reader without a bound doesn't use up the machine's
	// memory; the answer then goes on slowly.
	maxFastBytes = 128 << 20
	slowGap      = 5 * time.Millisecond
	writeBytes   = 64 << 10 // of a write without a gap, about
)

// Target answers each request on its address with an endless answer.
type Target struct {
	idHeader string
	answer   Answer
	listener net.Listener

	mu        sync.Mutex
	conns     map[net.Conn]bool
	arrivals  int
	answering int // answers that the other side has not closed
}

// Start starts a target on a free port of 127.0.0.1. idHeader names the header with a request's id.
func Start(idHeader string, answer Answer) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{idHeader: idHeader, answer: answer, listener: listener, conns: map[net.Conn]bool{}}
	go t.accept()
	return t, nil
}

// Address is the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Fast reports whether the target sends as fast as its answers are read.
func (t *Target) Fast() bool { return t.answer.Gap == 0 }

// Arrivals is the number of requests received.
func (t *Target) Arrivals() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrivals
}

// Answering is the number of answers that go on. The connections of some may be idle for the other side.
func (t *Target) Answering() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answering
}

// Close closes the listener and all connections.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
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
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	t.countAnswer(1, 1)
	defer t.countAnswer(0, -1)
	fill := strings.NewReplacer(IDMark, req.Header.Get(t.idHeader)).Replace
	if _, err := io.WriteString(c, fill(t.answer.Start)); err != nil {
		return
	}
	repeat(c, fill(t.answer.Repeat), t.answer.Gap)
}

func (t *Target) countAnswer(arrived, began int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals += arrived
	t.answering += began
}

// repeat writes text again and again until a write fails. It allocates one block: tests bound what the process allocates.
func repeat(c net.Conn, text string, gap time.Duration) {
	if gap == 0 {
		block := bytes.Repeat([]byte(text), 1+writeBytes/len(text))
		for sent := 0; sent < maxFastBytes; sent += len(block) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
		gap = slowGap
	}
	for {
		for i := range len(text) {
			time.Sleep(gap)
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
		}
	}
}
