package prepaid

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
	"maststage.dev/router/eventlog"
)

// A host that takes many tokens while no other host writes the account would have to leave what the last record of
// another host withholds. So before it comes to that it tells another host of its newest record. That host knows the
// grants from then on, as if it had read them, and writes them again if the log loses them.

// witnessTimeout bounds the search for another host.
const witnessTimeout = time.Second

// witnessBelow is the part of what a host may take at once below which it looks for another host.
const witnessBelow = 0.5

// Witness applies a record of an account that another host has written. It reports whether this host knows the record
// or a later one of its era.
func (a *Allocator) Witness(organisation string, record Account, at eventlog.Position) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil || a.closing {
		return false
	}
	if !al.known || al.recorded.position.Before(at) {
		al.applyRecord(record, at)
		al.noteWithheld(record, false, false, a.logTime(time.Now()))
		al.recordDrawn(time.Now())
	}
	return al.recorded.position.Era == at.Era && !al.recorded.position.Before(at)
}

// seekWitness tells another host of the newest record of an account if this host may take little more. The Allocator's
// lock is held.
func (pw *partitionWriter) seekWitness(organisation string, al *allocation, record Account, at eventlog.Position) {
	a := pw.allocator
	if a.opts.Witness == nil || al.seeking || !al.nearHostLimit(record, a.logTime(time.Now())) {
		return
	}
	al.seeking, al.sinceSought = true, withheldWindow{}
	guard.Go("witness of an account", func() {
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
		defer cancel()
		known := a.opts.Witness(ctx, organisation, record, at)
		a.mu.Lock()
		defer a.mu.Unlock()
		al.seeking = false
		if !known {
			log.WithFields(log.Fields{"organisation": organisation, "position": at}).Debug("no other host reached that could note the account")
			return
		}
		al.noteWitness(record, at, a.logTime(time.Now()))
		pw.requestRound()
	})
}

// nearHostLimit reports whether the host may take little more of an account without a record of another host.
func (al *allocation) nearHostLimit(account Account, now time.Duration) bool {
	left := al.sinceOtherHost.tokens(now)
	if left == 0 {
		return false
	}
	return float64(account.Remaining()-left) < witnessBelow*hostPart*float64(account.Remaining())
}

// noteWitness notes that another host knows a record of this one.
func (al *allocation) noteWitness(record Account, at eventlog.Position, now time.Duration) {
	if al.recorded.position.Era != at.Era {
		return
	}
	al.otherHost = withheldSample{since: now, era: record.Era, tokens: record.HostWithheld}
	al.sinceOtherHost = withheldWindow{samples: append([]withheldSample{al.otherHost}, al.sinceSought.samples...)}
}
