package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
)

// Figures of decisions.
const (
	// placeWait is how long each counting host leaves the decision to the one before it. It
	// is longer than the question to all hosts takes.
	placeWait = 400 * time.Millisecond
	// judgeTimeout bounds a decision.
	judgeTimeout = 10 * time.Second
	writeRetry   = 500 * time.Millisecond
)

// judge puts a request into quarantine unless it came whole somewhere.
func (g *Guard) judge(d Digest) {
	ctx, cancel := context.WithTimeout(context.Background(), judgeTimeout)
	defer cancel()
	defer g.judged(d)
	_, place := g.peers.CountingHosts(d)
	wait.For(ctx, time.Duration(place)*placeWait)
	if g.IsQuarantined(d) || g.IsCleared(d) {
		return
	}
	if g.peers.Cleared(ctx, d) {
		g.clear(d)
		return
	}
	if e, ok := g.accuse(d); ok {
		g.decided(ctx, e)
	}
}

func (g *Guard) judged(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.judging, d)
}

// clear notes that a request came whole at another host.
func (g *Guard) clear(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cleared.add(d)
	g.tally.forget(d)
	log.WithField("digest", d).Info("request cleared by a whole answer")
}

// accuse makes the entry of a request against which the evidence still suffices.
func (g *Guard) accuse(d Digest) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.tally.suspects[d]
	if s == nil || !s.guilty() {
		return Entry{}, false
	}
	r := s.newest
	return Entry{
		Digest: d, Organisation: r.Organisation, Service: r.Service, RequestID: r.RequestID,
		Targets: s.targets(), Host: g.opts.Host, At: time.Now(),
	}, true
}

// decided puts an entry of this host's own in force everywhere.
func (g *Guard) decided(ctx context.Context, e Entry) {
	dropped := g.hold(e, false)
	value, err := json.Marshal(e)
	if err != nil {
		log.WithField("digest", e.Digest).WithError(err).Error("quarantine can't be written")
		return
	}
	g.opts.Go("quarantine record", func() { g.write(e.Digest, eventlog.Record{Key: e.key(), Value: value}) })
	for _, old := range dropped {
		g.opts.Go("quarantine record", func() { g.write(old.Digest, eventlog.Record{Key: old.key()}) })
	}
	g.peers.Broadcast(ctx, Notice{Entry: e})
}

// write puts a record into the topic, again until it is there or has become wrong.
func (g *Guard) write(d Digest, rec eventlog.Record) {
	for g.IsQuarantined(d) == (len(rec.Value) > 0) {
		ctx, cancel := context.WithTimeout(context.Background(), judgeTimeout)
		err := g.opts.Write(ctx, rec)
		cancel()
		if err == nil {
			return
		}
		log.WithField("digest", d).WithError(err).Info("quarantine not written yet")
		wait.For(context.Background(), writeRetry)
	}
}

// hold takes an entry in, and gives those that gave way to it.
func (g *Guard) hold(e Entry, kept bool) []Entry {
	g.mu.Lock()
	added, dropped := g.list.add(e, kept)
	g.tally.forget(e.Digest)
	g.tally.explain(e.Targets, time.Now())
	g.holding.Store(len(g.list.entries) > 0)
	g.mu.Unlock()
	if added {
		log.WithFields(log.Fields{
			"digest": e.Digest, "organisation": e.Organisation, "service": e.Service, "request": e.RequestID,
			"targets": strings.Join(e.Targets, ","), "decided_by": e.Host, "from_log": kept,
		}).Warn("request in quarantine")
		g.opts.Count("quarantine_entries_total")
		g.opts.OnQuarantine(e.Digest)
	}
	return dropped
}

// lift ends the quarantine of a request everywhere.
func (g *Guard) lift(d Digest, reason string) {
	e, had := g.release(d, reason)
	if !had {
		return
	}
	g.opts.Go("quarantine record", func() { g.write(d, eventlog.Record{Key: e.key()}) })
	g.opts.Go("quarantine", func() {
		ctx, cancel := context.WithTimeout(context.Background(), judgeTimeout)
		defer cancel()
		g.peers.Broadcast(ctx, Notice{Entry: e, Lifted: true})
	})
}

// release ends the quarantine of a request at this host.
func (g *Guard) release(d Digest, reason string) (e Entry, had bool) {
	g.mu.Lock()
	e, had = g.list.remove(d)
	g.holding.Store(len(g.list.entries) > 0)
	g.mu.Unlock()
	if had {
		log.WithFields(log.Fields{"digest": d, "reason": reason}).Warn("quarantine lifted")
	}
	return e, had
}
