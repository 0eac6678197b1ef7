package run

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	log "github.com/sirupsen/logrus"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/daemon/target"
	"maststage.dev/lib/errkind"
)

// cancelTimeout bounds the wait for a target to say what a request used.
const cancelTimeout = 300 * time.Millisecond

// verdict is how a try at a target ended.
type verdict int

const (
	whole  verdict = iota // the answer is complete
	notRun                // the target surely did not begin
	broken                // it began, or may have
)

// try is one order to one target.
type try struct {
	verdict verdict
	left    bool // the target says it is leaving
	err     error
	gap     time.Duration
}

// tryTargets sends the order to one target after another until one answers.
func (j *job) tryTargets(ctx context.Context, order func(context.Context, *target.Target) try) error {
	tried := map[string]bool{}
	for n := 0; ; n++ {
		if err := j.cover(ctx); err != nil {
			return err
		}
		queued := time.Now()
		t, err := j.acquire(ctx, tried)
		if err != nil {
			return j.cause(ctx, err)
		}
		j.engine.metrics.Queued(j.org, j.class, time.Since(queued))
		begun := time.Now()
		j.target = t.Name
		res := order(ctx, t)
		j.engine.targets.Release(t, target.Result{
			Priority: j.decision.Rank,
			Failed:   res.verdict == broken && ctx.Err() == nil, Left: res.left,
			Held: time.Since(begun), Gap: res.gap,
		})
		if res.verdict == whole {
			return nil
		}
		j.line().WithFields(log.Fields{"target": t.Name, "chunks": j.run.next(), "begun": res.verdict == broken}).
			WithError(res.err).Info("target given up")
		tried[t.Name] = true
		if err := j.again(ctx, n, res); err != nil {
			return err
		}
	}
}

// acquire gets a slot at a target that was not tried, or at any if all were.
func (j *job) acquire(ctx context.Context, tried map[string]bool) (*target.Target, error) {
	t, err := j.engine.targets.Acquire(ctx, j.want(tried))
	if err != nil && len(tried) > 0 && errkind.From(err).Kind == errkind.Unavailable {
		clear(tried)
		return j.engine.targets.Acquire(ctx, j.want(tried))
	}
	return t, err
}

// again says why no other target is tried, nil if one is.
func (j *job) again(ctx context.Context, n int, res try) error {
	if ctx.Err() != nil {
		return j.cause(ctx, res.err)
	}
	if res.verdict == broken && j.decision.Single {
		return errkind.New(errkind.Unknown, "the target's answer was lost: %w", res.err)
	}
	if n >= j.engine.watch.Retries || !j.engine.targets.SpendRetry() {
		if j.dispatched {
			return errkind.New(errkind.TargetFailed, "no more tries: %w", res.err)
		}
		// Overloaded rather than Unavailable: another host would find the same.
		return errkind.New(errkind.Overloaded, "no target takes it: %w", res.err)
	}
	return nil
}

// cause prefers the reason for which ctx ended to err.
func (j *job) cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// cancelAt stops a run at a target and says what it used, or worst if the target
// can't say.
func (j *job) cancelAt(t *target.Target, worst uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	res, err := t.Client.Cancel(ctx, connect.NewRequest(&platformv1.CancelRequest{RequestId: j.run.id}))
	if err != nil || !res.Msg.Known {
		return worst
	}
	return uint64(res.Msg.Tokens)
}

// classify says from a target's error whether it began with the order. Only a
// refused connection and the target's own word count as "did not".
func classify(err error) try {
	t := try{verdict: broken, err: err}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		t.verdict = notRun
		return t
	}
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) {
		return t
	}
	switch ce.Code() {
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition, connect.CodePermissionDenied:
		t.verdict = notRun
	case connect.CodeUnavailable:
		// A target that leaves says so before it begins.
		t.verdict = notRun
		t.left = true
	}
	return t
}
