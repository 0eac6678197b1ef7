// Package runner is a small stand-in of a runner as PROTOCOL.md describes it: it streams events or sends whole answers,
// turns away requests that expect another instance, and writes its entry to the store.
package runner

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Options configure a Runner.
type Options struct {
	ID, Service, Zone, Listen, Store string
	Slots, Queue                     int
	Heartbeat                        time.Duration
	// Unframed has answers carry no length and end with their connection.
	Unframed bool
	// Log gets one line for each request that the runner begins to run or ends.
	Log io.Writer
}

// Runner is one incarnation of a runner.
type Runner struct {
	opts   Options
	mu     sync.Mutex
	seq    int
	places chan struct{} // requests that run
	queue  chan struct{} // requests that wait for a place
}

// Serve serves until the process ends.
func Serve(o Options) error {
	r := &Runner{opts: o, places: make(chan struct{}, o.Slots), queue: make(chan struct{}, max(o.Queue, 1))}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	go r.beat()
	return http.Serve(listener, r)
}

// beat writes the runner's entry to the store at each heartbeat.
func (r *Runner) beat() {
	for {
		r.seq++
		value, _ := json.Marshal(map[string]any{
			"Service": r.opts.Service, "Address": r.opts.Listen, "Zone": r.opts.Zone, "Version": "v1", "Slots": r.opts.Slots,
			"State": "ready", "ColdLeftMs": 0, "Stage": "both", "Seq": r.seq,
		})
		r.write(value)
		time.Sleep(r.opts.Heartbeat)
	}
}

func (r *Runner) write(value []byte) {
	var body bytes.Buffer
	_ = binary.Write(&body, binary.BigEndian, uint32(1+len(r.opts.ID)+len(value)))
	body.WriteByte(byte(len(r.opts.ID)))
	body.WriteString(r.opts.ID)
	body.Write(value)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q := url.Values{"topic": {"keyed.servers"}, "part": {"0"}}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.opts.Store+"/v1/log-append?"+q.Encode(), &body)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(call); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func (r *Runner) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.opts.Log, "%s runner %s "+format+"\n", append([]any{time.Now().Format("15:04:05.000"), r.opts.ID}, args...)...)
}

// ServeHTTP answers one request. The query says what it asks for: events and gap_ms of a stream, or work_ms and bytes of
// a whole answer.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.opts.ID)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.opts.ID {
		w.Header().Set("Instance-Id", r.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.enter(req) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.record("runs %s %s from event %q", id, req.RequestURI, req.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Stamp", "stamp-"+id+"-"+r.opts.ID)
	if number(req, "events") > 0 {
		r.stream(w, req, id)
		return
	}
	select {
	case <-time.After(time.Duration(number(req, "work_ms")) * time.Millisecond):
	case <-req.Context().Done():
		r.record("drops %s", id)
		return
	}
	r.record("answers %s", id)
	body := bytes.Repeat([]byte("x"), max(number(req, "bytes"), 1))
	if !r.opts.Unframed {
		_, _ = w.Write(body)
		return
	}
	if conn := hijack(w, id, "text/plain"); conn != nil {
		defer conn.Close()
		_, _ = conn.Write(body)
	}
}

// hijack takes the connection over and sends the head of an answer that carries no length.
func hijack(w http.ResponseWriter, id, mediaType string) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		id, w.Header().Get("Response-Stamp"), mediaType)
	_, _ = io.WriteString(conn, head)
	return conn
}

// enter waits for a place and reports whether the request has one. A full queue turns it away.
func (r *Runner) enter(req *http.Request) bool {
	select {
	case r.queue <- struct{}{}:
		defer func() { <-r.queue }()
	default:
		return false
	}
	select {
	case r.places <- struct{}{}:
		return true
	case <-req.Context().Done():
		return false
	}
}

func number(req *http.Request, name string) int {
	n, _ := strconv.Atoi(req.URL.Query().Get(name))
	return n
}

// Event is the text of one event.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, id string) {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	last := number(req, "events")
	gap := time.Duration(number(req, "gap_ms")) * time.Millisecond
	w.Header().Set("Content-Type", "text/event-stream")
	send := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	if r.opts.Unframed {
		conn := hijack(w, id, "text/event-stream")
		if conn == nil {
			return
		}
		defer conn.Close()
		send = func(text string) error { _, err := io.WriteString(conn, text); return err }
	}
	for n := from + 1; n <= last; n++ {
		if err := send(Event(id, n)); err != nil {
			r.record("drops %s after event %d", id, n-1)
			return
		}
		if n < last {
			time.Sleep(gap)
		}
	}
	r.record("ends %s whole after event %d", id, last)
}
