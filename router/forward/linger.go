package forward

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext is for http.Server.ConnContext. Without it a response that ends with its connection may be taken for whole if the
// server closes, or its process ends, in the middle of it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetOnClose has the kernel reset the caller's connection whoever closes it: as the server closes, or the process ends, no
// handler has a chance to.
func (q *request) resetOnClose() { q.setLinger(0) }

// closeInOrder ends a response that ends with its connection. What a handler has written may still be in a buffer of the
// server.
func (q *request) closeInOrder() {
	if err := http.NewResponseController(q.w).Flush(); err == nil {
		q.setLinger(-1) // the default
	}
}

// setLinger sets what happens as the caller's connection is closed, see net.TCPConn.SetLinger.
func (q *request) setLinger(seconds int) {
	if tcp, ok := q.r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds)
	}
}
