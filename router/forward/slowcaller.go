package forward

import (
	"net/http"
	"time"
)

// connectionBytes is about what a connection and its request hold beside the bodies.
const connectionBytes = 24 << 10

// passPiece passes the caller a piece of its answer, of so many bytes.
func (q *request) passPiece(bytes int, write func() error) error {
	if q.unread == nil {
		control := http.NewResponseController(q.w)
		q.unread = q.handler.opts.Unread.Track(func() { _ = control.SetWriteDeadline(aLongTimeAgo) })
	}
	q.unread.BeginWrite(int64(len(q.body)+bytes+connectionBytes), time.Now())
	defer q.unread.EndWrite()
	return write()
}

// aLongTimeAgo is a deadline that ends what is under way.
var aLongTimeAgo = time.Unix(1, 0)

// unreadWriter passes the caller what is written to it.
type unreadWriter struct {
	request *request
	err     error // of the caller's connection
}

// Write returns the errors of the caller's connection.
func (u *unreadWriter) Write(p []byte) (n int, err error) {
	u.err = u.request.passPiece(len(p), func() error {
		n, err = u.request.w.Write(p)
		return err
	})
	return n, u.err
}

// awaitCaller lets the caller take events. However long it takes, the target is neither silent
// nor slow meanwhile.
func (c *call) awaitCaller(send func() error) error {
	c.silence.pause()
	c.target.BeginCallerWait()
	began := time.Now()
	err := send()
	c.held += time.Since(began)
	c.target.EndCallerWait()
	return err
}
