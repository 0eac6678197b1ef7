package quarantine

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// Peers are the other hosts.
type Peers interface {
	// CountingHosts lists the addresses of the hosts that count the target exits under a request, or
	// under a part of prompts, without this host. All hosts get the same ranking. rank is this host's
	// rank in it, or the number of counting hosts if it is not one of them.
	CountingHosts(kind Kind, d Digest) (others []string, rank int)
	// Report reports target exits to a counting host.
	Report(ctx context.Context, address string, reports []Report) error
	// Cleared asks all hosts whether a request completed at one of them.
	Cleared(ctx context.Context, d Digest) bool
	// Survived asks all hosts how long ago a target last survived a part.
	Survived(ctx context.Context, part Digest) (ago time.Duration, ok bool)
	// Broadcast sends a notice to all hosts.
	Broadcast(ctx context.Context, n Notice)
}

// Options configure a Guard.
type Options struct {
	Host string // this host's name
	// Write writes a record to the topic that stores entries. It returns nil once the record is
	// stored.
	Write func(ctx context.Context, rec eventlog.Record) error
	// OnQuarantine is called for each request that was quarantined; it must not block.
	OnQuarantine func(d Digest)
	// Count increments a counter.
	Count func(name string)
	// Go starts a goroutine.
	Go func(duty string, f func())
}

// Guard detects the requests, and the parts of prompts, that crash targets and keeps requests from being sent because of
// them.
//
// Pattern: a request that crashes any target that runs it may come again at any host, each time under
// another id. No host sees more than some of its attempts, so target exits are counted at a few hosts,
// chosen for each request by rendezvous hashing. They quarantine the request when three targets exited
// under it, unless a host has seen it complete, notify all hosts, and write an entry to the log for
// hosts that start later or could not be reached.
//
// A part of a prompt may crash targets whatever else a request holds, so that no two such requests are alike. Exits are counted
// for each shared part in the same way. Innocent parts come with the guilty one all the time, and are told from it by requests
// that targets survive: each host remembers when that last happened for a part. A part that a target survived before the
// exits began has to be there at more of them.
//
// The alternative is to report each exit to all hosts, each of which then decides by itself. For one
// request to be quarantined, with 13 requests interrupted by each of three exits, 300 hosts then make
// 11,960 calls of 1.6 MB in total, instead of 714 calls of 0.09 MB; 8 hosts make 161 instead of 93
// (simulated; in neither design was the request sent too late).
type Guard struct {
	opts     Options
	peers    Peers
	reports  chan Report
	nonEmpty atomic.Bool // there are entries

	mu        sync.Mutex
	cleared   *clearedSet
	survivals *survivals
	tally     *tally
	list      *entryList
	deciding  map[Digest]bool
}

// maxReports bounds the reports waiting to be sent. One exit interrupts at most as many requests of a
// host as a target has slots.
const maxReports = 512

// New makes a guard without entries; Run sends its reports.
func New(opts Options) *Guard {
	return &Guard{
		opts: opts, reports: make(chan Report, maxReports),
		cleared: newClearedSet(), survivals: newSurvivals(), tally: newTally(), list: newEntryList(), deciding: map[Digest]bool{},
	}
}

// SetPeers sets the other hosts. It is called once, before the guard is used.
func (g *Guard) SetPeers(p Peers) { g.peers = p }

// IsQuarantined reports whether a request is in quarantine.
func (g *Guard) IsQuarantined(d Digest) bool {
	if !g.nonEmpty.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, held := g.list.entries[d]
	return held
}

// Len counts the requests in quarantine.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.list.entries)
}

// Entries lists the requests in quarantine.
func (g *Guard) Entries() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.list.entries))
}

// TargetExits counts the target exits under a request that this host knows of.
func (g *Guard) TargetExits(d Digest) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tally.exits(d)
}

// IsEarlyExit reports whether a target exit counts as early if it interrupted a request this long after
// its first event; 0: before it.
func IsEarlyExit(ran time.Duration) bool { return ran < earlyExitWindow }

// RecordCompletion notes that a target completed a request.
func (g *Guard) RecordCompletion(d Digest) {
	g.mu.Lock()
	g.cleared.add(d)
	g.tally.forget(d)
	_, held := g.list.entries[d]
	g.mu.Unlock()
	if held {
		g.lift(d, "the request completed")
	}
}

// IsCleared reports whether this host has seen a request complete.
func (g *Guard) IsCleared(d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cleared.has(d)
}

// RecordExit notes that a request of this host was interrupted because its target exited.
func (g *Guard) RecordExit(r Report) {
	if g.IsCleared(r.Digest) {
		return
	}
	g.record(r)
}

// record counts a report of this host and sends it to the counting hosts.
func (g *Guard) record(r Report) {
	g.AddReports([]Report{r})
	select {
	case g.reports <- r:
	default:
		g.opts.Count(`quarantine_reports_total{outcome="dropped"}`)
	}
}

// AddReports counts reports of this host or of others.
func (g *Guard) AddReports(reports []Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, r := range reports {
		_, held := g.list.entries[r.Digest]
		if held || g.cleared.has(r.Digest) {
			continue
		}
		_, survived := g.survivals.last(r.Common)
		s := g.tally.add(r, now, r.Kind.isPart() && survived)
		if s != nil && s.sufficient() && !g.deciding[r.Digest] {
			g.deciding[r.Digest] = true
			g.opts.Go("quarantine", func() { g.decide(r.Kind, r.Digest) })
		}
	}
}

// HandleNotice applies another host's decision. A host that has seen the request complete lifts the
// quarantine at all hosts.
func (g *Guard) HandleNotice(n Notice) {
	d := n.Entry.Digest
	switch {
	case n.Lifted:
		g.removeEntry(d, "another host lifted it")
	case g.IsCleared(d):
		g.addEntry(n.Entry, false)
		g.lift(d, "the request completed at this host")
	default:
		g.addEntry(n.Entry, false)
	}
}

// ApplyChanges applies records of the topic that stores entries. A record without a value, written by an
// operator or a host, lifts the quarantine.
func (g *Guard) ApplyChanges(changes []replica.Change) {
	for _, c := range changes {
		text, ok := strings.CutPrefix(c.Record.Key, KeyPrefix)
		if !ok {
			continue
		}
		d, err := ParseDigest(text)
		if err != nil {
			log.WithField("key", c.Record.Key).WithError(err).Error("ignoring an invalid quarantine record")
			continue
		}
		if len(c.Record.Value) == 0 {
			g.removeEntry(d, "its record was deleted")
			continue
		}
		e, err := parseEntry(d, c.Record.Value)
		if err != nil {
			log.WithField("digest", d).WithError(err).Error("ignoring an invalid quarantine record")
			continue
		}
		g.addEntry(e, true)
	}
}

// Unpersisted lists the entries that were not read back from the topic yet: hosts that can't read the
// topic get them from each other.
func (g *Guard) Unpersisted() []Entry {
	if !g.nonEmpty.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list.unpersisted()
}
