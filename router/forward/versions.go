package forward

import (
	"net/http"
	"time"

	"maststage.dev/router/rollout"
)

// Rollouts keeps the versions of targets that requests may use.
type Rollouts interface {
	// Rule gives the versions that a request may use.
	Rule(a rollout.Request) rollout.Rule
	// Sent notes that a target of a version may have got a request.
	Sent(a rollout.Request, version string)
	// Ended notes how the request fared there.
	Ended(a rollout.Request, version string, answer rollout.Outcome)
}

// anyVersion allows all versions.
type anyVersion struct{}

func (anyVersion) Rule(rollout.Request) rollout.Rule              { return rollout.Rule{} }
func (anyVersion) Sent(rollout.Request, string)                   {}
func (anyVersion) Ended(rollout.Request, string, rollout.Outcome) {}

// ask is what the request is to a rollout; first says that no target was tried before.
func (q *request) ask(first bool) rollout.Request {
	return rollout.Request{Service: q.service, NotRetryable: !q.route.Repeatable(), FirstAttempt: first}
}

// leastEvents is how many events of a stream tell its pace.
const leastEvents = 3

// answer is what the try tells of the version of its target. The times of a cold target tell only
// that it is cold.
func (c *call) answer(res result, cold bool) rollout.Outcome {
	a := rollout.Outcome{
		Route: c.request.route.Name, Domain: c.target.Domain, Target: c.target.ID, NotSent: res == notSent,
	}
	switch res {
	case refused, callerGone:
		a.Inconclusive = true
	case outOfTime:
		a.Inconclusive, a.Failed = c.status != 0, c.status == 0
	case delivered:
		a.Failed = c.status >= http.StatusInternalServerError
	default:
		a.Failed = true
	}
	if cold {
		return a
	}
	a.FirstByte = c.begins
	if c.events >= leastEvents {
		a.EventInterval = (c.last.Sub(c.first) - c.unread) / time.Duration(c.events-1)
	}
	return a
}
