package forward

import (
	"context"
	"net/http"
	"time"

	"maststage.dev/router/limit"
)

// noteLimit takes over what an answer says of its target's limit. A misdirected request reached
// another target than the one that is meant, and an answer without a signature or the word that
// nothing was run is not the target's own.
func (c *call) noteLimit(resp *http.Response) {
	names := c.request.handler.names
	if names.Limit == "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	refusal := resp.Header.Get(names.NotRun) != ""
	if !refusal && resp.Header.Get(names.Stamp) == "" {
		return
	}
	targets := c.request.handler.opts.Targets
	statement, err := limit.Parse(resp.Header[names.Limit], refusal)
	if err != nil {
		targets.RecordMalformedLimit(c.target, err)
		return
	}
	targets.RecordLimit(c.target, statement)
}

// noTarget says why no target takes the request, and sets what its caller is told where those that could
// name limits: when to come back, and to another host if this one sends them nothing.
func (q *request) noTarget() Kind {
	full, ok := q.handler.opts.Targets.LimitsExhaustedFor(q.want(q.excluded))
	if !ok {
		return NoTarget
	}
	q.after = full.RetryAfter
	if !full.HasShare {
		q.w.Header().Set("Connection", "close")
	}
	return TargetsFull
}

// placeLook is the time between two looks for a target that goes on with a stream.
const placeLook = 50 * time.Millisecond

// awaitPlace waits a moment for a target that goes on with a stream whose beginning its caller has:
// refused, it would be lost. It says whether one may be found then.
func (q *request) awaitPlace(ctx context.Context) bool {
	if q.stream == nil || !q.stream.begun || !q.handler.opts.Targets.HasLimitShare(q.want(q.excluded)) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(placeLook):
		return true
	}
}
