package target

import log "github.com/sirupsen/logrus"

// RecordLeaving records that a response of the target announced its exit. That holds for this incarnation of the
// target, whatever its entry in the list says.
func (r *Registry) RecordLeaving(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.announcedExit {
		return
	}
	t.announcedExit = true
	log.WithFields(log.Fields{"target": t.incarnation, "service": t.Service, "listed": t.listed, "draining": t.state == Draining}).
		Info("target announces its exit")
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
