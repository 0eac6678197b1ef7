package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"maststage.dev/router/permit"
	"maststage.dev/router/target"
)

// Brittleness is what a response says of its target.
type Brittleness struct {
	Brittle   bool
	Tolerance int // requests a second that the target can turn away without falling over
}

// Permits hands out places at brittle targets; *permit.Client implements it.
type Permits interface {
	Ask(ctx context.Context, r permit.Request) (*permit.Permit, error)
}

// Bounds of the wait for a place.
const (
	// permitWaitPart is the part of the time left that a request may wait: the rest is for the run.
	permitWaitPart = 0.5
	maxPermitWait  = 5 * time.Second
	// lostPermitRetryAfter is told to callers if no scheduler can be reached, which takes a second to be noticed.
	lostPermitRetryAfter = time.Second
)

// recordBrittle records whether a response says that its target is brittle.
func (a *attempt) recordBrittle(resp *http.Response) {
	decode := a.request.handler.opts.DecodeBrittle
	if decode == nil {
		return
	}
	targets := a.request.handler.opts.Targets
	says, err := decode(resp.Header)
	if err != nil {
		targets.RecordMalformedBrittle(a.target, err)
	}
	targets.RecordBrittle(a.target, says.Brittle, says.Tolerance)
}

// acquirePermit waits for a place at a brittle target. If there is none in time it returns nil and why.
func (q *request) acquirePermit(ctx context.Context, preferred *target.Target) (*target.Target, error) {
	targets, permits := q.handler.opts.Targets, q.handler.opts.Permits
	if permits == nil || !targets.NeedsPermit(preferred) {
		return preferred, nil
	}
	want := targets.PermitRequest(q.requirements(q.excluded), preferred)
	want.MaxWait = maxPermitWait
	if left, ok := q.timeLeft(); ok {
		want.MaxWait = min(time.Duration(permitWaitPart*float64(left)), maxPermitWait)
	}
	p, err := permits.Ask(ctx, want)
	if err != nil {
		q.retryAfter = lostPermitRetryAfter
		if refusal := (*permit.RefusalError)(nil); errors.As(err, &refusal) {
			q.retryAfter = refusal.RetryAfter.Round(time.Millisecond)
		}
		return nil, err
	}
	if p.Target() == preferred.ID {
		q.permit = p
		return preferred, nil
	}
	t := targets.Take(p.Target())
	if t == nil {
		p.End(permit.Ended)
		return nil, errors.New("the target is gone")
	}
	q.permit = p
	return t, nil
}

// endPermit returns the permit of an attempt that has ended.
func (q *request) endPermit(res result) {
	if q.permit == nil {
		return
	}
	outcome := permit.Ended
	if res == refused {
		outcome = permit.Refused
	}
	q.permit.End(outcome)
	q.permit = nil
}
