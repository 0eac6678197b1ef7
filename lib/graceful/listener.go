package graceful

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// listener accepts the connections that are waiting before it closes. The kernel would
// reset them, with the requests already sent on them.
type listener struct {
	*net.TCPListener
	admit       func() bool                           // whether to take a new connection, see Server.SetAdmission
	wrap        func(c *net.TCPConn) (net.Conn, bool) // see Server.SetWrap; nil: none
	closing     atomic.Bool
	drained     chan struct{} // closed once Accept has returned the last connection
	drainedOnce sync.Once     // guards the close of drained
	closeOnce   sync.Once     // guards the close of the TCP listener
	closeErr    error         // of that close
	closed      bool          // the last connections are in pending; both belong to the goroutine in Accept
	pending     []net.Conn
}

func newListener(l *net.TCPListener, admit func() bool) *listener {
	return &listener{TCPListener: l, admit: admit, drained: make(chan struct{})}
}

// Accept returns the next connection that is to be served, and http.ErrServerClosed after the last one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil || l.wrap == nil {
			return c, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if wrapped, ok := l.wrap(tcp); ok {
			return wrapped, nil
		}
		_ = c.Close() // unread
	}
}

// accept returns the next connection as the kernel has it.
func (l *listener) accept() (net.Conn, error) {
	for !l.closing.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil && !l.closing.Load() && !l.admit() {
			_ = c.Close() // unread
			continue
		}
		if err == nil || !l.closing.Load() {
			return c, err
		}
	}
	if !l.closed {
		l.drainAndClose()
		l.closed = true
	}
	if len(l.pending) == 0 {
		l.drainedOnce.Do(func() { close(l.drained) })
		return nil, http.ErrServerClosed
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}

// Close closes the listener. Accept closes it after the last connection, and http.Server again at its shutdown, unless
// Serve has returned by then: only the first close counts.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.TCPListener.Close() })
	return l.closeErr
}

const (
	// anyTTL and directTTL are values of IP_MINTTL. 0 admits all packets; 255 only those that no
	// router has forwarded and whose sender set this TTL, which packets that open a
	// connection never have.
	anyTTL, directTTL = 0, 255
	// handshakeTime is how long TCP handshakes in progress may take to finish.
	handshakeTime = 50 * time.Millisecond
)

// drainAndClose accepts the established connections and closes the listener. First it makes the
// kernel ignore packets that open new ones: clients connecting just then resend theirs and
// are refused.
func (l *listener) drainAndClose() {
	l.setMinTTL(directTTL)
	for end := time.Now().Add(handshakeTime); time.Now().Before(end); time.Sleep(pollInterval) {
		l.pending = append(l.pending, l.acceptPending()...)
	}
	l.pending = append(l.pending, l.acceptPending()...)
	_ = l.Close()
}

// setMinTTL sets the lowest TTL of packets for the listener and for its future connections.
func (l *listener) setMinTTL(ttl int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, syscall.IP_MINTTL, ttl) })
}

// acceptPending accepts all waiting connections. It calls the kernel directly: Accept may
// report its deadline before it reports a connection.
func (l *listener) acceptPending() []net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var waiting []net.Conn
	_ = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept(int(fd))
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			_ = syscall.SetsockoptInt(accepted, syscall.IPPROTO_IP, syscall.IP_MINTTL, anyTTL)
			if c := connFromFD(accepted); c != nil {
				waiting = append(waiting, c)
			}
		}
	})
	return waiting
}

// connFromFD makes a net.Conn of a socket, or returns nil if that fails.
func connFromFD(fd int) net.Conn {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}

// drain waits until Accept has returned the waiting connections and the listener is closed. It
// closes the listener at once when done is closed.
func (l *listener) drain(done <-chan struct{}) {
	l.closing.Store(true)
	_ = l.SetDeadline(time.Now())
	select {
	case <-l.drained:
	case <-done:
		_ = l.Close()
	}
}
