package httpconn

import (
	"errors"
	"fmt"
	"io"
)

// maxHeadBytes bounds the head of a response together with the interim responses before it. Many HTTP clients take no
// longer one.
const maxHeadBytes = 64 << 10

// errHeadTooLong means that the target sent maxHeadBytes without the end of a head.
var errHeadTooLong = errors.New("response head is too long")

// HeadLimit reads from a connection and bounds what is read of a head. http.ReadResponse bounds neither the lines of a head
// nor their number.
type HeadLimit struct {
	from   io.Reader
	inHead bool
	left   int
}

// NewHeadLimit returns a HeadLimit that is in a head.
func NewHeadLimit(from io.Reader) *HeadLimit {
	l := &HeadLimit{from: from}
	l.Begin()
	return l
}

// Begin records that a head follows.
func (l *HeadLimit) Begin() { l.inHead, l.left = true, maxHeadBytes }

// End records that the head was read.
func (l *HeadLimit) End() { l.inHead = false }

// Read implements io.Reader.
func (l *HeadLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.from.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// protocolPrefix is how each response begins.
const protocolPrefix = "HTTP/"

// checkProtocol returns an error as soon as a byte arrives that begins no response: the end of its line, with which the
// head would be parsed, may never come.
func (c *Conn) checkProtocol() error {
	for n := 1; n <= len(protocolPrefix); n++ {
		begin, err := c.reader.Peek(n)
		if err != nil {
			return nil // reading the response tells
		}
		if string(begin) != protocolPrefix[:n] {
			return fmt.Errorf("response begins with %q instead of HTTP", begin)
		}
	}
	return nil
}
