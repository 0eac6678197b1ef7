package forward

import (
	"time"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/unsent"
)

// isLong reports whether the body may wait for its target to read it. Shorter requests fit into the
// buffers of any connection.
func (q *request) isLong() bool { return len(q.body) > httpconn.InlineRequestBytes }

// withoutSlowReaders adds to excluded the targets that must not get the body before they have read others.
func (q *request) withoutSlowReaders(excluded map[string]bool) map[string]bool {
	if !q.isLong() {
		return excluded
	}
	return q.handler.opts.Unsent.Exclude(excluded, q.unsentBytes(), time.Now())
}

// beginBody registers the body for a target. b is nil if it is not tracked; ok is false if the target must
// not get it.
func (q *request) beginBody(target string) (b *unsent.Body, ok bool) {
	if !q.isLong() {
		return nil, true
	}
	return q.handler.opts.Unsent.Begin(target, q.unsentBytes(), time.Now())
}

// unsentBytes is roughly the memory of a request that its target has not read.
func (q *request) unsentBytes() int64 { return int64(len(q.body) + connectionOverheadBytes) }
