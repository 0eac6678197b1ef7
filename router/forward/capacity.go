package forward

import (
	"time"

	"maststage.dev/router/capacity"
)

// countArrival counts the request's bytes on the link, and closes the caller's connection if the caller should use
// another host.
func (q *request) countArrival() {
	bytes := len(q.r.Method) + len(q.r.RequestURI) + len(q.r.Host)
	for name, values := range q.r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	bytes += int(max(q.r.ContentLength, 0))
	q.load = capacity.Request{Organisation: q.organisationName(), Route: q.route.Name, Priority: q.route.Priority, Bytes: bytes}
	q.handler.opts.Capacity.Arrived(q.load, q.arrived)
	if q.handler.opts.Capacity.ShouldClose(q.load.Organisation, q.arrived) {
		q.w.Header().Set("Connection", "close")
	}
}

// admitToLink reports whether the link has room for the request and its response.
func (q *request) admitToLink() bool {
	ok, retryAfter := q.handler.opts.Capacity.Admit(q.load, q.arrived)
	if !ok {
		q.retryAfter = retryAfter
	}
	return ok
}

// countRelayed counts bytes of the response on the link.
func (q *request) countRelayed(bytes int) {
	q.linkBytes += capacity.LinkBytes(bytes)
	q.handler.opts.Capacity.Relayed(q.organisationName(), bytes, time.Now())
}

// organisationName returns the name of the caller's organisation, "" if there is none.
func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name
}
