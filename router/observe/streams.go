package observe

import (
	"fmt"
	"strings"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/forward"
	"maststage.dev/router/streamversion"
)

// versionRelation says how the version that resumes a stream relates to the one that began it.
func versionRelation(r forward.StreamResumption) string {
	switch {
	case !r.BeganKnown:
		return "unknown"
	case r.Version == r.Began:
		return "same"
	}
	return "other"
}

// StreamResumed counts and logs a stream that a target resumes.
func (o *Observer) StreamResumed(r forward.StreamResumption) {
	by := "host"
	if r.ByCaller {
		by = "caller"
	}
	relation := versionRelation(r)
	o.Count(fmt.Sprintf("streams_resumed_total{service=%q,by=%q,version=%q}", r.Service, by, relation))
	entry, ok := newEntry(o.failures)
	if !ok {
		return
	}
	entry.WithFields(log.Fields{
		"request": r.RequestID, "first_attempt": r.FirstAttempt, "by": by, "service": r.Service, "target": r.Target,
		"version": r.Version, "began": r.Began, "relation": relation, "source": r.Source, "behind": r.ResumedAfter,
		"first_event": r.FirstEvent,
	}).Info("stream resumed")
}

// addOriginFields adds why a stream that a caller takes up is refused: what is known of where it began.
func addOriginFields(fields log.Fields, e forward.Outcome) {
	if e.Origin == nil || e.Kind != forward.StreamUnknown && e.Kind != forward.VersionGone {
		return
	}
	f := e.Origin
	fields["source"], fields["versions"] = f.Source, strings.Join(f.Versions, ",")
	fields["covered"], fields["asked"], fields["answered"] = f.Covered, f.Asked, f.Answered
	if f.Verdict == streamversion.Found {
		fields["began"] = f.Origin.Version
	}
}
