package streamversion

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits of a search for a stream among the other hosts.
const (
	// firstAsked is how many hosts are asked at first: those that were told, and one more in case that one of them is new.
	firstAsked = 3
	// maxAsked bounds the hosts that are asked in all. The order of hosts changes as hosts come and go.
	maxAsked   = 16
	askTimeout = 300 * time.Millisecond
	// journalTimeout bounds the wait for a read of the log.
	journalTimeout = 700 * time.Millisecond
	// listPollInterval is the time between two looks whether this host's list of targets was confirmed.
	listPollInterval = 5 * time.Millisecond
)

// Verdict says what is known of a stream.
type Verdict int

// The verdicts.
const (
	Found   Verdict = iota
	Unknown         // no host that could be asked knows it
	// Unreachable means that it is not known, and not all hosts that could know it responded.
	Unreachable
)

// Source says where a Finding comes from.
type Source string

// The sources.
const (
	FromOwnTable   Source = "own_table"   // this host remembers the stream
	FromPeer       Source = "peer"        // another host remembers it
	FromOwnList    Source = "own_list"    // by what this host knows, streams of the route can have begun at one origin only
	FromPeersLists Source = "peers_lists" // so they can by what this host and others know
	FromLog        Source = "log"         // the stream is recorded in the log
	FromNone       Source = "none"
)

// Finding is what is known of where a stream began.
type Finding struct {
	Origin          Origin // set if Verdict is Found
	Verdict         Verdict
	Source          Source
	Versions        []string // at which it may have begun, as far as they were looked up
	Covered         bool     // Versions are all there were, as far as that was looked up
	Asked, Answered int      // other hosts
}

// Find returns where the stream of a key began, a stream of a route that has the given services. If no host knows the
// stream, and streams of the route can have begun at one origin only, it began there.
func (d *Directory) Find(ctx context.Context, k Key, route string, services []string) Finding {
	f := d.find(ctx, k, route, services)
	d.opts.Count(fmt.Sprintf("stream_origins_total{source=%q}", f.Source))
	return f
}

func (d *Directory) find(ctx context.Context, k Key, route string, services []string) Finding {
	now := time.Now()
	d.mu.Lock()
	s := d.table.get(k, now)
	d.mu.Unlock()
	if s != nil {
		return Finding{Origin: s.origin, Verdict: verdictOf(s.ambiguous), Source: FromOwnTable}
	}
	d.opts.CatchUp()
	// What vouches for the origins comes first: the list and the records may be loaded meanwhile.
	covered := d.opts.Covers()
	l := &lookup{directory: d, started: now, question: Question{Key: k, Route: route, Services: services}, holders: d.peers.Holders(k)}
	l.holders = l.holders[:min(len(l.holders), maxAsked)]
	l.search = &search{origins: d.origins(route, services), covered: covered}
	if covered && len(l.search.origins) == 1 {
		if f, ok := l.confirmSole(ctx); ok {
			return f
		}
	}
	for len(l.holders) > 0 && l.search.found == nil {
		n := len(l.holders)
		if l.search.asked == 0 {
			n = min(n, firstAsked)
		}
		d.ask(ctx, l.next(n), l.question, l.search)
	}
	maps.Copy(l.search.origins, d.origins(route, services)) // the list may have been confirmed meanwhile
	complete := l.search.covered && (l.listConfirmed() || l.search.isMajority())
	switch {
	case l.search.found != nil:
		return l.found()
	case complete && len(l.search.origins) == 1:
		return l.search.finding(l.search.sole(), Found, FromPeersLists)
	}
	return d.findInJournal(ctx, k, l.search)
}

// lookup is one call of Find that the host's own table doesn't answer.
type lookup struct {
	directory *Directory
	started   time.Time
	question  Question
	holders   []string // those that were not asked yet
	search    *search
}

// next takes the next n hosts to ask.
func (l *lookup) next(n int) []string {
	n = min(n, len(l.holders))
	list := l.holders[:n]
	l.holders = l.holders[n:]
	return list
}

// listConfirmed reports whether this host's list of targets was confirmed since the lookup began. Only then does it have every
// version at which a stream can have begun that is looked up: one that was confirmed before may lack a version at which
// another host began the stream meanwhile.
func (l *lookup) listConfirmed() bool {
	return l.directory.opts.ConfirmedSince(l.started)
}

// found is the finding that another host knows the stream.
func (l *lookup) found() Finding {
	answer := *l.search.found
	l.directory.remember(l.question.Key, answer)
	return l.search.finding(*answer.Origin, verdictOf(answer.Ambiguous), FromPeer)
}

// confirmSole finds out whether the only origin that this host knows is the only one that streams of the route can have begun at:
// by its own list once that is confirmed, or by those of the hosts that would have been told of the stream, whichever comes
// first. ok is false if neither says so; the search then has what the hosts answered that were asked.
func (l *lookup) confirmSole(ctx context.Context) (f Finding, ok bool) {
	d := l.directory
	var asked chan *search
	for {
		if l.listConfirmed() {
			own := d.origins(l.question.Route, l.question.Services)
			if len(own) == 1 {
				return l.sole(ctx, FromOwnList), true
			}
			if asked != nil {
				l.search = <-asked
			}
			maps.Copy(l.search.origins, own)
			return Finding{}, false
		}
		if asked == nil {
			asked = make(chan *search, 1)
			first, s := l.next(firstAsked), &search{origins: maps.Clone(l.search.origins), covered: l.search.covered}
			d.opts.Go("stream version", func() {
				d.ask(ctx, first, l.question, s)
				asked <- s
			})
		}
		timer := time.NewTimer(listPollInterval)
		select {
		case l.search = <-asked:
			timer.Stop()
			if l.search.found == nil && l.search.answered == l.search.asked && len(l.search.origins) == 1 {
				return l.sole(ctx, FromPeersLists), true
			}
			return Finding{}, false
		case <-timer.C:
		}
	}
}

// sole is the finding that the stream began at the only origin, unless the log knows another one.
func (l *lookup) sole(ctx context.Context, from Source) Finding {
	if f, ok := l.directory.findOtherOrigin(ctx, l.question.Key, l.search); ok {
		return f
	}
	return l.search.finding(l.search.sole(), Found, from)
}

// findOtherOrigin looks for a stream in the log before this host concludes that it has the sole origin that it knows. A
// version that served for a moment may have no record yet as all hosts and its targets end.
func (d *Directory) findOtherOrigin(ctx context.Context, k Key, search *search) (f Finding, ok bool) {
	if d.opts.Followed() {
		return Finding{}, false
	}
	f = d.findInJournal(ctx, k, search)
	return f, f.Source == FromLog
}

// findInJournal looks for a stream in the log.
func (d *Directory) findInJournal(ctx context.Context, k Key, search *search) Finding {
	verdict := Unknown
	if search.answered < search.asked {
		verdict = Unreachable
	}
	if d.opts.Journal == nil {
		return search.finding(Origin{}, verdict, FromNone)
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	switch found, err := d.opts.Journal.find(ctx, k); {
	case err != nil:
		return search.finding(Origin{}, Unreachable, FromNone)
	case found != nil:
		d.remember(k, *found)
		return search.finding(*found.Origin, verdictOf(found.Ambiguous), FromLog)
	}
	return search.finding(Origin{}, verdict, FromNone)
}

// verdictOf is the verdict on a stream that is known.
func verdictOf(ambiguous bool) Verdict {
	if ambiguous {
		return Unknown
	}
	return Found
}

// search is what the hosts that were asked know.
type search struct {
	asked, answered int
	found           *Answer         // the first that knows the stream
	origins         map[Origin]bool // at which streams of the route may have begun
	covered         bool            // these are all
}

// isMajority reports whether this host and those that answered are most of all that could know: hosts that are cut off together
// know nothing of what the others have listed since.
func (s *search) isMajority() bool { return 2*(s.answered+1) > s.asked+1 }

// finding makes a finding of the search.
func (s *search) finding(o Origin, v Verdict, from Source) Finding {
	return Finding{Origin: o, Verdict: v, Source: from, Versions: s.versions(), Covered: s.covered, Asked: s.asked, Answered: s.answered}
}

// versions lists the origins' versions.
func (s *search) versions() []string {
	list := make([]string, 0, len(s.origins))
	for o := range s.origins {
		list = append(list, o.Version)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// sole is the origin if there is only one.
func (s *search) sole() Origin { return slices.Collect(maps.Keys(s.origins))[0] }

// ask asks hosts at the same time, until one of them knows the stream.
func (d *Directory) ask(ctx context.Context, addresses []string, q Question, s *search) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan *Answer, len(addresses))
	for _, address := range addresses {
		d.opts.Go("stream version", func() {
			a, err := d.peers.Ask(ctx, address, q)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &a
		})
	}
	s.asked += len(addresses)
	for range addresses {
		a := <-answers
		if a == nil {
			continue
		}
		s.answered++
		s.covered = s.covered || a.Covers == nil || *a.Covers
		for service, versions := range a.Versions {
			for _, version := range versions {
				s.origins[Origin{service, version}] = true
			}
		}
		if a.Origin != nil {
			s.found = a
			return
		}
	}
}

// remember keeps what another host knows.
func (d *Directory) remember(k Key, a Answer) {
	if a.Ambiguous {
		return
	}
	d.HandleAnnouncement([]Announcement{{Key: k, Origin: *a.Origin, KeepMs: a.KeepMs}})
}
