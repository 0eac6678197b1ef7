package backend

import "net"

// Suspend makes the backend do nothing, as if its process were stopped: connections are accepted by the kernel, and nothing
// is read or written. The returned function lets it go on where it was, once every call's has been called.
func (b *Backend) Suspend() (resume func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspended == 0 {
		b.running = make(chan struct{})
	}
	b.suspended++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.suspended--
		if b.suspended == 0 {
			close(b.running)
			b.running = nil
		}
	}
}

// waitRunning waits until the backend is not suspended, or closed.
func (b *Backend) waitRunning() {
	b.mu.Lock()
	running := b.running
	b.mu.Unlock()
	if running == nil {
		return
	}
	select {
	case <-running:
	case <-b.ended:
	}
}

// suspendable is a connection that is neither read nor written while its backend is suspended.
type suspendable struct {
	net.Conn
	backend *Backend
}

func (c *suspendable) Read(p []byte) (int, error) {
	c.backend.waitRunning()
	n, err := c.Conn.Read(p)
	c.backend.waitRunning() // what arrived meanwhile is read afterwards
	return n, err
}

func (c *suspendable) Write(p []byte) (int, error) {
	c.backend.waitRunning()
	return c.Conn.Write(p)
}
