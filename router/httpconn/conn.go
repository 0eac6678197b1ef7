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
)

// Conn is a connection that carries one request at a time. It is not safe for
// concurrent use, but for Close.
type Conn struct {
	pool   *Pool
	nc     net.Conn
	reader *bufio.Reader
	reused bool

	idleSince time.Time
	idleUntil time.Time
	keepFor   time.Duration // what the target said of idle connections

	closed  atomic.Bool
	spoiled bool          // must not carry another request
	written chan error    // the write of the present request
	stop    func() bool   // ends the watch of the context
	request *http.Request // what the answer's framing depends on
}

// Reused says whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Request is what is sent. Head holds the request line, all headers and the
// empty line.
type Request struct {
	Method string
	Head   []byte
	Body   []byte
}

// Error is why an exchange brought no answer.
type Error struct {
	// MaybeSent means that the target may have got the request.
	MaybeSent bool
	Err       error
}

func (f *Error) Error() string {
	if f.MaybeSent {
		return fmt.Sprintf("after sending: %v", f.Err)
	}
	return fmt.Sprintf("before sending: %v", f.Err)
}

// Unwrap gives the cause.
func (f *Error) Unwrap() error { return f.Err }

// inlineBody is the size of a request in bytes up to which it is written before
// the answer is read; a longer one is written beside, since a target may answer early.
const inlineBody = 4096

// aLongTimeAgo is a deadline that ends all reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// Send writes the request and starts watching ctx: when it ends, so does all
// that is under way on the connection.
func (c *Conn) Send(ctx context.Context, req Request) *Error {
	c.stop = context.AfterFunc(ctx, c.Abort)
	c.request = &http.Request{Method: req.Method}
	c.written = make(chan error, 1)
	if len(req.Head)+len(req.Body) <= inlineBody {
		return c.sendInline(req)
	}
	go c.sendBeside(req)
	return nil
}

func (c *Conn) sendInline(req Request) *Error {
	data := append(append(make([]byte, 0, len(req.Head)+len(req.Body)), req.Head...), req.Body...)
	n, err := c.nc.Write(data)
	c.written <- err
	if err != nil {
		c.spoiled = true
		return &Error{MaybeSent: n > 0, Err: err}
	}
	return nil
}

func (c *Conn) sendBeside(req Request) {
	buffers := net.Buffers{req.Head, req.Body}
	_, err := buffers.WriteTo(c.nc)
	c.written <- err
}

// maxInterim bounds the 1xx answers before the answer.
const maxInterim = 8

// Receive reads the head of the next answer. Its body must be read to the end or
// the connection closed.
func (c *Conn) Receive() (*http.Response, *Error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.reader, c.request)
		if err != nil {
			c.spoiled = true
			return nil, &Error{MaybeSent: true, Err: err}
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.noteKeepAlive(resp)
			return resp, nil
		}
	}
	c.spoiled = true
	return nil, &Error{MaybeSent: true, Err: errors.New("too many interim answers")}
}

// noteKeepAlive takes in what the answer says of the connection's further use.
func (c *Conn) noteKeepAlive(resp *http.Response) {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		c.spoiled = true
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil {
			// The target counts from when it sent, so half a second is kept free.
			c.keepFor = max(time.Duration(n)*time.Second-500*time.Millisecond, time.Millisecond)
		}
	}
}

// Abort ends all that is under way on the connection at once. It may be called
// from another goroutine.
func (c *Conn) Abort() { _ = c.nc.SetDeadline(aLongTimeAgo) }

// DisableReuse keeps the connection from being used again.
func (c *Conn) DisableReuse() { c.spoiled = true }

// Finish ends the exchange. whole says that the answer was read to its end; only
// then, and if nothing else speaks against it, the connection is used again.
func (c *Conn) Finish(whole bool) {
	stopped := c.stop == nil || c.stop()
	if !whole || !stopped || c.spoiled || !c.writeDone() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	_ = c.nc.SetDeadline(time.Time{})
	c.pool.put(c)
}

// writeDone says whether the request was written without an error. An answer
// before the end of the request leaves the rest of its body due.
func (c *Conn) writeDone() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection at once. What the target still works on is
// cancelled by it.
func (c *Conn) Close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.nc.Close()
	c.pool.forget()
}

// quiet says whether the idle connection is open and has nothing to read.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
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

// ReadLimited reads a body to its end, at most limit bytes. ok is false if it is
// longer; what was read is then the beginning.
func ReadLimited(body io.Reader, limit int64) (data []byte, ok bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if int64(len(data)) > limit {
		return data, false, err
	}
	return data, true, err
}
