package forward

import (
	"time"

	"maststage.dev/router/routing"
)

// A request is charged for its prompt, once, and for the tokens that its targets generated.
// Forwarded tokens are counted. Tokens that a target may have generated but not delivered
// before its response broke off are bounded by the time that it had.

// countEvents records that n events have just arrived.
func (a *attempt) countEvents(n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	if a.events == 0 {
		a.firstEvent = now
	} else {
		q := a.request
		q.handler.opts.Targets.RecordGap(a.target, now.Sub(a.lastEvent)-a.callerDelay, routing.Milliseconds(q.route.GapTargetMs))
	}
	a.events += n
	a.lastEvent = now
	a.pastCallerDelay, a.callerDelay = a.pastCallerDelay+a.callerDelay, 0
}

// charge adds what an attempt may have cost to the request's charge.
func (q *request) charge(a *attempt, res result) {
	if q.reservation == nil || !a.maybeSent || res == refused {
		return
	}
	if a.events > 0 {
		q.mayHaveTokens = true
	}
	if res == delivered && a.events > 0 {
		q.handler.opts.StreamPace.Observe(q.service, a.firstEvent.Sub(a.started), a.lastEvent.Sub(a.firstEvent), a.events)
		return
	}
	if tokens := a.maxUndelivered(time.Now()); tokens > 0 {
		q.mayHaveTokens = true
		q.undelivered += tokens
	}
}

// maxUndelivered returns the most tokens that the target may have generated but not delivered.
func (a *attempt) maxUndelivered(now time.Time) int64 {
	q := a.request
	events, known := q.handler.opts.StreamPace.MaxUndelivered(q.service, now.Sub(a.started), a.events)
	if !known || q.engine.Stride <= 0 {
		return q.usage.out
	}
	return min(int64(float64(events)*q.engine.Stride), q.usage.out)
}

// reserveRetry extends the reservation to cover another run, which resumes where the previous one
// broke off, so only the undelivered tokens are generated again. If inFlight, the previous run
// has not ended and may still generate all of its tokens.
func (q *request) reserveRetry(inFlight bool) bool {
	if q.reservation == nil {
		return true
	}
	maxTokens := q.usage.in + q.usage.out + q.undelivered
	if inFlight {
		maxTokens += q.usage.out
	}
	return q.reservation.Extend(max(maxTokens-q.reservation.Tokens(), 0))
}

// tokensUsed returns the tokens that the request is charged.
func (q *request) tokensUsed() int64 {
	switch {
	case q.possibleRuns == 0 || !q.mayHaveTokens:
		return 0
	case q.engine.Stride <= 0:
		return q.reservation.Tokens()
	}
	out := q.undelivered
	if q.stream != nil {
		out += min(int64(float64(q.stream.scanner.Events())*q.engine.Stride), q.usage.out)
	}
	return min(q.usage.in+out, q.reservation.Tokens())
}
