package forward

import (
	"net/http"
	"time"

	"maststage.dev/router/routing"
	"maststage.dev/router/streampace"
)

// A request is charged for its prompt, once, and for the tokens that its targets generated. It begins
// to run, and to cost anything, with its first token.
// Forwarded tokens are counted. Tokens that a target may have generated but not delivered
// before its response broke off are bounded by the time that it had. Only a target that refused
// the request, or failed it in a whole response, generated none.

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
	if q.reservation == nil || !a.maybeSent || res == refused || a.failedWhole(res) {
		return
	}
	if res != delivered || a.events == 0 {
		undelivered, begun := a.maxUndelivered(time.Now())
		q.begun = q.begun || begun
		q.undelivered += undelivered
		return
	}
	q.begun = true
	if !a.startedCold { // its pace says nothing of the time after
		q.handler.opts.StreamPace.Observe(a.paceSource(), a.lastEvent.Sub(a.firstEvent), a.events)
	}
}

// failedWhole reports whether the target's response is a whole failure.
func (a *attempt) failedWhole(res result) bool {
	return res == errored || res == delivered && a.status >= http.StatusBadRequest
}

// paceSource identifies the targets whose pace applies to the attempt.
func (a *attempt) paceSource() streampace.Source {
	return streampace.Source{Service: a.request.service, Version: a.target.Version}
}

// maxUndelivered returns the most tokens that the target may have generated but not delivered, and whether it may have
// generated any event, delivered or not.
func (a *attempt) maxUndelivered(now time.Time) (tokens int64, begun bool) {
	q := a.request
	events, known := q.handler.opts.StreamPace.MaxUndelivered(a.paceSource(), now.Sub(a.started), a.events)
	if !known || q.engine.Stride <= 0 {
		return q.usage.out, true
	}
	return min(int64(float64(events)*q.engine.Stride), q.usage.out), a.events+events > 0
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
	case q.possibleRuns == 0 || !q.begun:
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
