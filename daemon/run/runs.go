package run

import (
	"context"
	"sync"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/lib/errkind"
)

// run is a request in progress, or its kept response.
type run struct {
	id     string
	req    *peerv1.ExecuteRequest
	inc    string // the incarnation that runs it
	base   uint32 // index of the first chunk kept here
	doneAt time.Time
	size   int // bytes of chunks

	mu          sync.Mutex
	chunks      [][]byte
	ended       bool
	billed      uint64
	failed      *errkind.Error
	moved       bool
	redirectTo  string // the other incarnation that has the request
	single      bool   // must not be repeated
	stopForMove func() // stops the job for a handover; nil if it cannot move
	changed     chan struct{}
}

func newRun(id string, req *peerv1.ExecuteRequest) *run {
	return &run{id: id, req: req, base: req.ResumeFrom, changed: make(chan struct{})}
}

// replaceable reports whether a retry may start the request again: the run moved, or
// failed and may be repeated. Runs that failed before dispatch are not in the table.
func (r *run) replaceable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved || r.failed != nil && !r.single
}

func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// next returns the index of the next chunk.
func (r *run) next() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.base + uint32(len(r.chunks))
}

// add appends a chunk.
func (r *run) add(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, data)
	r.size += len(data)
	r.signal()
}

func (r *run) end(billed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.billed = billed
	r.signal()
}

func (r *run) fail(err *errkind.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = err
	r.signal()
}

// redirect records that another incarnation has the request.
func (r *run) redirect(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.redirectTo = to
	r.signal()
}

func (r *run) move() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = true
	r.signal()
}

// handOver stops the job, if it can move, so that another host can continue.
func (r *run) handOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopForMove != nil {
		r.stopForMove()
	}
}

// progress returns the chunks from an index on, the final message if the run has ended, and a
// channel that is closed on the next change.
func (r *run) progress(from uint32) (chunks [][]byte, final *peerv1.ExecuteResponse, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := int(from - r.base); i < len(r.chunks) {
		chunks = r.chunks[i:len(r.chunks):len(r.chunks)]
	}
	switch {
	case r.failed != nil:
		final = failure(r.req.RequestId, r.failed)
	case r.redirectTo != "":
		final = &peerv1.ExecuteResponse{RequestId: r.req.RequestId, Redirect: r.redirectTo}
	case r.moved:
		final = &peerv1.ExecuteResponse{RequestId: r.req.RequestId, Moved: true}
	case r.ended:
		final = &peerv1.ExecuteResponse{
			RequestId: r.req.RequestId, End: true, BilledTokens: r.billed,
			Index: r.base + uint32(len(r.chunks)),
		}
	}
	return chunks, final, r.changed
}

// follow sends a run from the requested chunk to its end.
func (r *run) follow(ctx context.Context, req *peerv1.ExecuteRequest, send Send) error {
	at := req.ResumeFrom
	for {
		chunks, final, changed := r.progress(at)
		for _, c := range chunks {
			if err := send(&peerv1.ExecuteResponse{RequestId: req.RequestId, Index: at, Data: c}); err != nil {
				return err
			}
			at++
		}
		if final != nil {
			return send(final)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
