package forward

import (
	"errors"
	"net/http"
	"time"
)

// connectionOverheadBytes is roughly the memory of a connection and its request, without the bodies.
const connectionOverheadBytes = 24 << 10

// writeToCaller calls write, which writes a piece of the response of the given size, and accounts
// for it in opts.Unread.
func (q *request) writeToCaller(bytes int, write func() error) error {
	if q.tracked == nil {
		control := http.NewResponseController(q.w)
		q.tracked = q.handler.opts.Unread.Track(func() { _ = control.SetWriteDeadline(aLongTimeAgo) })
	}
	q.tracked.BeginWrite(int64(len(q.body)+bytes+connectionOverheadBytes), time.Now())
	defer q.tracked.EndWrite()
	q.countRelayed(bytes)
	err := write()
	if err == nil && q.closeDelimited {
		err = q.flush() // what the caller does not have must not look like the end
	}
	q.writeFailed = q.writeFailed || err != nil
	return err
}

// flush sends what is buffered of the response.
func (q *request) flush() error {
	err := http.NewResponseController(q.w).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// aLongTimeAgo is a deadline that ends writes in progress at once.
var aLongTimeAgo = time.Unix(1, 0)

// callerWriter writes to the caller by writeToCaller.
type callerWriter struct {
	request *request
	err     error // of the last write
}

// Write writes p to the caller.
func (u *callerWriter) Write(p []byte) (n int, err error) {
	u.err = u.request.writeToCaller(len(p), func() error {
		n, err = u.request.w.Write(p)
		return err
	})
	return n, u.err
}

// sendToCaller calls send, which writes events to the caller. The time that it takes counts neither
// as silence nor as slowness of the target.
func (a *attempt) sendToCaller(send func() error) error {
	a.silence.pause()
	a.target.BeginCallerWait()
	start := time.Now()
	defer func() {
		a.callerDelay += time.Since(start)
		a.target.EndCallerWait()
	}()
	return send()
}
