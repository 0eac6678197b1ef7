package forward

import (
	"net"
	"net/http"
	"time"
)

// End says how the response to a caller ended.
type End string

const (
	EndWhole   End = "whole"   // a target's response, with the end that its framing has
	EndOwn     End = "own"     // the host's own final response
	EndAborted End = "aborted" // the caller's connection was closed before the end of the response
)

// Framing says what shows the end of a target's response.
type Framing string

const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	FramingNone   Framing = "none" // it ends with its connection, as a broken one may
)

// framingOf returns the framing of a target's response.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunks
	case resp.ContentLength >= 0, resp.Request.Method == http.MethodHead:
		return FramingLength
	}
	return FramingNone
}

// sendHead sends the head of a target's response to the caller.
func (q *request) sendHead(resp *http.Response) {
	q.handler.copyHead(q.w, resp)
	if resp.ContentLength < 0 {
		q.w.Header()["Content-Length"] = nil // else net/http adds one if it has the whole body at once
	}
	framing := framingOf(resp)
	if framing == FramingNone {
		// Chunks would vouch for an end that this host does not know to be one.
		q.w.Header().Set("Transfer-Encoding", "identity")
	}
	q.w.WriteHeader(resp.StatusCode)
	q.headSent = true
	q.closeDelimited = framing == FramingNone || framing == FramingChunks && !q.r.ProtoAtLeast(1, 1)
	if q.closeDelimited {
		q.resetOnClose()
	}
	q.outcome.Status, q.outcome.Framing = resp.StatusCode, framing
	q.outcome.FirstByte = time.Since(q.arrived)
}

// resetUnlessEnded resets the caller's connection if the response has not ended and would end with the connection: its caller
// would take a close for the end. It is deferred, since a panic closes the connection, too.
func (q *request) resetUnlessEnded() {
	if q.ended || !q.closeDelimited {
		return
	}
	control := http.NewResponseController(q.w)
	_ = control.SetWriteDeadline(aLongTimeAgo) // what the caller does not read must not hold up the reset
	conn, _, err := control.Hijack()
	if err != nil {
		return // net/http closes the connection
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// end ends the response to the caller of a request of a kind, and returns how. Whatever is neither a whole response of a target
// nor one of the host is aborted: net/http would complete it. A caller that is gone may have closed its sending side only,
// and still read.
func (q *request) end(kind Kind) End {
	final, responds := finalResponses[kind]
	switch {
	case kind == OK:
		return EndWhole
	case responds && !q.headSent:
		q.respond(final)
		return EndOwn
	}
	return EndAborted
}
