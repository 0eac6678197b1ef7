// Package patience limits a transfer by idle time rather than by total time. A fixed
// timeout aborts every transfer larger than the link carries in that time, and a retry,
// which starts at the first byte again, fails in the same way.
package patience

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrSilent is the cause of a context that ended because no data arrived in time.
var ErrSilent = errors.New("no data arrived in time")

// Limits are the timeouts of a transfer.
type Limits struct {
	First   time.Duration // until the first bytes
	Silence time.Duration // between bytes after those
	Most    time.Duration // in total, so that a very slow transfer ends too
}

type contextKey struct{}

// idleTimer cancels a context unless data keeps arriving.
type idleTimer struct {
	timer   *time.Timer
	silence time.Duration

	notice        *time.Timer // tells of a shorter silence; nil: nothing does
	noticeSilence time.Duration
}

// notify has silent told when no data has arrived for as long as the limits say. It is called before the transfer.
func (w *idleTimer) notify(l Limits, silent chan<- struct{}) *time.Timer {
	w.noticeSilence = l.Silence
	w.notice = time.AfterFunc(l.First, func() {
		select {
		case silent <- struct{}{}:
		default:
		}
	})
	return w.notice
}

// arrived notes that data arrived.
func (w *idleTimer) arrived() {
	w.timer.Reset(w.silence)
	if w.notice != nil {
		w.notice.Reset(w.noticeSilence)
	}
}

// New returns a context that ends when a transfer exceeds its limits. Data counts as
// arrived when a Reader with this context returns it.
func New(parent context.Context, l Limits) (context.Context, context.CancelFunc) {
	bounded, stop := context.WithTimeout(parent, l.Most)
	ctx, cancel := context.WithCancelCause(bounded)
	w := &idleTimer{silence: l.Silence, timer: time.AfterFunc(l.First, func() { cancel(ErrSilent) })}
	return context.WithValue(ctx, contextKey{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
		stop()
	}
}

// reader restarts the idle timer with each read that returns bytes.
type reader struct {
	io.Reader
	idle *idleTimer
}

// Reader reads from r and keeps ctx alive while bytes arrive. If ctx is not one of New it
// returns r itself.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(contextKey{}).(*idleTimer)
	if !ok {
		return r
	}
	return &reader{Reader: r, idle: w}
}

// maxRead is the largest read, in bytes. Some readers, such as those of chunked bodies, return
// only when the buffer is full, and a buffer of 1 MB takes 0.8 s to fill at 10 Mbit/s.
const maxRead = 4 << 10

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		r.idle.arrived()
	}
	return n, err
}

// Transport wraps response bodies in a Reader with the context of their request.
func Transport(base http.RoundTripper) http.RoundTripper { return transport{base} }

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = body{Reader: Reader(r.Context(), resp.Body), Closer: resp.Body}
	return resp, nil
}

type body struct {
	io.Reader
	io.Closer
}
