package entry

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	log "github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/run"
	"maststage.dev/daemon/store"
	"maststage.dev/fold/view"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/wait"
)

const (
	maxHops    = 8                       // hosts tried for one request
	acceptWait = 1500 * time.Millisecond // for the first word of a host that may take a request on
	// resumeWait is how long a host that owns a run is waited for while the fleet counts it as
	// a member: the caller has a part of that run, and at another host it would run again. A
	// host that died has been evicted by then: 1.5 s of silence, a round of heartbeats, an
	// append to the log. In the minority of a cut nobody is evicted, and the wait ends here.
	resumeWait  = 6 * time.Second
	againPause  = 50 * time.Millisecond
	maxRedirect = 3
)

// Peers reaches other hosts.
type Peers interface {
	Client(addr string) (peerv1.PeerClient, error)
}

// Engine is this host's own.
type Engine interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send run.Send) error
}

// Router finds the host that answers for a request and follows it when that
// host dies, stops, or turns out to be another.
type Router struct {
	region string
	self   func() string // incarnation
	store  *store.Store
	peers  Peers
	engine Engine
	silent func(inc string) bool // a member not heard of for long
}

// NewRouter makes a router for a host of a region.
func NewRouter(region string, self func() string, s *store.Store, p Peers, e Engine, silent func(string) bool) *Router {
	return &Router{region: region, self: self, store: s, peers: p, engine: e, silent: silent}
}

// outcome is how an attempt at one host ended.
type outcome struct {
	done     bool
	moved    bool
	redirect string
	refused  *errkind.Error // the host's own answer
	lost     error          // the host could not be reached, or was lost
	sent     bool           // lost after the host may have begun
	caller   error          // the caller is gone
}

// Forward gets req run and passes the answer on. The error says truly whether
// the request may have been run.
func (r *Router) Forward(ctx context.Context, req *peerv1.ExecuteRequest, leaving <-chan struct{}, send func(*peerv1.ExecuteResponse) error) error {
	f := &forwarding{router: r, req: req, leaving: leaving, send: send, began: time.Now(), maybe: req.Attempt > 1, tried: map[string]bool{}, refusals: map[string]*errkind.Error{}}
	return f.run(ctx)
}

// forwarding is the state of one request at its entry host.
type forwarding struct {
	router   *Router
	req      *peerv1.ExecuteRequest
	leaving  <-chan struct{}
	send     func(*peerv1.ExecuteResponse) error
	began    time.Time
	maybe    bool // an earlier attempt may have run it
	tried    map[string]bool
	next     string // incarnation to go to, by redirect
	turns    int    // redirects followed
	last     *errkind.Error
	refusals map[string]*errkind.Error // answers "not run", by incarnation
}

func (f *forwarding) run(ctx context.Context) error {
	for hops := 0; hops < maxHops; hops++ {
		m, ok := f.pick()
		if !ok {
			break
		}
		o := f.attempt(ctx, m)
		switch {
		case o.done:
			return nil
		case o.caller != nil:
			return o.caller
		case ctx.Err() != nil:
			return ctx.Err()
		case f.leaves() && o.lost != nil:
			return errLeaving
		case o.redirect != "":
			if err := f.redirected(o.redirect); err != nil {
				return err
			}
		case o.moved:
			f.tried = map[string]bool{m.Incarnation: true}
			wait.For(ctx, againPause)
		case o.refused != nil:
			if !passOver(o.refused.Kind) {
				return f.truthful(o.refused)
			}
			f.last = o.refused
			f.refusals[m.Incarnation] = o.refused
			f.tried[m.Incarnation] = true
		case o.sent && f.waitsFor(m):
			f.logGivenUp(m, o)
			f.maybe = true
			hops-- // the same host again
			wait.For(ctx, againPause)
		default:
			f.logGivenUp(m, o)
			f.maybe = f.maybe || o.sent
			f.tried[m.Incarnation] = true
			f.last = errkind.New(errkind.Unavailable, "host %s: %w", m.Host, o.lost)
		}
	}
	if f.last == nil {
		f.last = errkind.New(errkind.Unavailable, "no host answers for the request")
	}
	return f.truthful(f.last)
}

// logGivenUp says which host is given up, after how long, and what was known of a run there.
func (f *forwarding) logGivenUp(m view.Member, o outcome) {
	_, live := f.router.store.Member(m.Incarnation)
	log.WithFields(log.Fields{
		"request": f.req.RequestId, "organisation": f.req.Organisation, "class": f.req.Class,
		"incarnation": m.Incarnation, "member": live, "silent": f.router.silent(m.Incarnation),
		"attempt": f.req.Attempt, "from": f.req.ResumeFrom, "maybe": f.maybe, "sent": o.sent,
		"after": time.Since(f.began).Round(time.Millisecond),
	}).WithError(o.lost).Info("host given up")
}

// passOver says whether another host may take a request that one refused so.
func passOver(k errkind.Kind) bool {
	return k == errkind.Draining || k == errkind.Unavailable
}

// truthful never says "not run" of a request that may have been run.
func (f *forwarding) truthful(e *errkind.Error) error {
	if f.maybe && errkind.Lookup(e.Kind).Ran == errkind.RanNo && e.Kind != errkind.Invalid {
		return errkind.New(errkind.Unknown, "an earlier attempt may have run it: %w", e).Retry(e.RetryAfter())
	}
	return e
}

// redirected notes the host that has the run.
func (f *forwarding) redirected(inc string) error {
	if e := f.refusals[inc]; e != nil {
		return f.truthful(e) // its claim is on the way out, it has not run it
	}
	f.turns++
	m, live := f.router.store.Member(inc)
	if !live || f.turns > maxRedirect || f.tried[inc] {
		return errkind.New(errkind.Unknown, "taken on by %s, which can't be reached", inc)
	}
	f.next = m.Incarnation
	f.maybe = true
	return nil
}

// resumes says whether the caller has a part of the answer, so that a run of the request is at
// its owner.
func (f *forwarding) resumes() bool { return f.req.ResumeFrom > 0 }

// waitsFor says whether a host that was lost is asked again, since it is a member and may own
// the run. Where not even a connection could be made it is not: its process is gone, or a cut
// lies between, which nobody can tell from here.
func (f *forwarding) waitsFor(m view.Member) bool {
	_, live := f.router.store.Member(m.Incarnation)
	return live && f.resumes() && time.Since(f.began) < resumeWait
}

// firstWordWait is how long a host may say nothing before it is given up.
func (f *forwarding) firstWordWait() time.Duration {
	if f.resumes() {
		return max(resumeWait-time.Since(f.began), acceptWait)
	}
	return acceptWait
}

// pick gives the next host to try: the one redirected to, or the first replica
// that was not tried; those in doubt last, but for a run that is at its owner.
func (f *forwarding) pick() (view.Member, bool) {
	if f.next != "" {
		m, ok := f.router.store.Member(f.next)
		f.next = ""
		return m, ok
	}
	id := run.Key(f.req.Organisation, f.req.RequestId)
	members, _, _ := f.router.store.Replicas(id, f.router.region)
	var doubtful *view.Member
	for i, m := range members {
		if f.tried[m.Incarnation] {
			continue
		}
		if !f.resumes() && f.router.silent(m.Incarnation) {
			if doubtful == nil {
				doubtful = &members[i]
			}
			continue
		}
		return m, true
	}
	if doubtful != nil {
		return *doubtful, true
	}
	return view.Member{}, false
}

// attempt sends the request to one host and follows its answer.
func (f *forwarding) attempt(ctx context.Context, m view.Member) outcome {
	req := f.req
	if f.maybe && req.Attempt == 1 {
		req.Attempt = 2
	}
	o := outcome{}
	if m.Incarnation == f.router.self() {
		err := f.router.engine.Execute(ctx, req, func(msg *peerv1.ExecuteResponse) error {
			f.message(&o, msg)
			return o.caller
		})
		if err != nil && o.caller == nil {
			o.lost, o.sent = err, true
		}
		return o
	}
	f.remote(ctx, m, req, &o)
	return o
}

// remote follows another host's answer. A host that does not take the request
// on in good time is given up, and one that is no member any more at once; it may have begun
// nevertheless.
func (f *forwarding) remote(ctx context.Context, m view.Member, req *peerv1.ExecuteRequest, o *outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(f.firstWordWait(), cancel)
	defer late.Stop()
	done := make(chan struct{})
	defer close(done)
	guard.Go("stream mover", func() { f.untilMoved(m, done, cancel) })
	client, err := f.router.peers.Client(m.Address)
	if err != nil {
		o.lost = err
		return
	}
	stream, err := client.Execute(ctx, req)
	if err != nil {
		o.lost, o.sent = err, sentAnyway(err)
		return
	}
	for !o.final() {
		msg, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the host ended the answer without its end")
			}
			o.lost, o.sent = err, sentAnyway(err)
			return
		}
		late.Stop()
		f.message(o, msg)
	}
}

// untilMoved cancels a call to a host once this one leaves or that one is no member any more,
// unless the call is done before.
func (f *forwarding) untilMoved(m view.Member, done <-chan struct{}, cancel context.CancelFunc) {
	for {
		changed := f.router.store.Changed()
		if _, live := f.router.store.Member(m.Incarnation); !live && f.resumes() {
			cancel()
			return
		}
		select {
		case <-f.leaving:
			cancel()
			return
		case <-done:
			return
		case <-changed:
		}
	}
}

// leaves says whether streams are to be taken up again at another entry host.
func (f *forwarding) leaves() bool {
	select {
	case <-f.leaving:
		return true
	default:
		return false
	}
}

// sentAnyway says whether the host may have got the request. gRPC reports a
// connection that could not be made as Unavailable before anything is sent, but
// uses the same code for one that broke, so only the dial error is certain.
func sentAnyway(err error) bool {
	s, ok := status.FromError(err)
	return !ok || s.Code() != codes.Unavailable || !isDialError(s.Message())
}

func (o *outcome) final() bool {
	return o.done || o.moved || o.redirect != "" || o.refused != nil || o.caller != nil
}

// message takes in one message of a host.
func (f *forwarding) message(o *outcome, m *peerv1.ExecuteResponse) {
	switch {
	case m.RequestId != f.req.RequestId:
		o.refused = errkind.New(errkind.Internal, "a host answered for another request")
	case m.Accepted:
	case m.Failure != nil:
		o.refused = errkind.New(errkind.Kind(m.Failure.Kind), "%s", m.Failure.Message).
			Retry(time.Duration(m.Failure.RetryAfterMs) * time.Millisecond)
	case m.Redirect != "":
		o.redirect = m.Redirect
	case m.Moved:
		o.moved = true
	default:
		if o.caller = f.send(m); o.caller != nil {
			return
		}
		if m.End {
			o.done = true
			return
		}
		f.req.ResumeFrom = m.Index + 1
	}
}

// isDialError finds the words of gRPC for a connection that was not made.
func isDialError(message string) bool {
	return strings.Contains(message, "error while dialing") || strings.Contains(message, "Error while dialing")
}
