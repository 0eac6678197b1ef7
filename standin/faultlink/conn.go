package faultlink

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of a connection.
const (
	// chunk is the maximum number of bytes forwarded at a time: small, so that connections
	// that share a rate do so evenly.
	chunk = 4 << 10
	// maxQueued is the maximum number of chunks in flight, 256 KB.
	maxQueued = 64
)

// conn is one connection over a link.
type conn struct {
	link   *Link
	client string   // IP
	near   net.Conn // to the client
	far    net.Conn // to the server

	silenced atomic.Bool // drops all bytes from now on
	lostDown atomic.Bool // bytes were dropped
	lostUp   atomic.Bool
	wasReset atomic.Bool // by the server
	once     sync.Once
}

// arrival is bytes in flight to the client and when they arrive.
type arrival struct {
	data []byte
	at   time.Time
}

// broken reports whether bytes were dropped in a direction in which f drops none.
func (c *conn) broken(f Fault) bool {
	return c.lostDown.Load() && !f.DropDown || c.lostUp.Load() && !f.DropUp
}

// up forwards bytes to the server until one side closes.
func (c *conn) up() {
	defer c.close()
	data := make([]byte, chunk)
	for {
		n, err := c.near.Read(data)
		if err != nil {
			return
		}
		if c.silenced.Load() {
			continue
		}
		if c.link.active(c.client).DropUp {
			c.lostUp.Store(true)
			continue
		}
		if _, err := c.far.Write(data[:n]); err != nil {
			return
		}
	}
}

// down forwards bytes to the client until one side closes.
func (c *conn) down() {
	arriving := make(chan arrival, maxQueued)
	go c.read(arriving)
	for a := range arriving {
		time.Sleep(time.Until(a.at))
		if c.silenced.Load() {
			continue
		}
		if _, err := c.near.Write(a.data); err != nil {
			break
		}
	}
	if c.wasReset.Load() {
		resetOnClose(c.near)
	}
	c.close()
	// read returns once its connection is closed; what it still sends is dropped.
	for range arriving {
	}
}

// read schedules the bytes from the server.
func (c *conn) read(arriving chan<- arrival) {
	defer close(arriving)
	var way pace
	for {
		data := make([]byte, chunk)
		n, err := c.far.Read(data)
		if err != nil {
			if c.link.opts.PassResets && errors.Is(err, syscall.ECONNRESET) {
				c.wasReset.Store(true)
			}
			return
		}
		fault := c.link.active(c.client)
		switch {
		case c.silenced.Load():
			continue
		case fault.DropDown:
			c.lostDown.Store(true)
			continue
		case fault.Reset:
			time.Sleep(fault.ResetAfter)
			c.reset()
			return
		}
		at := way.arrive(n, fault, time.Now())
		if c.link.opts.Arrive != nil {
			at = later(at, c.link.opts.Arrive(n))
		}
		arriving <- arrival{data: data[:n], at: at}
	}
}

// pace computes when the bytes of a connection arrive.
type pace struct {
	free time.Time // when the bytes so far have been transmitted at the connection's rate
	last time.Time // arrival of the last bytes; later ones don't overtake them
}

// arrive returns when bytes that are sent now arrive.
func (p *pace) arrive(bytes int, f Fault, now time.Time) time.Time {
	at := now.Add(f.delay())
	if f.PerSecond > 0 {
		p.free = later(p.free, now).Add(time.Duration(float64(bytes) / f.PerSecond * float64(time.Second)))
		at = later(at, p.free)
	}
	p.last = later(at, p.last)
	return p.last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reset closes both sides with a TCP reset.
func (c *conn) reset() {
	resetOnClose(c.near)
	resetOnClose(c.far)
	c.close()
}

// resetOnClose makes closing a connection send a TCP reset.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// close closes both sides. It may be called more than once.
func (c *conn) close() {
	c.once.Do(func() {
		_ = c.near.Close()
		_ = c.far.Close()
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.conns, c)
	})
}
