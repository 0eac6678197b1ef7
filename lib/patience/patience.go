// Package patience bounds a transfer by how long it is silent and not by how long it takes.
// A fixed time ends every transfer that is larger than what the link carries in it, and the
// next try, which begins at the first byte again, ends no better.
package patience

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrSilent is the cause of a context that ended because nothing came.
var ErrSilent = errors.New("nothing came in time")

// Limits say how long a transfer may be silent and how long it may take.
type Limits struct {
	First   time.Duration // until its first bytes
	Silence time.Duration // between bytes from then on
	Most    time.Duration // in all, so that a trickle ends, too
}

type key struct{}

// watch ends a context unless progress is noted.
type watch struct {
	timer   *time.Timer
	silence time.Duration
}

// New gives a context that ends when a transfer passes its limits. Progress is what a
// Reader with this context notes.
func New(parent context.Context, l Limits) (context.Context, context.CancelFunc) {
	bounded, stop := context.WithTimeout(parent, l.Most)
	ctx, cancel := context.WithCancelCause(bounded)
	w := &watch{silence: l.Silence, timer: time.AfterFunc(l.First, func() { cancel(ErrSilent) })}
	return context.WithValue(ctx, key{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
		stop()
	}
}

// reader notes progress with each read that brings bytes.
type reader struct {
	io.Reader
	watch *watch
}

// Reader reads from r and keeps the context of New going while bytes come. With any other
// context it is r itself.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(key{}).(*watch)
	if !ok {
		return r
	}
	return &reader{Reader: r, watch: w}
}

// step is the most bytes of one read. Some readers, such as those of chunked bodies, return
// only when the buffer is full, and a megabyte of it takes 0.8 s at 10 Mbit/s.
const step = 4 << 10

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), step)])
	if n > 0 {
		r.watch.timer.Reset(r.watch.silence)
	}
	return n, err
}

// Transport makes the bodies of answers note progress in contexts of New.
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
