// Package forward carries requests of callers to targets, byte for byte. Each
// request is decided on this host alone: whether it may run, which target takes
// it, whether it is sent again, and what its caller is told.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"maststage.dev/router/overload"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/routing"
	"maststage.dev/router/streampace"
	"maststage.dev/router/target"
	"maststage.dev/router/unread"
)

// Budgets reserves tokens; *prepaid.Treasury does.
type Budgets interface {
	ReserveFor(ctx context.Context, q prepaid.Request) (*prepaid.Reservation, error)
	Holding(organisation string) (prepaid.Holding, bool)
}

// Quarantine keeps requests that crash targets from being sent; *quarantine.Guard does.
type Quarantine interface {
	// IsQuarantined says whether a request must not be sent.
	IsQuarantined(d quarantine.Digest) bool
	// TargetExits counts the ends of targets under a request that this host knows of.
	TargetExits(d quarantine.Digest) int
	// RecordExit notes that a request broke off because its target ended.
	RecordExit(r quarantine.Report)
	// RecordCompletion notes that a target ran a request to its end.
	RecordCompletion(d quarantine.Digest)
}

// Options configure a Handler.
type Options struct {
	Names    Headers
	Targets  *target.Registry
	Budgets  Budgets
	Retries  *retrybudget.Set
	Meter    *streampace.Estimator
	Overload *overload.Monitor
	// Quarantine is told how tries ended and asked before each.
	Quarantine Quarantine
	Observer   Observer
	// Rollouts says which versions a request may use and is told how it fared there; nil: any.
	Rollouts Rollouts
	// Unread bounds what is held for callers that don't read.
	Unread *unread.Tracker
	// CloseConnections says that callers are to use other hosts: connections are to be closed.
	CloseConnections func() bool
	// MayBegin says whether a request that arrived may begin: OK, or why not. It may wait a
	// little for that.
	MayBegin func(ctx context.Context, arrived time.Time, streaming bool) Kind
	// Suspended is how long the host was suspended in all; nil: never.
	Suspended func() time.Duration
}

// Handler serves callers.
type Handler struct {
	opts   Options
	names  Headers
	own    map[string]bool
	kept   map[string]bool
	config atomic.Pointer[routing.Config]
	open   atomic.Int64
	waits  *waits
}

// New makes a handler without a configuration.
func New(opts Options) *Handler {
	if opts.Rollouts == nil {
		opts.Rollouts = anyVersion{}
	}
	names := opts.Names.canonical()
	return &Handler{opts: opts, names: names, own: names.own(), kept: names.kept(), waits: newWaits()}
}

// SetConfig puts a configuration in force.
func (h *Handler) SetConfig(c *routing.Config) { h.config.Store(c) }

// Config is the configuration in force, nil if there is none.
func (h *Handler) Config() *routing.Config { return h.config.Load() }

// InFlight counts the requests under way.
func (h *Handler) InFlight() int64 { return h.open.Load() }

// request is the state of one request.
type request struct {
	handler      *Handler
	w            http.ResponseWriter
	r            *http.Request
	ctx          context.Context // ends with the caller's connection
	arrived      time.Time
	limit        time.Time     // when the last answer is due
	lostBefore   time.Duration // the host was suspended so long before the request came
	config       *routing.Config
	route        *routing.Route
	organisation *routing.Organisation
	service      string
	engine       *routing.Engine
	id           string
	head         []byte
	body         []byte
	digest       quarantine.Digest // of what is asked for
	usage        usage
	shared       string // affinity
	resume       string // the caller's own last event id

	reserved *prepaid.Reservation
	excluded map[string]bool
	tries    int    // targets that the request was sent to
	ran      int    // of them, those that may have run it
	failed   *whole // a target's own failure, to be passed on
	claimed  bool   // another try was granted before the one before ended
	begun    bool   // a target may have begun to hand tokens out
	unseen   int64  // tokens that targets may have made and that did not come
	stream   *stream
	look     <-chan bool      // tells whether the target of the newest broken try ended
	young    bool             // that try had run for a moment at most
	spared   int              // of tries, those that a target's end broke and that can't have caused it
	after    time.Duration    // when to come back, 0: as its kind says
	unread   *unread.Response // nil until the caller was passed something
	room     int64            // reserved for a whole answer, in bytes
	end      Outcome
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	if h.opts.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	q := &request{handler: h, w: w, r: r, ctx: r.Context(), arrived: time.Now(), lostBefore: h.lost(), excluded: map[string]bool{}}
	q.serve()
}

// serve decides the request and reports its end.
func (q *request) serve() {
	kind, err := q.admit()
	if kind == OK {
		kind, err = q.run()
	}
	q.freeRoom()
	if q.unread != nil {
		q.handler.opts.Unread.Untrack(q.unread)
	}
	if q.reserved != nil {
		q.end.TokensReserved = q.reserved.Tokens()
		q.end.TokensUsed = q.used()
		q.reserved.Settle(q.end.TokensUsed)
	}
	if kind != OK && kind != CutOff && kind != CallerGone {
		q.refuse(kind)
	}
	q.report(kind, err)
	if kind == CutOff {
		panic(http.ErrAbortHandler)
	}
}

func (q *request) report(kind Kind, err error) {
	e := &q.end
	e.RequestID, e.Digest, e.Kind, e.Err = q.id, q.digest, kind, err
	e.Service, e.Attempts = q.service, q.tries
	e.Duration = time.Since(q.arrived)
	if q.route != nil {
		e.Route = q.route.Name
	}
	if q.organisation != nil {
		e.Organisation = q.organisation.Name
	}
	if q.config != nil {
		e.ConfigVersion = q.config.Version
	}
	q.handler.opts.Observer.RequestEnded(*e)
}

// refuse gives the final answer of a kind.
func (q *request) refuse(kind Kind) {
	a := answers[kind]
	if q.after > 0 {
		a.after = q.after
	}
	header := q.w.Header()
	if a.after > 0 {
		header.Set(q.handler.names.RetryAfter, strconv.FormatFloat(a.after.Seconds(), 'f', -1, 64))
	}
	if q.id != "" {
		header.Set(q.handler.names.RequestID, q.id)
	}
	header.Set("Content-Length", "0")
	q.end.Status = a.status
	q.w.WriteHeader(a.status)
}

// left is the time until the last answer is due; ok is false if there is no limit.
func (q *request) left() (left time.Duration, ok bool) {
	if q.limit.IsZero() {
		return 0, false
	}
	return time.Until(q.limit) - (q.handler.lost() - q.lostBefore), true
}

// lost is how long the host was suspended in all: callers went on waiting meanwhile, though the
// clock stood.
func (h *Handler) lost() time.Duration {
	if h.opts.Suspended == nil {
		return 0
	}
	return h.opts.Suspended()
}

// lastEventID is the event behind which the stream is to go on.
func (q *request) lastEventID() string {
	if q.stream != nil && q.stream.scanner.LastID() != "" {
		return q.stream.scanner.LastID()
	}
	return q.resume
}
