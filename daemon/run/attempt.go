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

// cancelTimeout bounds the wait for a target to report what a request used.
const cancelTimeout = 300 * time.Millisecond

// verdict is the result of an attempt at a target.
type verdict int

const (
	completed  verdict = iota // the response is complete
	notStarted                // the target certainly did not start it
	broken                    // the target started it, or may have
)

// attempt is the outcome of one attempt at one target.
type attempt struct {
	verdict verdict
	leaving bool // the target reports that it is leaving
	err     error
	gap     time.Duration
}

// attemptTargets sends the order to one target after another until a response is complete.
func (j *job) attemptTargets(ctx context.Context, order func(context.Context, *target.Target) attempt) error {
	tried := map[string]bool{}
	for n := 0; ; n++ {
		if err := j.extendReservation(ctx); err != nil {
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
			Failed:   res.verdict == broken && ctx.Err() == nil, Left: res.leaving,
			Held: time.Since(begun), Gap: res.gap,
		})
		if res.verdict == completed {
			return nil
		}
		j.logEntry().WithFields(log.Fields{"target": t.Name, "chunks": j.run.next(), "begun": res.verdict == broken}).
			WithError(res.err).Info("target given up")
		tried[t.Name] = true
		if err := j.checkRetry(ctx, n, res); err != nil {
			return err
		}
	}
}

// acquire gets a slot at a target not yet attempted, or at any once all have been.
func (j *job) acquire(ctx context.Context, tried map[string]bool) (*target.Target, error) {
	t, err := j.engine.targets.Acquire(ctx, j.want(tried))
	if err != nil && len(tried) > 0 && errkind.From(err).Kind == errkind.Unavailable {
		clear(tried)
		return j.engine.targets.Acquire(ctx, j.want(tried))
	}
	return t, err
}

// checkRetry returns nil if another target is to be attempted, otherwise the reason why not.
func (j *job) checkRetry(ctx context.Context, n int, res attempt) error {
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
		// Overloaded rather than Unavailable: another host would fare no better.
		return errkind.New(errkind.Overloaded, "no target takes it: %w", res.err)
	}
	return nil
}

// cause returns the cause of ctx if it has ended, else err.
func (j *job) cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// cancelAt cancels a run at a target and returns what it used, or worst if the target
// does not know.
func (j *job) cancelAt(t *target.Target, worst uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	res, err := t.Client.Cancel(ctx, connect.NewRequest(&platformv1.CancelRequest{RequestId: j.run.id}))
	if err != nil || !res.Msg.Known {
		return worst
	}
	return uint64(res.Msg.Tokens)
}

// classify derives from a target's error whether the target started the order. Only a
// failed connection attempt and the target's own refusal count as not started.
func classify(err error) attempt {
	t := attempt{verdict: broken, err: err}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		t.verdict = notStarted
		return t
	}
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) {
		return t
	}
	switch ce.Code() {
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition, connect.CodePermissionDenied:
		t.verdict = notStarted
	case connect.CodeUnavailable:
		// A leaving target refuses before it starts the order.
		t.verdict = notStarted
		t.leaving = true
	}
	return t
}
