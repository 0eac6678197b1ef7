// Package graceful is an HTTP server that ends without breaking requests.
//
// http.Server.Shutdown alone breaks some: it closes its listener on connections that
// wait to be accepted, gives up requests that it reads once it has begun, and closes
// kept connections as requests come on them.
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
	// quietTime is how long a kept connection is without a request before it counts
	// as not in use.
	quietTime = 300 * time.Millisecond
	look      = 5 * time.Millisecond
)

// Server serves HTTP until it is shut down.
type Server struct {
	http    *http.Server
	leaving atomic.Bool

	mu       sync.Mutex
	listener *listener
	idle     map[net.Conn]time.Time // since when
	busy     map[net.Conn]struct{}  // with a request, or new
	quiet    time.Duration          // quietTime, but in tests
}

// New makes a server of an http.Server that is not used otherwise; its Handler and
// ConnState are taken over.
func New(s *http.Server) *Server {
	g := &Server{http: s, idle: map[net.Conn]time.Time{}, busy: map[net.Conn]struct{}{}, quiet: quietTime}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnState = g.note
	return g
}

// note follows what each connection does.
func (s *Server) note(c net.Conn, state http.ConnState) {
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

// errNotTCP means that a listener is not one of TCP.
var errNotTCP = errors.New("graceful: not a TCP listener")

// Serve takes connections of a TCP listener until Shutdown; then it returns
// http.ErrServerClosed. Other errors: those of http.Server.Serve.
func (s *Server) Serve(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errNotTCP
	}
	last := newListener(tcp)
	s.mu.Lock()
	s.listener = last
	s.mu.Unlock()
	return s.http.Serve(last)
}

// accepting is the listener, nil before Serve.
func (s *Server) accepting() *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// Leave lets each answer from now on tell its caller to make no further request on
// the connection: kept ones end by and by where nothing can be on its way.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown takes no more connections and ends the server once all that came has its
// answer and no kept connection was used for a moment, or ctx ends.
// Errors: those of http.Server.Shutdown.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	if l := s.accepting(); l != nil {
		l.end(ctx.Done())
	}
	tick := time.NewTicker(look)
	defer tick.Stop()
	for !s.unused(time.Now()) && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return s.http.Shutdown(ctx)
}

// Close ends the server and all its connections at once.
func (s *Server) Close() error { return s.http.Close() }

// unused says whether no connection is in use.
func (s *Server) unused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) > 0 {
		return false
	}
	for _, since := range s.idle {
		if now.Sub(since) < s.quiet {
			return false
		}
	}
	return true
}
