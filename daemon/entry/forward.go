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
	maxHops     = 8                       // hosts tried for one request
	acceptWait  = 1500 * time.Millisecond // for the first word of a host that may take a request on
	againPause  = 50 * time.Millisecond
	maxRedirect = 3
)

// Peers reaches other hosts.
type Peers interface {
	Client(addr string) (peerv1.PeerClient, error)
	// Probe looks what there is of a host's process, within a second.
	Probe(ctx context.Context, addr string) peer.Presence
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

// Forward gets req run and passes the answer on. The error says truly whether
// the request may have been run.
func (r *Router) Forward(ctx context.Context, req *peerv1.ExecuteRequest, leaving <-chan struct{}, send func(*peerv1.ExecuteResponse) error) error {
	f := &forwarding{router: r, req: req, leaving: leaving, send: send, began: time.Now(), maybe: req.Attempt > 1 || req.ResumeFrom > 0, tried: map[string]bool{}, seen: map[string]peer.Presence{}, refusals: map[string]*errkind.Error{}}
	// A copy: req changes as the answer goes on.
	asked := &peerv1.ExecuteRequest{
		Organisation: req.Organisation, Class: req.Class, Input: req.Input,
		MaxTokens: req.MaxTokens, Attempt: req.Attempt, DeadlineMs: req.DeadlineMs,
	}
	f.class = sync.OnceValue(func() class { return r.classify(asked, f.began) })
	return f.run(ctx)
}

// forwarding is the state of one request at its entry host.
type forwarding struct {
	router   *Router
	req      *peerv1.ExecuteRequest
	leaving  <-chan struct{}
	send     func(*peerv1.ExecuteResponse) error
	began    time.Time
	class    func() class
	maybe    bool // an earlier attempt may have run it
	tried    map[string]bool
	seen     map[string]peer.Presence // of hosts that were lost, by incarnation
	next     string                   // incarnation to go to, by redirect
	turns    int                      // redirects followed
	last     *errkind.Error
	refusals map[string]*errkind.Error // answers "not run", by incarnation
}

// run joins the run that an earlier attempt may have begun; if there is none the request is
// placed at one of its replicas.
func (f *forwarding) run(ctx context.Context) error {
	if f.maybe && f.class().stream {
		if ended, err := f.join(ctx); ended {
			return err
		}
	}
	return f.place(ctx)
}

// place has one of the replicas run the request, or join the run it has.
func (f *forwarding) place(ctx context.Context) error {
	for hops := 0; hops < maxHops; hops++ {
		m, ok := f.pick()
		if !ok {
			if !f.startsOver(ctx) {
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
			f.tried = map[string]bool{m.Incarnation: true}
			wait.For(ctx, againPause)
		case o.refused != nil:
			f.last = o.refused
			f.refusals[m.Incarnation] = o.refused
			f.tried[m.Incarnation] = true
		default:
			f.maybe = f.maybe || o.sent
			if f.waitsFor(ctx, m, o) {
				hops-- // the same host again
				continue
			}
			f.tried[m.Incarnation] = true
			f.last = errkind.New(errkind.Unavailable, "host %s: %w", m.Host, o.lost)
		}
	}
	if f.last == nil {
		f.last = errkind.New(errkind.Unavailable, "no host answers for the request")
	}
	return f.truthful(f.last)
}

// ended says whether an attempt settles the request, with the error for the caller.
func (f *forwarding) ended(ctx context.Context, o *outcome) (bool, error) {
	switch {
	case o.done:
		return true, nil
	case o.caller != nil:
		return true, o.caller
	case ctx.Err() != nil:
		return true, ctx.Err()
	case f.leaves() && o.lost != nil:
		return true, errLeaving
	case o.refused != nil && !passOver(o.refused.Kind):
		return true, f.truthful(o.refused)
	}
	return false, nil
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

// pick gives the next host to try: the one redirected to, or the first replica
// that was not tried, those in doubt last.
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
