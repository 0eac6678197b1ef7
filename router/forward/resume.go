package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"maststage.dev/router/routing"
	"maststage.dev/router/streamversion"
)

// StreamVersions remembers at which version of its targets each stream began; *streamversion.Directory implements it.
type StreamVersions interface {
	// Began notes where a stream began.
	Began(k streamversion.Key, route string, o streamversion.Origin, keep time.Duration)
	// Await waits until the first events of a stream that began at an origin may be forwarded.
	Await(ctx context.Context, route string, o streamversion.Origin)
	// Find returns where a stream began.
	Find(ctx context.Context, k streamversion.Key, route string, services []string) streamversion.Finding
}

// How long a stream is remembered, since its caller may take it up again.
const (
	// resumeMargin covers the way from the caller whose deadline has nearly passed.
	resumeMargin = 2 * time.Second
	defaultKeep  = time.Minute // if the caller names no deadline
)

// takesUp reports whether the caller takes up a stream that an earlier attempt of its own began.
func (q *request) takesUp() bool {
	return q.route.Kind == routing.Streaming && (q.callerLastEventID != "" || q.resumes != "")
}

// takenUpKey returns the key of the stream that the caller takes up. Without a name it is that of this attempt: what is
// known of one such stream says nothing of another.
func (q *request) takenUpKey() streamversion.Key {
	return streamversion.KeyOf(q.organisationName(), cmp.Or(q.resumes, q.id))
}

// findOrigin finds where the stream began that the caller takes up, if it does: only targets of that service and version
// can go on with it. It may change the request's service.
func (q *request) findOrigin() Kind {
	names := q.handler.names
	q.callerLastEventID, q.resumes = q.r.Header.Get(names.LastEventID), q.r.Header.Get(names.Resumes)
	q.outcome.ResumedAfter, q.outcome.Resumes = q.callerLastEventID, q.resumes
	if !q.takesUp() {
		return OK
	}
	services := q.route.Services()
	found := q.handler.opts.StreamVersions.Find(q.ctx, q.takenUpKey(), q.route.Name, services)
	q.outcome.Origin = &found
	origin := found.Origin
	switch {
	case found.Verdict != streamversion.Found && q.callerLastEventID == "":
		return OK // it begins anew
	case found.Verdict != streamversion.Found:
		return StreamUnknown
	case !slices.Contains(services, origin.Service):
		return VersionGone
	}
	q.setService(origin.Service)
	q.origin = &origin
	if !q.handler.opts.Targets.HasVersion(origin.Service, origin.Version) {
		return VersionGone
	}
	return OK
}

// setService sets the service that runs the request.
func (q *request) setService(name string) {
	q.service, q.engine = name, nil
	if s := q.config.Service(name); s != nil {
		q.engine = s.Engine
	}
}

// noteOrigin notes where the stream began, before the first events of an attempt are forwarded.
func (a *attempt) noteOrigin() {
	q := a.request
	key := streamversion.KeyOf(q.organisationName(), q.id)
	switch {
	case q.origin == nil:
		q.origin = &streamversion.Origin{Service: q.service, Version: a.target.Version}
	case q.takesUp():
		key = q.takenUpKey()
	}
	if !q.route.Resumable {
		return // its caller can't take it up
	}
	q.handler.opts.StreamVersions.Began(key, q.route.Name, *q.origin, q.keepOrigin())
	a.silence.pause() // the target isn't silent meanwhile
	q.handler.opts.StreamVersions.Await(q.ctx, q.route.Name, *q.origin)
}

// keepOrigin returns for how long the caller may take the stream up.
func (q *request) keepOrigin() time.Duration {
	if q.callerDeadline.IsZero() {
		return defaultKeep
	}
	return time.Until(q.callerDeadline) + resumeMargin
}
