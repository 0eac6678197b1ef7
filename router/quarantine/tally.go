package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Thresholds of the evidence against a request.
const (
	// earlyExitsToQuarantine is how many targets must have exited under a request before or shortly
	// after its first event. In a simulation where one of twelve targets exits by itself each second,
	// this quarantines one of 6,771 interrupted requests; two exits would quarantine 87.
	earlyExitsToQuarantine = 3
	// exitsToQuarantine is how many exits quarantine a request however long it ran. A long stream is
	// in flight during many exits but rarely causes them: six instead of eight would quarantine 22 of
	// the 6,771.
	exitsToQuarantine = 8
	// earlyExitWindow is the time after the first event within which an exit is early. Crashing requests
	// were seen to end targets 0.07 to 0.11 s after they began to run. A window of one second would
	// quarantine 24 more of the 6,771.
	earlyExitWindow = 300 * time.Millisecond
	// earlyExitsDespiteSurvival is the same for a part that a target survived before. The guilty part is quarantined
	// before that, and its exits no longer count against others.
	earlyExitsDespiteSurvival = 5
	// minOrganisations is how many organisations' requests must have been interrupted for a part to be quarantined for all.
	minOrganisations = 2
	// suspectTTL is how long a request is suspect after the newest exit. One that comes more rarely
	// crashes few targets.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the suspect requests, of some 300 bytes each.
	maxSuspects = 4096
)

// Report is a target exit under a request.
type Report struct {
	Digest       Digest `json:"digest"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	RequestID    string `json:"request"`
	Target       string `json:"target"` // the incarnation that exited
	Early        bool   `json:"young"`  // the request had not run for long
	// Kind, and of a part its id and its digest in all requests.
	Kind   Kind   `json:"kind,omitempty"`
	Part   string `json:"part,omitempty"`
	Common Digest `json:"common,omitzero"`
}

// suspect is a request, or a part of prompts, under which targets exited.
type suspect struct {
	newest        Report
	exits         map[string]bool // by target, whether the exit was early
	first, at     time.Time       // of the first and the newest exit
	survived      bool            // a part that a target survived before the first exit
	organisations map[string]bool // whose requests were interrupted
}

func (s *suspect) targets() []string { return slices.Sorted(maps.Keys(s.exits)) }

// sufficient reports whether the evidence suffices to quarantine the request.
func (s *suspect) sufficient() bool {
	early := 0
	for _, wasEarly := range s.exits {
		if wasEarly {
			early++
		}
	}
	if s.newest.Kind == KindCommonPart && len(s.organisations) < minOrganisations {
		return false
	}
	if s.newest.Kind.isPart() && s.survived {
		return early >= earlyExitsDespiteSurvival
	}
	return early >= earlyExitsToQuarantine || len(s.exits) >= exitsToQuarantine
}

// tally counts target exits by request. One exit interrupts many requests at many hosts, so it counts
// once per request, whichever host reports it. It is not safe for concurrent use.
type tally struct {
	suspects   map[Digest]*suspect
	attributed map[string]attribution // targets whose exit something quarantined caused
}

// attribution says what the exit of a target is attributed to.
type attribution struct {
	at     time.Time
	toPart bool // only to parts, of which another one may be the guilty one
}

func newTally() *tally {
	return &tally{suspects: map[Digest]*suspect{}, attributed: map[string]attribution{}}
}

// add adds a report and returns its suspect, or nil if the exit is already attributed to another
// one. survived says that a target survived the part before.
func (t *tally) add(r Report, now time.Time, survived bool) *suspect {
	s := t.suspects[r.Digest]
	if s != nil {
		survived = s.survived
	}
	if to, ok := t.attributed[r.Target]; ok && !(to.toPart && r.Kind.isPart() && !survived) {
		return nil
	}
	if s == nil || now.Sub(s.at) > suspectTTL {
		t.evict(now)
		s = &suspect{exits: map[string]bool{}, first: now, survived: survived, organisations: map[string]bool{}}
		t.suspects[r.Digest] = s
	}
	s.newest, s.at = r, now
	s.exits[r.Target] = s.exits[r.Target] || r.Early
	s.organisations[r.Organisation] = true
	return s
}

// exits counts the exits under a request.
func (t *tally) exits(d Digest) int {
	if s := t.suspects[d]; s != nil {
		return len(s.exits)
	}
	return 0
}

func (t *tally) forget(d Digest) { delete(t.suspects, d) }

// forgetPart forgets the exits under a part, for all organisations.
func (t *tally) forgetPart(part Digest) {
	for d, s := range t.suspects {
		if s.newest.Kind.isPart() && s.newest.Common == part {
			delete(t.suspects, d)
		}
	}
}

// attribute stops the exits that a quarantined request or part caused from counting against others, which were merely in
// flight at the same targets. Of parts that came together, and that no target is known to have survived, any may be the
// guilty one: their exits go on counting.
func (t *tally) attribute(kind Kind, targets []string, now time.Time) {
	for target, to := range t.attributed {
		if now.Sub(to.at) > suspectTTL {
			delete(t.attributed, target)
		}
	}
	for _, target := range targets {
		before, known := t.attributed[target]
		t.attributed[target] = attribution{at: now, toPart: kind.isPart() && (!known || before.toPart)}
		for d, s := range t.suspects {
			if kind.isPart() && s.newest.Kind.isPart() && !s.survived {
				continue
			}
			delete(s.exits, target)
			if len(s.exits) == 0 {
				delete(t.suspects, d)
			}
		}
	}
}

// evict removes expired suspects and, if that does not suffice, the oldest one.
func (t *tally) evict(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Digest
	var at time.Time
	for d, s := range t.suspects {
		if now.Sub(s.at) > suspectTTL {
			delete(t.suspects, d)
			continue
		}
		if at.IsZero() || s.at.Before(at) {
			oldest, at = d, s.at
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, oldest)
	}
}
