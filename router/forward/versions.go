package forward

import (
	"net/http"
	"time"

	"maststage.dev/router/rollout"
)

// Rollouts selects the target versions that requests may use.
type Rollouts interface {
	// Rule returns the versions that a request may use.
	Rule(r rollout.Request) rollout.Rule
	// Sent records that a target of a version may have received a request.
	Sent(r rollout.Request, version string)
	// Ended records the result of an attempt at a target of a version.
	Ended(r rollout.Request, version string, outcome rollout.Outcome)
}

// anyVersion allows all versions.
type anyVersion struct{}

func (anyVersion) Rule(rollout.Request) rollout.Rule              { return rollout.Rule{} }
func (anyVersion) Sent(rollout.Request, string)                   {}
func (anyVersion) Ended(rollout.Request, string, rollout.Outcome) {}

// rolloutRequest describes the request to the rollouts; first says that this is its first attempt.
func (q *request) rolloutRequest(first bool) rollout.Request {
	return rollout.Request{Service: q.service, NotRetryable: !q.route.Repeatable(), FirstAttempt: first, Resumed: q.origin != nil}
}

// minPaceEvents is the minimum number of events from which a stream's pace is computed.
const minPaceEvents = 3

// rolloutOutcome returns what the attempt shows about its target's version. The timings of a cold
// target are left out: they show only that it is cold.
func (a *attempt) rolloutOutcome(res result, cold bool) rollout.Outcome {
	outcome := rollout.Outcome{
		Route: a.request.route.Name, Domain: a.target.Domain, Target: a.target.ID, NotSent: res == notSent,
	}
	switch res {
	case refused, callerGone:
		outcome.Inconclusive = true
	case broken, cutOff:
		outcome.Inconclusive, outcome.Failed = a.unproved, !a.unproved
	case outOfTime:
		outcome.Inconclusive, outcome.Failed = a.status != 0, a.status == 0
	case delivered:
		outcome.Failed = a.status >= http.StatusInternalServerError
	default:
		outcome.Failed = true
	}
	if outcome.Failed && a.status == 0 && (a.saysNothing() || a.conn == nil && a.target.Path().Cut()) {
		outcome.Failed, outcome.Inconclusive = false, true
	}
	if cold {
		return outcome
	}
	outcome.FirstByte = a.timeToFirstByte
	if a.events >= minPaceEvents {
		outcome.EventInterval = (a.lastEvent.Sub(a.firstEvent) - a.pastCallerDelay) / time.Duration(a.events-1)
	}
	return outcome
}
