package soak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// socketPart marks the requests of callers whose responses are judged by the bytes at their sockets. oncePath is a route of
// streams that may not be resumed.
const (
	socketPart = "socket-"
	oncePath   = "/once/"
)

func isSocket(uri string) bool { return strings.Contains(uri, socketPart) }

// socketKind is how such a caller behaves.
type socketKind string

const (
	kindKeeps       socketKind = "keeps its connection"
	kindCloses      socketKind = "asks for its connection to be closed"
	kindStopsEarly  socketKind = "closes its sending side after a time"
	kindStopsQuiet  socketKind = "closes its sending side when nothing comes"
	kindOld         socketKind = "speaks HTTP/1.0"
	kindOldStops    socketKind = "speaks HTTP/1.0 and closes its sending side"
	kindLeaves      socketKind = "closes its connection"
	kindSendsBefore socketKind = "sends its next request early"
)

// Figures of these callers.
const (
	maxStopAfter    = 900 * time.Millisecond // from the request until the sending side is closed
	minQuiet        = 150 * time.Millisecond // without bytes until it is closed
	quietSpread     = 600 * time.Millisecond
	socketThinkTime = 40 * time.Millisecond // mean
	socketWait      = requestLimit + slack  // for the end of a response
	socketGap       = 35 * time.Millisecond // between events
	socketBody      = 600                   // lines of a whole response
)

// socketEnd is what the end of a response looks like at its caller's socket.
type socketEnd string

const (
	endFramed    socketEnd = "framed"      // the last chunk, or the whole length
	endClosed    socketEnd = "closed"      // the end of the connection, for a response that ends with it
	endBroken    socketEnd = "broken off"  // a reset, or a close before the end that the framing has
	endNone      socketEnd = "no response" // closed or reset before a head
	endLeft      socketEnd = "left"        // its caller had closed the connection
	endOpen      socketEnd = "open"        // nothing of the above in time
	endMalformed socketEnd = "malformed"
)

// socketAnswer is one response, as its caller's socket had it.
type socketAnswer struct {
	kind           socketKind
	id, path       string
	host           *host
	started, ended time.Time
	stopped        time.Time // when the caller closed its sending side; zero: it did not
	status         int
	stamp, replyID string
	end            socketEnd
	body           string
	extra          string // after the response, without a request
	last           bool   // the host said that it closes the connection
	unproved       bool   // its target may close the connection anywhere in a body without framing, so that a close is no end
	err            error
}

func (a *socketAnswer) isStream() bool {
	return strings.HasPrefix(a.path, streamPath) || strings.HasPrefix(a.path, oncePath)
}

// reusable reports whether the connection may be used again after the response.
func (a *socketAnswer) reusable() bool { return a.end == endFramed && !a.last && a.extra == "" }

// mayRunOnce reports whether the request must not be repeated.
func (a *socketAnswer) mayRunOnce() bool { return a.path == unsafePath || a.path == oncePath }

func (a *socketAnswer) String() string {
	return fmt.Sprintf("%s%s%s to %s of a caller that %s: status %d, stamp %q, %s (%v) after %v, %d bytes %q",
		a.path, socketPart, a.id, a.host.name, a.kind, a.status, a.stamp, a.end, a.err, a.ended.Sub(a.started).Round(time.Millisecond), len(a.body), tail(a.body))
}

// tail returns the end of a text.
func tail(text string) string { return text[max(len(text)-80, 0):] }

// socketEvent is the text of one event: it names the request, its number and the target that made it.
func socketEvent(id string, n int, target string) string {
	return strings.TrimSuffix(backend.Event(id, n), "\n\n") + " " + target + "\n\n"
}

// socketWhole is the whole response of a plain target to a request, up to 20 KB.
func socketWhole(id string) string {
	return strings.Repeat("answer to "+id+"\n", 1+eventsOf(id)*socketBody/maxOut)
}

// socketBehaviour is a target's behaviour for the request of such a caller.
func (w *world) socketBehaviour(s *targetState, run backend.Run) backend.Behaviour {
	w.watch.socketArrival(s, run)
	if c := w.stopCaseOf(run); c != nil {
		return backend.Behaviour{Raw: c.respond(s.id, run)}
	}
	b := soundSocketBehaviour(s.id, run, w.options.unframed || w.options.mixed && s.place%3 == 0)
	s.mu.Lock()
	fault := s.alter
	s.mu.Unlock()
	if fault != nil {
		w.mu.Lock()
		fault(&b)
		w.mu.Unlock()
	}
	return b
}

// soundSocketBehaviour is socketBehaviour of a target without a fault.
func soundSocketBehaviour(target string, run backend.Run, noLength bool) backend.Behaviour {
	if strings.HasPrefix(run.URI, safePath) || strings.HasPrefix(run.URI, unsafePath) {
		return backend.Behaviour{Delay: plainDelay, Body: socketWhole(run.ID), NoLength: noLength}
	}
	return backend.Behaviour{Delay: engineDelay, Gap: socketGap, Events: eventsOf(run.ID), Mark: target, NoLength: noLength}
}

// socketTraffic has callers of these kinds ask hosts until ctx ends.
func (w *world) socketTraffic(ctx context.Context, seed uint64, kinds []socketKind, paths []string) {
	var all sync.WaitGroup
	for i, kind := range kinds {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		all.Go(func() {
			for ctx.Err() == nil {
				w.callBySocket(ctx, kind, paths, random)
				time.Sleep(time.Duration(random.Int64N(int64(2 * socketThinkTime))))
			}
		})
	}
	all.Wait()
}

// socketCaller is one connection of such a caller.
type socketCaller struct {
	world  *world
	kind   socketKind
	host   *host
	conn   *net.TCPConn
	reader *bufio.Reader
	random *rand.Rand
	paths  []string
	lines  string        // further lines of the heads of its requests
	wait   time.Duration // for the end of a response; 0: socketWait
	// unproved says that its next response is one of a socketAnswer with unproved.
	unproved bool

	mu      sync.Mutex
	stopped time.Time     // when its sending side was closed
	left    bool          // it was closed
	quiet   time.Duration // without bytes until its sending side is closed; 0: never
	until   time.Time     // end of the wait for bytes
}

// dialCaller opens a connection of a caller to a host. It returns nil if the host does not accept it.
func (w *world) dialCaller(h *host, kind socketKind, paths []string, random *rand.Rand) *socketCaller {
	conn, err := net.DialTimeout("tcp", h.listen, time.Second)
	if err != nil {
		time.Sleep(refusedPause)
		return nil
	}
	c := &socketCaller{world: w, kind: kind, host: h, conn: conn.(*net.TCPConn), random: random, paths: paths}
	c.reader = bufio.NewReader(c)
	return c
}

// callBySocket opens a connection and sends requests on it as the kind of caller does.
func (w *world) callBySocket(ctx context.Context, kind socketKind, paths []string, random *rand.Rand) {
	c := w.dialCaller(w.hosts[random.IntN(len(w.hosts))], kind, paths, random)
	if c == nil {
		return
	}
	defer c.conn.Close()
	switch kind {
	case kindKeeps:
		for ctx.Err() == nil && c.ask().reusable() {
			time.Sleep(time.Duration(random.Int64N(int64(2 * socketThinkTime))))
		}
	case kindSendsBefore:
		first := c.send()
		time.Sleep(time.Duration(random.Int64N(int64(maxStopAfter / 2))))
		second := c.send()
		if c.receive(first); first.end == endFramed {
			c.receive(second)
		}
	default:
		c.ask()
	}
}

// ask sends a request and reads its response and, where the connection is not used again, all that follows.
func (c *socketCaller) ask() *socketAnswer {
	a := c.send()
	after := time.Duration(c.random.Int64N(int64(maxStopAfter)))
	switch c.kind {
	case kindStopsEarly, kindOldStops:
		defer time.AfterFunc(after, c.stopSending).Stop()
	case kindStopsQuiet:
		c.quiet = minQuiet + time.Duration(c.random.Int64N(int64(quietSpread)))
	case kindLeaves:
		defer time.AfterFunc(after, c.leave).Stop()
	}
	c.receive(a)
	return a
}

// send sends the next request.
func (c *socketCaller) send() *socketAnswer {
	names := platform.Headers
	a := &socketAnswer{
		kind: c.kind, host: c.host, started: time.Now(), unproved: c.unproved,
		id: fmt.Sprintf("%s-%d", c.world.network, lastRequest.Add(1)), path: c.paths[c.random.IntN(len(c.paths))],
	}
	protocol := "HTTP/1.1"
	if c.kind == kindOld || c.kind == kindOldStops {
		protocol = "HTTP/1.0"
	}
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s%s%s %s\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", a.path, socketPart, a.id, protocol, callersHost,
		names.RequestID, a.id, names.Deadline, requestLimit.Milliseconds(), names.Key, keyOf(largeTenant))
	if c.kind == kindCloses {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString(c.lines)
	if a.isStream() {
		fmt.Fprintf(&head, "%s: %d,%d\r\n%s: e%d:30,%x:10\r\n", names.Usage, tokensIn, maxOut, names.PromptParts, c.random.IntN(5), c.random.Uint32())
	}
	body := sentBody(a.id)
	c.until = time.Now().Add(cmp.Or(c.wait, socketWait))
	_, a.err = fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body)
	return a
}

// Read reads from the socket. A caller that stops when nothing comes closes its sending side then, and reads on.
func (c *socketCaller) Read(p []byte) (int, error) {
	c.mu.Lock()
	wait := c.until
	quiet := c.quiet > 0 && c.stopped.IsZero()
	if quiet {
		wait = time.Now().Add(c.quiet)
	}
	c.mu.Unlock()
	_ = c.conn.SetReadDeadline(wait)
	n, err := c.conn.Read(p)
	if n == 0 && quiet && errors.Is(err, os.ErrDeadlineExceeded) {
		c.stopSending()
		return c.Read(p)
	}
	return n, err
}

func (c *socketCaller) stopSending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = time.Now()
	_ = c.conn.CloseWrite() // the host may have closed the connection
}

func (c *socketCaller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	_ = c.conn.Close()
}

// receive reads the response to a request, and records it.
func (c *socketCaller) receive(a *socketAnswer) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.end, a.err = c.endOf(err, endNone), err
		if a.end == endNone && strings.Contains(err.Error(), "malformed") {
			a.end = endMalformed
		}
	} else {
		names := platform.Headers
		a.status, a.stamp, a.replyID = resp.StatusCode, resp.Header.Get(names.Stamp), resp.Header.Get(names.RequestID)
		a.last = resp.Close
		data, err := io.ReadAll(resp.Body)
		a.body, a.err = string(data), err
		a.end = endFramed
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			a.end = endClosed
		}
		if err != nil {
			a.end = c.endOf(err, endBroken)
		}
		if a.end == endFramed && c.kind != kindSendsBefore {
			a.extra = c.rest(c.kind != kindKeeps)
		}
	}
	c.mu.Lock()
	a.stopped, a.ended = c.stopped, time.Now()
	c.mu.Unlock()
	c.world.watch.socketAnswer(a)
}

// endOf returns what an error of the socket says of a response, by default otherwise.
func (c *socketCaller) endOf(err error, otherwise socketEnd) socketEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.left:
		return endLeft
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endOpen
	}
	return otherwise
}

// rest returns what came after a whole response: what is there already, or all up to the end of the connection, for which the
// caller closes its sending side.
func (c *socketCaller) rest(toEnd bool) string {
	if !toEnd {
		there, _ := c.reader.Peek(c.reader.Buffered())
		return string(there)
	}
	c.stopSendingUnlessStopped()
	data, _ := io.ReadAll(c.reader) // an error is an end, too
	return string(data)
}

func (c *socketCaller) stopSendingUnlessStopped() {
	c.mu.Lock()
	done := !c.stopped.IsZero() || c.left
	c.mu.Unlock()
	if !done {
		_ = c.conn.CloseWrite()
	}
}

// events reads the events of a stream. whole says that all are there, targets lists those that made them in order, and problem
// is what no stream may have, or empty.
func (a *socketAnswer) events() (whole bool, targets []string, problem string) {
	rest := a.body
	for n := 1; ; n++ {
		if rest == "" {
			return n == eventsOf(a.id)+1, targets, ""
		}
		if n > eventsOf(a.id) {
			return false, targets, "more than all events"
		}
		begin := strings.TrimSuffix(socketEvent(a.id, n, ""), "\n\n")
		mark, after, ended := strings.Cut(strings.TrimPrefix(rest, begin), "\n\n")
		switch {
		case len(rest) < len(begin) && strings.HasPrefix(begin, rest):
			return false, targets, "" // cut inside of an event
		case !strings.HasPrefix(rest, begin):
			return false, targets, fmt.Sprintf("event %d is missing, comes twice or is another's: %.80q", n, rest)
		case !ended:
			return false, targets, ""
		case len(targets) == 0 || targets[len(targets)-1] != mark:
			targets = append(targets, mark)
		}
		rest = after
	}
}

// socketRequests counts the requests of a service by these callers, for the bound of retries.
func (w *watch) socketRequests() map[string][]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests := map[string][]time.Time{}
	for _, a := range w.socketAnswers {
		service := plainService
		if a.isStream() {
			service = engineService
		}
		requests[service] = append(requests[service], a.started)
	}
	return requests
}

func (w *watch) socketAnswer(a *socketAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.socketAnswers = append(w.socketAnswers, a)
}

func (w *watch) socketArrival(s *targetState, run backend.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.socketArrivals[run.ID] = append(w.socketArrivals[run.ID], arrivalAt{target: s, at: time.Now(), run: run})
}
