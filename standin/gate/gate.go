// Package gate simulates one host's link to one target: a TCP proxy that can be shut, so that new connections are
// refused, or stalled, so that nothing responds to them, as if the target's machine were out of reach.
package gate

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Gate is a proxy to one address.
type Gate struct {
	t       testing.TB
	to      string
	address string

	mu       sync.Mutex
	listener *net.TCPListener
	fillers  []net.Conn // fill the queue of the stalled listener
	frozen   bool       // bytes wait
	thawed   *sync.Cond
	conns    map[net.Conn]net.Conn
}

// Open opens a gate to an address, on a free port of the IP, until the test ends.
func Open(t testing.TB, ip, to string) *Gate {
	t.Helper()
	g := &Gate{t: t, to: to, address: net.JoinHostPort(ip, "0"), conns: map[net.Conn]net.Conn{}}
	g.thawed = sync.NewCond(&g.mu)
	g.listen()
	t.Cleanup(func() {
		g.Restore()
		g.mu.Lock()
		defer g.mu.Unlock()
		_ = g.listener.Close()
		g.resetAll()
	})
	return g
}

// Address is where the gate listens.
func (g *Gate) Address() string { return g.address }

// listen starts to accept. The caller holds g.mu, or nothing else knows of the gate.
func (g *Gate) listen() {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		g.t.Error(err)
		return
	}
	g.listener = l.(*net.TCPListener)
	g.address = l.Addr().String()
	go g.accept(g.listener)
}

func (g *Gate) accept(l *net.TCPListener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go g.forward(near)
	}
}

func (g *Gate) forward(near net.Conn) {
	far, err := net.Dial("tcp", g.to)
	if err != nil {
		_ = near.Close()
		return
	}
	g.mu.Lock()
	g.conns[near] = far
	g.mu.Unlock()
	go g.copy(far, near)
	g.copy(near, far)
	g.mu.Lock()
	delete(g.conns, near)
	g.mu.Unlock()
}

// copy copies bytes, which wait while the gate is frozen, until a side closes.
func (g *Gate) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		g.mu.Lock()
		for g.frozen {
			g.thawed.Wait()
		}
		g.mu.Unlock()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Freeze makes the bytes of open connections wait until Restore. New connections pass.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = true
}

// Shut resets all connections and refuses new ones.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	g.resetAll()
}

// ShutNew refuses new connections. Open ones live on.
func (g *Gate) ShutNew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
}

// resetAll resets all connections. The lock is held.
func (g *Gate) resetAll() {
	for near, far := range g.conns {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = near.Close()
		_ = far.Close()
	}
}

// maxFillers bounds the connections that fill the queue of a stalled listener.
const maxFillers = 16

// StallNew makes the gate ignore new connections: the queue of its listener is full. Open ones live on.
func (g *Gate) StallNew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		g.t.Error(err)
		return
	}
	g.listener = l.(*net.TCPListener)
	raw, err := g.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		g.t.Error(err)
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", g.address, 50*time.Millisecond)
		if err != nil {
			return
		}
		g.fillers = append(g.fillers, c)
	}
	g.t.Error("the queue of the listener takes any number of connections")
}

// Restore lets everything pass again.
func (g *Gate) Restore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = false
	g.thawed.Broadcast()
	_ = g.listener.Close()
	for _, c := range g.fillers {
		_ = c.Close()
	}
	g.fillers = nil
	g.listen()
}
