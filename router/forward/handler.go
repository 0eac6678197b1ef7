// Package forward forwards requests of callers to targets, byte for byte. This host
// alone decides for each request whether it may run, which target it goes to, whether
// it is retried, and what the caller receives.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"maststage.dev/router/capacity"
	"maststage.dev/router/overload"
	"maststage.dev/router/permit"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/routing"
	"maststage.dev/router/streampace"
	"maststage.dev/router/streamversion"
	"maststage.dev/router/target"
	"maststage.dev/router/unread"
	"maststage.dev/router/unsent"
)

// Budgets reserves tokens; *prepaid.Allocator implements it.
type Budgets interface {
	ReserveFor(ctx context.Context, q prepaid.Request) (*prepaid.Reservation, error)
	Holding(organisation string) (prepaid.Holding, bool)
}

// Quarantine blocks requests that crash targets; *quarantine.Guard implements it.
type Quarantine interface {
	// IsQuarantined reports whether a request must not be sent.
	IsQuarantined(d quarantine.Digest) bool
	// TargetExits returns the number of target exits that this host attributes to a request.
	TargetExits(d quarantine.Digest) int
	// RecordExit records that a request broke off because its target exited.
	RecordExit(r quarantine.Report)
	// RecordCompletion records that a target ran a request to completion.
	RecordCompletion(d quarantine.Digest)
	// QuarantinedPart reports whether a request with these parts may be sent, and returns the entry if it is held.
	QuarantinedPart(parts []quarantine.Part) (quarantine.Entry, quarantine.Hold)
	// PartExits returns the target exits that this host attributes to one of the parts.
	PartExits(parts []quarantine.Part) int
	// RecordPartExits records that a request with these parts broke off because its target exited.
	RecordPartExits(r quarantine.Report, parts []quarantine.Part, sent time.Time)
	// RecordSurvival records that a target survived a request with these parts.
	RecordSurvival(parts []quarantine.Part)
}

// Options configure a Handler.
type Options struct {
	Names      Headers
	Targets    *target.Registry
	Budgets    Budgets
	Retries    *retrybudget.Set
	StreamPace *streampace.Estimator
	Overload   *overload.Monitor
	// Capacity measures the use of the link; nil: its capacity is unknown.
	Capacity *capacity.Host
	// Permits hands out places at brittle targets; nil: none is needed.
	Permits Permits
	// DecodeBrittle reads what a response says of its target's brittleness. An error means that the target says that it is
	// brittle, but not how much; nil: targets don't say.
	DecodeBrittle func(h http.Header) (Brittleness, error)
	// Quarantine is consulted before each attempt and notified of its result.
	Quarantine Quarantine
	Observer   Observer
	// OnLack is called when a request is refused because this host has no connection to a target left for it; nil: nobody is.
	OnLack func()
	// StreamVersions remembers at which version of its targets each stream began.
	StreamVersions StreamVersions
	// Rollouts selects the versions that a request may use and records the results; nil: any.
	Rollouts Rollouts
	// Unread bounds the memory held for callers that don't read.
	Unread *unread.Tracker
	// Unsent bounds the memory held for targets that don't read; nil: it is not bounded.
	Unsent *unsent.Tracker
	// CloseConnections reports whether to close callers' connections, so that they move to
	// other hosts.
	CloseConnections func() bool
	// MayBegin returns OK if a new request may begin, else why not. It may block briefly.
	MayBegin func(ctx context.Context, a Arrival) Kind
	// EndsAt returns when a host that is stopping ends the requests that are still in flight; zero: it isn't stopping. nil: it
	// never stops.
	EndsAt func() time.Time
	// Suspended returns the length of all suspensions of the host; nil: never suspended.
	Suspended func() time.Duration
	// ConfigAge returns how long ago the configuration was last confirmed to be the newest; nil: it always is.
	ConfigAge func() time.Duration
	// ConfigAgeLimit returns the age above which other hosts may have a newer configuration; nil: there is none.
	ConfigAgeLimit func() time.Duration
}

// Arrival is what decides whether a host may begin a request.
type Arrival struct {
	At         time.Time
	Deadline   time.Time // for the response; zero: none
	Streaming  bool
	Repeatable bool // the request may run more than once
}

// Handler serves callers.
type Handler struct {
	opts        Options
	names       Headers
	managed     map[string]bool
	protected   map[string]bool
	config      atomic.Pointer[routing.Config]
	inFlight    atomic.Int64
	waiting     *waitingAttempts
	ended       context.Context // done once EndRequests was called
	endRequests context.CancelFunc
}

// New returns a handler without a configuration; it refuses requests until SetConfig.
func New(opts Options) *Handler {
	if opts.Rollouts == nil {
		opts.Rollouts = anyVersion{}
	}
	if opts.OnLack == nil {
		opts.OnLack = func() {}
	}
	if opts.Unsent == nil {
		opts.Unsent = unsent.New(unsent.Unlimited, func() {})
	}
	if opts.EndsAt == nil {
		opts.EndsAt = func() time.Time { return time.Time{} }
	}
	names := opts.Names.canonical()
	h := &Handler{opts: opts, names: names, managed: names.managed(), protected: names.protected(), waiting: newWaitingAttempts()}
	h.ended, h.endRequests = context.WithCancel(context.Background())
	return h
}

// EndRequests ends the requests in flight, and those that still come, as if their deadlines had passed: each gets its final
// response, unless a part of a response was sent already.
func (h *Handler) EndRequests() { h.endRequests() }

// SetConfig applies a configuration to new requests. Requests in flight keep theirs, but don't go to
// regions that the new one excludes.
func (h *Handler) SetConfig(c *routing.Config) { h.config.Store(c) }

// Config returns the current configuration, nil if there is none.
func (h *Handler) Config() *routing.Config { return h.config.Load() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// request is the state of one request.
type request struct {
	handler           *Handler
	w                 http.ResponseWriter
	r                 *http.Request
	ctx               context.Context // cancelled when the caller disconnects
	arrived           time.Time
	deadline          time.Time     // for the response; zero: none
	callerDeadline    time.Time     // after which the caller waits no longer; zero: not named
	suspendedBefore   time.Duration // length of all suspensions when the request arrived
	config            *routing.Config
	route             *routing.Route
	organisation      *routing.Organisation
	service           string
	engine            *routing.Engine
	id                string
	head              []byte
	body              []byte
	digest            quarantine.Digest // identifies equal requests
	parts             []quarantine.Part // of the prompt, those that other requests may share
	lacked            bool              // an attempt found all connections to its target in use
	partTrial         bool              // the first attempt tries whether the target survives the parts
	usage             usage
	promptParts       string                // header value; all parts but the last give the affinity
	callerLastEventID string                // from the caller's own request
	resumes           string                // the attempt that brought the first event of a stream that the caller resumes
	origin            *streamversion.Origin // where the stream began; nil if no event of it has been forwarded

	reservation    *prepaid.Reservation
	excluded       map[string]bool
	attempts       int               // at targets that may have received the request
	possibleRuns   int               // attempts whose target may have run the request
	failedResponse *bufferedResponse // a target's error response, sent if no retry succeeds
	retryGranted   bool              // a retry was granted before the current attempt ended
	begun          bool              // a target may have generated a token
	undelivered    int64             // bound on the tokens that targets generated but did not deliver
	stream         *stream
	unnamed        atomic.Bool      // the newest event of the stream has no id, so that no target can go on behind it
	headSent       bool             // the head of a target's response was sent to the caller
	closeDelimited bool             // that head has neither length nor chunks: the response ends with the connection
	writeFailed    bool             // a write to the caller failed: it can't have the whole response
	ended          bool             // the response to the caller may be completed
	exitProbe      <-chan bool      // whether the target of the last broken attempt exited
	brokeEarly     bool             // that attempt had run only briefly
	uncounted      int              // attempts broken by a target exit that the request can't have caused
	retryAfter     time.Duration    // overrides the Retry-After of the kind unless 0
	tracked        *unread.Response // nil until the first write to the caller
	bufferReserved int64            // bytes reserved to buffer a response
	permit         *permit.Permit   // of the current attempt, nil if it needs none
	load           capacity.Request // as it counts on the link
	linkBytes      float64          // of the response, on the link
	outcome        Outcome
}

// ServeHTTP forwards one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.opts.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	q := &request{handler: h, w: w, r: r, ctx: r.Context(), arrived: time.Now(), suspendedBefore: h.suspended(), excluded: map[string]bool{}}
	defer q.closeUnlessEnded()
	q.serve()
}

// serve handles the request and reports its outcome.
func (q *request) serve() {
	kind, err := q.handle()
	q.outcome.End = q.end(kind)
	q.report(kind, err)
	if q.outcome.End == EndAborted {
		panic(http.ErrAbortHandler)
	}
	q.ended = true
}

// handle admits the request and runs it. What it holds it gives back, also after a panic.
func (q *request) handle() (Kind, error) {
	defer q.settle()
	defer q.releaseMemory()
	defer func() { q.endPermit(callerGone) }() // of an attempt that panicked
	kind, err := q.admit()
	if kind != OK {
		return kind, err
	}
	kind, err = q.run()
	q.handler.opts.Capacity.Responded(q.route.Name, q.linkBytes)
	if q.lacked && (kind == NoTarget || kind == Overloaded) {
		q.handler.opts.OnLack()
	}
	return kind, err
}

// releaseMemory ends the accounting of what is buffered for the caller or written to it.
func (q *request) releaseMemory() {
	q.releaseBuffer()
	if q.tracked != nil {
		q.handler.opts.Unread.Untrack(q.tracked)
	}
}

// settle ends the reservation of tokens.
func (q *request) settle() {
	if q.reservation == nil {
		return
	}
	q.outcome.TokensReserved = q.reservation.Tokens()
	q.outcome.TokensUsed = q.tokensUsed()
	q.reservation.Settle(q.outcome.TokensUsed)
}

func (q *request) report(kind Kind, err error) {
	o := &q.outcome
	o.RequestID, o.Digest, o.Kind, o.Err = q.id, q.digest, kind, err
	o.Service, o.Attempts = q.service, q.attempts
	o.Duration = time.Since(q.arrived)
	o.CallerClosed = q.ctx.Err() != nil
	if q.route != nil {
		o.Route = q.route.Name
	}
	if q.organisation != nil {
		o.Organisation = q.organisation.Name
	}
	if q.config != nil {
		o.ConfigVersion = q.config.Version
	}
	q.handler.opts.Observer.RequestEnded(*o)
}

// respond sends a final response of the host.
func (q *request) respond(final finalResponse) {
	if q.retryAfter > 0 {
		final.retryAfter = q.retryAfter
	}
	header := q.w.Header()
	if final.retryAfter > 0 {
		header.Set(q.handler.names.RetryAfter, strconv.FormatFloat(final.retryAfter.Seconds(), 'f', -1, 64))
	}
	if q.id != "" {
		header.Set(q.handler.names.RequestID, q.id)
	}
	header.Set("Content-Length", "0")
	q.outcome.Status = final.status
	q.w.WriteHeader(final.status)
}

// timeLeft returns the time until the deadline; ok is false if there is none.
func (q *request) timeLeft() (left time.Duration, ok bool) {
	if q.deadline.IsZero() {
		return 0, false
	}
	return time.Until(q.deadline) - (q.handler.suspended() - q.suspendedBefore), true
}

// suspended returns the length of all suspensions of the host. Callers kept waiting during them,
// though the host's monotonic clock stood still.
func (h *Handler) suspended() time.Duration {
	if h.opts.Suspended == nil {
		return 0
	}
	return h.opts.Suspended()
}

// lastEventID returns the id of the event after which the stream is to resume.
func (q *request) lastEventID() string {
	if q.stream != nil && q.stream.scanner.LastID() != "" {
		return q.stream.scanner.LastID()
	}
	return q.callerLastEventID
}
