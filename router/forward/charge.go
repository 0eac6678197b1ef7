package forward

import (
	"time"

	"maststage.dev/router/routing"
)

// A request counts against its budget with its prompt, once, and the tokens that its
// targets handed out. Those that were passed on are counted; those that a target may have
// made beside them before its answer broke off are bounded by the time that it had.

// noteEvents counts events that came just now.
func (c *call) noteEvents(n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	if c.events == 0 {
		c.first = now
	} else {
		q := c.request
		q.handler.opts.Targets.RecordGap(c.target, now.Sub(c.last)-c.held, routing.Milliseconds(q.route.GapTargetMs))
	}
	c.events += n
	c.last = now
	c.unread, c.held = c.unread+c.held, 0
}

// charge takes in what a try may have cost.
func (q *request) charge(c *call, res result) {
	if q.reserved == nil || !c.sent || res == refused {
		return
	}
	if c.events > 0 {
		q.begun = true
	}
	if res == delivered && c.events > 0 {
		q.handler.opts.Meter.Observe(q.service, c.first.Sub(c.started), c.last.Sub(c.first), c.events)
		return
	}
	if most := c.mostUnseen(time.Now()); most > 0 {
		q.begun = true
		q.unseen += most
	}
}

// mostUnseen bounds the tokens that the target may have made and that did not come.
func (c *call) mostUnseen(now time.Time) int64 {
	q := c.request
	events, known := q.handler.opts.Meter.MaxUndelivered(q.service, now.Sub(c.started), c.events)
	if !known || q.engine.Stride <= 0 {
		return q.usage.out
	}
	return min(int64(float64(events)*q.engine.Stride), q.usage.out)
}

// reserveAnother sets aside what another run may cost: it goes on where the one before
// broke off, so only what that made unseen is made again. underway says that the run
// before has not ended and may still make all of its tokens.
func (q *request) reserveAnother(underway bool) bool {
	if q.reserved == nil {
		return true
	}
	worst := q.usage.in + q.usage.out + q.unseen
	if underway {
		worst += q.usage.out
	}
	return q.reserved.Extend(max(worst-q.reserved.Tokens(), 0))
}

// used is what the request counts against its budget.
func (q *request) used() int64 {
	switch {
	case q.ran == 0 || !q.begun:
		return 0
	case q.engine.Stride <= 0:
		return q.reserved.Tokens()
	}
	out := q.unseen
	if q.stream != nil {
		out += min(int64(float64(q.stream.scanner.Events())*q.engine.Stride), q.usage.out)
	}
	return min(q.usage.in+out, q.reserved.Tokens())
}
