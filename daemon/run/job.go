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

// errMoved is the cancellation cause of a job whose run is handed over.
var errMoved = errors.New("handed over to another host")

// job executes one run in its own goroutine. Counts are tokens.
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
	used       uint64 // by targets so far; the worst case where unknown
	dispatched bool   // a target may have run it
	first      time.Time
	target     string // last target attempted
}

// do runs the request, settles its reservation and finishes the run.
func (j *job) do() {
	ctx, cancel := context.WithDeadlineCause(context.Background(), j.start.Add(j.decision.Within),
		errkind.New(errkind.Deadline, "not done within %v", j.decision.Within))
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if !j.decision.Single && j.pool.Kind == declare.Engine {
		j.run.mu.Lock()
		j.run.stopForMove = func() { stop(errMoved) }
		j.run.mu.Unlock()
	}
	billed, err := j.serve(ctx)
	if j.res != nil {
		j.res.Close(j.used)
	}
	j.finish(ctx, billed, err)
}

// serve obtains the response; billed is what the caller pays.
func (j *job) serve(ctx context.Context) (billed uint64, err error) {
	if err := j.prepare(ctx); err != nil {
		return 0, err
	}
	if j.pool.Kind == declare.Engine {
		return j.generate(ctx)
	}
	return j.invoke(ctx)
}

// prepare checks target capacity, reserves the worst case and, if the request must not be
// repeated, acquires the claim.
func (j *job) prepare(ctx context.Context) error {
	e := j.engine
	if err := e.targets.Admit(j.want(nil), time.Until(j.deadline())); err != nil {
		return err
	}
	var err error
	j.res, err = j.self.Ledger.Reserve(ctx, j.budget, j.worstCase())
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

// worstCase returns the most that one more attempt at a target can use.
func (j *job) worstCase() uint64 {
	if j.pool.Kind == declare.Service {
		return uint64(j.decision.Tokens)
	}
	left := uint64(max(j.decision.Tokens-int(j.run.next()), 0))
	return j.promptTokens() + left + j.margin()
}

// margin returns the reserve for a target that exceeds its maximum.
func (j *job) margin() uint64 {
	if j.decision.Spare >= 0 {
		return uint64(j.decision.Spare)
	}
	return uint64(j.engine.budgets.Overrun)
}

// bytesPerToken is the ratio by which the targets count the tokens of a prompt.
const bytesPerToken = 4

func (j *job) promptTokens() uint64 { return PromptTokens(j.run.req.Input) }

// PromptTokens returns the most that a target counts for this input as a prompt.
func PromptTokens(input []byte) uint64 {
	return uint64(len(input)+bytesPerToken-1) / bytesPerToken
}

// extendReservation grows the reservation to cover another attempt.
func (j *job) extendReservation(ctx context.Context) error {
	need := j.used + j.worstCase()
	if need <= j.res.Tokens() {
		return nil
	}
	return j.res.Grow(ctx, need-j.res.Tokens())
}

// finish ends the run, either with its bill secured or with an error that is accurate
// about whether the request was run.
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
		j.run.redirect(taken.Incarnation)
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

// truthful replaces an error that means "not run" by Unknown or TargetFailed if a
// target may have run the request.
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

// logEntry returns a log entry with the fields of this request. Neither input nor response is logged.
func (j *job) logEntry() *log.Entry {
	return log.WithFields(log.Fields{
		"request": j.run.req.RequestId, "organisation": j.org, "class": j.class,
		"incarnation": j.run.inc, "attempt": j.run.req.Attempt, "from": j.run.base,
	})
}

// repeated reports whether an earlier attempt may have run the request.
func (j *job) repeated() bool { return j.run.req.Attempt > 1 || j.run.base > 0 }

// level returns the log level of ordinary progress. Lines of repeated requests are few and show
// where a second run came from, so they are logged at a higher level.
func (j *job) level() log.Level {
	if j.repeated() {
		return log.InfoLevel
	}
	return log.DebugLevel
}

func (j *job) logBegin() { j.logEntry().Log(j.level(), "request begun") }

// report logs the end of the request and adds it to the metrics.
func (j *job) report(billed uint64, err error) {
	took := time.Since(j.start)
	kind := "ok"
	entry := j.logEntry().WithFields(log.Fields{
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
