package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"maststage.dev/lib/guard"
	"maststage.dev/router/httpconn"
	"maststage.dev/router/quarantine"
)

// content is what makes this request the same as others.
func (q *request) content() quarantine.Content {
	c := quarantine.Content{Method: q.r.Method, Host: q.r.Host, URI: q.r.RequestURI, Body: q.body}
	if q.organisation != nil {
		c.Organisation = q.organisation.Name
	}
	return c
}

// provesARun says whether an answer, if it comes to its end, proves that its target ran the
// request and lived. A failure may have been told before the run, and without a length the
// target's end looks like the end of the answer.
func provesARun(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && resp.StatusCode < http.StatusMultipleChoices
}

// Figures of the look at whether a target has ended.
const (
	endLook = time.Second
	// blameWait is how long a request that broke off waits at most to know whether its target
	// ended: the look takes one round trip where it did, and where only a connection broke.
	blameWait = 100 * time.Millisecond
	// endsToBlame is how many targets may end under a request before this host sends it to
	// no further one by itself. A caller's next try counts anew, until the fleet holds it.
	endsToBlame = 2
)

// lookForEnd finds out beside the request whether its try broke off because the target ended,
// and reports it.
func (c *call) lookForEnd(res result) {
	q := c.request
	if !c.sent || res != broken && res != cutOff {
		return
	}
	b := c.brokeOff(time.Now())
	look := make(chan bool, 1)
	q.look, q.young = look, quarantine.IsEarlyExit(b.SinceFirstEvent)
	h, t, report := q.handler, c.target, q.reportOf(b)
	guard.Go("target's end", func() {
		ctx, cancel := context.WithTimeout(context.Background(), endLook)
		defer cancel()
		ended := h.opts.Targets.ProbeExited(ctx, t)
		if ended {
			h.opts.Quarantine.RecordExit(report)
			h.opts.Observer.TargetExited(b)
		}
		look <- ended
	})
}

// brokeOff tells of a try that broke off just now.
func (c *call) brokeOff(now time.Time) TargetExit {
	q := c.request
	b := TargetExit{
		RequestID: q.id, Digest: q.digest, Target: q.handler.opts.Targets.Incarnation(c.target).String(), Service: q.service,
		Events: c.events, Duration: now.Sub(c.started),
	}
	if c.events > 0 {
		b.SinceFirstEvent = now.Sub(c.first)
	}
	return b
}

func (q *request) reportOf(b TargetExit) quarantine.Report {
	r := quarantine.Report{
		Digest: b.Digest, Service: b.Service, RequestID: b.RequestID, Target: b.Target, Early: quarantine.IsEarlyExit(b.SinceFirstEvent),
	}
	if q.organisation != nil {
		r.Organisation = q.organisation.Name
	}
	return r
}

// blamed says, after a try that broke off, whether so many targets ended under the request
// that it is not sent on. A target's end that can't have been its doing costs it no try: a
// stream that breaks with every third target would else be cut for another request's sake.
func (q *request) blamed() bool {
	select {
	case ended := <-q.look:
		if ended && !q.young {
			q.spared++
		}
	case <-time.After(blameWait):
	}
	return q.young && q.handler.opts.Quarantine.TargetExits(q.digest) >= endsToBlame
}

// waits are the tries that wait for the beginning of an answer, so that those of a request
// that comes into quarantine can be taken back: a target may not have begun to run them. A
// note ends before its connection may carry another request.
type waits struct {
	mu    sync.Mutex
	conns map[quarantine.Digest][]*httpconn.Conn
}

func newWaits() *waits { return &waits{conns: map[quarantine.Digest][]*httpconn.Conn{}} }

// add notes a try and gives what ends the note.
func (w *waits) add(d quarantine.Digest, conn *httpconn.Conn) (done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[d] = append(w.conns[d], conn)
	return func() { w.remove(d, conn) }
}

func (w *waits) remove(d quarantine.Digest, conn *httpconn.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rest := slices.DeleteFunc(w.conns[d], func(c *httpconn.Conn) bool { return c == conn })
	if len(rest) == 0 {
		delete(w.conns, d)
		return
	}
	w.conns[d] = rest
}

// abort ends the tries of a request.
func (w *waits) abort(d quarantine.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns[d] {
		conn.Abort()
	}
}

// AbortWaiting takes back the tries of a request that came into quarantine.
func (h *Handler) AbortWaiting(d quarantine.Digest) { h.waits.abort(d) }
