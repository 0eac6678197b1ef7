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

// stream is the state of an event stream across attempts.
type stream struct {
	scanner sse.Scanner
	control *http.ResponseController
}

// streamReadBytes is the buffer size for reads of a stream.
const streamReadBytes = 2048

// maxEventBytes bounds what a target may send without completing an event.
const maxEventBytes = 1 << 20

// emptied returns an empty buffer for the beginning of the next event. A large one is dropped.
func emptied(pending []byte) []byte {
	if cap(pending) > alwaysBuffered {
		return nil
	}
	return pending[:0]
}

// reserveEvent reserves the memory of an event that has arrived in part. It reports whether there is room.
func (q *request) reserveEvent(bytes int) bool {
	if bytes <= alwaysBuffered || int64(bytes) <= q.bufferReserved {
		return true
	}
	if !q.handler.opts.Unread.Reserve(int64(bytes) - q.bufferReserved) {
		return false
	}
	q.bufferReserved = int64(bytes)
	return true
}

// forwardStream forwards complete events as they arrive. If the target breaks off, the
// caller's response stays open, so that another target can resume the stream. Only complete events count as progress: bytes
// without one may go on without end, and the caller receives nothing of them.
func (a *attempt) forwardStream(ctx context.Context, resp *http.Response) (result, error) {
	q := a.request
	if q.stream == nil {
		q.stream = &stream{control: http.NewResponseController(q.w)}
	}
	s := q.stream
	s.scanner.DropPartial()
	if s.scanner.LastID() == "" && q.route.Resumable {
		s.scanner.Follow(q.callerLastEventID)
	}
	q.releaseBuffer() // of a previous attempt
	var pending []byte
	unfinished := 0 // bytes since the last complete event
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			a.target.RecordActivity(time.Now())
			a.path.RecordReceived(time.Now())
			data := buffer[:n]
			before := s.scanner.Events()
			complete := s.scanner.Scan(data)
			events := s.scanner.Events() - before
			q.unnamed.Store(s.scanner.Unnamed())
			a.countEvents(events)
			a.noteSurvival()
			if complete > 0 {
				a.beginEvents()
				q.releaseBuffer() // from here the event is accounted for as unread
				if werr := a.sendToCaller(func() error { return q.sendEvents(resp, pending, data[:complete]) }); werr != nil {
					a.conn.Finish(false)
					return callerGone, werr
				}
				pending = emptied(pending)
			}
			if s.scanner.Repeats() {
				a.conn.Finish(false)
				return a.adjustResult(ctx, broken, fmt.Errorf("target resumed the stream behind %q with the event %q", a.resumedAfter, s.scanner.FirstID()))
			}
			switch {
			case events > 0:
				a.silence.restart()
				unfinished = n - complete
			case complete > 0:
				a.silence.resume()
				unfinished += n
			default:
				unfinished += n
			}
			pending = append(pending, data[complete:]...)
			if a.lackedRoom = !q.reserveEvent(cap(pending)); a.lackedRoom || unfinished > maxEventBytes {
				a.conn.Finish(false)
				return a.adjustResult(ctx, broken, fmt.Errorf("no event ended within %d bytes of the target's stream", unfinished))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.endStream(ctx, resp, pending)
		case err != nil:
			a.conn.Finish(false)
			return a.adjustResult(ctx, a.silence.result(broken), fmt.Errorf("target broke the stream off: %w", err))
		}
	}
}

// beginEvents notes the target's version before the first events of the attempt are forwarded.
func (a *attempt) beginEvents() {
	if a.forwarding {
		return
	}
	a.forwarding = true
	q := a.request
	began := q.origin
	if !q.headSent {
		a.noteOrigin()
	}
	if a.resumedAfter == "" {
		return
	}
	r := StreamResumption{
		RequestID: q.id, FirstAttempt: q.id, Service: q.service, Target: a.target.ID, Version: a.target.Version, ResumedAfter: a.resumedAfter,
		FirstEvent: q.stream.scanner.FirstID(),
	}
	if began != nil {
		r.Began, r.BeganKnown = began.Version, true
	}
	if q.takesUp() {
		r.FirstAttempt, r.ByCaller = q.resumes, !q.headSent
		r.Source = q.outcome.Origin.Source
	}
	q.handler.opts.Observer.StreamResumed(r)
}

// errEndUnproved means that a response without framing, whose end may be any close of its connection, went on with a stream
// whose end the caller takes for certain.
var errEndUnproved = errors.New("target ended an unframed response that another target's framed one began")

// endStream checks that the target's stream ended after a complete event, and completes the
// caller's response. If that can't be known, another target that goes on with the stream may prove that nothing follows.
func (a *attempt) endStream(ctx context.Context, resp *http.Response, pending []byte) (result, error) {
	q := a.request
	if len(pending) > 0 {
		a.conn.Finish(false)
		return a.adjustResult(ctx, broken, errors.New("target ended the stream inside an event"))
	}
	if err := a.checkEnd(resp); err != nil {
		a.conn.Finish(false)
		return a.adjustResult(ctx, broken, err)
	}
	if !q.headSent {
		q.sendHead(resp)
	}
	if !isFramed(resp) && !q.closeDelimited {
		a.unproved = true
		a.conn.Finish(false)
		return a.adjustResult(ctx, broken, errEndUnproved)
	}
	a.release()
	return delivered, nil
}

// sendEvents sends complete events to the caller and flushes them.
func (q *request) sendEvents(resp *http.Response, pending, data []byte) error {
	if !q.headSent {
		q.sendHead(resp)
	}
	q.outcome.Events = q.stream.scanner.Events()
	return q.writeToCaller(len(pending)+len(data), func() error {
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
