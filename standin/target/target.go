// Package target simulates model engines and plain services.
package target

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/lib/wait"
	"maststage.dev/standin/ledger"
	"maststage.dev/standin/toggle"
)

const (
	bytesPerToken = 4
	prefixBytes   = 256
	maxPrefixes   = 64
)

// Target is one simulated target. Its switches are slow (ms added to each token or
// call), silent (number of responses that stop half way without an end), cut (number
// of responses that break off half way), crossed (number of responses with another
// request's id), overrun (tokens sent beyond the maximum, without an end mark), late
// (ms before the first byte), losereply (number of calls that run but get no
// response), busy and leaving (both refuse new requests).
type Target struct {
	Switches *toggle.Set
	Book     *ledger.Book
	name     string
	perToken time.Duration
	fenced   bool
	slots    int

	mu       sync.Mutex
	queue    []*waiter
	running  int
	cancels  map[string]map[int]context.CancelFunc
	orders   int
	fences   map[string]uint64
	prefixes []uint64
	load     *platformv1.LoadResponse // last load report
	loadAt   time.Time
}

// reportLag is the maximum age of a load report.
const reportLag = 300 * time.Millisecond

// New returns a target that takes perToken for each token of a stream, or for each call.
func New(name string, slots int, perToken time.Duration, fenced bool) *Target {
	return &Target{
		Switches: toggle.New("slow", "silent", "cut", "crossed", "overrun", "late", "losereply", "busy", "leaving"),
		Book:     ledger.New(name),
		name:     name, perToken: perToken, fenced: fenced,
		slots:   slots,
		cancels: map[string]map[int]context.CancelFunc{},
		fences:  map[string]uint64{},
	}
}

// Token is the text of a token of a request. It is the same on every engine.
func Token(id string, index uint32) []byte {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", id, index)
	return fmt.Appendf(nil, "%08x ", h.Sum32())
}

// Output is the response of a plain service to a request.
func Output(id string, input []byte) []byte { return fmt.Appendf(nil, "ok %s %d", id, len(input)) }

// admit rejects a request by the switches, or if one with a later fence was seen.
func (t *Target) admit(id string, fence uint64) error {
	if t.Switches.Get("leaving") != 0 {
		return connect.NewError(connect.CodeUnavailable, errors.New("leaving"))
	}
	if t.Switches.Get("busy") != 0 {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("busy"))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fenced && fence < t.fences[id] {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("an order with a later fence was seen"))
	}
	t.fences[id] = max(t.fences[id], fence)
	return nil
}

// waiter is a queued request.
type waiter struct {
	priority uint32
	granted  chan struct{}
}

// acquireSlot waits for a slot, larger priorities first. If it succeeds, the caller must call releaseSlot.
func (t *Target) acquireSlot(ctx context.Context, priority uint32) error {
	t.mu.Lock()
	if t.running < t.slots {
		t.running++
		t.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	t.queue = append(t.queue, w)
	t.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.queue, w); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return ctx.Err()
	}
	t.passSlot() // the slot was assigned as ctx ended
	return ctx.Err()
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passSlot()
}

// passSlot passes a slot to the first waiter of the largest priority, or frees it. The caller holds t.mu.
func (t *Target) passSlot() {
	if len(t.queue) == 0 {
		t.running--
		return
	}
	first := 0
	for i, w := range t.queue {
		if w.priority > t.queue[first].priority {
			first = i
		}
	}
	close(t.queue[first].granted)
	t.queue = slices.Delete(t.queue, first, first+1)
}

// register makes a request cancellable by its id until the returned function is called.
func (t *Target) register(ctx context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders++
	n := t.orders
	if t.cancels[id] == nil {
		t.cancels[id] = map[int]context.CancelFunc{}
	}
	t.cancels[id][n] = cancel
	return ctx, func() {
		cancel()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cancels[id], n)
		if len(t.cancels[id]) == 0 {
			delete(t.cancels, id)
		}
	}
}

// Generate streams the tokens from resume_from on.
func (t *Target) Generate(ctx context.Context, req *connect.Request[platformv1.GenerateRequest], out *connect.ServerStream[platformv1.GenerateResponse]) error {
	r := req.Msg
	if err := t.admit(r.RequestId, r.Fence); err != nil {
		return err
	}
	ctx, done := t.register(ctx, r.RequestId)
	defer done()
	if err := t.acquireSlot(ctx, r.Priority); err != nil {
		return err
	}
	defer t.releaseSlot()
	prompt := uint32(len(r.Prompt)+bytesPerToken-1) / bytesPerToken
	run := t.Book.Begin(r.RequestId, r.Account, r.ResumeFrom, prompt)
	defer t.Book.Done(run)
	t.remember(r.Prompt)
	wait.For(ctx, time.Duration(t.Switches.Get("late"))*time.Millisecond)
	g := generation{target: t, req: r, run: run, out: out, prompt: prompt}
	return g.stream(ctx)
}

// generation is one stream of tokens.
type generation struct {
	target *Target
	req    *platformv1.GenerateRequest
	run    *ledger.Run
	out    *connect.ServerStream[platformv1.GenerateResponse]
	prompt uint32
}

func (g *generation) stream(ctx context.Context) error {
	t, r := g.target, g.req
	id := r.RequestId
	if t.Switches.Take("crossed") {
		id = "somebody/elses"
	}
	half := r.ResumeFrom + (r.MaxTokens-min(r.ResumeFrom, r.MaxTokens))/2
	cut, silent := t.Switches.Take("cut"), t.Switches.Take("silent")
	over := uint32(t.Switches.Get("overrun"))
	for i := r.ResumeFrom; i < r.MaxTokens+over; i++ {
		if i == half && cut {
			panic(http.ErrAbortHandler)
		}
		if i == half && silent {
			<-ctx.Done()
			return ctx.Err()
		}
		wait.For(ctx, t.perToken+time.Duration(t.Switches.Get("slow"))*time.Millisecond)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.Book.Use(g.run, 1)
		if err := g.out.Send(&platformv1.GenerateResponse{RequestId: id, Index: i, Token: Token(id, i)}); err != nil {
			return err
		}
	}
	if over > 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	return g.out.Send(&platformv1.GenerateResponse{RequestId: id, Index: max(r.MaxTokens, r.ResumeFrom), End: true, PromptTokens: g.prompt})
}

// Invoke is a call of a plain service, which uses one token. A call that has begun
// is completed even if the caller has gone.
func (t *Target) Invoke(ctx context.Context, req *connect.Request[platformv1.InvokeRequest]) (*connect.Response[platformv1.InvokeResponse], error) {
	r := req.Msg
	if err := t.admit(r.RequestId, r.Fence); err != nil {
		return nil, err
	}
	if err := t.acquireSlot(ctx, 0); err != nil {
		return nil, err
	}
	defer t.releaseSlot()
	run := t.Book.Begin(r.RequestId, r.Account, 0, 1)
	wait.For(context.WithoutCancel(ctx), t.perToken+time.Duration(t.Switches.Get("slow"))*time.Millisecond)
	t.Book.Done(run)
	if t.Switches.Take("losereply") {
		panic(http.ErrAbortHandler)
	}
	if t.Switches.Take("silent") {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	wait.For(ctx, time.Duration(t.Switches.Get("late"))*time.Millisecond)
	id := r.RequestId
	if t.Switches.Take("crossed") {
		id = "somebody/elses"
	}
	return connect.NewResponse(&platformv1.InvokeResponse{RequestId: id, Output: Output(id, r.Input), Tokens: 1}), nil
}

// Cancel stops the streams of a request and returns the tokens that it used.
func (t *Target) Cancel(_ context.Context, req *connect.Request[platformv1.CancelRequest]) (*connect.Response[platformv1.CancelResponse], error) {
	t.mu.Lock()
	for _, cancel := range t.cancels[req.Msg.RequestId] {
		cancel()
	}
	t.mu.Unlock()
	tokens, known := t.Book.Used(req.Msg.RequestId)
	return connect.NewResponse(&platformv1.CancelResponse{Known: known, Tokens: tokens}), nil
}

// Load returns the load as of up to reportLag ago.
func (t *Target) Load(context.Context, *connect.Request[platformv1.LoadRequest]) (*connect.Response[platformv1.LoadResponse], error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); t.load == nil || now.Sub(t.loadAt) > reportLag {
		t.loadAt = now
		t.load = &platformv1.LoadResponse{
			Running: uint32(t.running), Waiting: uint32(len(t.queue)), Slots: uint32(t.slots),
			Leaving: t.Switches.Get("leaving") != 0, Prefixes: append([]uint64(nil), t.prefixes...),
		}
	}
	return connect.NewResponse(t.load), nil
}

// remember adds the hash of a prompt's prefix to the last maxPrefixes ones.
func (t *Target) remember(prompt []byte) {
	if len(prompt) == 0 {
		return
	}
	h := fnv.New64a()
	h.Write(prompt[:min(len(prompt), prefixBytes)])
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefixes = append(t.prefixes, h.Sum64())
	if n := len(t.prefixes) - maxPrefixes; n > 0 {
		t.prefixes = t.prefixes[n:]
	}
}
