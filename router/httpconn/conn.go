package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Conn is a connection that carries one request at a time. It is not safe for concurrent use,
// except for Close and Abort.
type Conn struct {
	pool   *Pool
	nc     net.Conn
	reader *bufio.Reader // reads from nc by limit
	limit  *HeadLimit
	reused bool

	indirect Indirect // nc if another host carries the connection, else nil
	dialTime time.Duration

	idleSince time.Time
	idleUntil time.Time
	keepAlive time.Duration // by the target's Keep-Alive header, less a margin; 0: not given

	closed    atomic.Bool
	writing   atomic.Bool   // the current request is not written whole
	unwritten atomic.Bool   // writing the current request failed
	noReuse   bool          // the connection must not be reused
	written   chan error    // result of writing the current request
	stopWatch func() bool   // stops watching the context
	request   *http.Request // the framing of the response depends on its method
}

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Indirect returns the connection that another host carries, nil if this one is direct.
func (c *Conn) Indirect() Indirect { return c.indirect }

// DialTime is how long the connection took to be made.
func (c *Conn) DialTime() time.Duration { return c.dialTime }

// Request is a request to send. Head holds the request line, all headers and the empty line.
type Request struct {
	Method string
	Head   []byte
	Body   []byte
}

// Error is why a request got no response.
type Error struct {
	// MaybeSent means that the target may have received the request.
	MaybeSent bool
	Err       error
}

func (f *Error) Error() string {
	if f.MaybeSent {
		return fmt.Sprintf("after sending: %v", f.Err)
	}
	return fmt.Sprintf("before sending: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Error) Unwrap() error { return f.Err }

// InlineRequestBytes is the largest request that is written before the response is read. A longer
// one is written in the background, since a target may respond early.
const InlineRequestBytes = 4096

// aLongTimeAgo is a deadline that fails all reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// Send writes the request and starts watching ctx, whose end aborts all reads and writes of the
// connection.
func (c *Conn) Send(ctx context.Context, req Request) *Error {
	c.stopWatch = context.AfterFunc(ctx, c.Abort)
	c.request = &http.Request{Method: req.Method}
	c.written = make(chan error, 1)
	c.writing.Store(true)
	c.unwritten.Store(false)
	if len(req.Head)+len(req.Body) <= InlineRequestBytes {
		return c.sendInline(req)
	}
	go c.sendInBackground(req)
	return nil
}

func (c *Conn) sendInline(req Request) *Error {
	data := append(append(make([]byte, 0, len(req.Head)+len(req.Body)), req.Head...), req.Body...)
	n, err := c.nc.Write(data)
	c.writing.Store(false)
	c.written <- err
	if err != nil {
		c.noReuse = true
		return &Error{MaybeSent: n > 0, Err: err}
	}
	return nil
}

func (c *Conn) sendInBackground(req Request) {
	buffers := net.Buffers{req.Head, req.Body}
	_, err := buffers.WriteTo(c.nc)
	c.unwritten.Store(err != nil)
	c.writing.Store(false)
	c.written <- err
}

// WasReset reports, once the end of the response was read, whether the target broke the connection off rather than closing it
// in order. It tells no such end of a connection that another host carries: that host does.
func (c *Conn) WasReset() bool {
	return c.unwritten.Load() || c.indirect == nil && WasReset(c.nc)
}

// Unsent reports whether a part of the current request has not arrived at the target's machine: it is not
// written, or lies in this host's kernel. It may be called from another goroutine.
func (c *Conn) Unsent() bool {
	if c.writing.Load() {
		return true
	}
	raw, ok := rawConn(c.nc)
	if !ok {
		return false
	}
	var queued int32
	err := raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued)))
	})
	return err == nil && queued > 0
}

// maxInterimResponses bounds the 1xx responses before the final one.
const maxInterimResponses = 8

// Receive reads the head of the final response. The caller must read its body to the end or close
// the connection.
func (c *Conn) Receive() (*http.Response, *Error) {
	c.limit.Begin()
	defer c.limit.End()
	for range maxInterimResponses {
		if err := c.checkProtocol(); err != nil {
			c.noReuse = true
			return nil, &Error{MaybeSent: true, Err: err}
		}
		resp, err := ReadResponse(c.reader, c.request)
		if err != nil {
			c.noReuse = true
			return nil, &Error{MaybeSent: true, Err: err}
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.noteKeepAlive(resp)
			return resp, nil
		}
	}
	c.noReuse = true
	return nil, &Error{MaybeSent: true, Err: errors.New("too many interim (1xx) responses")}
}

// noteKeepAlive applies what the response says about reuse of the connection.
func (c *Conn) noteKeepAlive(resp *http.Response) {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		c.noReuse = true
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil {
			// The target counts from when it sent the response, hence half a second less.
			c.keepAlive = max(time.Duration(n)*time.Second-500*time.Millisecond, time.Millisecond)
		}
	}
}

// Abort fails all reads and writes of the connection at once. It may be called from another goroutine.
func (c *Conn) Abort() { _ = c.nc.SetDeadline(aLongTimeAgo) }

// DisableReuse keeps the connection from being used for another request.
func (c *Conn) DisableReuse() { c.noReuse = true }

// Finish ends the request. complete means that the response was read to its end; otherwise, or if
// anything else prevents reuse, the connection is closed.
func (c *Conn) Finish(complete bool) {
	stopped := c.stopWatch == nil || c.stopWatch()
	if !complete || !stopped || c.noReuse || !c.writeDone() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	_ = c.nc.SetDeadline(time.Time{})
	c.pool.putIdle(c)
}

// Release returns a connection on which no request was sent to its pool.
func (c *Conn) Release() { c.pool.putIdle(c) }

// writeDone reports whether the request was written without an error. After an early response the
// body may still be incomplete.
func (c *Conn) writeDone() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection at once, which cancels the request if the target still works on it.
func (c *Conn) Close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.nc.Close()
	c.pool.countClosed()
}

// openAndIdle reports whether the connection is open and has nothing to read.
func (c *Conn) openAndIdle() bool {
	if c.reader.Buffered() > 0 || c.indirect != nil && c.indirect.Buffered() > 0 {
		return false
	}
	raw, ok := rawConn(c.nc)
	if !ok {
		return true
	}
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// ReadLimited reads a body of at most limit bytes. ok is false if it is longer; data then is its
// beginning.
func ReadLimited(body io.Reader, limit int64) (data []byte, ok bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if int64(len(data)) > limit {
		return data, false, err
	}
	return data, true, err
}
