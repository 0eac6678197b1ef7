package faultlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of a connection.
const (
	// chunk is how many bytes cross at a time: small, so that connections that share a
	// rate do so evenly.
	chunk = 4 << 10
	// maxQueued is how many chunks may be on their way, 256 KB.
	maxQueued = 64
)

// conn is one connection over a link.
type conn struct {
	link *Link
	near net.Conn // the side that connected
	far  net.Conn

	hushed   atomic.Bool // silent for good
	lostDown atomic.Bool // bytes of it vanished
	lostUp   atomic.Bool
	once     sync.Once
}

// arrival is bytes on their way down.
type arrival struct {
	data []byte
	at   time.Time
}

// broken says whether bytes are missing and later ones would now get through.
func (c *conn) broken(f Fault) bool {
	return c.lostDown.Load() && !f.DropDown || c.lostUp.Load() && !f.DropUp
}

// up carries bytes to the far side until one side ends.
func (c *conn) up() {
	defer c.close()
	data := make([]byte, chunk)
	for {
		n, err := c.near.Read(data)
		if err != nil {
			return
		}
		if c.hushed.Load() {
			continue
		}
		if c.link.atWork().DropUp {
			c.lostUp.Store(true)
			continue
		}
		if _, err := c.far.Write(data[:n]); err != nil {
			return
		}
	}
}

// down carries bytes to the near side until one side ends.
func (c *conn) down() {
	arriving := make(chan arrival, maxQueued)
	go c.read(arriving)
	for a := range arriving {
		time.Sleep(time.Until(a.at))
		if c.hushed.Load() {
			continue
		}
		if _, err := c.near.Write(a.data); err != nil {
			break
		}
	}
	c.close()
	// The reader ends with its connection; what it still sends is dropped.
	for range arriving {
	}
}

// read puts what the far side sends on its way.
func (c *conn) read(arriving chan<- arrival) {
	defer close(arriving)
	var way pace
	for {
		data := make([]byte, chunk)
		n, err := c.far.Read(data)
		if err != nil {
			return
		}
		fault := c.link.atWork()
		switch {
		case c.hushed.Load():
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

// pace is when the bytes of a connection arrive.
type pace struct {
	free time.Time // when the bytes so far have crossed at the connection's rate
	last time.Time // arrival of the bytes so far; none overtake them
}

// arrive says when so many bytes arrive that are sent now.
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

// reset ends both sides with a reset.
func (c *conn) reset() {
	for _, side := range []net.Conn{c.near, c.far} {
		if tcp, ok := side.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

// close ends both sides.
func (c *conn) close() {
	c.once.Do(func() {
		_ = c.near.Close()
		_ = c.far.Close()
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.conns, c)
	})
}
