package forward

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"maststage.dev/router/routing"
	"maststage.dev/router/target"
)

// result is the result of one attempt at a target.
type result int

const (
	delivered  result = iota // the response was forwarded or is ready to be
	notSent                  // the target can't have received the request
	refused                  // the target declared that it did not run the request
	errored                  // the target's error response, kept in request.failedResponse
	broken                   // it may have run; no usable response
	silent                   // it may have run; the target was silent for too long
	callerGone               // the caller left
	outOfTime                // the request's deadline passed
	cutOff                   // the response broke off after its beginning was forwarded
)

var resultNames = [...]string{
	delivered: "delivered", notSent: "not sent", refused: "refused", errored: "errored",
	broken: "broken", silent: "silent", callerGone: "caller gone", outOfTime: "out of time", cutOff: "cut off",
}

func (r result) String() string { return resultNames[r] }

// mayHaveRun reports whether the target may have run the request.
func (r result) mayHaveRun() bool { return r != notSent && r != refused }

const (
	maxUnreachable = 4                     // unreachable targets per request, but for those that refuse at once
	maxRefusing    = 32                    // targets per request at whose address nobody listens
	minTimeLeft    = 20 * time.Millisecond // before the deadline, for another attempt
)

// run attempts targets until one delivers a response or no further attempt is allowed.
func (q *request) run() (Kind, error) {
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	defer context.AfterFunc(q.handler.ended, cancel)()
	if !q.deadline.IsZero() {
		var cancelAtDeadline context.CancelFunc
		ctx, cancelAtDeadline = context.WithDeadline(ctx, q.deadline)
		defer cancelAtDeadline()
	}
	unreachable, refusing := 0, 0
	var last error
	for {
		if q.quarantined() {
			return q.giveUp(Quarantined, last)
		}
		if q.regions().Empty() {
			return q.giveUp(NoRegion, last)
		}
		t := q.chooseTarget(q.excluded)
		if t == nil && q.awaitTarget(ctx) {
			continue
		}
		if t == nil && q.ctx.Err() != nil {
			return CallerGone, last
		}
		if t == nil {
			return q.giveUp(q.noTargetKind(), errors.Join(last, errors.New("no target is available")))
		}
		t, err := q.acquirePermit(ctx, t)
		if t == nil {
			if q.ctx.Err() != nil {
				return CallerGone, last
			}
			return q.giveUp(TargetsFull, errors.Join(last, err))
		}
		res, err := q.attemptTarget(ctx, t)
		q.endPermit(res)
		last = err
		switch {
		case res == delivered:
			return OK, nil
		case res == cutOff:
			return CutOff, err
		case res == callerGone:
			return CallerGone, err
		case res == outOfTime:
			return q.giveUp(Timeout, err)
		case res == notSent && errors.Is(err, syscall.ECONNREFUSED):
			refusing++
		case res == notSent:
			unreachable++
		}
		q.excluded[t.ID] = true
		if unreachable >= maxUnreachable || refusing >= maxRefusing || !q.mayRetry(res, false) {
			return q.giveUp(TargetFailed, err)
		}
	}
}

// giveUp returns the kind of the final response. It claims that the request has not
// run only if it can't have.
func (q *request) giveUp(kind Kind, err error) (Kind, error) {
	switch {
	case q.headSent:
		return CutOff, err
	case q.possibleRuns > 0 && q.failedResponse != nil && kind != Timeout:
		q.failedResponse.send(q)
		return OK, err
	case q.possibleRuns > 0 && kind == Timeout:
		return Timeout, err
	case q.possibleRuns > 0:
		return TargetFailed, err
	case kind == Timeout:
		return TimeoutUnrun, err
	case kind == Quarantined, kind == NoRegion, kind == TargetsFull:
		return kind, err
	case q.targetsBackoff():
		return TargetsBackoff, err
	case q.attempts > 0:
		return Overloaded, err
	}
	return NoTarget, err
}

// claimRetry claims a retry for a retryable request whose current target may still
// run it, and reports whether it may go to another one. The silence timer calls it.
func (q *request) claimRetry(target string) bool {
	if q.retryGranted {
		return true
	}
	if q.outlastsHost() {
		return false // this run may end before the host does, and another one would begin anew
	}
	others := maps.Clone(q.excluded)
	others[target] = true
	if !q.route.Repeatable() || !q.handler.opts.Targets.HasCandidate(q.requirements(others)) {
		return false
	}
	q.retryGranted = q.mayRetry(silent, true)
	return q.retryGranted
}

// mayRetry reports whether the request may go to another target after an attempt;
// inFlight says that the attempt has not ended yet.
func (q *request) mayRetry(res result, inFlight bool) bool {
	if q.unnamed.Load() {
		return false
	}
	if q.retryGranted {
		q.retryGranted = false
		return true
	}
	if left, ok := q.timeLeft(); ok && left < minTimeLeft {
		return false
	}
	if res == notSent {
		return true
	}
	if res == broken && q.causedExits() {
		return false
	}
	if q.attempts-q.uncounted >= q.route.Attempts() {
		return false
	}
	if q.possibleRuns > 0 && !q.route.Repeatable() {
		return false
	}
	if res.mayHaveRun() && !q.reserveRetry(inFlight) {
		return false
	}
	return q.handler.opts.Retries.ForService(q.service).Spend(time.Now())
}

// chooseTarget selects a target. A request that was selected for a new version goes to the other
// versions if no target of the new one can take it.
func (q *request) chooseTarget(excluded map[string]bool) *target.Target {
	targets := q.handler.opts.Targets
	req := q.requirements(excluded)
	req.Versions = q.handler.opts.Rollouts.Rule(q.rolloutRequest(len(excluded) == 0))
	t := targets.Choose(req)
	if t == nil && req.Versions.Only != "" {
		t = targets.Choose(q.requirements(excluded))
	}
	return t
}

// requirements returns what the request requires of a target in a retry.
func (q *request) requirements(excluded map[string]bool) target.Requirements {
	want := target.Requirements{
		Service: q.service, Affinity: sharedPrefix(q.promptParts), PromptTokens: float64(q.usage.in),
		SharedTokens: sharedTokens(q.promptParts), LatencyObjective: routing.Milliseconds(q.route.TargetLatencyMs), Exclude: q.withoutSlowReaders(excluded),
		Priority: q.priority(),
		Regions:  q.regions(), Versions: q.handler.opts.Rollouts.Rule(q.rolloutRequest(false)),
	}
	if q.origin != nil {
		want.Resumes, want.Version = true, q.origin.Version
	}
	return want
}

// priority returns the request's priority in the choice of a target: one that may have run precedes
// all new ones, and all organisations are equal.
func (q *request) priority() int {
	if q.possibleRuns > 0 {
		return 0
	}
	return q.route.Priority
}
