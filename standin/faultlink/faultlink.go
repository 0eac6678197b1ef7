// Package faultlink simulates the network between two processes with a TCP proxy to one
// address, whose faults are switched on and off while connections are open. Faults may
// overlap, and each ends when it is healed, whatever state the connections are in.
package faultlink

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Fault affects all connections of a link while it is active. Down is towards the client,
// the side that connected.
type Fault struct {
	Delay     time.Duration // of bytes down
	Jitter    time.Duration // maximum deviation of each delay
	PerSecond float64       // rate of bytes down on each connection; 0: no limit
	// DropDown and DropUp drop bytes. A connection that lost some is closed when the fault ends.
	DropDown, DropUp bool
	// Reset resets a connection ResetAfter after the next bytes down.
	Reset      bool
	ResetAfter time.Duration
	// Refuse resets new connections.
	Refuse bool
	// From lists the IPs of the clients that the fault affects; nil: all.
	From []string
}

// affects reports whether the fault affects connections of a client.
func (f Fault) affects(ip string) bool { return f.From == nil || slices.Contains(f.From, ip) }

// add combines two faults.
func (f Fault) add(other Fault) Fault {
	f.Delay = max(f.Delay, other.Delay)
	f.Jitter = max(f.Jitter, other.Jitter)
	if f.PerSecond == 0 || other.PerSecond > 0 && other.PerSecond < f.PerSecond {
		f.PerSecond = other.PerSecond
	}
	f.DropDown = f.DropDown || other.DropDown
	f.DropUp = f.DropUp || other.DropUp
	f.Refuse = f.Refuse || other.Refuse
	if other.Reset {
		f.Reset, f.ResetAfter = true, other.ResetAfter
	}
	return f
}

// Options configure a Link.
type Options struct {
	Listen string // IP:port to listen on
	To     string // IP:port to connect to
	// Arrive returns when bytes down arrive at the earliest, apart from faults; nil: at once.
	Arrive func(bytes int) time.Time
	// PassResets resets a connection to the client that the server reset; without it the connection is closed.
	PassResets bool
}

// Link is a proxy to one address.
type Link struct {
	opts     Options
	listener net.Listener

	mu    sync.Mutex
	next  int
	fault map[int]Fault // active ones by number
	conns map[*conn]bool
}

// Open opens a link until the test ends.
func Open(t testing.TB, opts Options) *Link {
	t.Helper()
	listener, err := listen(opts.Listen)
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{opts: opts, listener: listener, fault: map[int]Fault{}, conns: map[*conn]bool{}}
	t.Cleanup(l.Close)
	go l.accept()
	return l
}

// releaseTime is how long an address may stay in use after its listener was closed: a process that is being started has a
// copy of it for a moment.
const releaseTime = time.Second

// listen listens on an address, once it is released.
func listen(address string) (listener net.Listener, err error) {
	for end := time.Now().Add(releaseTime); ; time.Sleep(time.Millisecond) {
		listener, err = net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}

// Address is the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Inject starts a fault; the returned function ends it.
func (l *Link) Inject(f Fault) (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.next
	l.next++
	l.fault[number] = f
	return func() { l.heal(number) }
}

// heal ends a fault, and closes the connections that lost bytes in a direction that now drops none.
func (l *Link) heal(number int) {
	l.mu.Lock()
	delete(l.fault, number)
	l.mu.Unlock()
	for _, c := range l.open() {
		if c.broken(l.active(c.client)) {
			c.close()
		}
	}
}

// Silence drops all further bytes of the connections that are open now, in both directions
// and without closing them. New connections work.
func (l *Link) Silence() {
	for _, c := range l.open() {
		c.silenced.Store(true)
	}
}

// ResetOpen resets the connections that the given clients have open now.
func (l *Link) ResetOpen(from []string) {
	for _, c := range l.open() {
		if slices.Contains(from, c.client) {
			c.reset()
		}
	}
}

// active combines the active faults that affect a client.
func (l *Link) active(client string) Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all Fault
	for _, f := range l.fault {
		if f.affects(client) {
			all = all.add(f)
		}
	}
	return all
}

func (l *Link) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

// Close closes the listener and all connections, as if the server had exited.
func (l *Link) Close() {
	_ = l.listener.Close()
	for _, c := range l.open() {
		c.close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

// forward connects to the server and forwards both ways until the connection ends.
func (l *Link) forward(near net.Conn) {
	client, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	if l.active(client).Refuse {
		resetOnClose(near)
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", l.opts.To)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &conn{link: l, client: client, near: near, far: far}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	go c.up()
	c.down()
}

// delay draws the delay of bytes down.
func (f Fault) delay() time.Duration {
	if f.Jitter <= 0 {
		return f.Delay
	}
	return max(f.Delay-f.Jitter+rand.N(2*f.Jitter), 0)
}
