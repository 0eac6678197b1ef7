package target

import (
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
)

// evacuation is an active evacuation. The targets of a failure domain stop taking requests one after the
// other, so that prompts move to other targets a few at a time: the new target of a prompt has to process
// its shared parts again.
type evacuation struct {
	began    time.Time
	duration time.Duration
}

// hasLeft reports whether a target of the domain gets no more new requests. All hosts use the same order
// without talking to each other.
func (e evacuation) hasLeft(id string, now time.Time) bool {
	if e.began.IsZero() {
		return false
	}
	if now.Sub(e.began) >= e.duration {
		return true
	}
	return now.Sub(e.began) > time.Duration(departureFraction(id)*float64(e.duration))
}

// departureFraction is the point of the evacuation, from 0 to 1, at which a target leaves.
func departureFraction(id string) float64 {
	const steps = 1 << 10
	return float64(rendezvous.Score("evacuation", id)%steps) / steps
}

// Evacuate starts the evacuation of a failure domain. Its targets leave over the given duration, at once if
// it is 0. From then on they get no new request, not even as a last resort. An evacuation in progress goes
// on unchanged.
func (r *Registry) Evacuate(domain string, over time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, begun := r.evacuations[domain]; begun {
		return
	}
	r.evacuations[domain] = evacuation{began: time.Now(), duration: over}
	r.logEvacuation("evacuation of a failure domain started", domain, over)
}

// EndEvacuation lets the targets of a failure domain take requests again. They were idle, so they count as
// cold until their entries say otherwise; these may arrive later than the end of the evacuation.
func (r *Registry) EndEvacuation(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, begun := r.evacuations[domain]; !begun {
		return
	}
	delete(r.evacuations, domain)
	now := time.Now()
	for _, t := range r.targets {
		if t.Domain == domain {
			t.markCold(r.coldLimits[t.Service].Duration, now)
		}
	}
	r.logEvacuation("evacuation of a failure domain ended", domain, 0)
}

// logEvacuation logs a change of an evacuation and the number of targets concerned. The lock is held.
func (r *Registry) logEvacuation(what, domain string, over time.Duration) {
	targets := 0
	for _, t := range r.targets {
		if t.Domain == domain {
			targets++
		}
	}
	log.WithFields(log.Fields{
		"domain": domain, "targets": targets, "over": over, "domains_evacuated": len(r.evacuations),
	}).Info(what)
}

// CountEvacuatedDomains counts the failure domains under evacuation.
func (r *Registry) CountEvacuatedDomains() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.evacuations)
}
