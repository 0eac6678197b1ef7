package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/routing"
)

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
	if kind := h.opts.MayBegin(q.ctx, q.arrived, q.route.Kind == routing.Streaming); kind != OK {
		return kind, nil
	}
	if !h.opts.Overload.Admit(q.arrived) {
		return HostBusy, nil
	}
	if q.regions().Empty() {
		return NoRegion, nil
	}
	q.service = q.route.PickService(rand.Float64())
	if s := q.config.Service(q.service); s != nil {
		q.engine = s.Engine
	}
	q.setLimit()
	if kind, err := q.readBody(); kind != OK {
		return kind, err
	}
	q.digest = q.content().Digest()
	if h.opts.Quarantine.IsQuarantined(q.digest) {
		return Quarantined, nil
	}
	q.head = h.commonHead(q.r, q.body)
	q.resume = q.r.Header.Get(h.names.LastEventID)
	h.opts.Retries.ForService(q.service).CountRequest(q.arrived)
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
	return regions.Intersect(newest.Regions(newest.Match(q.r.Host, q.path()), organisation))
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
	if errors.Is(err, prepaid.ErrTooLarge) {
		return OverBudget, err
	}
	return BudgetWait, err
}
