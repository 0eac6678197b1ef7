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

// Timing of decisions.
const (
	// rankDelay is how long each counting host waits for a decision of the one ranked before it. It
	// is longer than asking all hosts takes.
	rankDelay = 400 * time.Millisecond
	// decisionTimeout bounds a decision.
	decisionTimeout   = 10 * time.Second
	persistRetryDelay = 500 * time.Millisecond
)

// decide quarantines a request unless it completed at some host, or a part unless a target survived it.
func (g *Guard) decide(kind Kind, d Digest) {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	defer g.endDecision(d)
	_, rank := g.peers.CountingHosts(kind, d)
	wait.For(ctx, time.Duration(rank)*rankDelay)
	if g.IsQuarantined(d) || g.IsCleared(d) {
		return
	}
	if kind.isPart() {
		if !g.isGuilty(ctx, d) {
			return
		}
	} else if g.peers.Cleared(ctx, d) {
		g.markCleared(d)
		return
	}
	if e, ok := g.makeEntry(d); ok {
		g.publish(ctx, e)
	}
}

// isGuilty asks all hosts whether a target survived a part, and reports whether the evidence against the part suffices.
func (g *Guard) isGuilty(ctx context.Context, d Digest) bool {
	g.mu.Lock()
	s := g.tally.suspects[d]
	if s == nil {
		g.mu.Unlock()
		return false
	}
	part, first := s.newest.Common, s.first
	g.mu.Unlock()
	ago, survived := g.peers.Survived(ctx, part)
	if !survived {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.survivals.add(part, time.Now().Add(-ago))
	if ago < time.Since(first) {
		g.tally.forgetPart(part)
		log.WithFields(log.Fields{"digest": d, "part": s.newest.Part}).Info("part of prompts was survived at another host and is not quarantined")
		return false
	}
	s.survived = true
	return s.sufficient()
}

func (g *Guard) endDecision(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.deciding, d)
}

// markCleared notes that a request completed at another host.
func (g *Guard) markCleared(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cleared.add(d)
	g.tally.forget(d)
	log.WithField("digest", d).Info("request completed at another host and is not quarantined")
}

// makeEntry makes the entry of a request if the evidence against it still suffices.
func (g *Guard) makeEntry(d Digest) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.tally.suspects[d]
	if s == nil || !s.sufficient() {
		return Entry{}, false
	}
	r := s.newest
	return Entry{
		Digest: d, Organisation: r.Organisation, Service: r.Service, RequestID: r.RequestID,
		Targets: s.targets(), Host: g.opts.Host, At: time.Now(), Kind: r.Kind, Part: r.Part, Common: r.Common,
	}, true
}

// publish makes an entry of this host known to all hosts and to the log.
func (g *Guard) publish(ctx context.Context, e Entry) {
	dropped := g.addEntry(e, false)
	value, err := json.Marshal(e)
	if err != nil {
		log.WithField("digest", e.Digest).WithError(err).Error("quarantine entry can't be encoded")
		return
	}
	g.opts.Go("quarantine record", func() { g.persist(e.Digest, eventlog.Record{Key: e.key(), Value: value}) })
	for _, old := range dropped {
		g.opts.Go("quarantine record", func() { g.persist(old.Digest, eventlog.Record{Key: old.key()}) })
	}
	g.peers.Broadcast(ctx, Notice{Entry: e})
}

// persist writes a record to the topic. It retries until that succeeds or the record is outdated.
func (g *Guard) persist(d Digest, rec eventlog.Record) {
	for g.IsQuarantined(d) == (len(rec.Value) > 0) {
		ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
		err := g.opts.Write(ctx, rec)
		cancel()
		if err == nil {
			return
		}
		log.WithField("digest", d).WithError(err).Info("quarantine record not written, retrying")
		wait.For(context.Background(), persistRetryDelay)
	}
}

// quarantineMessages are the log messages about entries, by whether they are about parts.
var quarantineMessages = map[bool]string{false: "request quarantined", true: "part of prompts quarantined"}

// addEntry adds an entry and returns the entries that it evicted.
func (g *Guard) addEntry(e Entry, persisted bool) []Entry {
	g.mu.Lock()
	added, dropped := g.list.add(e, persisted)
	g.tally.forget(e.Digest)
	g.tally.attribute(e.Kind, e.Targets, time.Now())
	g.nonEmpty.Store(len(g.list.entries) > 0)
	g.mu.Unlock()
	if added {
		log.WithFields(log.Fields{
			"digest": e.Digest, "organisation": e.Organisation, "service": e.Service, "request": e.RequestID,
			"targets": strings.Join(e.Targets, ","), "decided_by": e.Host, "from_log": persisted, "kind": e.Kind, "part": e.Part,
		}).Warn(quarantineMessages[e.Kind.isPart()])
		g.opts.Count("quarantine_entries_total")
		g.opts.OnQuarantine(e.Digest)
	}
	return dropped
}

// lift ends the quarantine of a request at all hosts.
func (g *Guard) lift(d Digest, reason string) {
	e, had := g.removeEntry(d, reason)
	if !had {
		return
	}
	g.opts.Go("quarantine record", func() { g.persist(d, eventlog.Record{Key: e.key()}) })
	g.opts.Go("quarantine", func() {
		ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
		defer cancel()
		g.peers.Broadcast(ctx, Notice{Entry: e, Lifted: true})
	})
}

// removeEntry ends the quarantine of a request at this host.
func (g *Guard) removeEntry(d Digest, reason string) (e Entry, had bool) {
	g.mu.Lock()
	e, had = g.list.remove(d)
	g.nonEmpty.Store(len(g.list.entries) > 0)
	g.mu.Unlock()
	if had {
		log.WithFields(log.Fields{"digest": d, "reason": reason}).Warn("quarantine lifted")
	}
	return e, had
}
