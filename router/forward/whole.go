package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"maststage.dev/router/httpconn"
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
	q.end.FirstByte = time.Since(q.arrived)
	q.handler.copyHead(q.w, a.resp)
	if a.resp.ContentLength < 0 {
		// It came in chunks or without a length and is whole.
		q.w.Header()["Content-Length"] = nil
	}
	q.w.WriteHeader(a.resp.StatusCode)
	q.body = nil // no target gets it any more
	// The caller is gone if this fails; its connection tells.
	_ = q.passPiece(len(a.body), func() error {
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
		return httpconn.ReadLimited(resp.Body, leastWhole)
	}
	q.room = size
	return httpconn.ReadLimited(resp.Body, maxWhole)
}

// freeRoom ends the reservation of room for a whole answer.
func (q *request) freeRoom() {
	q.handler.opts.Unread.Release(q.room)
	q.room = 0
}

// passWhole reads an answer whole. It is passed on once the try has ended: its caller may read
// slowly, and that is nothing to the target.
func (c *call) passWhole(ctx context.Context, resp *http.Response) (result, error) {
	q := c.request
	body, fits, err := q.readWhole(resp)
	if err != nil {
		c.conn.Finish(false)
		return c.ended(ctx, c.silence.result(broken), fmt.Errorf("answer broke off: %w", err))
	}
	if !fits {
		return c.passLong(ctx, resp, body)
	}
	c.conn.Finish(true)
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
	q.end.FirstByte = time.Since(q.arrived)
	q.handler.copyHead(q.w, resp)
	q.w.WriteHeader(resp.StatusCode)
	c.silence.pause()
	to := &unreadWriter{request: q}
	if _, err := io.Copy(to, io.MultiReader(bytes.NewReader(begin), resp.Body)); err != nil {
		c.conn.Finish(false)
		if to.err != nil {
			return callerGone, err
		}
		return c.ended(ctx, cutOff, fmt.Errorf("answer broke off: %w", err))
	}
	c.conn.Finish(true)
	return delivered, nil
}
