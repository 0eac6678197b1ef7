package run

import (
	"context"
	"time"

	"connectrpc.com/connect"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/daemon/target"
	"maststage.dev/lib/errkind"
)

// invoke calls a service that does not stream; the whole response is one chunk.
func (j *job) invoke(ctx context.Context) (billed uint64, err error) {
	err = j.attemptTargets(ctx, func(ctx context.Context, t *target.Target) attempt {
		res, tokens := j.invokeAt(ctx, t)
		billed = tokens
		return res
	})
	return billed, err
}

// invokeAt calls one target; tokens is the use of a complete response.
func (j *job) invokeAt(ctx context.Context, t *target.Target) (res attempt, tokens uint64) {
	if !j.decision.Single {
		// A call that may be repeated leaves time before its deadline for
		// another target if this one is silent.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(j.engine.watch.SilentAfter, time.Until(j.deadline())/3))
		defer cancel()
	}
	before := j.dispatched
	j.dispatched = true
	out, err := t.Client.Invoke(ctx, connect.NewRequest(&platformv1.InvokeRequest{
		RequestId: j.run.id, Fence: j.engine.store.Epoch(), Input: j.run.req.Input, Account: j.budget,
	}))
	if err == nil && out.Msg.RequestId != j.run.id {
		err = errkind.New(errkind.TargetFailed, "the answer belongs to another request")
	}
	if err != nil {
		res = classify(err)
		if res.verdict == notStarted {
			j.dispatched = before
		} else {
			j.used += uint64(j.decision.Tokens)
		}
		return res, 0
	}
	tokens = uint64(out.Msg.Tokens)
	j.used += tokens
	j.run.add(out.Msg.Output)
	return attempt{verdict: completed}, tokens
}
