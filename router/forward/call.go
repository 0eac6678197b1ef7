package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
	"maststage.dev/router/target"
)

// Bounds of one try.
const (
	dialLimit  = 300 * time.Millisecond
	restUnsafe = time.Second // a connection for what may not be repeated rested at most so long
	restSafe   = time.Minute
)

// try sends the request to one target and handles its answer.
func (q *request) try(ctx context.Context, t *target.Target) (result, error) {
	started := time.Now()
	work := float64(q.usage.in)
	targets := q.handler.opts.Targets
	targets.BeginRequest(t, work)
	c := &call{request: q, target: t, started: started, work: work, ask: q.ask(len(q.excluded) == 0)}
	res, err := c.do(ctx)
	q.handler.opts.Rollouts.Ended(c.ask, t.Version, c.answer(res, targets.IsCold(t)))
	if c.wentSilent(res) {
		t.Pool.CloseIdle()
	}
	q.charge(c, res)
	c.lookForEnd(res)
	if res == delivered && c.whole {
		q.handler.opts.Quarantine.RecordCompletion(q.digest)
	}
	targets.EndRequest(t, c.work, c.judgement(res))
	if res == notSent && !q.handler.opts.Overload.Overloaded(time.Now()) {
		targets.RecordDialFailure(t)
	}
	q.handler.opts.Observer.AttemptEnded(Attempt{
		RequestID: q.id, Number: q.tries, Target: t.ID, Domain: t.Domain, Result: res.String(),
		Status: c.status, ResumedAfter: c.resumed, Duration: time.Since(started), Err: err,
	})
	if c.ready != nil {
		c.ready.pass(q)
	}
	return res, err
}

// call is one try at one target.
type call struct {
	request *request
	target  *target.Target
	conn    *httpconn.Conn // another request's, once it is done
	reused  bool           // it had carried answers before
	started time.Time
	work    float64 // counted at the target until it answers
	ask     rollout.Request
	begins  time.Duration // until the answer began, 0: it did not
	first   time.Time     // when the first event came
	last    time.Time     // when the newest event came
	held    time.Duration // since then, while the caller did not take it
	unread  time.Duration // held in all, until the newest event
	events  int           // that came
	sent    bool          // the target may have the request
	status  int
	resumed string
	silence *silence
	whole   bool   // a success whose end could not be mistaken
	ready   *whole // the answer, to be passed on
	begun   func() // ends the note that the try waits for its answer
}

// wentSilent says whether nothing came on a connection that had carried answers before. It
// may have gone silent for good, and those beside it too, while new ones work: without a
// reset nothing else tells, and each would cost another request its time.
func (c *call) wentSilent(res result) bool {
	return c.reused && c.status == 0 && (res == silent || res == outOfTime)
}

// unreadCut is how long a stream may wait for its caller before a target that ends it is
// not to blame: targets cut answers that nobody reads.
const unreadCut = time.Second

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
		if c.held >= unreadCut {
			return target.Abandoned
		}
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
	c.target.RecordActivity(time.Now())
	c.begins = time.Since(c.started)
	c.request.handler.opts.Targets.RecordFirstByte(c.target, c.work, c.begins)
	c.work = 0
}

// do sends the request and handles the answer.
func (c *call) do(ctx context.Context) (result, error) {
	q := c.request
	conn, err := c.connect(ctx)
	if err != nil {
		return c.ended(ctx, notSent, err)
	}
	c.conn, c.reused = conn, conn.Reused()
	q.end.Target = c.target.ID
	left, limited := q.left()
	if !limited {
		left = defaultDeadline
	}
	c.resumed = q.lastEventID()
	head := q.handler.tryHead(q, c.target.ID, left)
	if f := conn.Send(ctx, httpconn.Request{Method: q.r.Method, Head: head, Body: q.body}); f != nil {
		conn.Finish(false)
		if !f.MaybeSent {
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

func (c *call) connect(ctx context.Context) (*httpconn.Conn, error) {
	rest := restSafe
	if !c.request.route.Repeatable() {
		rest = restUnsafe
	}
	dial, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	began := time.Now()
	conn, err := c.target.Pool.Get(dial, rest)
	if now := time.Now(); c.dialled(ctx, conn, err) {
		c.request.handler.opts.Overload.RecordDial(c.target.ID, now.Sub(began), now)
	}
	return conn, err
}

// dialled says whether the time of a connection tells how long dials take: not if none was
// made, nor if the request ended meanwhile.
func (c *call) dialled(ctx context.Context, conn *httpconn.Conn, err error) bool {
	switch {
	case err == nil:
		return !conn.Reused()
	case errors.Is(err, httpconn.ErrConnLimit), errors.Is(err, httpconn.ErrClosed):
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
			c.conn.Finish(false)
			return c.ended(ctx, c.silence.result(broken), f)
		}
		if id := resp.Header.Get(q.handler.names.RequestID); id != "" && id != q.id {
			// An answer to another request came in its place; ours may follow.
			c.conn.DisableReuse()
			if _, ok, err := httpconn.ReadLimited(resp.Body, maxWhole); !ok || err != nil {
				c.conn.Finish(false)
				return c.ended(ctx, broken, errors.New("an answer to another request"))
			}
			continue
		}
		return c.handle(ctx, resp)
	}
	c.conn.Finish(false)
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
		c.conn.Finish(false)
		return broken, fmt.Errorf("target: %s without its signature", resp.Status)
	}
	if q.route.Kind == routing.Streaming && resp.StatusCode < http.StatusMultipleChoices {
		return c.passStream(ctx, resp)
	}
	if q.stream != nil && q.stream.begun {
		c.conn.Finish(false)
		return broken, fmt.Errorf("target: %s in place of the rest of a stream", resp.Status)
	}
	return c.passWhole(ctx, resp)
}

// finish reads the rest of an answer that is not passed on, so that the
// connection may be used again.
func (c *call) finish(resp *http.Response) {
	_, ok, err := httpconn.ReadLimited(resp.Body, maxRest)
	c.conn.Finish(ok && err == nil)
}

// maxRest bounds what is read of an answer that nobody needs, in bytes.
const maxRest = 4096
