package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"maststage.dev/router/httpconn"
)

// maxBuffered is the size up to which a response is buffered whole before any of it is
// forwarded, in bytes.
const maxBuffered = 256 << 10

// alwaysBuffered is the size up to which a response is always buffered whole, in bytes; a longer
// one is buffered whole only if Options.Unread has room for it.
const alwaysBuffered = 16 << 10

// bufferedResponse is a response that was read whole.
type bufferedResponse struct {
	resp *http.Response
	body []byte
}

// send sends the response to the caller.
func (b *bufferedResponse) send(q *request) {
	q.sendHead(b.resp)
	q.body = nil // no further attempt needs it
	// An error means that the caller is gone or does not read; request.end then aborts the response.
	_ = q.writeToCaller(len(b.body), func() error {
		q.releaseBuffer() // from here it is accounted for as unread
		_, err := q.w.Write(b.body)
		return err
	})
}

// readBuffered reads a response whole if there is room for it; else fits is false and body is its
// beginning.
func (q *request) readBuffered(resp *http.Response) (body []byte, fits bool, err error) {
	q.releaseBuffer() // of a previous attempt
	size := resp.ContentLength
	if size < 0 || size > maxBuffered {
		size = maxBuffered
	}
	if size <= alwaysBuffered || !q.handler.opts.Unread.Reserve(size) {
		return httpconn.ReadLimited(resp.Body, alwaysBuffered)
	}
	q.bufferReserved = size
	return httpconn.ReadLimited(resp.Body, maxBuffered)
}

// releaseBuffer releases the reservation for a buffered response, if there is one.
func (q *request) releaseBuffer() {
	q.handler.opts.Unread.Release(q.bufferReserved)
	q.bufferReserved = 0
}

// forwardBuffered reads a response whole. It is sent once the attempt has ended, so that a caller
// that reads slowly does not occupy the target.
func (a *attempt) forwardBuffered(ctx context.Context, resp *http.Response) (result, error) {
	q := a.request
	body, fits, err := q.readBuffered(resp)
	if err != nil {
		a.conn.Finish(false)
		return a.adjustResult(ctx, a.silence.result(broken), fmt.Errorf("target broke the response off: %w", err))
	}
	if !fits && resp.StatusCode >= http.StatusInternalServerError && a.silence.claimRetry() {
		a.conn.Finish(false)
		return errored, fmt.Errorf("target responded %s with a long body", resp.Status)
	}
	if !fits {
		return a.forwardUnbuffered(ctx, resp, body)
	}
	if err := a.checkEnd(resp); err != nil {
		a.conn.Finish(false)
		return a.adjustResult(ctx, broken, err)
	}
	a.release()
	buffered := &bufferedResponse{resp: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Repeatable() {
		q.failedResponse = buffered
		return errored, fmt.Errorf("target responded %s", resp.Status)
	}
	a.buffered = buffered
	if resp.StatusCode >= http.StatusInternalServerError {
		a.status = resp.StatusCode
	}
	return delivered, nil
}

// forwardUnbuffered forwards a response that is too long to be buffered as it arrives.
func (a *attempt) forwardUnbuffered(ctx context.Context, resp *http.Response, beginning []byte) (result, error) {
	q := a.request
	a.silence.pause()
	if a.silence.result(delivered) == silent {
		a.conn.Finish(false)
		return a.adjustResult(ctx, silent, errors.New("target was silent until its response began"))
	}
	q.sendHead(resp)
	writer := &callerWriter{request: q}
	if _, err := io.Copy(writer, io.MultiReader(bytes.NewReader(beginning), resp.Body)); err != nil {
		a.conn.Finish(false)
		if writer.err != nil {
			return callerGone, err
		}
		return a.adjustResult(ctx, cutOff, fmt.Errorf("target broke the response off: %w", err))
	}
	if err := a.checkEnd(resp); err != nil {
		a.conn.Finish(false)
		return a.adjustResult(ctx, cutOff, err)
	}
	a.release()
	return delivered, nil
}
