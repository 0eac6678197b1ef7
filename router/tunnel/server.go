package tunnel

import (
	"bufio"
	"context"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"maststage.dev/router/httpconn"
)

// Errors of ServerOptions.Dial that refuse a tunnel.
var (
	// ErrUnknownTarget means that the host's list has no such target.
	ErrUnknownTarget = errors.New("tunnel: no such target")
	// ErrCut means that the host itself doesn't reach the targets of the service.
	ErrCut = errors.New("tunnel: this host does not reach the service's targets")
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Key is what other hosts have to present.
	Key string
	// Dial connects to a target directly.
	Dial func(ctx context.Context, target string) (net.Conn, error)
	// Stopping reports whether the host shuts down.
	Stopping func() bool
	// Busy reports whether the host's link or processor has no room.
	Busy func() bool
	// Prepare sets the options of a connection to another host, such as its time-outs; nil: none.
	Prepare func(nc net.Conn)
	// Copied is told the number of bytes that were received and sent on; nil: nobody is.
	Copied func(bytes int)
	// OnOpen counts calls by their outcome: "open", or the reason for a refusal; nil: not counted.
	OnOpen func(outcome string)
}

// Server opens tunnels for other hosts.
type Server struct {
	opts ServerOptions

	mu   sync.Mutex
	open map[*carried]bool
}

// Bounds of a server.
const (
	// maxTunnels bounds the tunnels at a time; each takes two descriptors and some 20 KB.
	maxTunnels = 512
	// targetTimeout bounds the dial to the target. It is shorter than hostTimeout, so that the host that asked hears of
	// it.
	targetTimeout = 150 * time.Millisecond
	frameHeader   = 2
	// bufferBytes is the size of a buffer for one direction of a tunnel.
	bufferBytes = 4096
)

// NewServer returns a Server.
func NewServer(opts ServerOptions) *Server {
	if opts.Prepare == nil {
		opts.Prepare = func(net.Conn) {}
	}
	if opts.Copied == nil {
		opts.Copied = func(int) {}
	}
	if opts.OnOpen == nil {
		opts.OnOpen = func(string) {}
	}
	return &Server{opts: opts, open: map[*carried]bool{}}
}

// Open counts the tunnels that this host carries.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close breaks all tunnels.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.abort()
	}
}

// ServeHTTP opens a tunnel.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	toTarget, reason := s.accept(r)
	if toTarget == nil {
		s.opts.OnOpen(string(reason))
		w.Header().Set(headerRefusal, string(reason))
		w.WriteHeader(statuses[reason])
		return
	}
	toHost, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = toTarget.Close()
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c := &carried{server: s, toHost: toHost, fromHost: buffered.Reader, toTarget: toTarget}
	defer c.abort() // net/http closes no hijacked connection after a panic; otherwise both are closed by now
	s.opts.OnOpen("open")
	s.opts.Prepare(toHost)
	s.carry(c)
}

// accept checks the call and dials the target.
func (s *Server) accept(r *http.Request) (net.Conn, refusal) {
	switch {
	case subtle.ConstantTimeCompare([]byte(r.Header.Get(headerKey)), []byte(s.opts.Key)) != 1 || s.opts.Key == "":
		return nil, wrongKey
	case s.opts.Stopping():
		return nil, stopping
	case s.opts.Busy() || s.Open() >= maxTunnels:
		return nil, busy
	}
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	defer cancel()
	nc, err := s.opts.Dial(ctx, r.Header.Get(headerTarget))
	switch {
	case err == nil:
		return nc, ""
	case errors.Is(err, ErrUnknownTarget):
		return nil, unknownTarget
	case errors.Is(err, ErrCut):
		return nil, cut
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, targetRefused
	}
	return nil, unreachable
}

// carried is one tunnel at the host that carries it.
type carried struct {
	server   *Server
	toHost   net.Conn
	fromHost *bufio.Reader
	toTarget net.Conn
	unsent   atomic.Bool // a write to the target failed
}

// carry copies both ways until either side closes.
func (s *Server) carry(c *carried) {
	s.mu.Lock()
	s.open[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	if _, err := io.WriteString(c.toHost, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		c.abort()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.copyUp()
	}()
	c.copyDown()
	<-done
}

// copyUp copies to the target until the other host closes.
func (c *carried) copyUp() {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := c.fromHost.Read(buffer)
		if n > 0 {
			c.server.opts.Copied(n)
			if _, werr := c.toTarget.Write(buffer[:n]); werr != nil {
				c.unsent.Store(true)
				break
			}
		}
		if err != nil {
			// The other host has no further use for the target's connection.
			_ = c.toTarget.Close()
			_ = c.toHost.Close()
			return
		}
	}
	// The target takes nothing more; copyDown still reads what it has sent.
	_, _ = io.Copy(io.Discard, c.fromHost)
	_ = c.toTarget.Close()
	_ = c.toHost.Close()
}

// copyDown copies from the target in frames until the target closes. Only an orderly end is told by an empty frame. Without it
// the other host takes the tunnel for broken, once it has read all that arrived.
func (c *carried) copyDown() {
	buffer := make([]byte, frameHeader+bufferBytes)
	for {
		n, err := c.toTarget.Read(buffer[frameHeader:])
		if n > 0 {
			c.server.opts.Copied(n)
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, werr := c.toHost.Write(buffer[:frameHeader+n]); werr != nil {
				c.abort()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if !c.targetReset() {
				if _, werr := c.toHost.Write([]byte{0, 0}); werr != nil {
					c.abort()
					return
				}
			}
			c.closeWrite() // copyUp ends the tunnel once the other host has closed it
			return
		}
		if err != nil {
			c.abort()
			return
		}
	}
}

// targetReset reports, once the end of what the target sent was read, whether that was a reset.
func (c *carried) targetReset() bool { return c.unsent.Load() || httpconn.WasReset(c.toTarget) }

// closeWrite ends the bytes to the other host. Closing the connection with bytes of it unread would reset it, and with it
// what is still on the way.
func (c *carried) closeWrite() {
	if tcp, ok := c.toHost.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.toHost.Close()
}

// abort resets the connection to the other host, so that it doesn't take the end for an orderly one, and closes the
// target's.
func (c *carried) abort() {
	if tcp, ok := c.toHost.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.toHost.Close()
	_ = c.toTarget.Close()
}
