package prepaid

import "time"

// withheldSample is what a record withholds.
type withheldSample struct {
	since  time.Duration // when it was first seen, in the log's time
	era    int64         // of the record
	tokens int64
}

// withheldAfter is how many of the tokens that a record withholds are left after so many returns of the log.
func withheldAfter(tokens, returns int64) int64 { return tokens >> min(max(returns, 0), 62) }

// withheldWindow holds what was withheld by the records that a copy of the log may end with.
type withheldWindow struct {
	samples []withheldSample // of the records that this host has seen, oldest first
	unseen  withheldSample   // the most of other records, as their successor tells
	until   time.Duration    // when each copy has a later record than those
}

// addUnseen adds the records before one that this host has not seen.
func (w *withheldWindow) addUnseen(successor Account, now time.Duration) {
	if successor.RecentWithheld == 0 {
		return
	}
	left := recordedEverywhere
	if successor.RecentMs > 0 {
		left = min(left, time.Duration(successor.RecentMs)*time.Millisecond)
	}
	unseen := withheldSample{since: now, era: successor.Era, tokens: successor.RecentWithheld}
	if now < w.until {
		unseen.tokens = max(unseen.tokens, w.unseen.tokens)
		unseen.era = max(unseen.era, w.unseen.era)
	}
	w.unseen, w.until = unseen, max(w.until, now+left)
}

// recent returns the most that records withheld in an era, if it is more than a number of tokens, and for how long a
// copy may still end with one of them once another record is written now.
func (w *withheldWindow) recent(now time.Duration, era, above int64) (tokens int64, left time.Duration) {
	for i, s := range w.samples {
		if kept := withheldAfter(s.tokens, era-s.era); kept > above {
			superseded := now
			if i+1 < len(w.samples) {
				superseded = w.samples[i+1].since
			}
			tokens, left = max(tokens, kept), max(left, superseded+recordedEverywhere-now)
		}
	}
	if kept := withheldAfter(w.unseen.tokens, era-w.unseen.era); now < w.until && kept > above {
		tokens, left = max(tokens, kept), max(left, w.until-now)
	}
	return tokens, left
}

// coalesce is the time within which samples are one.
const coalesce = time.Second

// add adds a record that is seen at a time of the log.
func (w *withheldWindow) add(s withheldSample) {
	w.prune(s.since)
	if n := len(w.samples); n > 0 {
		last := &w.samples[n-1]
		if s.era == last.era && s.since-last.since < coalesce {
			last.tokens = max(last.tokens, s.tokens)
			return
		}
	}
	w.samples = append(w.samples, s)
}

// prune drops the records that were superseded so long ago that each copy has a later one.
func (w *withheldWindow) prune(now time.Duration) {
	for len(w.samples) > 1 && now-w.samples[1].since >= recordedEverywhere {
		w.samples = w.samples[1:]
	}
}

// tokens is the most that a record withholds.
func (w *withheldWindow) tokens(now time.Duration) (most int64) {
	w.prune(now)
	for _, s := range w.samples {
		most = max(most, s.tokens)
	}
	return most
}

// tokensInEra is the same with what is left of the tokens in a later era. Each return of the log may leave dead hosts
// behind that had taken tokens; each time half of what a record withholds is kept for the next.
func (w *withheldWindow) tokensInEra(now time.Duration, era int64) (most int64) {
	w.prune(now)
	for _, s := range w.samples {
		most = max(most, withheldAfter(s.tokens, era-s.era))
	}
	if now < w.until {
		most = max(most, withheldAfter(w.unseen.tokens, era-w.unseen.era))
	}
	return most
}
