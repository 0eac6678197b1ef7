// Package graceful provides an HTTP server that shuts down without failing requests.
//
// http.Server.Shutdown alone fails some: it closes its listener while connections are
// waiting to be accepted, drops requests that it reads after shutdown began, and closes
// keep-alive connections while requests arrive on them.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleGracePeriod is how long a keep-alive connection must be without a request to
	// count as unused.
	idleGracePeriod = 300 * time.Millisecond
	pollInterval    = 5 * time.Millisecond
)

// Server serves HTTP until Shutdown or Close.
type Server struct {
	http    *http.Server
	leaving atomic.Bool
	admit   func(inUse int) bool                  // nil: all connections are taken
	wrap    func(c *net.TCPConn) (net.Conn, bool) // nil: connections are served as they are

	mu        sync.Mutex
	listener  *listener
	idle      map[net.Conn]time.Time // time since which it is idle
	busy      map[net.Conn]struct{}  // serving a request, or new
	idleGrace time.Duration          // idleGracePeriod, except in tests
}

// New wraps an http.Server, which the caller must not use otherwise. It replaces its
// Handler and ConnState, and calls the latter first.
func New(s *http.Server) *Server {
	g := &Server{http: s, idle: map[net.Conn]time.Time{}, busy: map[net.Conn]struct{}{}, idleGrace: idleGracePeriod}
	handler, connState := s.Handler, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		g.trackState(c, state)
	}
	return g
}

// SetAdmission has admit decide whether to take a new connection, by the number of connections that are new or serve a
// request; another one is closed unread. All are taken once Shutdown begins. It must be called before Serve.
func (s *Server) SetAdmission(admit func(inUse int) bool) { s.admit = admit }

// SetWrap has wrap make the connection to serve of each that was accepted; if it reports false, the accepted one is closed unread.
// It must be called before Serve.
func (s *Server) SetWrap(wrap func(c *net.TCPConn) (net.Conn, bool)) { s.wrap = wrap }

// admits reports whether to take a new connection.
func (s *Server) admits() bool {
	if s.admit == nil || s.leaving.Load() {
		return true
	}
	return s.admit(s.InUse())
}

// InUse counts the connections that are new or serve a request.
func (s *Server) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy)
}

// trackState records which connections are idle and which are busy.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	delete(s.busy, c)
	switch state {
	case http.StateNew, http.StateActive:
		s.busy[c] = struct{}{}
	case http.StateIdle:
		s.idle[c] = time.Now()
	}
}

// errNotTCP is returned by Serve for a listener of another type.
var errNotTCP = errors.New("graceful: not a TCP listener")

// Serve accepts connections on a TCP listener until Shutdown; then it returns
// http.ErrServerClosed. Its other errors are those of http.Server.Serve.
func (s *Server) Serve(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errNotTCP
	}
	wrapped := newListener(tcp, s.admits)
	wrapped.wrap = s.wrap
	s.mu.Lock()
	s.listener = wrapped
	s.mu.Unlock()
	return s.http.Serve(wrapped)
}

// activeListener returns the listener, nil before Serve.
func (s *Server) activeListener() *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// Leave adds "Connection: close" to every response from now on, so that each keep-alive
// connection closes after a response, when no request can be in flight on it.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting connections and stops the server once every request received
// has its response and each keep-alive connection has been idle for the grace period, or
// once ctx ends. Its errors are those of http.Server.Shutdown.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	if l := s.activeListener(); l != nil {
		l.drain(ctx.Done())
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !s.quiescent(time.Now()) && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return s.http.Shutdown(ctx)
}

// Close closes the server and all its connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// quiescent reports whether no connection is in use.
func (s *Server) quiescent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) > 0 {
		return false
	}
	for _, since := range s.idle {
		if now.Sub(since) < s.idleGrace {
			return false
		}
	}
	return true
}
