// Package run executes requests on the host that is responsible for their id: it
// applies the policy, reserves tokens, acquires the claim, chooses a target, relays
// the response, bills it, and keeps it for retries.
package run

import (
	"context"
	"sync"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/bill"
	"maststage.dev/daemon/claim"
	"maststage.dev/daemon/ledger"
	"maststage.dev/daemon/metric"
	"maststage.dev/daemon/settings"
	"maststage.dev/daemon/store"
	"maststage.dev/daemon/target"
	"maststage.dev/fold/fact"
	"maststage.dev/lib/declare"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/policy"
	"maststage.dev/lib/standstill"
)

// logDownRetry is the Retry-After of a request whose policy needs the log while it is unavailable.
const logDownRetry = 5 * time.Second

// Identity is one incarnation of this host and the state it owns. A host that is
// evicted while alive gets a new one; requests started under the old one finish
// under it.
type Identity struct {
	Incarnation string
	Ledger      *ledger.Ledger
	Register    *claim.Register
	Claims      *claim.Coordinator
	Bills       *bill.Keeper
}

// Host is the state of the host that the engine depends on.
type Host interface {
	Identity() *Identity
	LogUp() bool
	Draining() bool
}

// Engine runs the requests whose ids this host is responsible for.
type Engine struct {
	cfg     settings.Requests
	watch   settings.Targets
	budgets settings.Budgets
	host    Host
	store   *store.Store
	targets *target.Registry
	metrics *metric.Set
	awake   *standstill.Watch

	mu    sync.Mutex
	runs  map[string]*run
	open  int
	bytes int    // size of kept responses
	done  []*run // kept, oldest first
}

// Options holds the dependencies of an engine.
type Options struct {
	Requests settings.Requests
	Targets  settings.Targets
	Budgets  settings.Budgets
	Host     Host
	Store    *store.Store
	Registry *target.Registry
	Metrics  *metric.Set
}

// New returns an engine.
func New(o Options) *Engine {
	return &Engine{
		cfg: o.Requests, watch: o.Targets, budgets: o.Budgets, host: o.Host, store: o.Store,
		targets: o.Registry, metrics: o.Metrics, runs: map[string]*run{},
		awake: standstill.New(),
	}
}

// Send sends a message to the caller of Execute.
type Send func(*peerv1.ExecuteResponse) error

// Execute runs a request, or follows its existing run. Failures are sent as
// messages; the error is that of send or of ctx. Nothing is started for a caller
// that has disconnected.
func (e *Engine) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send Send) error {
	id := Key(req.Organisation, req.RequestId)
	if err := e.awake.Settle(ctx); err != nil {
		return err
	}
	r, redirect, err := e.find(id, req)
	switch {
	case redirect != "":
		return send(&peerv1.ExecuteResponse{RequestId: req.RequestId, Redirect: redirect})
	case err != nil:
		return send(failure(req.RequestId, err))
	case r == nil:
		return send(&peerv1.ExecuteResponse{RequestId: req.RequestId, None: true})
	}
	if err := send(&peerv1.ExecuteResponse{RequestId: req.RequestId, Accepted: true}); err != nil {
		return err
	}
	return r.follow(ctx, req, send)
}

// Key returns the id of a request in the folded log: the caller's id within its organisation.
func Key(organisation, requestID string) string { return organisation + "/" + requestID }

func failure(requestID string, err *errkind.Error) *peerv1.ExecuteResponse {
	return &peerv1.ExecuteResponse{RequestId: requestID, Failure: &peerv1.Failure{
		Kind: string(err.Kind), Message: err.Error(), RetryAfterMs: uint32(err.RetryAfter().Milliseconds()),
	}}
}

// find returns the existing or a new run of an id, or the incarnation that has it; neither if the
// request may only join a run and there is none.
func (e *Engine) find(id string, req *peerv1.ExecuteRequest) (r *run, redirect string, failed *errkind.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[id]; r != nil && !r.replaceable() {
		if req.ResumeFrom < r.base {
			return nil, "", errkind.New(errkind.Unknown, "the run's first %d chunks were given to another host", r.base)
		}
		return r, "", nil
	}
	if req.JoinOnly {
		return nil, "", nil
	}
	return e.begin(id, req)
}

// begin starts a run; e.mu is held.
func (e *Engine) begin(id string, req *peerv1.ExecuteRequest) (r *run, redirect string, failed *errkind.Error) {
	version, set := e.store.Config()
	if version == 0 {
		return nil, "", errkind.New(errkind.Unavailable, "this host has no configuration yet")
	}
	org, decision, err := Decide(set, req, e.host.LogUp())
	if err != nil {
		return nil, "", err
	}
	self := e.host.Identity()
	if decision.Single {
		if redirect, err := e.earlierRun(self, id); redirect != "" || err != nil {
			return nil, redirect, err
		}
	}
	if err := e.refusal(decision); err != nil {
		return nil, "", err
	}
	r = newRun(id, req)
	r.single = decision.Single
	r.inc = self.Incarnation
	e.runs[id] = r
	e.open++
	j := &job{
		engine: e, run: r, self: self, decision: decision, pool: set.Pools[decision.Pool],
		budget: org.Budget, class: req.Class, org: org.Name, start: time.Now(),
	}
	j.logBegin()
	guard.Go("request", j.do)
	return r, "", nil
}

// refusal returns the reason why this host starts no new run, nil if it does.
func (e *Engine) refusal(d policy.Decision) *errkind.Error {
	switch {
	case e.host.Draining():
		return errkind.New(errkind.Draining, "this host is stopping")
	case d.NeedsLog && !e.host.LogUp():
		return errkind.New(errkind.Unavailable, "the platform's log is down and the policy needs it").Retry(logDownRetry)
	case e.open >= e.cfg.MaxOpen:
		return errkind.New(errkind.Overloaded, "%d requests are open on this host", e.open)
	}
	return nil
}

// earlierRun looks for an earlier run of a request that must not be repeated and is not
// in the table of runs. It returns the incarnation that has it, or an error if the
// request cannot be run again; neither if it may run here.
func (e *Engine) earlierRun(self *Identity, id string) (redirect string, err *errkind.Error) {
	f, _ := e.store.Fact(id)
	if f.Billed {
		return "", errkind.New(errkind.Done, "run and billed before, the answer is no longer kept")
	}
	if own := f.By(self.Incarnation); own != "" {
		if self.Claims.GaveUp(id, own) {
			return "", nil
		}
		return "", errkind.New(errkind.Unknown, "claimed here before, its answer is no longer kept")
	}
	holder := fact.Incarnation(self.Register.Holder(id))
	if holder == "" || holder == self.Incarnation {
		// A claim of this incarnation that is held here and not in the log is from an
		// abandoned attempt; a run would still be in the table.
		return "", nil
	}
	if _, live := e.store.Member(holder); live {
		return holder, nil
	}
	return "", errkind.New(errkind.Unknown, "claimed by %s, which is gone", holder)
}

// Decide looks up the organisation of a request and evaluates its policy.
func Decide(set *declare.Set, req *peerv1.ExecuteRequest, logUp bool) (*declare.Organisation, policy.Decision, *errkind.Error) {
	org := set.Organisations[req.Organisation]
	if org == nil {
		return nil, policy.Decision{}, errkind.New(errkind.Unauthenticated, "organisation %q is not declared", req.Organisation)
	}
	p := set.Policies[req.Class]
	if p == nil {
		return nil, policy.Decision{}, errkind.New(errkind.NotFound, "no policy for class %q", req.Class)
	}
	d, err := p.Program.Decide(policy.Request{
		Class: req.Class, Organisation: req.Organisation, InputBytes: len(req.Input),
		MaxTokens: int(req.MaxTokens), Attempt: int(req.Attempt), LogUp: logUp,
	})
	if err != nil {
		return nil, d, errkind.New(errkind.Refused, "policy %q: %w", req.Class, err)
	}
	if d.Reason != "" {
		return nil, d, errkind.New(errkind.Refused, "%s", d.Reason)
	}
	if req.MaxTokens > 0 {
		d.Tokens = min(d.Tokens, int(req.MaxTokens))
	}
	if asked := time.Duration(req.DeadlineMs) * time.Millisecond; asked > 0 {
		d.Within = min(d.Within, asked)
	}
	return org, d, nil
}

// finished handles the end of a run: it keeps the response for retries or, if keep is
// false, drops the run, so that the request can be retried.
func (e *Engine) finished(r *run, keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	if !keep {
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
		return
	}
	r.doneAt = time.Now()
	e.done = append(e.done, r)
	e.bytes += r.size
	e.expire(r.doneAt)
}

// unlogged reports whether only this host knows that it ran a request that must not
// be repeated. Such a run must be kept.
func (e *Engine) unlogged(r *run) bool {
	if !r.single {
		return false
	}
	f, _ := e.store.Fact(r.id)
	return f.By(r.inc) == "" && !f.Billed
}

// Run watches for stalls of this process until ctx ends.
func (e *Engine) Run(ctx context.Context) { e.awake.Run(ctx) }

// Tick drops kept responses that have expired.
func (e *Engine) Tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
}

func (e *Engine) expire(now time.Time) {
	var kept []*run
	defer func() { e.done = append(e.done, kept...) }()
	for len(e.done) > 0 {
		r := e.done[0]
		if now.Sub(r.doneAt) < e.cfg.KeepAnswers && e.bytes <= e.cfg.KeepBytes {
			return
		}
		e.done = e.done[1:]
		if e.unlogged(r) {
			kept = append(kept, r)
			continue
		}
		e.bytes -= r.size
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	}
}

// Open returns the number of requests in progress.
func (e *Engine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// HandOver ends the runs that can continue on another host and tells their followers
// that they moved. It serves a graceful shutdown that cannot wait for them.
func (e *Engine) HandOver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.handOver()
	}
}
