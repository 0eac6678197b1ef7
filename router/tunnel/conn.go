package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection to a target through another host.
type Conn struct {
	net.Conn               // to the other host
	reader   *bufio.Reader // frames
	left     int           // bytes left of the current frame
	ended    bool          // the target's connection ended in order
	host     string
	dialTime time.Duration
	openedAt time.Time
	blame    func()
	release  func()
	once     sync.Once
}

// Host is the name of the host that carries the connection.
func (c *Conn) Host() string { return c.host }

// DialTime is how long the tunnel took to open.
func (c *Conn) DialTime() time.Duration { return c.dialTime }

// ReusableUntil is when the tunnel may get its last request.
func (c *Conn) ReusableUntil() time.Time { return c.openedAt.Add(MaxAge) }

// Buffered returns the number of bytes that have arrived and not been read.
func (c *Conn) Buffered() int { return c.left + c.reader.Buffered() }

// Blame records that the tunnel broke or fell silent: other hosts are preferred for a while.
func (c *Conn) Blame() { c.blame() }

// Read reads what the target sent.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, broken(err)
}

func (c *Conn) nextFrame() error {
	var length [frameHeader]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return broken(err)
	}
	c.left = int(binary.BigEndian.Uint16(length[:]))
	if c.left == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}

// broken replaces the end of the connection to the other host, which is no orderly end of the target's.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close closes the tunnel, and with it the connection to the target.
func (c *Conn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// SyscallConn gives access to the connection to the other host.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
