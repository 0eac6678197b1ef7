// Package claim sees to it that a request that may not be repeated is run by
// one incarnation at most.
//
// Each id has three replicas in the view. An incarnation may dispatch the
// request only after two of them, at its own epoch, have accepted its claim; a
// replica accepts one claimant for an id, ever. Any two claimants need a common
// replica, so at most one gets through in an epoch.
//
// The claim must outlive its holders. So it is in the log before it is used, or,
// while the log is down, granted by a majority of the region's members. When the
// view changes, each member first logs the claims it holds and then a Flushed
// record; replicas act for ids that moved only when the view has settled, so they
// know all claims of before. docs/design/at-most-once.md has the whole argument.
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

// Log is what the register asks of the fold.
type Log interface {
	Fact(id string) (fact.Fact, bool)
	Epoch() uint64
	Member(inc string) (view.Member, bool)
}

// logLate is when a holder logs a claim that its claimant has not logged.
const logLate = 2 * time.Second

// entry is a claim that is held until the log has it.
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

// NewRegister makes an empty register at the present epoch.
func NewRegister(out Outbox, l Log) *Register {
	return &Register{out: out, log: l, epoch: l.Epoch(), held: map[string]*entry{}}
}

// Answer is what a replica says to a claim.
type Answer struct {
	Granted  bool
	Epoch    uint64 // the replica's
	Claimant string // who has it instead, if somebody has
}

// Claim records the token claimant for id unless another has it, the epochs differ, or
// claimant is not in the view.
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
	if e := r.held[id]; e != nil && !same(e.claimant, claimant) {
		return Answer{Epoch: r.epoch, Claimant: e.claimant}
	}
	if e := r.held[id]; e != nil && fact.Try(e.claimant) > fact.Try(claimant) {
		return Answer{Epoch: r.epoch} // an earlier try that comes late
	}
	r.held[id] = &entry{claimant: claimant, at: time.Now()}
	return Answer{Granted: true, Epoch: r.epoch, Claimant: claimant}
}

// Holder says who has an id, empty if nobody is known to.
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

// same says whether two tokens are of one incarnation, which tries one at a time.
func same(a, b string) bool { return fact.Incarnation(a) == fact.Incarnation(b) }

// Release forgets a claim whose claimant has not run the request and won't.
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

// Log puts a claim of this host into the outbox, so that it gets into the log.
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

// Event hears of intents that are in the log and of new epochs.
func (r *Register) Event(e fold.Event) {
	switch k := e.(type) {
	case fold.Intended:
		r.logged(k.ID, k.Claimant)
	case fold.ViewChanged:
		r.flush(k.Epoch)
	}
}

// logged drops a claim that the log has. One of another incarnation, or of a
// later try, stays: the one in the log may be released.
func (r *Register) logged(id, claimant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.held[id]; e != nil && same(e.claimant, claimant) && fact.Try(claimant) >= fact.Try(e.claimant) {
		delete(r.held, id)
	}
}

// flush logs all claims held, then says so. From here on claims of older
// epochs are not accepted.
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
		log.WithError(err).Error("can't flush claims, ids that moved stay closed")
	}
}

// Tick logs claims whose claimant has not logged them in good time.
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

// Held is how many claims are not in the log.
func (r *Register) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

func intent(id, claimant string) *peerv1.Record {
	i := &peerv1.Intent{Id: id, Claimant: claimant}
	return &peerv1.Record{Kind: &peerv1.Record_Intent{Intent: i}}
}
