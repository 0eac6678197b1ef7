// Package exchange sends one HTTP/1.1 request on one connection to a target and
// reads its answer. It keeps idle connections for reuse. It never repeats a
// request by itself and says of each failure whether the target may have got it.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Errors of Get. The request was not sent.
var (
	// ErrConnLimit means that the pool has as many connections as it may have.
	ErrConnLimit = errors.New("exchange: connection limit reached")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("exchange: pool is closed")
)

// Options configure a Pool.
type Options struct {
	Address     string        // IP:port
	DialTimeout time.Duration // for a new connection
	IdleTimeout time.Duration // an idle connection is kept so long unless the target says less
	MaxIdle     int
	// TCPUserTimeout is how long sent bytes may stay without acknowledgement.
	TCPUserTimeout time.Duration
	// OnDial is called for each new connection.
	OnDial func()
}

// Pool holds the connections to one target.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*Conn // the newest last
	open   int
	limit  int
	closed bool
}

// keepAliveProbe is the pause before and between the probes of a quiet connection.
const (
	keepAliveProbe = time.Second
	keepAliveCount = 4
)

// NewPool makes an empty pool.
func NewPool(opts Options) *Pool {
	p := &Pool{opts: opts}
	p.dialer = net.Dialer{
		Timeout: opts.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount,
		},
	}
	return p
}

// SetLimit bounds the open connections; 0: no limit.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Get takes an idle connection that has rested for at most maxRest, or makes a
// new one.
func (p *Pool) Get(ctx context.Context, maxRest time.Duration) (*Conn, error) {
	now := time.Now()
	for {
		c, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) > maxRest || now.After(c.idleUntil) || !c.quiet() {
			c.Close()
			continue
		}
		c.reused = true
		return c, nil
	}
	return p.dial(ctx)
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

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.limit > 0 && p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrConnLimit
	}
	p.open++
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", p.opts.Address)
	if err != nil {
		p.forget()
		return nil, err
	}
	if p.opts.OnDial != nil {
		p.opts.OnDial()
	}
	setUserTimeout(nc, p.opts.TCPUserTimeout)
	return &Conn{pool: p, nc: nc, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// Probe makes a new connection, which is kept for a request, and tells why that failed.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 2048

func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put keeps a connection for reuse.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.opts.MaxIdle {
		p.mu.Unlock()
		c.Close()
		return
	}
	now := time.Now()
	c.idleSince = now
	c.idleUntil = now.Add(p.opts.IdleTimeout)
	if c.keepFor > 0 {
		c.idleUntil = now.Add(min(p.opts.IdleTimeout, c.keepFor))
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// CloseExpired closes idle connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var kept, old []*Conn
	for _, c := range p.idle {
		if now.After(c.idleUntil) {
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

// OpenConns counts the connections, idle or not.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Reopen lets a closed pool make connections again.
func (p *Pool) Reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = false
}

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections: one of the same age went silent.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
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
	// Without the option, dead peers are found by the keep-alive probes alone.
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
