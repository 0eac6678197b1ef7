// Package httpconn sends one HTTP/1.1 request at a time on a connection to a target and reads the
// response. It pools idle connections. It never retries a request, and reports with each error
// whether the target may have received the request.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Errors of Get. The request was not sent.
var (
	// ErrConnLimit means that the pool has reached its limit of connections.
	ErrConnLimit = errors.New("httpconn: connection limit reached")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("httpconn: pool is closed")
)

// Options configure a Pool.
type Options struct {
	Address     string        // IP:port
	DialTimeout time.Duration // for a new connection
	IdleTimeout time.Duration // how long an idle connection is kept; the target may shorten it
	MaxIdle     int
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	TCPUserTimeout time.Duration
	// OnDial is called for each new connection to the address itself.
	OnDial func()
	// Dial makes the connections for requests; nil: DialDirect.
	Dial func(ctx context.Context) (net.Conn, error)
	// LocalIP is the local address of connections; nil: the system chooses it.
	LocalIP net.IP
}

// Indirect is a connection that another host carries.
type Indirect interface {
	net.Conn
	Host() string             // that carries it
	DialTime() time.Duration  // that the connection itself took
	ReusableUntil() time.Time // no request may begin later
	Buffered() int            // bytes that arrived and were not read
	Blame()                   // records that the connection broke or fell silent
}

// Pool holds the connections to one target.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*Conn // most recently used last
	open   int
	limit  int
	closed bool
}

// TCP keep-alive probes of a silent connection.
const (
	keepAliveProbe = time.Second // interval of the probes, and idle time before the first one
	keepAliveCount = 4           // unanswered probes after which the connection fails
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount}

// DetectDead sets the same options on a connection as on those of a pool, so that it fails as soon once its other side
// is gone.
func DetectDead(nc net.Conn, userTimeout time.Duration) {
	if tcp, ok := nc.(interface {
		SetKeepAliveConfig(c net.KeepAliveConfig) error
	}); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // without it, the system's defaults apply
	}
	setUserTimeout(nc, userTimeout)
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	p := &Pool{opts: opts}
	p.dialer = net.Dialer{Timeout: opts.DialTimeout, KeepAliveConfig: keepAlive}
	if opts.LocalIP != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: opts.LocalIP}
	}
	if p.opts.Dial == nil {
		p.opts.Dial = p.DialDirect
	}
	return p
}

// SetLimit bounds the open connections, idle ones included; 0 means no limit.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Get returns an idle connection that was unused for at most maxUnused, or dials a new one.
func (p *Pool) Get(ctx context.Context, maxUnused time.Duration) (*Conn, error) {
	now := time.Now()
	for {
		c, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) > maxUnused || now.After(c.idleUntil) || !c.openAndIdle() {
			c.Close()
			continue
		}
		c.reused = true
		return c, nil
	}
	return p.newConn(ctx, p.opts.Dial)
}

func (p *Pool) takeIdle() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	n := len(p.idle)
	if n == 0 {
		if p.limit > 0 && p.open >= p.limit {
			return nil, ErrConnLimit
		}
		return nil, nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c, nil
}

// newConn dials a connection, which counts as open.
func (p *Pool) newConn(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) (*Conn, error) {
	p.mu.Lock()
	if p.limit > 0 && p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrConnLimit
	}
	p.open++
	p.mu.Unlock()
	began := time.Now()
	nc, err := dial(ctx)
	if err != nil {
		p.countClosed()
		return nil, err
	}
	limit := NewHeadLimit(nc)
	c := &Conn{pool: p, nc: nc, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), dialTime: time.Since(began)}
	c.indirect, _ = nc.(Indirect)
	if c.indirect != nil {
		c.dialTime = c.indirect.DialTime()
	}
	return c, nil
}

// DialDirect dials a connection to the pool's address that doesn't belong to the pool.
func (p *Pool) DialDirect(ctx context.Context) (net.Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", p.opts.Address)
	if err != nil {
		return nil, err
	}
	if p.opts.OnDial != nil {
		p.opts.OnDial()
	}
	setUserTimeout(nc, p.opts.TCPUserTimeout)
	return nc, nil
}

// Dial returns a new connection that dial makes.
func (p *Pool) Dial(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) (*Conn, error) {
	return p.newConn(ctx, dial)
}

// Probe dials a new connection with dial and keeps it for a later request, or returns why that failed.
func (p *Pool) Probe(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) error {
	c, err := p.newConn(ctx, dial)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// errClosedAtOnce means that a new connection was closed by the other side before anything was sent.
var errClosedAtOnce = fmt.Errorf("httpconn: the new connection was closed at once: %w", syscall.ECONNRESET)

// ProbeSettled is Probe for links that may accept connections and reset them at once, or pass nothing: it waits for settle
// before it keeps the connection, if it keeps it.
func (p *Pool) ProbeSettled(ctx context.Context, dial func(ctx context.Context) (net.Conn, error), settle time.Duration, keeps func() bool) error {
	c, err := p.newConn(ctx, dial)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	if !c.openAndIdle() {
		c.Close()
		return errClosedAtOnce
	}
	if !keeps() {
		c.Close()
		return nil
	}
	p.putIdle(c)
	return nil
}

// readBufferBytes is the size of the read buffer of a connection in bytes.
const readBufferBytes = 2048

func (p *Pool) countClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// putIdle keeps a connection for reuse, or closes it if the pool is closed or full.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.opts.MaxIdle {
		p.mu.Unlock()
		c.Close()
		return
	}
	now := time.Now()
	c.idleSince = now
	c.idleUntil = now.Add(p.opts.IdleTimeout)
	if c.keepAlive > 0 {
		c.idleUntil = now.Add(min(p.opts.IdleTimeout, c.keepAlive))
	}
	if c.indirect != nil && c.indirect.ReusableUntil().Before(c.idleUntil) {
		c.idleUntil = c.indirect.ReusableUntil()
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// CloseExpired closes idle connections whose idle time has run out, and those on which something arrived or that the target
// closed: they carry no further request.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var kept, old []*Conn
	for _, c := range p.idle {
		if now.After(c.idleUntil) || !c.openAndIdle() {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// OpenConns returns the number of connections, idle or in use.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Reopen lets a closed pool dial connections again.
func (p *Pool) Reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = false
}

// Close closes the idle connections; connections still in use are closed when they finish.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections, for use when one of the same age went silent.
func (p *Pool) CloseIdle() { p.closeIdle(func(*Conn) bool { return true }) }

// CloseIdleDirect closes the idle connections that no other host carries.
func (p *Pool) CloseIdleDirect() { p.closeIdle(func(c *Conn) bool { return c.indirect == nil }) }

func (p *Pool) closeIdle(closes func(c *Conn) bool) {
	p.mu.Lock()
	var kept, closed []*Conn
	for _, c := range p.idle {
		if closes(c) {
			closed = append(closed, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

func setUserTimeout(nc net.Conn, d time.Duration) {
	raw, ok := rawConn(nc)
	if !ok || d <= 0 {
		return
	}
	// Without the option, only keep-alive probes detect dead peers.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}

func rawConn(nc net.Conn) (syscall.RawConn, bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}
