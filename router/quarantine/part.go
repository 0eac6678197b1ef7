package quarantine

import (
	"crypto/sha256"
	"time"
)

// Kind says what is quarantined.
type Kind string

// The kinds. Exits count against a part twice: for the organisation whose requests they interrupt, and for all. So an
// organisation that crashes targets by itself can't have a part quarantined that others use.
const (
	KindRequest    Kind = ""           // requests of the same content
	KindPart       Kind = "part"       // an organisation's requests with a part in their prompts
	KindCommonPart Kind = "commonpart" // all requests with a part in their prompts
)

// isPart reports whether the kind is about parts of prompts.
func (k Kind) isPart() bool { return k != KindRequest }

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string // as callers name it
	Own    Digest // identifies it in requests of one organisation
	Common Digest // identifies it in all requests
}

// maxParts bounds the parts of one prompt that count.
const maxParts = 32

// PartsOf returns the parts of a prompt for the requests of an organisation at a service: engines of different services
// have nothing in common.
func PartsOf(service, organisation string, ids []string) []Part {
	ids = ids[:min(len(ids), maxParts)]
	parts := make([]Part, len(ids))
	for i, id := range ids {
		parts[i] = Part{ID: id, Own: partDigest(KindPart, service, organisation, id), Common: partDigest(KindCommonPart, service, "", id)}
	}
	return parts
}

func partDigest(kind Kind, service, organisation, id string) Digest {
	h := sha256.New()
	for _, field := range []string{string(kind), service, organisation, id} {
		writeField(h, []byte(field))
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

// survivalGenerationSize is the number of parts in a generation of survivals, of some 60 bytes each; two are kept.
const survivalGenerationSize = 4096

// survivals remembers when targets last survived parts: a target that ran a request with the part well past the time at
// which it would have crashed, or to its end. It is not safe for concurrent use.
type survivals struct {
	newer, older map[Digest]time.Time
}

func newSurvivals() *survivals {
	return &survivals{newer: map[Digest]time.Time{}, older: map[Digest]time.Time{}}
}

func (s *survivals) add(part Digest, at time.Time) {
	if last, ok := s.last(part); ok && last.After(at) {
		return
	}
	if _, known := s.newer[part]; !known && len(s.newer) >= survivalGenerationSize {
		s.older, s.newer = s.newer, make(map[Digest]time.Time, survivalGenerationSize)
	}
	s.newer[part] = at
}

// last returns when a target last survived the part.
func (s *survivals) last(part Digest) (at time.Time, ok bool) {
	if at, ok = s.newer[part]; !ok {
		at, ok = s.older[part]
	}
	return at, ok
}

// RecordSurvival notes that a target ran a request with these parts well past the time at which each would have crashed it.
// A quarantined part among them is lifted.
func (g *Guard) RecordSurvival(parts []Part) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	now := time.Now()
	var wrong []Digest
	for _, p := range parts {
		g.survivals.add(p.Common, now)
		g.tally.forgetPart(p.Common)
		if g.nonEmpty.Load() {
			wrong = append(wrong, g.list.ofPart(p.Common)...)
		}
	}
	g.mu.Unlock()
	for _, d := range wrong {
		g.lift(d, "a target survived the part")
	}
}

// SurvivedAgo returns how long ago this host last saw a target survive a part.
func (g *Guard) SurvivedAgo(part Digest) (ago time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.survivals.last(part)
	return time.Since(at), ok
}

// Hold says whether a request may be sent as far as the parts of its prompt are concerned.
type Hold int

// The holds.
const (
	NotHeld Hold = iota
	Held         // an entry about one of the parts keeps it from being sent
	Trial        // there is such an entry, and the request is to be sent once to try it
)

// QuarantinedPart reports whether a request with these parts may be sent, and returns the entry if it is held.
func (g *Guard) QuarantinedPart(parts []Part) (Entry, Hold) {
	if !g.nonEmpty.Load() {
		return Entry{}, NotHeld
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.list.about(parts)
	switch {
	case len(entries) == 0:
		return Entry{}, NotHeld
	case g.mayTry(entries, parts, time.Now()):
		return Entry{}, Trial
	}
	return entries[0], Held
}

// PartExits returns the most target exits that this host attributes to one of the parts, of those that no target is known
// to have survived.
func (g *Guard) PartExits(parts []Part) (exits int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range parts {
		if _, survived := g.survivals.last(p.Common); !survived {
			exits = max(exits, g.tally.exits(p.Own), g.tally.exits(p.Common))
		}
	}
	return exits
}

// RecordPartExits notes that a request with these parts, which was sent at a time, was interrupted because its target
// exited. Only exits soon after the request's first event, or before it, say something about parts.
func (g *Guard) RecordPartExits(r Report, parts []Part, sent time.Time) {
	if !r.Early {
		return
	}
	g.narrow(parts, sent)
	for _, p := range parts {
		if ago, ok := g.SurvivedAgo(p.Common); ok && time.Since(sent) > ago {
			continue // another request with the part began since then, or ran on, and did not crash its target
		}
		r.Part, r.Common = p.ID, p.Common
		r.Kind, r.Digest = KindPart, p.Own
		g.record(r)
		r.Kind, r.Digest = KindCommonPart, p.Common
		g.record(r)
	}
}
