package forward

import (
	"context"
	"errors"
	"maps"
	"time"

	"maststage.dev/router/target"
)

// result is how one try at a target went.
type result int

const (
	delivered  result = iota // the caller has the answer
	notSent                  // the target can't have got the request
	refused                  // the target said that it did not run it
	errored                  // the target's own failure, kept in request.failed
	broken                   // it may have run; no usable answer
	silent                   // it may have run; no answer in the time for one try
	callerGone               // the caller left
	outOfTime                // the request's time is over
	cutOff                   // the answer broke off after its beginning was passed on
)

var resultNames = [...]string{
	delivered: "delivered", notSent: "not sent", refused: "refused", errored: "errored",
	broken: "broken", silent: "silent", callerGone: "caller gone", outOfTime: "out of time", cutOff: "cut off",
}

func (r result) String() string { return resultNames[r] }

// mayHaveRun says whether the target may have run the request.
func (r result) mayHaveRun() bool { return r != notSent && r != refused }

// Bounds of the tries of one request.
const (
	maxUnsent = 4                     // targets that can't be reached
	leastTime = 20 * time.Millisecond // left for another try
)

// run tries targets until one answers or nothing more may be tried.
func (q *request) run() (Kind, error) {
	ctx, cancel := q.ctx, context.CancelFunc(func() {})
	if !q.limit.IsZero() {
		ctx, cancel = context.WithDeadline(q.ctx, q.limit)
	}
	defer cancel()
	unsent := 0
	var last error
	for {
		if q.handler.opts.Quarantine.IsQuarantined(q.digest) {
			return q.giveUp(Quarantined, last)
		}
		if q.regions().Empty() {
			return q.giveUp(NoRegion, last)
		}
		t := q.choose(q.excluded)
		if t == nil && q.awaitPlace(ctx) {
			continue
		}
		if t == nil && q.ctx.Err() != nil {
			return CallerGone, last
		}
		if t == nil {
			return q.giveUp(q.noTarget(), errors.Join(last, errors.New("no target is left")))
		}
		res, err := q.try(ctx, t)
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
		case res == notSent:
			unsent++
		}
		q.excluded[t.ID] = true
		if unsent >= maxUnsent || !q.mayTryAgain(res, false) {
			return q.giveUp(TargetFailed, err)
		}
	}
}

// giveUp picks the truthful kind of the last answer: a request that can't have
// run is told so.
func (q *request) giveUp(kind Kind, err error) (Kind, error) {
	switch {
	case q.stream != nil && q.stream.begun:
		return CutOff, err
	case q.ran > 0 && q.failed != nil && kind != Timeout:
		q.failed.pass(q)
		return OK, err
	case q.ran > 0 && kind == Timeout:
		return Timeout, err
	case q.ran > 0:
		return TargetFailed, err
	case kind == Timeout:
		return TimeoutUnrun, err
	case kind == Quarantined, kind == NoRegion, kind == TargetsFull:
		return kind, err
	case q.tries > 0:
		return Overloaded, err
	}
	return NoTarget, err
}

// claimTry asks for another try while the target before is still at work on a
// request that may be repeated. It is called by the watch for silence.
func (q *request) claimTry(target string) bool {
	if q.claimed {
		return true
	}
	others := maps.Clone(q.excluded)
	others[target] = true
	if !q.route.Repeatable() || !q.handler.opts.Targets.HasCandidate(q.want(others)) {
		return false
	}
	q.claimed = q.mayTryAgain(silent, true)
	return q.claimed
}

// mayTryAgain says whether the request may go to another target after a try; underway
// says that the try has not ended yet.
func (q *request) mayTryAgain(res result, underway bool) bool {
	if q.claimed {
		q.claimed = false
		return true
	}
	if left, ok := q.left(); ok && left < leastTime {
		return false
	}
	if res == notSent {
		return true
	}
	if res == broken && q.blamed() {
		return false
	}
	if q.tries-q.spared >= q.route.Attempts() {
		return false
	}
	if q.ran > 0 && !q.route.Repeatable() {
		return false
	}
	if res.mayHaveRun() && !q.reserveAnother(underway) {
		return false
	}
	return q.handler.opts.Retries.ForService(q.service).Spend(time.Now())
}

// choose picks a target. Where the request was to try a new version and none of its targets takes
// it, it goes to the others.
func (q *request) choose(excluded map[string]bool) *target.Target {
	targets := q.handler.opts.Targets
	w := q.want(excluded)
	w.Versions = q.handler.opts.Rollouts.Rule(q.ask(len(excluded) == 0))
	t := targets.Choose(w)
	if t == nil && w.Versions.Only != "" {
		t = targets.Choose(q.want(excluded))
	}
	return t
}

// want is what the request asks of a target as a repeat.
func (q *request) want(excluded map[string]bool) target.Requirements {
	return target.Requirements{
		Service: q.service, Affinity: sharedParts(q.shared), PromptTokens: float64(q.usage.in), Exclude: excluded,
		Priority: q.rank(),
		Regions:  q.regions(), Versions: q.handler.opts.Rollouts.Rule(q.ask(false)),
	}
}

// rank is the urgency of the request: one that may have run goes before all that are new, and all
// organisations are alike.
func (q *request) rank() int {
	if q.ran > 0 {
		return 0
	}
	return q.route.Priority
}
