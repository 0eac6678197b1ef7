// Package faultlink stands in for the network between two processes: a TCP proxy to one
// address whose faults are switched on and off while connections are open. Any faults may
// overlap, and each ends when it is healed, whatever the connections do.
package faultlink

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// Fault is what befalls all connections of a link while it is at work. Down is towards
// the side that connected.
type Fault struct {
	Delay     time.Duration // of bytes down
	Jitter    time.Duration // by which each delay may be longer or shorter
	PerSecond float64       // bytes down that each connection carries; 0: any number
	// DropDown and DropUp let bytes vanish. A connection that lost some ends with the fault.
	DropDown, DropUp bool
	// Reset resets a connection ResetAfter the next bytes down.
	Reset      bool
	ResetAfter time.Duration
}

// add gives both faults in one.
func (f Fault) add(other Fault) Fault {
	f.Delay = max(f.Delay, other.Delay)
	f.Jitter = max(f.Jitter, other.Jitter)
	if f.PerSecond == 0 || other.PerSecond > 0 && other.PerSecond < f.PerSecond {
		f.PerSecond = other.PerSecond
	}
	f.DropDown = f.DropDown || other.DropDown
	f.DropUp = f.DropUp || other.DropUp
	if other.Reset {
		f.Reset, f.ResetAfter = true, other.ResetAfter
	}
	return f
}

// Options configure a Link.
type Options struct {
	Listen string // IP:port where connections come in
	To     string // where they lead
	// Arrive says when so many bytes down arrive, beside what faults do; nil: at once.
	Arrive func(bytes int) time.Time
}

// Link is the way to one address.
type Link struct {
	opts     Options
	listener net.Listener

	mu    sync.Mutex
	next  int
	fault map[int]Fault // those at work
	conns map[*conn]bool
}

// Open opens a link until the test ends.
func Open(t testing.TB, opts Options) *Link {
	t.Helper()
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{opts: opts, listener: listener, fault: map[int]Fault{}, conns: map[*conn]bool{}}
	t.Cleanup(l.Close)
	go l.accept()
	return l
}

// Address is where connections come in.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Strike lets a fault begin; the function that it gives ends it.
func (l *Link) Strike(f Fault) (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.next
	l.next++
	l.fault[number] = f
	return func() { l.heal(number) }
}

// heal ends a fault, and the connections that lost bytes where none are lost any more.
func (l *Link) heal(number int) {
	l.mu.Lock()
	delete(l.fault, number)
	l.mu.Unlock()
	now := l.atWork()
	for _, c := range l.open() {
		if c.broken(now) {
			c.close()
		}
	}
}

// Hush lets the connections that are open go silent for good, in both directions and
// without an end. New ones work.
func (l *Link) Hush() {
	for _, c := range l.open() {
		c.hushed.Store(true)
	}
}

// atWork is all faults at work in one.
func (l *Link) atWork() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all Fault
	for _, f := range l.fault {
		all = all.add(f)
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

// Close ends the link and its connections, as if nobody listened any more.
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
		go l.carry(near)
	}
}

// carry joins a connection that came in with one to the other side.
func (l *Link) carry(near net.Conn) {
	far, err := net.Dial("tcp", l.opts.To)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &conn{link: l, near: near, far: far}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	go c.up()
	c.down()
}

// delay is how long bytes down take by a fault.
func (f Fault) delay() time.Duration {
	if f.Jitter <= 0 {
		return f.Delay
	}
	return max(f.Delay-f.Jitter+rand.N(2*f.Jitter), 0)
}
