package run

import (
	"context"
	"errors"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/claim"
	"maststage.dev/daemon/ledger"
	"maststage.dev/daemon/target"
	"maststage.dev/lib/declare"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/policy"
)

// errMoved is the cause of a job's end when its run is handed over.
var errMoved = errors.New("handed over to another host")

// job carries one run out, on a goroutine of its own. Counts are tokens.
type job struct {
	engine   *Engine
	run      *run
	self     *Identity
	decision policy.Decision
	pool     *declare.Pool
	org      string
	class    string
	budget   string
	start    time.Time

	res        *ledger.Reservation
	grant      *claim.Grant
	used       uint64 // at targets so far, the worst case where it isn't known
	dispatched bool   // a target may have run it
	first      time.Time
	target     string // the last one tried
}

// do runs the request and settles all that hangs on it.
func (j *job) do() {
	ctx, cancel := context.WithDeadlineCause(context.Background(), j.start.Add(j.decision.Within),
		errkind.New(errkind.Deadline, "not done within %v", j.decision.Within))
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if !j.decision.Single && j.pool.Kind == declare.Engine {
		j.run.mu.Lock()
		j.run.movable = func() { stop(errMoved) }
		j.run.mu.Unlock()
	}
	billed, err := j.serve(ctx)
	if j.res != nil {
		j.res.Close(j.used)
	}
	j.finish(ctx, billed, err)
}

// serve gets the answer; billed is what the caller pays.
func (j *job) serve(ctx context.Context) (billed uint64, err error) {
	if err := j.prepare(ctx); err != nil {
		return 0, err
	}
	if j.pool.Kind == declare.Engine {
		return j.generate(ctx)
	}
	return j.invoke(ctx)
}

// prepare checks for room, reserves the worst case and gets the claim.
func (j *job) prepare(ctx context.Context) error {
	e := j.engine
	if err := e.targets.Admit(j.want(nil), time.Until(j.deadline())); err != nil {
		return err
	}
	var err error
	j.res, err = j.self.Ledger.Reserve(ctx, j.budget, j.worst())
	if err != nil {
		return err
	}
	e.targets.EarnRetry()
	if !j.decision.Single {
		return nil
	}
	j.grant, err = j.self.Claims.Claim(ctx, j.run.id, min(e.cfg.ClaimWait, time.Until(j.deadline())))
	if err != nil {
		return err
	}
	return j.grant.Secure(ctx, e.cfg.LogWait)
}

func (j *job) deadline() time.Time { return j.start.Add(j.decision.Within) }

func (j *job) want(tried map[string]bool) target.Want {
	return target.Want{
		Pool: j.decision.Pool, Priority: j.decision.Rank,
		Prefix: prefixHash(j.run.req.Input), Exclude: tried,
	}
}

// worst is the most that one more try at a target can use.
func (j *job) worst() uint64 {
	if j.pool.Kind == declare.Service {
		return uint64(j.decision.Tokens)
	}
	left := uint64(max(j.decision.Tokens-int(j.run.next()), 0))
	return j.promptTokens() + left + j.margin()
}

// margin is what is reserved for a target that overruns its maximum.
func (j *job) margin() uint64 {
	if j.decision.Spare >= 0 {
		return uint64(j.decision.Spare)
	}
	return uint64(j.engine.budgets.Overrun)
}

// bytesPerToken is how the targets count a prompt.
const bytesPerToken = 4

func (j *job) promptTokens() uint64 { return PromptTokens(j.run.req.Input) }

// PromptTokens is what a prompt of this input counts at a target, at most.
func PromptTokens(input []byte) uint64 {
	return uint64(len(input)+bytesPerToken-1) / bytesPerToken
}

// cover makes sure that the reservation covers another try.
func (j *job) cover(ctx context.Context) error {
	need := j.used + j.worst()
	if need <= j.res.Tokens() {
		return nil
	}
	return j.res.Grow(ctx, need-j.res.Tokens())
}

// finish ends the run: with its bill kept, or with an error that says truly
// whether it was run.
func (j *job) finish(ctx context.Context, billed uint64, err error) {
	var taken *claim.Taken
	if err == nil {
		err = j.keepBill(billed)
	}
	switch {
	case err == nil:
		j.run.end(billed)
	case errors.Is(context.Cause(ctx), errMoved):
		j.run.move()
	case errors.As(err, &taken):
		j.run.hand(taken.Incarnation)
	default:
		err = j.truthful(err)
		j.run.fail(errkind.From(err))
	}
	j.report(billed, err)
	if j.grant != nil && !j.dispatched {
		j.grant.Release()
	}
	j.engine.finished(j.run, j.dispatched)
}

// truthful turns an error that says "not run" into Unknown or TargetFailed once
// a target may have run the request.
func (j *job) truthful(err error) error {
	e := errkind.From(err)
	if !j.dispatched {
		if e.Kind == errkind.Deadline || errors.Is(err, context.DeadlineExceeded) {
			return errkind.New(errkind.Overloaded, "not started in time: %w", err)
		}
		return e
	}
	if errkind.Lookup(e.Kind).Ran != errkind.RanNo {
		return e
	}
	if j.decision.Single {
		return errkind.New(errkind.Unknown, "%w", err)
	}
	return errkind.New(errkind.TargetFailed, "%w", err)
}

func (j *job) keepBill(tokens uint64) error {
	b := &peerv1.Bill{Id: j.run.id, Budget: j.budget, Tokens: tokens, Claimant: j.self.Incarnation}
	return j.self.Bills.Keep(context.Background(), b, j.engine.cfg.BillWait)
}

// line has the fields of a log line of this request. Neither input nor answer is logged.
func (j *job) line() *log.Entry {
	return log.WithFields(log.Fields{
		"request": j.run.req.RequestId, "organisation": j.org, "class": j.class,
		"incarnation": j.run.inc, "attempt": j.run.req.Attempt, "from": j.run.base,
	})
}

// repeated says whether an earlier attempt may have run the request.
func (j *job) repeated() bool { return j.run.req.Attempt > 1 || j.run.base > 0 }

// level of the lines of ordinary progress: those of repeated requests show where a second run
// came from, and are few.
func (j *job) level() log.Level {
	if j.repeated() {
		return log.InfoLevel
	}
	return log.DebugLevel
}

func (j *job) logBegin() { j.line().Log(j.level(), "request begun") }

// report counts and logs the end of the request.
func (j *job) report(billed uint64, err error) {
	took := time.Since(j.start)
	kind := "ok"
	entry := j.line().WithFields(log.Fields{
		"target": j.target, "took": took.Round(time.Millisecond), "chunks": j.run.next(), "billed": billed, "used": j.used,
	})
	if err != nil {
		kind = string(errkind.From(err).Kind)
		entry.WithField("kind", kind).WithError(err).Info("request failed")
	} else {
		entry.Log(j.level(), "request done")
	}
	j.engine.metrics.Request(j.org, j.class, kind, took)
}
