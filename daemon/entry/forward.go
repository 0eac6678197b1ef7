package entry

import (
	"context"
	"sync"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/peer"
	"maststage.dev/daemon/run"
	"maststage.dev/daemon/store"
	"maststage.dev/fold/view"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/wait"
)

const (
	maxHops     = 8                       // attempts at hosts for one request
	acceptWait  = 1500 * time.Millisecond // for the first message of a host that may accept a request
	retryPause  = 50 * time.Millisecond
	maxRedirect = 3
)

// Peers reaches other hosts.
type Peers interface {
	Client(addr string) (peerv1.PeerClient, error)
	// Probe determines within a second whether a host's process is running.
	Probe(ctx context.Context, addr string) peer.Presence
}

// Engine runs requests on this host.
type Engine interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send run.Send) error
}

// Router forwards a request to the host that is responsible for it, and moves on
// when that host crashes, shuts down or redirects.
type Router struct {
	region string
	self   func() string // incarnation
	store  *store.Store
	peers  Peers
	engine Engine
	silent func(inc string) bool // reports that a member has sent no heartbeat for long
}

// NewRouter returns a router for a host in a region.
func NewRouter(region string, self func() string, s *store.Store, p Peers, e Engine, silent func(string) bool) *Router {
	return &Router{region: region, self: self, store: s, peers: p, engine: e, silent: silent}
}

// Forward has req run and relays the response to send. The error is accurate about
// whether the request may have been run.
func (r *Router) Forward(ctx context.Context, req *peerv1.ExecuteRequest, leaving <-chan struct{}, send func(*peerv1.ExecuteResponse) error) error {
	f := &forwarding{router: r, req: req, leaving: leaving, send: send, began: time.Now(), mayHaveRun: req.Attempt > 1 || req.ResumeFrom > 0, attempted: map[string]bool{}, probed: map[string]peer.Presence{}, refusals: map[string]*errkind.Error{}}
	// A copy, as req changes while the response is relayed.
	asked := &peerv1.ExecuteRequest{
		Organisation: req.Organisation, Class: req.Class, Input: req.Input,
		MaxTokens: req.MaxTokens, Attempt: req.Attempt, DeadlineMs: req.DeadlineMs,
	}
	f.class = sync.OnceValue(func() class { return r.classify(asked, f.began) })
	return f.run(ctx)
}

// forwarding is the state of one request at its entry host.
type forwarding struct {
	router     *Router
	req        *peerv1.ExecuteRequest
	leaving    <-chan struct{}
	send       func(*peerv1.ExecuteResponse) error
	began      time.Time
	class      func() class
	mayHaveRun bool // an earlier attempt may have run it
	attempted  map[string]bool
	probed     map[string]peer.Presence // last probe results of lost hosts, by incarnation
	next       string                   // incarnation to attempt next, from a redirect
	redirects  int                      // redirects followed
	last       *errkind.Error
	refusals   map[string]*errkind.Error // failures that mean "not run", by incarnation
}

// run joins the run that an earlier attempt may have started; if there is none, one of the
// replicas runs the request.
func (f *forwarding) run(ctx context.Context) error {
	if f.mayHaveRun && f.class().stream {
		if ended, err := f.join(ctx); ended {
			return err
		}
	}
	return f.place(ctx)
}

// place forwards the request to one of the replicas, which runs it or has a run already.
func (f *forwarding) place(ctx context.Context) error {
	for hops := 0; hops < maxHops; hops++ {
		m, ok := f.nextHost()
		if !ok {
			if !f.retriesAll(ctx) {
				break
			}
			hops = 0
			continue
		}
		o := f.attempt(ctx, m, f.req)
		if ended, err := f.ended(ctx, &o); ended {
			return err
		}
		switch {
		case o.redirect != "":
			if err := f.redirected(o.redirect); err != nil {
				return err
			}
		case o.moved:
			f.attempted = map[string]bool{m.Incarnation: true}
			wait.For(ctx, retryPause)
		case o.refused != nil:
			f.last = o.refused
			f.refusals[m.Incarnation] = o.refused
			f.attempted[m.Incarnation] = true
		default:
			f.mayHaveRun = f.mayHaveRun || o.sent
			if f.waitsFor(ctx, m, o) {
				hops-- // retry at the same host
				continue
			}
			f.attempted[m.Incarnation] = true
			f.last = errkind.New(errkind.Unavailable, "host %s: %w", m.Host, o.lost)
		}
	}
	if f.last == nil {
		f.last = errkind.New(errkind.Unavailable, "no host answers for the request")
	}
	return f.truthful(f.last)
}

// ended reports whether an attempt concludes the request, and the error for the caller.
func (f *forwarding) ended(ctx context.Context, o *outcome) (bool, error) {
	switch {
	case o.done:
		return true, nil
	case o.callerErr != nil:
		return true, o.callerErr
	case ctx.Err() != nil:
		return true, ctx.Err()
	case f.isLeaving() && o.lost != nil:
		return true, errLeaving
	case o.refused != nil && !retryElsewhere(o.refused.Kind):
		return true, f.truthful(o.refused)
	}
	return false, nil
}

// retryElsewhere reports whether another host may accept a request that was refused with this kind.
func retryElsewhere(k errkind.Kind) bool {
	return k == errkind.Draining || k == errkind.Unavailable
}

// truthful replaces an error that means "not run" by Unknown if the request may have been run.
func (f *forwarding) truthful(e *errkind.Error) error {
	if f.mayHaveRun && errkind.Lookup(e.Kind).Ran == errkind.RanNo && e.Kind != errkind.Invalid {
		return errkind.New(errkind.Unknown, "an earlier attempt may have run it: %w", e).Retry(e.RetryAfter())
	}
	return e
}

// redirected records the host that has the run as the next one to attempt.
func (f *forwarding) redirected(inc string) error {
	if e := f.refusals[inc]; e != nil {
		return f.truthful(e) // it has not run the request, and its claim is being released
	}
	f.redirects++
	m, live := f.router.store.Member(inc)
	if !live || f.redirects > maxRedirect || f.attempted[inc] {
		return errkind.New(errkind.Unknown, "taken on by %s, which can't be reached", inc)
	}
	f.next = m.Incarnation
	f.mayHaveRun = true
	return nil
}

// nextHost returns the next host to attempt: the one redirected to, or the first replica
// not yet attempted, silent ones last.
func (f *forwarding) nextHost() (view.Member, bool) {
	if f.next != "" {
		m, ok := f.router.store.Member(f.next)
		f.next = ""
		return m, ok
	}
	id := run.Key(f.req.Organisation, f.req.RequestId)
	members, _, _ := f.router.store.Replicas(id, f.router.region)
	var doubtful *view.Member
	for i, m := range members {
		if f.attempted[m.Incarnation] {
			continue
		}
		if f.router.silent(m.Incarnation) {
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
