package inbound

import (
	"io"
	"net/http"
	"time"
)

// lingerTime is how long a server reads on what a client still sends of a body that its handler has not read, so that the client
// gets the response instead of a reset.
const lingerTime = time.Second

// Handler charges the bodies of requests to the account until next returns. Bodies that the account has evicted fail with ErrEvicted.
// bodyTime bounds the time in which a body must arrive, unless next sets a deadline; 0: the server's own time-out does.
func (a *Account) Handler(next http.Handler, bodyTime time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, control: http.NewResponseController(w)}
		b.charge.evict, b.charge.listener = b.expire, listenerOf(r.Context())
		if bodyTime > 0 {
			_ = b.control.SetReadDeadline(time.Now().Add(bodyTime)) // not supported: the server's own time-out holds
		}
		a.begin(&b.charge, 0, time.Now())
		defer b.end()
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request, charged to an account.
type body struct {
	io.ReadCloser
	control *http.ResponseController
	charge  charge
	read    int64
	whole   bool // it was read to its end
}

// Read reads from the body and charges what it read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == io.EOF {
		b.finish()
		return n, err
	}
	if evicted := b.charge.grow(int64(n)*bodyFactor, time.Now()); evicted != nil {
		return n, evicted // the read may have failed by that alone
	}
	return n, err
}

// finish records that the body has been read whole.
func (b *body) finish() {
	if b.whole {
		return
	}
	b.whole = true
	b.charge.settle(b.read)
	_ = b.control.SetReadDeadline(time.Time{})
}

// expire makes reads of the body fail.
func (b *body) expire() { _ = b.control.SetReadDeadline(longAgo) }

// end ends the charge. The server may read on what the client still sends, for a while.
func (b *body) end() {
	if !b.whole && !b.charge.isEvicted() {
		_ = b.control.SetReadDeadline(time.Now().Add(lingerTime))
	}
	b.charge.close()
}
