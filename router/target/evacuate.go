package target

import (
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
)

// evacuation is an evacuation in force: the targets of a failure domain leave the choice one
// after the other, so that prompts move to other targets a few at a time: those have to read
// the shared parts of each anew.
type evacuation struct {
	began time.Time
	over  time.Duration
}

// left says whether a target of the domain gets nothing new. The order in which targets
// leave is the same at all hosts, which need no word between them.
func (e evacuation) left(id string, now time.Time) bool {
	if e.began.IsZero() {
		return false
	}
	if now.Sub(e.began) >= e.over {
		return true
	}
	return now.Sub(e.began) > time.Duration(turn(id)*float64(e.over))
}

// turn is a target's place among those that leave, from 0 to 1.
func turn(id string) float64 {
	const steps = 1 << 10
	return float64(rendezvous.Score("evacuation", id)%steps) / steps
}

// Evacuate begins the evacuation of a failure domain: at its end its targets get no new
// request, not even one that finds no other target. They leave over the time given, 0: at
// once. An evacuation that has begun goes on as it is.
func (r *Registry) Evacuate(domain string, over time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, begun := r.evacuations[domain]; begun {
		return
	}
	r.evacuations[domain] = evacuation{began: time.Now(), over: over}
	r.logEvacuation("evacuation of a failure domain", domain, over)
}

// EndEvacuation takes the targets of a failure domain back into the choice. They rested, so
// they are cold until their entries say otherwise, which may be later than this is known.
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
			t.coolFor(r.coldLimits[t.Service].Duration, now)
		}
	}
	r.logEvacuation("end of the evacuation of a failure domain", domain, 0)
}

// logEvacuation tells how many targets it is about; the lock is held.
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

// CountEvacuatedDomains counts the failure domains that are evacuated.
func (r *Registry) CountEvacuatedDomains() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.evacuations)
}
