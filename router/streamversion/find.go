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
	// maxListAge is the age up to which a host relies on its list of targets without asking others.
	maxListAge = 2 * time.Second
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
	FromOwnList    Source = "own_list"    // the targets that this host knows have one version
	FromPeersLists Source = "peers_lists" // so do those that other hosts know
	FromNone       Source = "none"
)

// Finding is what is known of where a stream began.
type Finding struct {
	Origin          Origin // set if Verdict is Found
	Verdict         Verdict
	Source          Source
	Versions        []string // of the services' targets, as far as they were looked up
	Asked, Answered int      // other hosts
}

// Find returns where the stream of a key began; services are those that run such streams now. If no host knows the stream,
// and the services' targets have had one version of late, it began at that one; the Service of the Origin is then empty
// unless there is just one service.
func (d *Directory) Find(ctx context.Context, k Key, services []string) Finding {
	f := d.find(ctx, k, services)
	d.opts.Count(fmt.Sprintf("stream_origins_total{source=%q}", f.Source))
	return f
}

func (d *Directory) find(ctx context.Context, k Key, services []string) Finding {
	now := time.Now()
	d.mu.Lock()
	s := d.table.get(k, now)
	d.mu.Unlock()
	if s != nil {
		return Finding{Origin: s.origin, Verdict: verdictOf(s.ambiguous), Source: FromOwnTable}
	}
	search := &search{versions: map[string]bool{}}
	for _, service := range services {
		search.addVersions(d.opts.Versions(service))
	}
	fresh := d.opts.ListAge() <= maxListAge
	if fresh && len(services) == 1 && len(search.versions) == 1 {
		return search.finding(search.sole(services), Found, FromOwnList)
	}
	list := d.peers.Holders(k)
	list = list[:min(len(list), maxAsked)]
	for len(list) > 0 && search.found == nil {
		n := min(len(list), firstAsked)
		if search.asked > 0 {
			n = len(list)
		}
		d.ask(ctx, list[:n], Question{Key: k, Services: services}, search)
		list = list[n:]
	}
	switch {
	case search.found != nil:
		d.remember(k, *search.found)
		return search.finding(*search.found.Origin, verdictOf(search.found.Ambiguous), FromPeer)
	case len(search.versions) == 1 && (fresh || search.answered > 0 || search.asked == 0):
		return search.finding(search.sole(services), Found, FromPeersLists)
	case search.answered < search.asked:
		return search.finding(Origin{}, Unreachable, FromNone)
	}
	return search.finding(Origin{}, Unknown, FromNone)
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
	versions        map[string]bool // that the services' targets have had
}

// finding makes a finding of the search.
func (s *search) finding(o Origin, v Verdict, from Source) Finding {
	return Finding{Origin: o, Verdict: v, Source: from, Versions: slices.Sorted(maps.Keys(s.versions)), Asked: s.asked, Answered: s.answered}
}

func (s *search) addVersions(versions []string) {
	for _, v := range versions {
		s.versions[v] = true
	}
}

// sole is the origin if the targets have had one version only.
func (s *search) sole(services []string) (o Origin) {
	for v := range s.versions {
		o.Version = v
	}
	if len(services) == 1 {
		o.Service = services[0]
	}
	return o
}

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
		for service, versions := range a.Versions {
			if slices.Contains(q.Services, service) {
				s.addVersions(versions)
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
