package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Figures of the evidence against a request.
const (
	// endsToHold is how many targets must have ended under a request that had just begun,
	// or had not begun, to run. Where one of twelve targets ends by itself each second, one
	// of 6,771 requests that broke is held, as simulated; with two ends it is 87.
	endsToHold = 3
	// endsOfAnyRun is how many ends hold a request whatever it had done until then. A
	// stream that has run for long is rarely the cause, and under way at most ends: with
	// six in place of eight, 22 of the 6,771 are held.
	endsOfAnyRun = 8
	// youngRun is how long after its first event a request counts as just begun. Targets
	// were seen to end 0.07 to 0.11 s after such a run began. With a second, 24 more of
	// the 6,771 are held.
	youngRun = 300 * time.Millisecond
	// suspectMemory is how long a request is under suspicion after the newest end. One that
	// comes more rarely ends few targets.
	suspectMemory = 10 * time.Minute
	// maxSuspects bounds the requests under suspicion; some 300 bytes each.
	maxSuspects = 4096
)

// Report is an end of a target under a request.
type Report struct {
	Digest       Digest `json:"digest"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	RequestID    string `json:"request"`
	Target       string `json:"target"` // the incarnation that ended
	Early        bool   `json:"young"`  // the request had not run for long
}

// suspect is a request under which targets ended.
type suspect struct {
	newest Report
	ends   map[string]bool // by target, whether the request was young at its end
	at     time.Time       // of the newest end
}

func (s *suspect) targets() []string { return slices.Sorted(maps.Keys(s.ends)) }

// guilty says whether the evidence suffices.
func (s *suspect) guilty() bool {
	young := 0
	for _, y := range s.ends {
		if y {
			young++
		}
	}
	return young >= endsToHold || len(s.ends) >= endsOfAnyRun
}

// tally counts the ends of targets by request. One end breaks many requests, at many
// hosts, so it counts once for each of them, whoever tells of it. It is not safe for
// concurrent use.
type tally struct {
	suspects  map[Digest]*suspect
	explained map[string]time.Time // targets whose end a held request has brought about
}

func newTally() *tally {
	return &tally{suspects: map[Digest]*suspect{}, explained: map[string]time.Time{}}
}

// add takes a report in and gives the evidence against its request, nil if the end is
// explained by another one.
func (t *tally) add(r Report, now time.Time) *suspect {
	if _, ok := t.explained[r.Target]; ok {
		return nil
	}
	s := t.suspects[r.Digest]
	if s == nil || now.Sub(s.at) > suspectMemory {
		t.makeRoom(now)
		s = &suspect{ends: map[string]bool{}}
		t.suspects[r.Digest] = s
	}
	s.newest, s.at = r, now
	s.ends[r.Target] = s.ends[r.Target] || r.Early
	return s
}

// ends counts the ends under a request.
func (t *tally) ends(d Digest) int {
	if s := t.suspects[d]; s != nil {
		return len(s.ends)
	}
	return 0
}

func (t *tally) forget(d Digest) { delete(t.suspects, d) }

// explain takes the ends that a held request has brought about from what counts against
// others: those were under way beside it.
func (t *tally) explain(targets []string, now time.Time) {
	for target, at := range t.explained {
		if now.Sub(at) > suspectMemory {
			delete(t.explained, target)
		}
	}
	for _, target := range targets {
		t.explained[target] = now
		for d, s := range t.suspects {
			delete(s.ends, target)
			if len(s.ends) == 0 {
				delete(t.suspects, d)
			}
		}
	}
}

// makeRoom forgets what is too old and, if that is not enough, the oldest.
func (t *tally) makeRoom(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Digest
	var at time.Time
	for d, s := range t.suspects {
		if now.Sub(s.at) > suspectMemory {
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
