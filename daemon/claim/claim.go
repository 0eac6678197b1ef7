// Package claim ensures that a request that must not be repeated is run by at
// most one incarnation.
//
// Each id has three replicas in the view. An incarnation may dispatch the
// request only after two of them, at its own epoch, have granted its claim; a
// replica only ever accepts one claimant per id. Two majorities of three share a
// replica, so at most one claimant succeeds in an epoch.
//
// A claim must survive the replicas that hold it. It is therefore logged before it
// is used or, while the log is unavailable, granted by a majority of the region's
// members. When the view changes, each member first logs the claims it holds and
// then a Flushed record; replicas serve ids that were reassigned to them only once
// the view has settled, and so know all earlier claims.
// docs/design/at-most-once.md has the full argument.
package claim

import (
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold"
	"maststage.dev/fold/fact"
	"maststage.dev/fold/view"
)

// Outbox queues records for the log.
type Outbox interface {
	Put(...*peerv1.Record) error
}

// Log is the folded state of the log that the register reads.
type Log interface {
	Fact(id string) (fact.Fact, bool)
	Epoch() uint64
	Member(inc string) (view.Member, bool)
}

// logLate is the age at which a replica logs a claim that its claimant has not logged.
const logLate = 2 * time.Second

// entry is a claim held until it is read back from the log.
type entry struct {
	claimant string
	at       time.Time
	logged   bool // put into our outbox, or seen in the log
}

// Register is a replica's record of claims.
type Register struct {
	out Outbox
	log Log

	mu    sync.Mutex
	epoch uint64
	held  map[string]*entry
}

// NewRegister returns an empty register at the current epoch.
func NewRegister(out Outbox, l Log) *Register {
	return &Register{out: out, log: l, epoch: l.Epoch(), held: map[string]*entry{}}
}

// Answer is a replica's response to a claim.
type Answer struct {
	Granted  bool
	Epoch    uint64 // epoch of the replica
	Claimant string // the claimant that holds the id, if any
}

// Claim grants id to the token claimant unless another incarnation holds it, the epochs
// differ, or the claimant is not in the view.
func (r *Register) Claim(id, claimant string, epoch uint64) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, member := r.log.Member(fact.Incarnation(claimant)); epoch != r.epoch || !member {
		return Answer{Epoch: r.epoch}
	}
	f, _ := r.log.Fact(id)
	if other := f.Other(fact.Incarnation(claimant)); other != "" {
		return Answer{Epoch: r.epoch, Claimant: other}
	}
	if e := r.held[id]; e != nil && !sameIncarnation(e.claimant, claimant) {
		return Answer{Epoch: r.epoch, Claimant: e.claimant}
	}
	if e := r.held[id]; e != nil && fact.Attempt(e.claimant) > fact.Attempt(claimant) {
		return Answer{Epoch: r.epoch} // a delayed message of an earlier attempt
	}
	r.held[id] = &entry{claimant: claimant, at: time.Now()}
	return Answer{Granted: true, Epoch: r.epoch, Claimant: claimant}
}

// Holder returns the token of the known claimant of an id, empty if there is none.
func (r *Register) Holder(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, _ := r.log.Fact(id)
	if first := f.First(); first != "" {
		return first
	}
	if e := r.held[id]; e != nil {
		return e.claimant
	}
	return ""
}

// sameIncarnation reports whether two tokens belong to one incarnation, which makes one attempt at a time.
func sameIncarnation(a, b string) bool { return fact.Incarnation(a) == fact.Incarnation(b) }

// Release drops a claim whose claimant has not run the request and will not.
func (r *Register) Release(id, claimant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.held[id]
	if e == nil || e.claimant != claimant {
		return
	}
	if e.logged {
		rec := &peerv1.Release{Id: id, Claimant: claimant}
		if r.out.Put(&peerv1.Record{Kind: &peerv1.Record_Release{Release: rec}}) != nil {
			return
		}
	}
	delete(r.held, id)
}

// Log queues a claim of this host for the log.
func (r *Register) Log(id, claimant string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.held[id]; e != nil && e.claimant == claimant {
		return r.put(id, e)
	}
	return r.out.Put(intent(id, claimant))
}

func (r *Register) put(id string, e *entry) error {
	if err := r.out.Put(intent(id, e.claimant)); err != nil {
		return err
	}
	e.logged = true
	return nil
}

// Event handles intents read back from the log and new epochs.
func (r *Register) Event(e fold.Event) {
	switch k := e.(type) {
	case fold.Intended:
		r.logged(k.ID, k.Claimant)
	case fold.ViewChanged:
		r.flush(k.Epoch)
	}
}

// logged drops a held claim that is now in the log. A held claim of another
// incarnation or a later attempt stays: the logged one may yet be released.
func (r *Register) logged(id, claimant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.held[id]; e != nil && sameIncarnation(e.claimant, claimant) && fact.Attempt(claimant) >= fact.Attempt(e.claimant) {
		delete(r.held, id)
	}
}

// flush logs all held claims and then a Flushed record. From here on claims of
// older epochs are rejected.
func (r *Register) flush(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = max(r.epoch, epoch)
	records := make([]*peerv1.Record, 0, len(r.held)+1)
	for id, e := range r.held {
		if !e.logged {
			records = append(records, intent(id, e.claimant))
			e.logged = true
		}
	}
	f := &peerv1.Flushed{Epoch: epoch}
	records = append(records, &peerv1.Record{Kind: &peerv1.Record_Flushed{Flushed: f}})
	if err := r.out.Put(records...); err != nil {
		log.WithError(err).Error("cannot flush claims to the log; reassigned ids stay blocked")
	}
}

// Tick logs held claims that their claimants have not logged within logLate.
func (r *Register) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.held {
		if e.logged || now.Sub(e.at) < logLate {
			continue
		}
		if r.put(id, e) != nil {
			return
		}
	}
}

// Held returns the number of held claims that are not in the log.
func (r *Register) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

func intent(id, claimant string) *peerv1.Record {
	i := &peerv1.Intent{Id: id, Claimant: claimant}
	return &peerv1.Record{Kind: &peerv1.Record_Intent{Intent: i}}
}
