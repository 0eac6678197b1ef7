// Package forward carries requests of callers to targets, byte for byte. Each
// request is decided on this host alone: whether it may run, which target takes
// it, whether it is sent again, and what its caller is told.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"maststage.dev/router/metering"
	"maststage.dev/router/overload"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/routing"
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
	// Held says whether a request must not be sent.
	Held(d quarantine.Digest) bool
	// Ends counts the ends of targets under a request that this host knows of.
	Ends(d quarantine.Digest) int
	// Broke notes that a request broke off because its target ended.
	Broke(r quarantine.Report)
	// Whole notes that a target ran a request to its end.
	Whole(d quarantine.Digest)
}

// Options configure a Handler.
type Options struct {
	Names    Headers
	Targets  *target.Registry
	Budgets  Budgets
	Retries  *retrybudget.Set
	Meter    *metering.Meter
	Overload *overload.Monitor
	// Quarantine is told how tries ended and asked before each.
	Quarantine Quarantine
	Observer   Observer
	// Rollouts says which versions a request may use and is told how it fared there; nil: any.
	Rollouts Rollouts
	// Unread bounds what is held for callers that don't read.
	Unread *unread.Book
	// Leaving says that callers are to use other hosts: connections are to be closed.
	Leaving func() bool
	// Takes says whether a request that arrived may begin: OK, or why not. It may wait a
	// little for that.
	Takes func(ctx context.Context, arrived time.Time, streaming bool) Kind
	// Lost is how long the host was suspended in all; nil: never.
	Lost func() time.Duration
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

// Configure puts a configuration in force.
func (h *Handler) Configure(c *routing.Config) { h.config.Store(c) }

// Config is the configuration in force, nil if there is none.
func (h *Handler) Config() *routing.Config { return h.config.Load() }

// Open counts the requests under way.
func (h *Handler) Open() int64 { return h.open.Load() }

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
	look     <-chan bool    // tells whether the target of the newest broken try ended
	young    bool           // that try had run for a moment at most
	spared   int            // of tries, those that a target's end broke and that can't have caused it
	after    time.Duration  // when to come back, 0: as its kind says
	unread   *unread.Answer // nil until the caller was passed something
	room     int64          // reserved for a whole answer, in bytes
	end      End
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	if h.opts.Leaving() {
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
		q.handler.opts.Unread.Close(q.unread)
	}
	if q.reserved != nil {
		q.end.Reserved = q.reserved.Tokens()
		q.end.Used = q.used()
		q.reserved.Settle(q.end.Used)
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
	e.Service, e.Tries = q.service, q.tries
	e.Took = time.Since(q.arrived)
	if q.route != nil {
		e.Route = q.route.Name
	}
	if q.organisation != nil {
		e.Organisation = q.organisation.Name
	}
	if q.config != nil {
		e.ConfigVersion = q.config.Version
	}
	q.handler.opts.Observer.Ended(*e)
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

// admit checks the request against the configuration, reads its body and
// reserves its tokens.
func (q *request) admit() (Kind, error) {
	h := q.handler
	q.id = q.r.Header.Get(h.names.RequestID)
	q.config = h.config.Load()
	if q.config == nil {
		return NoConfig, nil
	}
	q.route = q.config.Match(q.r.Host, q.path())
	if q.route == nil {
		return NoRoute, nil
	}
	if kind := q.authenticate(); kind != OK {
		return kind, nil
	}
	if kind := h.opts.Takes(q.ctx, q.arrived, q.route.Kind == routing.Streaming); kind != OK {
		return kind, nil
	}
	if !h.opts.Overload.Admit(q.arrived) {
		return HostBusy, nil
	}
	if q.regions().None() {
		return NoRegion, nil
	}
	q.service = q.route.Pick(rand.Float64())
	if s := q.config.Service(q.service); s != nil {
		q.engine = s.Engine
	}
	q.setLimit()
	if kind, err := q.readBody(); kind != OK {
		return kind, err
	}
	q.digest = q.content().Digest()
	if h.opts.Quarantine.Held(q.digest) {
		return Quarantined, nil
	}
	q.head = h.commonHead(q.r, q.body)
	q.resume = q.r.Header.Get(h.names.LastEventID)
	h.opts.Retries.Of(q.service).Request(q.arrived)
	return q.reserve()
}

// path is the one on the wire, without its query.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	return path
}

func (q *request) authenticate() Kind {
	if key := q.r.Header.Get(q.handler.names.Key); key != "" {
		q.organisation = q.config.ByKey(key)
	}
	if q.organisation == nil && !q.route.Public && len(q.config.Organisations) > 0 {
		return BadKey
	}
	return OK
}

// regions is where the request may be served, by the configuration that it came under and by the
// newest one: what waits or is tried again leaves a region that was closed meanwhile.
func (q *request) regions() routing.Regions {
	regions := q.config.Regions(q.route, q.organisation)
	newest := q.handler.config.Load()
	if newest == q.config {
		return regions
	}
	var organisation *routing.Organisation
	if q.organisation != nil {
		organisation = newest.Organisation(q.organisation.Name)
	}
	return regions.And(newest.Regions(newest.Match(q.r.Host, q.path()), organisation))
}

// callerMargin is kept free before a caller's deadline for the last answer's way.
const callerMargin = 25 * time.Millisecond

// setLimit works out when the last answer is due.
func (q *request) setLimit() {
	if d := q.route.Timeout(); d > 0 {
		q.limit = q.arrived.Add(d)
	}
	ms, err := strconv.ParseFloat(q.r.Header.Get(q.handler.names.Deadline), 64)
	if err != nil || ms <= 0 {
		return
	}
	deadline := q.arrived.Add(routing.Milliseconds(ms) - callerMargin)
	if q.limit.IsZero() || deadline.Before(q.limit) {
		q.limit = deadline
	}
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
	if h.opts.Lost == nil {
		return 0
	}
	return h.opts.Lost()
}

func (q *request) readBody() (Kind, error) {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return OK, nil
	}
	reader := io.Reader(q.r.Body)
	if most := q.config.Limits.MaxBodyBytes; most > 0 {
		if q.r.ContentLength > most {
			return TooLarge, nil
		}
		reader = http.MaxBytesReader(q.w, q.r.Body, most)
	}
	body, err := readBody(reader, q.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return TooLarge, err
	case err != nil && q.ctx.Err() != nil:
		return CallerGone, err
	case err != nil:
		return BadRequest, err
	}
	q.body = body
	return OK, nil
}

// readBody reads a body of a known length without growing a buffer.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// reserve sets the request's worst case aside in its organisation's budget.
func (q *request) reserve() (Kind, error) {
	if q.engine == nil {
		return OK, nil
	}
	header := q.r.Header
	q.shared = header.Get(q.handler.names.PromptParts)
	u, ok := parseUsage(header.Get(q.handler.names.Usage))
	q.usage = u
	if q.organisation == nil || q.organisation.Prepaid == nil {
		return OK, nil
	}
	if !ok {
		return BadRequest, errors.New("the request does not say how many tokens it needs at most")
	}
	reserved, err := q.handler.opts.Budgets.ReserveFor(q.ctx, prepaid.Request{
		Organisation: q.organisation.Name, Tokens: u.in + u.out, Priority: q.route.Priority,
	})
	switch {
	case err == nil:
		q.reserved = reserved
		return OK, nil
	case q.ctx.Err() != nil:
		return CallerGone, err
	}
	q.end.Budget, _ = q.handler.opts.Budgets.Holding(q.organisation.Name)
	if errors.Is(err, prepaid.ErrNever) {
		return OverBudget, err
	}
	return BudgetWait, err
}

// lastEventID is the event behind which the stream is to go on.
func (q *request) lastEventID() string {
	if q.stream != nil && q.stream.scanner.LastID() != "" {
		return q.stream.scanner.LastID()
	}
	return q.resume
}
