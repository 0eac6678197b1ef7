package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/reach"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
	"maststage.dev/router/target"
	"maststage.dev/router/tunnel"
	"maststage.dev/router/unsent"
)

const (
	dialTimeout   = 300 * time.Millisecond
	maxIdleUnsafe = time.Second // of a connection that is reused for a request that must not be retried
	maxIdleSafe   = time.Minute
)

// attemptTarget sends the request to one target and handles the response.
func (q *request) attemptTarget(ctx context.Context, t *target.Target) (result, error) {
	a := &attempt{request: q, target: t, started: time.Now(), work: float64(q.usage.in), startedCold: q.handler.opts.Targets.IsCold(t), rolloutRequest: q.rolloutRequest(len(q.excluded) == 0)}
	res, err := a.run(ctx)
	targets := q.handler.opts.Targets
	q.lacked = q.lacked || errors.Is(err, httpconn.ErrConnLimit)
	if res == notSent && !a.withheld && (!targets.OutOfReach(t) || errors.Is(err, tunnel.ErrNotReached)) && !q.handler.opts.Overload.Overloaded(time.Now()) {
		targets.RecordDialFailure(t)
	}
	q.handler.opts.Observer.AttemptEnded(Attempt{
		RequestID: q.id, Number: q.attempts, Target: t.ID, Domain: t.Domain, Version: t.Version, Via: a.via(), Result: res.String(),
		Status: a.status, ResumedAfter: a.resumedAfter, Duration: time.Since(a.started), Err: err,
	})
	if a.buffered != nil {
		a.buffered.send(q)
	}
	return res, err
}

// run makes the attempt and records its result. If it panics its connection is closed, and it counts as one whose caller is
// gone: that says nothing about the target.
func (a *attempt) run(ctx context.Context) (res result, err error) {
	targets := a.request.handler.opts.Targets
	targets.BeginRequest(a.target, a.work)
	res = callerGone
	defer func() { targets.EndRequest(a.target, a.work, a.targetResult(res)) }()
	defer func() { a.record(res) }()
	returned := false
	defer func() {
		if !returned && a.conn != nil {
			a.conn.Finish(false)
		}
	}()
	res, err = a.do(ctx)
	returned = true
	return res, err
}

// record records the result of the attempt, but for the target's load and health.
func (a *attempt) record(res result) {
	q, t, targets := a.request, a.target, a.request.handler.opts.Targets
	q.handler.opts.Rollouts.Ended(a.rolloutRequest, t.Version, a.rolloutOutcome(res, targets.IsCold(t)))
	if a.connectionSilent(res) {
		t.Pool.CloseIdle()
	}
	a.recordReach(res)
	q.charge(a, res)
	a.probeTargetExit(res)
	if res == delivered && a.confirmsRun {
		q.handler.opts.Quarantine.RecordCompletion(q.digest)
	}
	if res == delivered && a.survivedAtEnd {
		q.handler.opts.Quarantine.RecordSurvival(q.parts)
	}
}

// attempt is one attempt at one target.
type attempt struct {
	request         *request
	target          *target.Target
	conn            *httpconn.Conn    // may serve another request once it is released
	reused          bool              // conn had carried responses before
	tunnel          httpconn.Indirect // the connection if another host carries it
	path            *reach.Path       // this host's own way to the target if conn uses it
	waits           bool              // path counts the attempt as waiting
	started         time.Time
	work            float64 // prompt tokens counted as the target's load until it responds
	startedCold     bool    // the target was cold
	rolloutRequest  rollout.Request
	timeToFirstByte time.Duration // 0 if the response did not begin
	firstEvent      time.Time     // when the first event arrived
	lastEvent       time.Time     // when the newest event arrived
	callerDelay     time.Duration // time spent writing to the caller since lastEvent
	pastCallerDelay time.Duration // sum of callerDelay up to lastEvent
	events          int           // received
	forwarding      bool          // events were forwarded
	survived        bool          // see noteSurvival
	survivedAtEnd   bool          // the target was there after the complete response
	maybeSent       bool          // the target may have received the request
	withheld        bool          // not sent, though the target could be reached
	lackedRoom      bool          // this host had no memory for a long event
	unproved        bool          // the response ended, but nothing shows that it is complete
	endChecked      bool          // an unframed response came to its end, and it was checked whether the target is there
	status          int
	resumedAfter    string
	silence         *silenceTimer
	confirmsRun     bool              // the response, once complete, proves that the target ran the request and survived
	buffered        *bufferedResponse // the response to send to the caller
	stopWaiting     func()            // unregisters the attempt from Handler.waiting
	unsent          *unsent.Body      // nil if the body is not long
}

// connectionSilent reports whether nothing arrived on a connection that had carried responses
// before. The connection may be dead without a reset, and other idle ones to the target too, while
// new connections work. Nothing else reveals that, and each would time out another request.
func (a *attempt) connectionSilent(res result) bool {
	return a.reused && a.status == 0 && (res == silent || res == outOfTime)
}

// minCallerDelay is the delay by the caller from which a target is not blamed for breaking a
// stream off: targets abort responses that nobody reads.
const minCallerDelay = time.Second

// targetResult returns what the attempt shows about the target's health.
func (a *attempt) targetResult(res result) target.Result {
	switch res {
	case delivered:
		return target.Succeeded
	case refused:
		return target.Refused
	case errored:
		return target.Errored
	case broken, silent, cutOff:
		if a.callerDelay >= minCallerDelay || a.lackedRoom || a.unproved || a.saysNothing() {
			return target.Abandoned
		}
		return target.Broken
	case outOfTime:
		if a.status == 0 && !a.saysNothing() {
			return target.Broken
		}
	}
	return target.Abandoned
}

// recordFirstByte records that the target began to respond.
func (a *attempt) recordFirstByte() {
	a.target.RecordActivity(time.Now())
	a.timeToFirstByte = time.Since(a.started)
	a.request.handler.opts.Targets.RecordFirstByte(a.target, a.work, a.timeToFirstByte)
	a.work = 0
}

// do sends the request and handles the response.
func (a *attempt) do(ctx context.Context) (result, error) {
	q := a.request
	body, ok := q.beginBody(a.target.ID)
	if !ok {
		a.withheld = true
		return notSent, errors.New("target has too many unread requests")
	}
	a.unsent = body
	defer func() { body.End(time.Now()) }()
	conn, err := a.connect(ctx)
	if err != nil {
		return a.adjustResult(ctx, notSent, err)
	}
	a.conn, a.reused, a.tunnel = conn, conn.Reused(), conn.Indirect()
	if a.tunnel == nil {
		a.path = a.target.Path()
	}
	if !q.handler.opts.Targets.AdmitsNow(a.target) {
		conn.Release()
		a.withheld = true
		return notSent, errors.New("target asked for a pause or announced its exit")
	}
	q.outcome.Target, q.outcome.Version = a.target.ID, a.target.Version
	left, limited := q.timeLeft()
	if !limited {
		left = defaultDeadline
	}
	a.resumedAfter = q.lastEventID()
	head := q.handler.attemptHead(q, a.target.ID, left)
	body.Writing(conn)
	if f := conn.Send(ctx, httpconn.Request{Method: q.r.Method, Head: head, Body: q.body}); f != nil {
		conn.Finish(false)
		if !f.MaybeSent {
			return a.adjustResult(ctx, notSent, f)
		}
		a.countSent()
		return a.adjustResult(ctx, broken, f)
	}
	a.countSent()
	a.path.BeginWait(time.Now())
	a.waits = true
	a.stopWaiting = q.handler.waiting.add(q.digests(), conn)
	defer a.stopWaiting()
	return a.receive(ctx)
}

// countSent counts an attempt that the target may run.
func (a *attempt) countSent() {
	a.maybeSent = true
	a.request.attempts++
	a.request.possibleRuns++
	a.request.handler.opts.Rollouts.Sent(a.rolloutRequest, a.target.Version)
}

// defaultDeadline is sent to the target when neither caller nor route sets a deadline.
const defaultDeadline = time.Minute

func (a *attempt) connect(ctx context.Context) (*httpconn.Conn, error) {
	maxIdle := maxIdleSafe
	if !a.request.route.Repeatable() {
		maxIdle = maxIdleUnsafe
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout+tunnel.DialTimeout)
	defer cancel()
	start := time.Now()
	q := a.request
	retry := func() bool {
		return q.route.Repeatable() && q.handler.opts.Retries.ForService(q.service).Available(start)
	}
	conn, err := q.handler.opts.Targets.GetConn(dialCtx, a.target, maxIdle, retry)
	if now := time.Now(); a.measuresDial(ctx, conn, err) {
		took := now.Sub(start)
		if err == nil {
			took = conn.DialTime() // a tunnel passes this host's link, too
		}
		a.request.handler.opts.Overload.RecordDial(a.target.ID, took, now)
	}
	return conn, err
}

// measuresDial reports whether the time that connect took measures a dial: not if nothing was
// dialled, nor if the request ended meanwhile.
func (a *attempt) measuresDial(ctx context.Context, conn *httpconn.Conn, err error) bool {
	switch {
	case err == nil:
		return !conn.Reused()
	case errors.Is(err, httpconn.ErrConnLimit), errors.Is(err, httpconn.ErrClosed):
		return false
	}
	return ctx.Err() == nil
}

// adjustResult replaces a result if the caller left or the deadline passed, which ended the attempt.
func (a *attempt) adjustResult(ctx context.Context, res result, err error) (result, error) {
	switch {
	case a.request.ctx.Err() != nil:
		return callerGone, err
	case ctx.Err() != nil, errors.Is(err, errEndedAtDeadline):
		return outOfTime, err
	}
	return res, err
}

// maxMisdelivered bounds the responses to other requests that an attempt skips.
const maxMisdelivered = 2

// receive reads the head of the response that belongs to the request.
func (a *attempt) receive(ctx context.Context) (result, error) {
	q := a.request
	a.silence = q.startSilenceTimer(a)
	defer a.silence.stop()
	for range maxMisdelivered {
		resp, f := a.conn.Receive()
		if f != nil {
			a.conn.Finish(false)
			return a.adjustResult(ctx, a.silence.result(broken), f)
		}
		if id := resp.Header.Get(q.handler.names.RequestID); id != "" && id != q.id {
			// This responds to another request; the right response may follow.
			a.conn.DisableReuse()
			if _, ok, err := httpconn.ReadLimited(resp.Body, maxBuffered); !ok || err != nil {
				a.conn.Finish(false)
				return a.adjustResult(ctx, broken, errors.New("target sent a response to another request"))
			}
			continue
		}
		return a.handleResponse(ctx, resp)
	}
	a.conn.Finish(false)
	return a.adjustResult(ctx, broken, errors.New("target sent only responses to other requests"))
}

// handleResponse checks the head of the response and forwards the response.
func (a *attempt) handleResponse(ctx context.Context, resp *http.Response) (result, error) {
	q := a.request
	names := q.handler.names
	a.status = resp.StatusCode
	a.recordReceived()
	a.stopWaiting()
	a.unsent.Read()
	a.recordAdvisories(resp)
	if resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		q.possibleRuns--
		a.discardBody(resp)
		return refused, fmt.Errorf("target refused the request with %s", resp.Status)
	}
	a.recordFirstByte()
	a.confirmsRun = provesRun(resp)
	if resp.StatusCode == http.StatusSwitchingProtocols {
		a.conn.Finish(false)
		return broken, errors.New("target switched protocols, which it was not asked to")
	}
	if resp.Header.Get(names.Stamp) == "" {
		a.conn.Finish(false)
		return broken, fmt.Errorf("target response %s has no signature", resp.Status)
	}
	if q.headSent && resp.StatusCode != q.outcome.Status {
		a.conn.Finish(false)
		return broken, fmt.Errorf("target responded %s instead of resuming the stream", resp.Status)
	}
	if q.route.Kind == routing.Streaming && resp.StatusCode < http.StatusMultipleChoices {
		return a.forwardStream(ctx, resp)
	}
	return a.forwardBuffered(ctx, resp)
}

// discardBody reads the rest of a response that is not forwarded, so that the
// connection can be reused.
func (a *attempt) discardBody(resp *http.Response) {
	timer := time.AfterFunc(maxDiscardTime, a.conn.Abort)
	_, ok, err := httpconn.ReadLimited(resp.Body, maxDiscardBytes)
	if !timer.Stop() || !ok || err != nil {
		a.conn.Finish(false)
		return
	}
	a.release()
}

// release frees the connection after a complete response. The silence timer must not abort it any more: it may carry another
// request at once.
func (a *attempt) release() {
	a.silence.stop()
	a.conn.Finish(true)
}

// Bounds of what is read to discard a body; a connection with a longer one is closed.
const (
	maxDiscardBytes = 4096
	maxDiscardTime  = 50 * time.Millisecond // the request waits for its next attempt meanwhile
)
