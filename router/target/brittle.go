package target

import (
	"math/rand/v2"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/permit"
)

// A brittle target says in its responses that it falls over when it has to turn away more than a few requests a second.
// Hosts then send it only what the scheduler of permits has a place for. The word of one target counts for others of its
// service that have not responded since: a target that has just come back has had no chance to say it.

// Parameters of brittle targets.
const (
	// gateDelay is how long after a host first heard that a service is brittle its requests need permits: meanwhile it
	// connects to the scheduler, and requests that were sent without a permit end. Targets go on letting as many wait as
	// before for longer.
	gateDelay = time.Second
	// maxPermitTargets bounds the targets that one request for a permit names.
	maxPermitTargets = 16
)

// brittle is what a target's newest response says of it.
type brittle struct {
	inForce   bool
	tolerance int       // requests a second that it can turn away
	heardAt   time.Time // newest response that counts
	malformed bool      // a response did not say readably how brittle it is
}

// brittleService is when targets of a service first said that they are brittle.
type brittleService struct{ since time.Time }

// RecordBrittle records what a response says: that its target is brittle, and how many requests a second it can turn
// away; or, if inForce is false, that it isn't.
func (r *Registry) RecordBrittle(t *Target, inForce bool, tolerance int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	service, known := r.brittle[t.Service]
	if !inForce && !known {
		return
	}
	now := time.Now()
	was := t.brittle
	t.brittle = brittle{inForce: inForce, tolerance: tolerance, heardAt: now, malformed: inForce && was.malformed}
	switch {
	case inForce && !was.inForce:
		r.logAdvisory(t, "target says that it is brittle", log.Fields{"tolerance": tolerance, "slots": t.slots})
	case !inForce && was.inForce:
		r.logAdvisory(t, "target is no longer brittle", log.Fields{"after": now.Sub(service.since).Round(time.Millisecond)})
	}
	if inForce && !known {
		r.brittle[t.Service] = brittleService{since: now}
		r.opts.OnBrittle(t.Service)
	}
	if !inForce && !r.anyBrittle(t.Service) {
		delete(r.brittle, t.Service)
	}
}

// anyBrittle reports whether any listed target of a service is brittle by its own word. The lock is held.
func (r *Registry) anyBrittle(service string) bool {
	for _, t := range r.services[service] {
		if t.brittle.inForce && t.listed {
			return true
		}
	}
	return false
}

// isBrittle reports whether the target counts as brittle, by its own word or, if it has not responded since, by that of
// its service. The lock is held.
func (r *Registry) isBrittle(t *Target) bool {
	service, known := r.brittle[t.Service]
	return known && (t.brittle.inForce || t.brittle.heardAt.Before(service.since))
}

// NeedsPermit reports whether a request to the target needs a permit.
func (r *Registry) NeedsPermit(t *Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isBrittle(t) && time.Since(r.brittle[t.Service].since) >= gateDelay
}

// PermitRequest returns the targets for which a request may get a permit, the preferred one first.
func (r *Registry) PermitRequest(w Requirements, preferred *Target) permit.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := permit.Request{Service: w.Service, Priority: w.Priority}
	others := r.usable(w, time.Now())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, t := range append([]*Target{preferred}, others...) {
		if (t == preferred) == (len(request.Targets) == 0) && r.isBrittle(t) && len(request.Targets) < maxPermitTargets {
			request.Targets = append(request.Targets, permit.Target{ID: t.ID, Slots: t.slots, Tolerance: r.tolerance(t)})
		}
	}
	return request
}

// tolerance returns how many requests a second the target can turn away, by the least word of its service if it has not
// said itself. The lock is held.
func (r *Registry) tolerance(t *Target) int {
	if t.brittle.inForce {
		return t.brittle.tolerance
	}
	least := 0
	for _, other := range r.services[t.Service] {
		if other.brittle.inForce && (least == 0 || other.brittle.tolerance < least) {
			least = other.brittle.tolerance
		}
	}
	return least
}

// RecordMalformedBrittle logs that a response does not say readably how brittle its target is.
func (r *Registry) RecordMalformedBrittle(t *Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.OnMalformedBrittle(err)
	if !t.brittle.malformed {
		t.brittle.malformed = true
		r.logAdvisory(t, "brittleness in the target's response is unreadable", log.Fields{log.ErrorKey: err})
	}
}

// Take returns the target that a permit is for, nil if it is not known any more, and counts the request as Choose does.
func (r *Registry) Take(id string) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil {
		return nil
	}
	t.pauseFrom = time.Now()
	if t.limit.inForce {
		t.limit.sent++
	}
	return t
}

// CountBrittle counts the targets that say that they are brittle.
func (r *Registry) CountBrittle() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.brittle.inForce && t.listed {
			n++
		}
	}
	return n
}
