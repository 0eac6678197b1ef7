package forward

import "maststage.dev/router/quarantine"

// content returns what identifies equal requests to the quarantine.
func (q *request) content() quarantine.Content {
	c := quarantine.Content{Method: q.r.Method, Host: q.r.Host, URI: q.r.RequestURI, Body: q.body}
	if q.organisation != nil {
		c.Organisation = q.organisation.Name
	}
	return c
}

// readPrompt reads the parts of the request's prompt.
func (q *request) readPrompt() {
	if q.engine == nil {
		return
	}
	q.promptParts = q.r.Header.Get(q.handler.names.PromptParts)
	q.parts = quarantine.PartsOf(q.service, q.organisationName(), sharedPartIDs(q.promptParts))
}

// quarantined reports whether the request must not be sent, for itself or for a part of its prompt.
func (q *request) quarantined() bool {
	guard := q.handler.opts.Quarantine
	if guard.IsQuarantined(q.digest) {
		q.outcome.QuarantinedAs = q.digest
		return true
	}
	if q.partTrial && q.attempts == 0 {
		return false
	}
	e, hold := guard.QuarantinedPart(q.parts)
	q.partTrial = hold == quarantine.Trial && q.attempts == 0
	if hold == quarantine.NotHeld || q.partTrial {
		return false
	}
	q.outcome.QuarantinedAs = e.Digest
	return true
}

// digests lists what the request can be quarantined as.
func (q *request) digests() []quarantine.Digest {
	list := append(make([]quarantine.Digest, 0, 1+2*len(q.parts)), q.digest)
	for _, p := range q.parts {
		list = append(list, p.Own, p.Common)
	}
	return list
}
