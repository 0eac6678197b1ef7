package observe

import (
	"fmt"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/forward"
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
		"version": r.Version, "began": r.Began, "relation": relation, "behind": r.ResumedAfter,
	}).Info("stream resumed")
}
