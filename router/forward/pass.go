package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"maststage.dev/router/exchange"
	"maststage.dev/router/sse"
)

// maxWhole is the size up to which an answer is read whole before any of it is
// passed on, in bytes.
const maxWhole = 256 << 10

// leastWhole is the size up to which it is read whole in any case; a longer one, where not
// much is held for callers that don't read.
const leastWhole = 16 << 10

// whole is an answer that was read whole.
type whole struct {
	resp *http.Response
	body []byte
}

// pass gives the answer to the caller.
func (a *whole) pass(q *request) {
	q.end.Status = a.resp.StatusCode
	q.end.First = time.Since(q.arrived)
	q.handler.copyHead(q.w, a.resp)
	if a.resp.ContentLength < 0 {
		// It came in chunks or without a length and is whole.
		q.w.Header()["Content-Length"] = nil
	}
	q.w.WriteHeader(a.resp.StatusCode)
	q.body = nil // no target gets it any more
	// The caller is gone if this fails; its connection tells.
	_ = q.hand(len(a.body), func() error {
		q.freeRoom() // it counts as unread now
		_, err := q.w.Write(a.body)
		return err
	})
}

// readWhole reads an answer whole if there is room for it; else fits is false and body is its
// beginning.
func (q *request) readWhole(resp *http.Response) (body []byte, fits bool, err error) {
	q.freeRoom() // of a try before
	size := resp.ContentLength
	if size < 0 || size > maxWhole {
		size = maxWhole
	}
	if size <= leastWhole || !q.handler.opts.Unread.Reserve(size) {
		return exchange.ReadWhole(resp.Body, leastWhole)
	}
	q.room = size
	return exchange.ReadWhole(resp.Body, maxWhole)
}

// freeRoom ends the reservation of room for a whole answer.
func (q *request) freeRoom() {
	q.handler.opts.Unread.Unreserve(q.room)
	q.room = 0
}

// connectionBytes is about what a connection and its request hold beside the bodies.
const connectionBytes = 24 << 10

// hand passes the caller a piece of its answer, of so many bytes.
func (q *request) hand(bytes int, write func() error) error {
	if q.unread == nil {
		control := http.NewResponseController(q.w)
		q.unread = q.handler.opts.Unread.Open(func() { _ = control.SetWriteDeadline(aLongTimeAgo) })
	}
	q.unread.Pass(int64(len(q.body)+bytes+connectionBytes), time.Now())
	defer q.unread.Taken()
	return write()
}

// aLongTimeAgo is a deadline that ends what is under way.
var aLongTimeAgo = time.Unix(1, 0)

// passWhole reads an answer whole. It is passed on once the try has ended: its caller may read
// slowly, and that is nothing to the target.
func (c *call) passWhole(ctx context.Context, resp *http.Response) (result, error) {
	q := c.request
	body, fits, err := q.readWhole(resp)
	if err != nil {
		c.conn.Done(false)
		return c.ended(ctx, c.silence.result(broken), fmt.Errorf("answer broke off: %w", err))
	}
	if !fits {
		return c.passLong(ctx, resp, body)
	}
	c.conn.Done(true)
	answer := &whole{resp: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Repeatable() {
		q.failed = answer
		return errored, fmt.Errorf("target: %s", resp.Status)
	}
	c.ready = answer
	if resp.StatusCode >= http.StatusInternalServerError {
		c.status = resp.StatusCode
	}
	return delivered, nil
}

// passLong passes on an answer that is too long to be kept, as it comes.
func (c *call) passLong(ctx context.Context, resp *http.Response, begin []byte) (result, error) {
	q := c.request
	q.end.Status = resp.StatusCode
	q.end.First = time.Since(q.arrived)
	q.handler.copyHead(q.w, resp)
	q.w.WriteHeader(resp.StatusCode)
	c.silence.pause()
	to := &unreadWriter{request: q}
	if _, err := io.Copy(to, io.MultiReader(bytes.NewReader(begin), resp.Body)); err != nil {
		c.conn.Done(false)
		if to.err != nil {
			return callerGone, err
		}
		return c.ended(ctx, cutOff, fmt.Errorf("answer broke off: %w", err))
	}
	c.conn.Done(true)
	return delivered, nil
}

// unreadWriter passes the caller what is written to it.
type unreadWriter struct {
	request *request
	err     error // of the caller's connection
}

// Write returns the errors of the caller's connection.
func (u *unreadWriter) Write(p []byte) (n int, err error) {
	u.err = u.request.hand(len(p), func() error {
		n, err = u.request.w.Write(p)
		return err
	})
	return n, u.err
}

// stream is the state of an event stream across tries.
type stream struct {
	scanner sse.Scanner
	begun   bool // the caller has its head
	control *http.ResponseController
}

// streamBuffer is the size of a read of a stream in bytes.
const streamBuffer = 2048

// passStream passes whole events on as they come. If the target breaks off, the
// caller's answer is left open, so that another target may go on.
func (c *call) passStream(ctx context.Context, resp *http.Response) (result, error) {
	q := c.request
	if q.stream == nil {
		q.stream = &stream{control: http.NewResponseController(q.w)}
	}
	s := q.stream
	s.scanner.Restart()
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			c.target.Heard(time.Now())
			data := buffer[:n]
			before := s.scanner.Events()
			whole := s.scanner.Scan(data)
			c.noteEvents(s.scanner.Events() - before)
			if whole > 0 {
				if werr := c.handOver(func() error { return q.sendEvents(resp, pending, data[:whole]) }); werr != nil {
					c.conn.Done(false)
					return callerGone, werr
				}
				pending = pending[:0]
			}
			c.silence.heard()
			pending = append(pending, data[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(ctx, resp, pending)
		case err != nil:
			c.conn.Done(false)
			return c.ended(ctx, c.silence.result(broken), fmt.Errorf("stream broke off: %w", err))
		}
	}
}

// handOver lets the caller take events. However long it takes, the target is neither silent
// nor slow meanwhile.
func (c *call) handOver(send func() error) error {
	c.silence.pause()
	c.target.Hold()
	began := time.Now()
	err := send()
	c.held += time.Since(began)
	c.target.Release()
	return err
}

// endStream ends the caller's answer when the target ended its own whole.
func (c *call) endStream(ctx context.Context, resp *http.Response, pending []byte) (result, error) {
	q := c.request
	if len(pending) > 0 {
		c.conn.Done(false)
		return c.ended(ctx, broken, errors.New("stream ended inside an event"))
	}
	if !q.stream.begun {
		q.beginStream(resp)
	}
	c.conn.Done(true)
	return delivered, nil
}

// beginStream passes the head of the first target's answer on.
func (q *request) beginStream(resp *http.Response) {
	q.handler.copyHead(q.w, resp)
	q.w.WriteHeader(resp.StatusCode)
	q.stream.begun = true
	q.end.Status = resp.StatusCode
	q.end.First = time.Since(q.arrived)
}

// sendEvents passes whole events on at once.
func (q *request) sendEvents(resp *http.Response, pending, data []byte) error {
	if !q.stream.begun {
		q.beginStream(resp)
	}
	q.end.Events = q.stream.scanner.Events()
	return q.hand(len(pending)+len(data), func() error {
		if len(pending) > 0 {
			if _, err := q.w.Write(pending); err != nil {
				return err
			}
		}
		if _, err := q.w.Write(data); err != nil {
			return err
		}
		return q.stream.control.Flush()
	})
}
