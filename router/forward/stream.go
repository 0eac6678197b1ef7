package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"maststage.dev/router/sse"
)

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
	s.scanner.DropPartial()
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			c.target.RecordActivity(time.Now())
			data := buffer[:n]
			before := s.scanner.Events()
			whole := s.scanner.Scan(data)
			c.noteEvents(s.scanner.Events() - before)
			if whole > 0 {
				if werr := c.awaitCaller(func() error { return q.sendEvents(resp, pending, data[:whole]) }); werr != nil {
					c.conn.Finish(false)
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
			c.conn.Finish(false)
			return c.ended(ctx, c.silence.result(broken), fmt.Errorf("stream broke off: %w", err))
		}
	}
}

// endStream ends the caller's answer when the target ended its own whole.
func (c *call) endStream(ctx context.Context, resp *http.Response, pending []byte) (result, error) {
	q := c.request
	if len(pending) > 0 {
		c.conn.Finish(false)
		return c.ended(ctx, broken, errors.New("stream ended inside an event"))
	}
	if !q.stream.begun {
		q.beginStream(resp)
	}
	c.conn.Finish(true)
	return delivered, nil
}

// beginStream passes the head of the first target's answer on.
func (q *request) beginStream(resp *http.Response) {
	q.handler.copyHead(q.w, resp)
	q.w.WriteHeader(resp.StatusCode)
	q.stream.begun = true
	q.end.Status = resp.StatusCode
	q.end.FirstByte = time.Since(q.arrived)
}

// sendEvents passes whole events on at once.
func (q *request) sendEvents(resp *http.Response, pending, data []byte) error {
	if !q.stream.begun {
		q.beginStream(resp)
	}
	q.end.Events = q.stream.scanner.Events()
	return q.passPiece(len(pending)+len(data), func() error {
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
