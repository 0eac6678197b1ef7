// Package backend simulates a target that speaks plain HTTP/1.1: a model engine
// that streams events, or a service that sends whole responses. It records the
// requests that it ran, and fails as its Behaviour says.
package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names are the headers that the backend reads and writes.
type Names struct {
	RequestID, ExpectTarget, LastEventID, Stamp, NotRun, Limit, Leaving, Brittle string
}

// Behaviour is how a request is answered. The zero value responds at once.
type Behaviour struct {
	Status        int           // 0: 200
	Delay         time.Duration // before the response begins
	Events        int           // number of events of a stream; 0: a whole response
	From          int           // number of the first event, whatever the request says; 0: as it says
	Mark          string        // added to the data of each event; empty: nothing
	Gap           time.Duration // between events
	Body          string        // of a whole response
	Refuse        bool          // refuse, and say that the request was not run
	NoLength      bool          // send no length: the response ends as the connection closes
	BreakAfter    int           // break off after this many events, or bytes of a whole response
	BreakInside   bool          // break off inside an event
	Reset         bool          // break off by a TCP reset, not by an orderly close
	NoResponse    bool          // never respond
	Extra         bool          // send a second response after the first
	CrossedFirst  bool          // send another request's response first
	NoStamp       bool          // omit the stamp
	EarlyResponse bool          // respond before the body is read
	Crash         bool          // close the backend and all its connections after Delay
	CrashAfter    int           // close the backend and all its connections after this many events; 0: never
	Limit         []string      // values of the limit header of each response
	Leaving       bool          // each response announces the backend's exit
	RetryAfter    string        // of a refusal; empty: none
	Brittle       []string      // values of the brittle header of each response
	Slots         *Slots        // bounds the requests that run and wait; nil: no bound
	Raw           *Raw          // sent after Delay in place of any other response; nil: not
}

// Run is one request that the backend began to run.
type Run struct {
	ID, Method, URI, Host, Body string
	Header                      http.Header
	From                        int // number of the first event to send
	Made                        int // events sent
	Cancelled                   bool
	Connection                  string // remote address
}

// Backend is one incarnation of a target.
type Backend struct {
	ID    string
	names Names

	listener net.Listener

	mu       sync.Mutex
	behave   func(Run) Behaviour
	runs     []*Run
	arrivals int
	conns    map[net.Conn]bool
	ended    chan struct{} // closed by Close
	once     sync.Once

	suspended int           // calls of Suspend that are in force
	running   chan struct{} // closed as the backend goes on; nil while it is not suspended
}

// Start starts a backend on a free port of 127.0.0.1.
func Start(id string, names Names, behave func(Run) Behaviour) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{ID: id, names: names, behave: behave, listener: listener, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	go b.accept()
	return b, nil
}

// Address is the address that the backend listens on.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetBehaviour changes how requests are answered from now on. f must not call the backend.
func (b *Backend) SetBehaviour(f func(Run) Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behave = f
}

// Runs returns a copy of the requests that were run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make([]Run, len(b.runs))
	for i, r := range b.runs {
		runs[i] = *r
	}
	return runs
}

// Arrivals is the number of requests received, run or not.
func (b *Backend) Arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals
}

// Connections is the number of open connections.
func (b *Backend) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Done is closed when the backend is closed.
func (b *Backend) Done() <-chan struct{} { return b.ended }

// Close closes the listener and all connections. It may be called more than once.
func (b *Backend) Close() {
	_ = b.listener.Close()
	b.once.Do(func() { close(b.ended) })
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		if b.isDone() {
			_ = c.Close() // accepted while the backend was closing
		}
		go b.serve(c)
	}
}

func (b *Backend) isDone() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

func (b *Backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	c := &suspendable{Conn: conn, backend: b}
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil || !b.answer(c, reader, req) {
			return
		}
	}
}

// answer serves one request and reports whether the connection stays open.
func (b *Backend) answer(c net.Conn, reader *bufio.Reader, req *http.Request) bool {
	run := Run{
		ID: req.Header.Get(b.names.RequestID), Method: req.Method, URI: req.RequestURI, Host: req.Host,
		Header: req.Header, Connection: c.RemoteAddr().String(),
	}
	b.mu.Lock()
	b.arrivals++
	how := b.behave(run)
	b.mu.Unlock()
	if how.EarlyResponse {
		// The rest of the body is read afterwards, as the documented protocol allows.
		b.write(c, run, how)
		_, _ = io.Copy(io.Discard, req.Body)
		return true
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	run.Body = string(body)
	if expected := req.Header.Get(b.names.ExpectTarget); expected != "" && expected != b.ID {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", b.names.RequestID, run.ID, b.advisoryLines(how))
		return true
	}
	if how.Refuse || !how.Slots.enter() {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", b.names.RequestID, run.ID, b.names.NotRun, b.advisoryLines(how))
		return true
	}
	return b.run(c, reader, &run, how)
}

// run records a request that has a place, runs it and reports whether the connection stays open.
func (b *Backend) run(c net.Conn, reader *bufio.Reader, run *Run, how Behaviour) bool {
	run.From = 1
	if last, err := strconv.Atoi(run.Header.Get(b.names.LastEventID)); err == nil {
		run.From = last + 1
	}
	if how.From > 0 {
		run.From = how.From
	}
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	gone, done := watch(reader)
	keepOpen := b.work(c, run, how, gone)
	how.Slots.leave()
	if keepOpen {
		<-done // the next request has arrived, or the connection was closed
	}
	return keepOpen
}

// work responds to a request that was recorded.
func (b *Backend) work(c net.Conn, run *Run, how Behaviour, gone <-chan struct{}) bool {
	if how.NoResponse {
		<-gone
		return b.cancelled(run)
	}
	if !b.pause(run, gone, how.Delay) {
		return false
	}
	if how.Crash {
		b.Close()
		return false
	}
	if how.Raw != nil {
		return how.Raw.send(c)
	}
	if how.CrossedFirst {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: s\r\nContent-Length: 5\r\n\r\nother", b.names.RequestID, b.names.Stamp)
	}
	var keepOpen bool
	if how.Events > 0 {
		keepOpen = b.stream(c, run, how, gone)
	} else {
		keepOpen = b.write(c, *run, how)
	}
	if how.Extra && keepOpen {
		b.write(c, *run, Behaviour{Body: "extra"})
	}
	return keepOpen && !how.NoLength
}

// watch closes gone when the peer closes the connection, and done then or when
// the next request arrives. Nothing else may use reader until done is closed.
func watch(reader *bufio.Reader) (gone, done chan struct{}) {
	gone, done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		// Peek waits for the next request or the end, and consumes nothing.
		if _, err := reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	return gone, done
}

func (b *Backend) cancelled(run *Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.Cancelled = true
	return false
}

func (b *Backend) pause(run *Run, gone <-chan struct{}, d time.Duration) bool {
	select {
	case <-gone:
		return b.cancelled(run)
	case <-time.After(d):
		return true
	}
}

func (b *Backend) head(run Run, how Behaviour) string {
	status := how.Status
	if status == 0 {
		status = http.StatusOK
	}
	var h strings.Builder
	fmt.Fprintf(&h, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), b.names.RequestID, run.ID)
	if !how.NoStamp {
		fmt.Fprintf(&h, "%s: %s\r\n", b.names.Stamp, b.ID)
	}
	h.WriteString(b.advisoryLines(how))
	return h.String()
}

// advisoryLines returns the header lines that tell of the backend itself.
func (b *Backend) advisoryLines(how Behaviour) string {
	var h strings.Builder
	for _, value := range how.Limit {
		fmt.Fprintf(&h, "%s: %s\r\n", b.names.Limit, value)
	}
	for _, value := range how.Brittle {
		fmt.Fprintf(&h, "%s: %s\r\n", b.names.Brittle, value)
	}
	if how.Leaving {
		fmt.Fprintf(&h, "%s: 1\r\n", b.names.Leaving)
	}
	if how.Refuse && how.RetryAfter != "" {
		fmt.Fprintf(&h, "Retry-After: %s\r\n", how.RetryAfter)
	}
	return h.String()
}

// write sends a whole response and reports whether it was sent in full.
func (b *Backend) write(c net.Conn, run Run, how Behaviour) bool {
	head, body := b.head(run, how), how.Body
	if !how.NoLength {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	broken := how.BreakAfter > 0 && how.BreakAfter < len(body)
	if broken {
		body = body[:how.BreakAfter]
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	if broken && how.Reset {
		reset(c)
	}
	return err == nil && !broken
}

// reset makes closing the connection send a TCP reset.
func reset(c net.Conn) {
	if s, ok := c.(*suspendable); ok {
		c = s.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Event is the text of one event of a stream.
func Event(id string, n int) string { return markedEvent(id, n, "") }

func markedEvent(id string, n int, mark string) string {
	if mark != "" {
		mark = " " + mark
	}
	return fmt.Sprintf("id: %d\ndata: %s-%d%s\n\n", n, id, n, mark)
}

// stream sends events, in chunked encoding unless NoLength, and reports whether all were sent.
func (b *Backend) stream(c net.Conn, run *Run, how Behaviour, gone <-chan struct{}) bool {
	head := b.head(*run, how) + "Content-Type: text/event-stream\r\n"
	if !how.NoLength {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	for n := run.From; n <= how.Events; n++ {
		if n > run.From && !b.pause(run, gone, how.Gap) {
			return false
		}
		text := markedEvent(run.ID, n, how.Mark)
		if how.CrashAfter > 0 && n-run.From >= how.CrashAfter {
			b.Close()
			return false
		}
		if how.BreakAfter > 0 && n-run.From >= how.BreakAfter {
			b.breakOff(c, text, how)
			return false
		}
		if err := sendChunk(c, text, how); err != nil {
			return b.cancelled(run)
		}
		b.mu.Lock()
		run.Made++
		b.mu.Unlock()
	}
	if how.NoLength {
		return true
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (b *Backend) breakOff(c net.Conn, text string, how Behaviour) {
	if how.BreakInside {
		_ = sendChunk(c, text[:len(text)/2], how)
	}
	if how.Reset {
		reset(c)
	}
}

func sendChunk(c net.Conn, text string, how Behaviour) error {
	if !how.NoLength {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(c, text)
	return err
}
