package inbound

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// softShare is the part of a listener's connections above which those that have waited longest for their clients are evicted as new
// ones come. The rest are for connections that are still being closed.
const softShare = 0.875

// Listener is one listener's part of an account.
type Listener struct {
	account *Account
	most    int // connections that it may have
	open    int // those that it has; guarded by the account's lock
}

// Listener returns a listener's part of the account, which may have a share of Limits.Connections.
func (a *Account) Listener(share float64) *Listener {
	return &Listener{account: a, most: max(int(share*float64(a.limits.Connections)), minConnections)}
}

// minConnections is what each listener may have, however few connections the process may have.
const minConnections = 8

// Wrap charges a new connection to the account. ok is false if there is no room for it: the caller must close it.
func (l *Listener) Wrap(nc *net.TCPConn) (c net.Conn, ok bool) { return l.wrap(nc, false) }

// wrap is Wrap; opaque as for AcceptOpaque.
func (l *Listener) wrap(nc *net.TCPConn, opaque bool) (c net.Conn, ok bool) {
	now := time.Now()
	if !l.admit(now) {
		return nil, false
	}
	charged := &Conn{TCPConn: nc, listener: l, opaque: opaque, inHead: !opaque}
	charged.charge.listener, charged.charge.evict = l, charged.expire
	l.account.begin(&charged.charge, connectionBytes, now)
	return charged, true
}

// admit counts a new connection, and evicts others if there are many.
func (l *Listener) admit(now time.Time) bool {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if excess := l.open + 1 - int(softShare*float64(l.most)); excess > 0 {
		l.evict(excess, now)
	}
	if l.open >= l.most {
		a.countEviction(now)
		return false
	}
	l.open++
	a.open++
	return true
}

// evict has a number of connections leave, those included that were evicted before: those whose requests have waited longest for
// their clients. The account's lock is held.
func (l *Listener) evict(n int, now time.Time) {
	mine := func(c *charge) bool { return c.listener == l }
	waited := func(c *charge) float64 { return now.Sub(c.since).Seconds() }
	for c := range l.account.charges {
		if mine(c) && c.evicted {
			n--
		}
	}
	for ; n > 0 && l.account.evictOne(mine, waited, now); n-- {
	}
}

// Conn is a connection of a client that is charged to an account. The server must tell its states to TrackState.
type Conn struct {
	*net.TCPConn
	listener  *Listener
	opaque    bool
	charge    charge
	closeOnce sync.Once

	mu       sync.Mutex
	inHead   bool      // the server waits for a request, or for the rest of its head
	expired  bool      // reads fail: the connection is evicted
	deadline time.Time // of reads, as the server set it
	head     int64     // charged for the head of the request
}

// Read reads from the connection. What belongs to a head is charged.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || err != nil {
		return n, err
	}
	if c.opaque {
		c.charge.wait(time.Now())
		return n, nil
	}
	c.chargeHead(p[:n])
	return n, nil // once the connection is evicted, the next read fails
}

// chargeHead charges what was read of a head.
func (c *Conn) chargeHead(p []byte) {
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return
	}
	first := c.head == 0
	held := int64(len(p) + headerBytes*bytes.Count(p, []byte{'\n'}))
	c.head += held
	c.mu.Unlock()
	now := time.Now()
	if first {
		c.charge.wait(now)
	}
	_ = c.charge.grow(held, now) // an error means that the next read fails
}

// expire makes reads fail.
func (c *Conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	_ = c.TCPConn.SetReadDeadline(longAgo)
}

// longAgo is a deadline that ends reads in progress at once.
var longAgo = time.Unix(1, 0)

// SetReadDeadline sets the deadline of reads, unless the connection is evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.expired {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection and ends its charge.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.charge.close()
		a := c.listener.account
		a.mu.Lock()
		defer a.mu.Unlock()
		c.listener.open--
		a.open--
	})
	return c.TCPConn.Close()
}

// TrackState is to be called by the ConnState of the server.
func TrackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateHijacked:
		c.beginRequest()
	case http.StateIdle:
		c.awaitRequest()
	}
}

// beginRequest records that the head of a request has been read.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	c.inHead = false
	held := connectionBytes + c.head
	c.mu.Unlock()
	if !c.charge.settle(held) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = false
	_ = c.TCPConn.SetReadDeadline(c.deadline)
}

// awaitRequest records that the server waits for the next request.
func (c *Conn) awaitRequest() {
	c.mu.Lock()
	c.inHead, c.head = true, 0
	c.mu.Unlock()
	c.charge.settle(connectionBytes)
	c.charge.wait(time.Now())
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is to be the ConnContext of the server, or called by it, so that bodies are known to occupy their connections.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// listenerOf returns the listener of a request's connection, nil if it is unknown.
func listenerOf(ctx context.Context) *Listener {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.listener
	}
	return nil
}

// Accept returns a listener whose TCP connections are charged to the account. Those without room are closed.
func (l *Listener) Accept(inner net.Listener) net.Listener {
	return &accepting{Listener: inner, part: l}
}

// AcceptOpaque is Accept for a server that doesn't tell the states of its connections: each waits for its client from the moment at
// which something was last read from it.
func (l *Listener) AcceptOpaque(inner net.Listener) net.Listener {
	return &accepting{Listener: inner, part: l, opaque: true}
}

// accepting is a listener whose connections are charged.
type accepting struct {
	net.Listener
	part   *Listener
	opaque bool
}

// Accept returns the next connection for which there is room.
func (a *accepting) Accept() (net.Conn, error) {
	for {
		nc, err := a.Listener.Accept()
		tcp, ok := nc.(*net.TCPConn)
		if err != nil || !ok {
			return nc, err
		}
		if c, ok := a.part.wrap(tcp, a.opaque); ok {
			return c, nil
		}
		_ = nc.Close() // unread
	}
}
