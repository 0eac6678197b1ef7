package forward

import (
	"context"
	"net"
	"net/http"
	"syscall"
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
	q.closeDelimited = q.endsWithConnection(resp)
	if q.closeDelimited {
		q.resetOnClose(true) // until the end is written
	}
	q.w.WriteHeader(resp.StatusCode)
	q.headSent = true
	q.outcome.Status, q.outcome.Framing = resp.StatusCode, framing
	q.outcome.FirstByte = time.Since(q.arrived)
}

// endsWithConnection reports whether the response to the caller, whose headers are set, ends with its connection.
func (q *request) endsWithConnection(resp *http.Response) bool {
	switch {
	case q.r.Method == http.MethodHead, resp.StatusCode < http.StatusOK,
		resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return false // it has no body
	case q.r.ProtoAtLeast(1, 1):
		return framingOf(resp) == FramingNone
	}
	return q.w.Header().Get("Content-Length") == "" // a target may keep its length to one connection
}

// callerConn is the context key of a caller's connection.
type callerConn struct{}

// ConnContext is to be the ConnContext of each http.Server that serves a Handler. Without it, broken responses that end with
// their connection end with an orderly close.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConn{}, c)
}

// resetOnClose decides whether any close of the caller's connection resets it, by whomever: net/http closes it when a write
// fails, and the kernel when this process ends.
func (q *request) resetOnClose(reset bool) {
	if tcp, ok := q.r.Context().Value(callerConn{}).(interface{ SetLinger(seconds int) error }); ok {
		linger := -1 // the default
		if reset {
			linger = 0
		}
		_ = tcp.SetLinger(linger)
	}
}

// maxDiscardedReads bounds the reads of discardReceived.
const maxDiscardedReads = 16

// discardReceived discards what has arrived from the caller behind a request with which its connection ends, such as its next
// request: the kernel resets a connection that is closed with bytes unread, and drops what is still on the way to the caller.
// It reads from the socket itself, as net/http may be reading from the connection.
func (q *request) discardReceived() {
	tcp, ok := q.r.Context().Value(callerConn{}).(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		buffer := make([]byte, streamReadBytes)
		for range maxDiscardedReads {
			if n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT); err != nil || n == 0 {
				return
			}
		}
	})
}

// closeUnlessEnded closes the caller's connection if the response has not ended and would end with the connection: its caller
// would take an orderly close for the end. It is deferred, since a panic closes the connection, too, but only after net/http
// has flushed it, which may block.
func (q *request) closeUnlessEnded() {
	if q.ended || !q.closeDelimited {
		return
	}
	if conn, ok := q.r.Context().Value(callerConn{}).(net.Conn); ok {
		_ = conn.Close()
	}
}

// end ends the response to the caller of a request of a kind, and returns how. Whatever is neither a whole response of a target
// nor one of the host is aborted: net/http would complete it. A caller that is gone may have closed its sending side only,
// and still read.
func (q *request) end(kind Kind) End {
	final, responds := finalResponses[kind]
	switch {
	case kind == OK && !q.writeFailed:
		if q.closeDelimited {
			q.resetOnClose(false)
			q.discardReceived()
		}
		return EndWhole
	case responds && !q.headSent:
		q.respond(final)
		return EndOwn
	}
	return EndAborted
}
