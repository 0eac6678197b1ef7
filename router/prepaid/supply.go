package prepaid

import "time"

// Load pattern: an organisation whose tokens are gone for some seconds, while hundreds of its requests a second
// arrive at many hosts. If each of them searches for tokens, it waits a few hundred milliseconds for a refusal that
// was certain before, which is time that its caller lacks at another attempt, and lenders answer thousands of calls
// in vain. So one search at a time and organisation runs beside the requests; they are refused by what it found.

// Parameters of the searches for tokens.
const (
	// searchDelay is how long a request looks for tokens itself before a search begins beside it. Loans take less.
	searchDelay = 25 * time.Millisecond
	// minSearchPause and maxSearchPause bound the pause between two searches for the same tokens.
	minSearchPause = 50 * time.Millisecond
	maxSearchPause = 250 * time.Millisecond
	// surveyTimeout bounds a survey of the lenders.
	surveyTimeout = 100 * time.Millisecond
	// maxFindingAge is how long requests are refused by a finding: a pause and a survey with some margin. No request
	// is refused although its tokens have been in reach for longer.
	maxFindingAge = 500 * time.Millisecond
)

// finding is the result of a search.
type finding int

const (
	inReach finding = iota // tokens can be had, or it isn't certain that none can
	logAway                // no lender has enough, and the log doesn't respond to any host that can lend
	spent                  // no lender has enough, and the log has no more
)

// supply is what the last search found of the tokens that a host lacks of one budget. It is guarded by the
// Allocator's lock.
type supply struct {
	found     finding
	foundAt   time.Time
	least     int64 // a shortfall of this many tokens or more can't be met
	since     time.Time
	refused   int64 // smallest shortfall refused since the last search; 0: none
	failures  int   // searches in a row that found none
	searching bool
	dry       chan struct{} // closed when a search finds that no tokens are in reach
}

// refuses reports whether a shortfall certainly can't be met, and records it if so.
func (s *supply) refuses(shortfall int64, now time.Time) bool {
	if s.found == inReach || shortfall < s.least || now.Sub(s.foundAt) > maxFindingAge {
		return false
	}
	s.want(shortfall)
	return true
}

// want makes the next search look for a shortfall.
func (s *supply) want(shortfall int64) {
	if s.refused == 0 || shortfall < s.refused {
		s.refused = max(shortfall, 1)
	}
}

// record notes what a search for a shortfall found. It reports whether the state changed.
func (s *supply) record(shortfall int64, found finding, now time.Time) (changed bool) {
	changed = (s.found == inReach) != (found == inReach)
	s.found, s.foundAt, s.least = found, now, shortfall
	if found == inReach {
		s.failures = 0
		return changed
	}
	s.failures++
	if changed {
		s.since = now
	}
	if s.dry != nil {
		close(s.dry)
		s.dry = nil
	}
	return changed
}

// pause is the time until the next search.
func (s *supply) pause() time.Duration {
	return min(minSearchPause<<min(s.failures, 8), maxSearchPause)
}

// dryFound returns the channel that is closed when a search finds that no tokens are in reach.
func (s *supply) dryFound() <-chan struct{} {
	if s.dry == nil {
		s.dry = make(chan struct{})
	}
	return s.dry
}

// Survey asks what other hosts could lend.
type Survey struct {
	Organisation string
	Tokens       int64 // smallest number that is of use
}

// SurveyAnswer is one lender's answer to a Survey, which debits no tokens.
type SurveyAnswer struct {
	Keeper bool  // the lender obtains allocations of the budget
	Lends  bool  // it would lend the tokens now
	Free   int64 // what it could lend at all
	Log    bool  // the log responds to it
	Spent  bool  // the log has too few tokens
}

// SurveyResult is what the lenders answered; silent ones are missing.
type SurveyResult struct {
	Answers []SurveyAnswer
	// Unknown says that some lender doesn't know surveys.
	Unknown bool
}

// judge returns what the answers of other hosts and of this one mean for a shortfall.
func (r SurveyResult) judge(own SurveyAnswer, shortfall int64) finding {
	if r.Unknown || r.lendable(shortfall) {
		return inReach
	}
	// Keepers know their accounts best; the others count where no keeper reaches the log.
	answers := append(r.Answers[:len(r.Answers):len(r.Answers)], own)
	for _, keepers := range []bool{true, false} {
		found := logAway
		for _, answer := range answers {
			switch {
			case answer.Keeper != keepers || !answer.Log:
			case !answer.Spent:
				return inReach
			default:
				found = spent
			}
		}
		if found == spent {
			return spent
		}
	}
	return logAway
}

// lendable reports whether the hosts that answered hold enough for a shortfall and would lend it.
func (r SurveyResult) lendable(shortfall int64) bool {
	parts := int64(0)
	for _, answer := range r.Answers {
		if answer.Lends {
			return true
		}
		// A lender with enough that doesn't lend it reserves it for larger requests.
		if answer.Free < shortfall {
			parts += answer.Free
		}
	}
	return parts >= shortfall
}
