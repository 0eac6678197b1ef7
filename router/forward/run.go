package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"maststage.dev/router/exchange"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
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
	maxUnsent  = 4 // targets that can't be reached
	dialLimit  = 300 * time.Millisecond
	leastTime  = 20 * time.Millisecond // left for another try
	restUnsafe = time.Second           // a connection for what may not be repeated rested at most so long
	restSafe   = time.Minute
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
		if q.handler.opts.Quarantine.Held(q.digest) {
			return q.giveUp(Quarantined, last)
		}
		if q.regions().None() {
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
	if !q.route.Repeatable() || !q.handler.opts.Targets.HasChoice(q.want(others)) {
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
	return q.handler.opts.Retries.Of(q.service).Spend(time.Now())
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
func (q *request) want(excluded map[string]bool) target.Want {
	return target.Want{
		Service: q.service, Affinity: sharedParts(q.shared), Work: float64(q.usage.in), Exclude: excluded,
		Rank:    q.config.Rank(q.organisation, q.route),
		Regions: q.regions(), Versions: q.handler.opts.Rollouts.Rule(q.ask(false)),
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

// try sends the request to one target and handles its answer.
func (q *request) try(ctx context.Context, t *target.Target) (result, error) {
	started := time.Now()
	work := float64(q.usage.in)
	targets := q.handler.opts.Targets
	targets.Begin(t, work)
	c := &call{request: q, target: t, started: started, work: work, ask: q.ask(len(q.excluded) == 0)}
	res, err := c.do(ctx)
	q.handler.opts.Rollouts.Ended(c.ask, t.Version, c.answer(res, targets.Cold(t)))
	if c.wentSilent(res) {
		t.Pool.CloseIdle()
	}
	q.charge(c, res)
	c.lookForEnd(res)
	if res == delivered && c.whole {
		q.handler.opts.Quarantine.Whole(q.digest)
	}
	targets.End(t, c.work, c.judgement(res))
	if res == notSent && !q.handler.opts.Overload.Overloaded(time.Now()) {
		targets.DialFailed(t)
	}
	q.handler.opts.Observer.Tried(Try{
		RequestID: q.id, Number: q.tries, Target: t.ID, Domain: t.Domain, Result: res.String(),
		Status: c.status, Resumed: c.resumed, Took: time.Since(started), Err: err,
	})
	return res, err
}

// call is one try at one target.
type call struct {
	request *request
	target  *target.Target
	conn    *exchange.Conn
	started time.Time
	work    float64 // counted at the target until it answers
	ask     rollout.Ask
	begins  time.Duration // until the answer began, 0: it did not
	first   time.Time     // when the first event came
	last    time.Time     // when the newest event came
	events  int           // that came
	sent    bool          // the target may have the request
	status  int
	resumed string
	silence *silence
	whole   bool   // a success whose end could not be mistaken
	begun   func() // ends the note that the try waits for its answer
}

// wentSilent says whether nothing came on a connection that had carried answers before. It
// may have gone silent for good, and those beside it too, while new ones work: without a
// reset nothing else tells, and each would cost another request its time.
func (c *call) wentSilent(res result) bool {
	return c.conn != nil && c.conn.Reused() && c.status == 0 && (res == silent || res == outOfTime)
}

// judgement is what the try says of the target.
func (c *call) judgement(res result) target.Result {
	switch res {
	case delivered:
		return target.Succeeded
	case refused:
		return target.Refused
	case errored:
		return target.Errored
	case broken, silent, cutOff:
		return target.Broken
	case outOfTime:
		if c.status == 0 {
			return target.Broken
		}
	}
	return target.Abandoned
}

// answered notes that the target began to answer.
func (c *call) answered() {
	c.target.Heard(time.Now())
	c.begins = time.Since(c.started)
	c.request.handler.opts.Targets.Answered(c.target, c.work, c.begins)
	c.work = 0
}

// do sends the request and handles the answer.
func (c *call) do(ctx context.Context) (result, error) {
	q := c.request
	conn, err := c.connect(ctx)
	if err != nil {
		return c.ended(ctx, notSent, err)
	}
	c.conn = conn
	q.end.Target = c.target.ID
	left, limited := q.left()
	if !limited {
		left = defaultDeadline
	}
	c.resumed = q.lastEventID()
	head := q.handler.tryHead(q, c.target.ID, left)
	if f := conn.Send(ctx, exchange.Request{Method: q.r.Method, Head: head, Body: q.body}); f != nil {
		conn.Done(false)
		if !f.Sent {
			return c.ended(ctx, notSent, f)
		}
		c.noteSent()
		return c.ended(ctx, broken, f)
	}
	c.noteSent()
	c.begun = q.handler.waits.add(q.digest, conn)
	defer c.begun()
	return c.receive(ctx)
}

// noteSent counts a try that the target may run.
func (c *call) noteSent() {
	c.sent = true
	c.request.tries++
	c.request.ran++
	c.request.handler.opts.Rollouts.Sent(c.ask, c.target.Version)
}

// defaultDeadline is handed on when neither caller nor route has one.
const defaultDeadline = time.Minute

func (c *call) connect(ctx context.Context) (*exchange.Conn, error) {
	rest := restSafe
	if !c.request.route.Repeatable() {
		rest = restUnsafe
	}
	dial, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	began := time.Now()
	conn, err := c.target.Pool.Get(dial, rest)
	if now := time.Now(); c.dialled(ctx, conn, err) {
		c.request.handler.opts.Overload.Dialled(c.target.ID, now.Sub(began), now)
	}
	return conn, err
}

// dialled says whether the time of a connection tells how long dials take: not if none was
// made, nor if the request ended meanwhile.
func (c *call) dialled(ctx context.Context, conn *exchange.Conn, err error) bool {
	switch {
	case err == nil:
		return !conn.Reused()
	case errors.Is(err, exchange.ErrLimit), errors.Is(err, exchange.ErrClosed):
		return false
	}
	return ctx.Err() == nil
}

// ended corrects a result by what ended the try from this side.
func (c *call) ended(ctx context.Context, res result, err error) (result, error) {
	switch {
	case c.request.ctx.Err() != nil:
		return callerGone, err
	case ctx.Err() != nil:
		return outOfTime, err
	}
	return res, err
}

// maxCrossed bounds the answers of other requests that are skipped.
const maxCrossed = 2

// receive reads the head of the answer that belongs to the request.
func (c *call) receive(ctx context.Context) (result, error) {
	q := c.request
	c.silence = q.watchSilence(c.conn, c.target.ID)
	defer c.silence.stop()
	for range maxCrossed {
		resp, f := c.conn.Receive()
		if f != nil {
			c.conn.Done(false)
			return c.ended(ctx, c.silence.result(broken), f)
		}
		if id := resp.Header.Get(q.handler.names.RequestID); id != "" && id != q.id {
			// An answer to another request came in its place; ours may follow.
			c.conn.Spoil()
			if _, ok, err := exchange.ReadWhole(resp.Body, maxWhole); !ok || err != nil {
				c.conn.Done(false)
				return c.ended(ctx, broken, errors.New("an answer to another request"))
			}
			continue
		}
		return c.handle(ctx, resp)
	}
	c.conn.Done(false)
	return c.ended(ctx, broken, errors.New("only answers to other requests"))
}

// handle judges the head of the answer and passes the answer on.
func (c *call) handle(ctx context.Context, resp *http.Response) (result, error) {
	q := c.request
	names := q.handler.names
	c.status = resp.StatusCode
	c.begun()
	c.noteLimit(resp)
	if resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		q.ran--
		c.finish(resp)
		return refused, fmt.Errorf("target: %s, not run", resp.Status)
	}
	c.answered()
	c.whole = provesARun(resp)
	if resp.Header.Get(names.Stamp) == "" {
		c.conn.Done(false)
		return broken, fmt.Errorf("target: %s without its signature", resp.Status)
	}
	if q.route.Kind == routing.Streaming && resp.StatusCode < http.StatusMultipleChoices {
		return c.passStream(ctx, resp)
	}
	if q.stream != nil && q.stream.begun {
		c.conn.Done(false)
		return broken, fmt.Errorf("target: %s in place of the rest of a stream", resp.Status)
	}
	return c.passWhole(ctx, resp)
}

// finish reads the rest of an answer that is not passed on, so that the
// connection may be used again.
func (c *call) finish(resp *http.Response) {
	_, ok, err := exchange.ReadWhole(resp.Body, maxRest)
	c.conn.Done(ok && err == nil)
}

// maxRest bounds what is read of an answer that nobody needs, in bytes.
const maxRest = 4096
