package forward

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"maststage.dev/lib/inbound"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/routing"
)

// admit checks the request against the configuration, reads its body and
// reserves its tokens. It returns OK, or why the request must not run.
func (q *request) admit() (Kind, error) {
	h := q.handler
	q.id = q.r.Header.Get(h.names.RequestID)
	q.config = h.config.Load()
	if q.config == nil {
		return NoConfig, nil
	}
	q.route = q.config.Match(q.r.Host, q.path())
	if q.route == nil {
		return q.refuseByConfig(NoRoute), nil
	}
	if kind := q.authenticate(); kind != OK {
		return kind, nil
	}
	q.countArrival()
	q.setDeadline()
	if kind := h.opts.MayBegin(q.ctx, q.arrival()); kind != OK {
		return kind, nil
	}
	if !q.admitToLink() || !h.opts.Overload.Admit(q.arrived) {
		return HostBusy, nil
	}
	if q.regions().Empty() {
		return NoRegion, nil
	}
	q.setService(q.route.PickService(rand.Float64()))
	if kind, err := q.readBody(); kind != OK {
		return kind, err
	}
	if kind := q.findOrigin(); kind != OK {
		return kind, nil
	}
	q.readPrompt()
	q.digest = q.content().Digest()
	if q.quarantined() {
		return Quarantined, nil
	}
	q.head = h.commonHead(q.r, q.body)
	h.opts.Retries.ForService(q.service).CountRequest(q.arrived)
	return q.reserve()
}

// path returns the request's path as it was received, without the query.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	return path
}

func (q *request) authenticate() Kind {
	if key := q.r.Header.Get(q.handler.names.Key); key != "" {
		q.organisation = q.config.ByKey(key)
	}
	if q.organisation == nil && !q.route.Public && len(q.config.Organisations) > 0 {
		return q.refuseByConfig(BadKey)
	}
	return OK
}

// refuseByConfig returns the kind of a request that is refused by the configuration alone: the given one, or Unconfirmed if
// other hosts may have a newer configuration, which allows it.
func (q *request) refuseByConfig(kind Kind) Kind {
	age := q.handler.configAge()
	q.outcome.ConfigAge = age
	if limit := q.handler.opts.ConfigAgeLimit; limit == nil || age <= limit() {
		return kind
	}
	q.retryAfter = unconfirmedRetryAfter(age)
	return Unconfirmed
}

// configAge returns how long ago the configuration was last confirmed to be the newest.
func (h *Handler) configAge() time.Duration {
	if h.opts.ConfigAge == nil {
		return 0
	}
	return h.opts.ConfigAge()
}

// regions returns the regions that both the request's configuration and the newest one allow: a
// waiting or retried request must not go to a region that was closed meanwhile.
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
	return regions.Intersect(newest.Regions(newest.Match(q.r.Host, q.path()), organisation))
}

// deadlineMargin is the time before a caller's deadline that is left for the response to reach it.
const deadlineMargin = 25 * time.Millisecond

// setDeadline sets the deadline to the earlier of the route's timeout and the caller's deadline.
func (q *request) setDeadline() {
	if d := q.route.Timeout(); d > 0 {
		q.deadline = q.arrived.Add(d)
	}
	ms, err := strconv.ParseFloat(q.r.Header.Get(q.handler.names.Deadline), 64)
	if err != nil || ms <= 0 {
		return
	}
	q.callerDeadline = q.arrived.Add(routing.Milliseconds(ms) - deadlineMargin)
	if q.deadline.IsZero() || q.callerDeadline.Before(q.deadline) {
		q.deadline = q.callerDeadline
	}
}

func (q *request) arrival() Arrival {
	return Arrival{At: q.arrived, Deadline: q.deadline, Streaming: q.route.Kind == routing.Streaming, Repeatable: q.route.Repeatable()}
}

// outlastsHost reports whether the host is stopping and may end before the request's deadline.
func (q *request) outlastsHost() bool {
	end := q.handler.opts.EndsAt()
	return !end.IsZero() && (q.deadline.IsZero() || q.deadline.After(end))
}

func (q *request) readBody() (Kind, error) {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return OK, nil
	}
	reader := io.Reader(q.r.Body)
	if maxBytes := q.config.Limits.MaxBodyBytes; maxBytes > 0 {
		if q.r.ContentLength > maxBytes {
			return q.refuseByConfig(TooLarge), nil
		}
		reader = http.MaxBytesReader(q.w, q.r.Body, maxBytes)
	}
	if !q.deadline.IsZero() {
		q.setReadDeadline(q.deadline)
	}
	body, err := readBody(reader, q.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return q.refuseByConfig(TooLarge), err
	case errors.Is(err, inbound.ErrEvicted):
		return HostBusy, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return BodyTimeout, err
	case err != nil && q.ctx.Err() != nil:
		return CallerGone, err
	case err != nil:
		return BadRequest, err
	}
	q.body = body
	q.setReadDeadline(time.Time{})
	return OK, nil
}

// setReadDeadline has reads from the caller fail from a moment on; zero: never.
func (q *request) setReadDeadline(t time.Time) {
	// An error means that the connection has no deadlines.
	_ = http.NewResponseController(q.w).SetReadDeadline(t)
}

// Sizes of the first buffer for a body, in bytes.
const (
	knownBodyBytes   = 64 << 10 // at most, of one that has a length
	unknownBodyBytes = 8 << 10
)

// readBody reads a body of a length, or to its end if that is negative. Its buffer grows with what arrives: a caller may announce
// more than it sends.
func readBody(r io.Reader, length int64) ([]byte, error) {
	first, largest := int64(unknownBodyBytes), int64(math.MaxInt64)
	if length >= 0 {
		first, largest = min(length, knownBodyBytes), length
	}
	body := make([]byte, 0, first)
	for int64(len(body)) < largest {
		if len(body) == cap(body) {
			larger := make([]byte, len(body), min(largest, 2*int64(cap(body))))
			copy(larger, body)
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && int64(len(body)) < length:
			return body, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
	return body, nil
}

// reserve reserves the request's maximum token usage in its organisation's budget.
func (q *request) reserve() (Kind, error) {
	if q.engine == nil {
		return OK, nil
	}
	header := q.r.Header
	u, ok := parseUsage(header.Get(q.handler.names.Usage))
	q.usage = u
	if q.organisation == nil || q.organisation.Prepaid == nil {
		return OK, nil
	}
	if !ok {
		// Whether it needs one is up to the configuration.
		return q.refuseByConfig(BadRequest), errors.New("request has no valid maximum token usage")
	}
	reservation, err := q.handler.opts.Budgets.ReserveFor(q.ctx, prepaid.Request{
		Organisation: q.organisation.Name, Tokens: u.in + u.out, Priority: q.route.Priority, TakesUp: q.origin != nil,
	})
	switch {
	case err == nil:
		q.reservation = reservation
		return OK, nil
	case q.ctx.Err() != nil:
		return CallerGone, err
	}
	var refusal *prepaid.Refusal
	if errors.As(err, &refusal) {
		q.retryAfter = refusal.RetryAfter.Round(time.Millisecond)
	}
	q.outcome.Budget, _ = q.handler.opts.Budgets.Holding(q.organisation.Name)
	if errors.Is(err, prepaid.ErrTooLarge) {
		return q.refuseByConfig(OverBudget), err
	}
	return BudgetWait, err
}
