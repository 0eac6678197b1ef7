package forward

import (
	"context"
	"time"

	"maststage.dev/lib/guard"
	"maststage.dev/router/quarantine"
)

// content is what makes this request the same as others.
func (q *request) content() quarantine.Content {
	c := quarantine.Content{Method: q.r.Method, Host: q.r.Host, URI: q.r.RequestURI, Body: q.body}
	if q.organisation != nil {
		c.Organisation = q.organisation.Name
	}
	return c
}

// endLook bounds the look at whether a target has ended.
const endLook = time.Second

// lookForEnd finds out beside the request whether its try broke off because the target ended.
func (c *call) lookForEnd(res result) {
	if !c.sent || res != broken && res != cutOff {
		return
	}
	b := c.brokeOff(time.Now())
	h, t := c.request.handler, c.target
	guard.Go("target's end", func() {
		ctx, cancel := context.WithTimeout(context.Background(), endLook)
		defer cancel()
		if h.opts.Targets.Ended(ctx, t) {
			h.opts.Observer.Broke(b)
		}
	})
}

// brokeOff tells of a try that broke off just now.
func (c *call) brokeOff(now time.Time) Break {
	q := c.request
	b := Break{
		RequestID: q.id, Digest: q.digest, Target: c.target.ID, Service: q.service,
		Events: c.events, Took: now.Sub(c.started),
	}
	if c.events > 0 {
		b.Ran = now.Sub(c.first)
	}
	return b
}
