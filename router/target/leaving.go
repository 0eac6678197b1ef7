package target

import (
	"time"

	log "github.com/sirupsen/logrus"
)

// A target may announce its exit in its responses before its entry says so, which takes as long as the log is
// unreachable for it or for this host. The entry may also be read late, or again, and still say that the target is
// ready. So the announcement holds for the rest of the incarnation.

// exitMemory is how long an announced exit is remembered after the target has been forgotten. By then the list has no
// older entry of it.
const exitMemory = 10 * time.Minute

// announcedExit is the incarnation of a target that announced its exit.
type announcedExit struct {
	target *Target
	at     time.Time
}

// concerns reports whether an entry describes the incarnation that announced its exit.
func (x announcedExit) concerns(e Entry) bool { return x.target != nil && x.target.isDescribedBy(e) }

// RecordLeaving records that a response of the target announced its exit.
func (r *Registry) RecordLeaving(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.announcedExit {
		return
	}
	now := time.Now()
	log.WithFields(log.Fields{"target": t.incarnation, "service": t.Service, "listed": t.listed, "draining": t.state == Draining}).
		Info("target announces its exit")
	t.announcedExit = true
	r.announcedExits[t.ID] = announcedExit{target: t, at: now}
	if t.leavingSince.IsZero() {
		t.leavingSince = now
	}
}

// forgetAnnouncedExits drops the exits that were announced more than exitMemory ago by targets that are forgotten.
// The lock is held.
func (r *Registry) forgetAnnouncedExits(now time.Time) {
	for id, exit := range r.announcedExits {
		if r.targets[id] == nil && now.Sub(exit.at) > exitMemory {
			delete(r.announcedExits, id)
		}
	}
}

// CountAnnouncedExits counts the listed targets whose responses announced their exit.
func (r *Registry) CountAnnouncedExits() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.listed && t.announcedExit {
			n++
		}
	}
	return n
}
