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

// listener closes behind the connections that wait to be accepted, which the kernel
// would reset together with the requests that were sent on them.
type listener struct {
	*net.TCPListener
	ending atomic.Bool
	ended  chan struct{} // closed once the last connection was given
	once   sync.Once     // of that
	closed bool          // with its last connections in rest; both are of the goroutine in Accept
	rest   []net.Conn
}

func newListener(l *net.TCPListener) *listener {
	return &listener{TCPListener: l, ended: make(chan struct{})}
}

// Accept gives the next connection, and http.ErrServerClosed behind the last.
func (l *listener) Accept() (net.Conn, error) {
	if !l.ending.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.ending.Load() {
			return c, err
		}
	}
	if !l.closed {
		l.closeBehind()
		l.closed = true
	}
	if len(l.rest) == 0 {
		l.once.Do(func() { close(l.ended) })
		return nil, http.ErrServerClosed
	}
	c := l.rest[0]
	l.rest = l.rest[1:]
	return c, nil
}

const (
	// anyTTL and nearTTL are what IP_MINTTL lets through: all, and only packets that no router
	// has passed on and whose sender asks for it, which those that open a connection never do.
	anyTTL, nearTTL = 0, 255
	// handshake is how long connections that are being made get to be done.
	handshake = 50 * time.Millisecond
)

// closeBehind closes the listener behind the connections that were made. First the kernel takes no
// packets that open new ones: whoever connects just then asks again and is refused.
func (l *listener) closeBehind() {
	l.setMinTTL(nearTTL)
	for end := time.Now().Add(handshake); time.Now().Before(end); time.Sleep(look) {
		l.rest = append(l.rest, l.acceptWaiting()...)
	}
	l.rest = append(l.rest, l.acceptWaiting()...)
	_ = l.Close()
}

// setMinTTL bounds which packets reach the listener, and connections that it makes from now on.
func (l *listener) setMinTTL(ttl int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, syscall.IP_MINTTL, ttl) })
}

// acceptWaiting takes all connections that wait. It asks the kernel itself: Accept may
// be told of its deadline before it is told of a connection.
func (l *listener) acceptWaiting() []net.Conn {
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
			if c := connOf(accepted); c != nil {
				waiting = append(waiting, c)
			}
		}
	})
	return waiting
}

// connOf makes a connection of a socket; nil: it can't be used.
func connOf(fd int) net.Conn {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}

// end closes the listener behind the connections that wait, or once done is closed.
func (l *listener) end(done <-chan struct{}) {
	l.ending.Store(true)
	_ = l.SetDeadline(time.Now())
	select {
	case <-l.ended:
	case <-done:
		_ = l.Close()
	}
}
