// Package fleet keeps track of the other hosts and carries the calls between them. Each
// host announces itself in a keyed topic of the shared log. Hosts also pull from each other
// log records that they may have missed while the log was unreachable, and lend each other tokens.
package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/limit"
	"maststage.dev/router/logging"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/replica"
)

// Host is the announcement of one host.
type Host struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // where other hosts reach it, IP:port
	Domain      string `json:"domain"`  // failure domain
	Sequence    int64  `json:"beat"`    // number of this announcement within the incarnation
	// ConfirmedEra is the newest era of the log in which this host has written again what the log had lost of its grants.
	ConfirmedEra int64 `json:"era,omitempty"`
	// PeerKey is what other hosts present to open tunnels and sessions of permits. Earlier builds know neither and announce
	// none.
	PeerKey string `json:"peer_key,omitempty"`
	// LinkMbps is the speed of the host's network link in Mbit/s; 0: unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// StreamVersions says that the host remembers for others at which version streams began. Earlier builds don't.
	StreamVersions bool `json:"stream_versions,omitempty"`
	// VersionRecords says that the host keeps records of the versions at which streams may have begun. Earlier builds don't.
	VersionRecords bool `json:"version_records,omitempty"`
	// PromptParts says that the host counts target exits under parts of prompts. Earlier builds don't.
	PromptParts bool `json:"prompt_parts,omitempty"`
}

// Options configure a Fleet.
type Options struct {
	Self             Host
	Log              eventlog.Log
	Topic            string
	Seeds            []string
	AnnounceInterval time.Duration // between announcements
	PullInterval     time.Duration // between checks whether a pull is needed
	CallTimeout      time.Duration // of a call to another host
	// Groups divides the readers' places among hosts; nil: each host reads the log itself.
	Groups eventlog.Groups
	// ReadAlone holds the topics that followers read themselves while no reader responds: those of which the log can bear that
	// all hosts read them.
	ReadAlone map[string]bool
	// OnSource is called when reads in progress are from another source than this host has now. nil: nothing is called.
	OnSource func()
	// Replicas holds the replicas of the log's topics that hosts pull from each other, by topic.
	Replicas map[string]*replica.Replica
	Lend     func(ctx context.Context, ask prepaid.LoanRequest) prepaid.Loan
	// AnswerSurvey answers another host's survey of what hosts could lend; nil: not known, as in earlier builds.
	AnswerSurvey func(survey prepaid.Survey) prepaid.SurveyAnswer
	// Recall takes back a loan whose response did not reach the borrower.
	Recall func(id string) (tokens int64)
	// Credit adds tokens transferred by another host, once for each transfer.
	Credit func(transfer prepaid.Transfer) bool
	// Witness notes a record of an account that another host wrote, and reports whether this host knows it. nil: none.
	Witness func(organisation string, record prepaid.Account, at eventlog.Position) bool
	// History returns the changes of budget limits that this host has seen.
	History func() prepaid.LimitHistory
	// Quarantine detects requests that crash targets. nil: this host does not take part.
	Quarantine Quarantine
	// StreamVersions knows at which version streams began. nil: this host does not take part.
	StreamVersions StreamVersions
	// Rollouts coordinates rollouts for other hosts. nil: this host coordinates none.
	Rollouts Rollouts
	// Aggregates are the summaries that the hosts of a failure domain form together, by their names in calls.
	Aggregates map[string]Aggregate
	// Holders tells which hosts hold tokens of budgets that they are not keepers of; also one of the Aggregates. nil:
	// not known.
	Holders *Holders
	// Tunnels serves calls of other hosts that open tunnels. nil: they are refused as unknown.
	Tunnels http.Handler
	// Permits serves the sessions in which other hosts ask for permits. nil: they are refused as unknown.
	Permits http.Handler
	// Transport carries the calls to other hosts; nil: TCP connections.
	Transport http.RoundTripper
	// OnPull counts pulls by their outcome, PullOK or PullFailed. nil: they are not counted.
	OnPull func(outcome string)
}

// Outcomes of a pull.
const (
	PullOK     = "ok"
	PullFailed = "failed"
)

// peerState is what this host knows of another host.
type peerState struct {
	host        Host
	lastSeen    time.Time // when its announcement last changed
	restarted   bool      // when first seen, this incarnation had started no earlier than this host
	reannounced bool      // the same incarnation announced itself again since then
}

// Fleet is this host's view of all hosts.
type Fleet struct {
	opts          Options
	client        *client
	recalls       *recaller
	transferSeq   atomic.Int64 // transfers offered in this incarnation
	settlingSince time.Time
	exchange      exchanger
	readers       *readers
	followClient  *client
	pullClient    *client
	packs         packCache

	mu           sync.Mutex
	seeds        []string
	hosts        map[string]peerState
	silentSince  map[string]time.Time // when an address last failed to respond
	budgetShares map[string]float64   // of all prepaid tokens, 0 to 1, by organisation

	confirmedEra  int64         // see Host.ConfirmedEra
	lastAnnounced time.Time     // start of the last successful announcement of this host
	lastRead      time.Time     // when announcements were last read
	announceNow   chan struct{} // requests an immediate announcement
	lastPull      time.Time     // start of the newest successful pull

	cachedPeers   []string // names of the active peers, as of cachedPeersAt
	cachedPeersAt time.Time

	joinedLog    *logging.Limiter // limits lines about hosts that joined
	createdAt    time.Time        // when this host started
	lastJoined   time.Time        // when another host was first seen
	sizeKnown    bool             // see countsAllHosts
	peak         int              // see PeakSize
	peakAt       time.Time
	topicRead    bool  // the topic of announcements has been read
	initialEnd   int64 // end offset of the topic when it was first read
	cachedLost   bool  // result of AllHostsLost, as of cachedLostAt
	cachedLostAt time.Time
}

// peerExpiry is how long a host counts as active after its last announcement. It is long
// because hosts that are cut off from the log still use their share.
const peerExpiry = 45 * time.Second

// joinedLinesPerSecond bounds the log lines about hosts that joined: a host learns of all others at once.
const joinedLinesPerSecond = 50

// New returns a fleet that knows this host alone; HandleChanges adds the others.
func New(opts Options) *Fleet {
	calls := newClient(opts.CallTimeout, opts.Transport, maxIdleConns)
	f := &Fleet{
		opts: opts, client: calls, followClient: newDialingClient(opts.CallTimeout, patientDialTimeout, opts.Transport, maxIdleFollowConns), pullClient: newDialingClient(opts.CallTimeout, patientDialTimeout, opts.Transport, maxIdleConns), recalls: newRecaller(calls, opts.Self.Name+"/"+opts.Self.Incarnation),
		settlingSince: time.Now(), lastAnnounced: time.Now(), lastRead: time.Now(), createdAt: time.Now(), seeds: opts.Seeds, hosts: map[string]peerState{}, silentSince: map[string]time.Time{},
		announceNow: make(chan struct{}, 1), joinedLog: logging.NewLimiter(joinedLinesPerSecond),
		exchange: exchanger{host: opts.Self.Name, aggregates: opts.Aggregates},
	}
	f.readers = newReaders(f, opts.Groups, opts.OnSource)
	return f
}

// HandleChanges applies announcements from the replica of the topic.
func (f *Fleet) HandleChanges(changes []replica.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cachedPeersAt, f.lastRead = time.Time{}, time.Now()
	f.noteInitialEnd(changes)
	for _, c := range changes {
		name := c.Record.Key
		if strings.HasPrefix(name, quarantine.KeyPrefix) || strings.HasPrefix(name, limit.KeyPrefix) {
			continue // hosts publish other records in this topic, too
		}
		if len(c.Record.Value) == 0 {
			if _, had := f.hosts[name]; had {
				log.WithField("peer", name).Info("host left")
				delete(f.hosts, name)
			}
			continue
		}
		var h Host
		if err := json.Unmarshal(c.Record.Value, &h); err != nil {
			log.WithField("peer", name).WithError(err).Error("host announcement is not valid JSON")
			continue
		}
		if h.Name != name {
			log.WithField("peer", name).Error("ignored a host announcement whose name differs from its key")
			continue
		}
		old, had := f.hosts[name]
		again := had && old.host.Incarnation == h.Incarnation
		if !had {
			f.lastJoined = time.Now()
		}
		if !again {
			if ok, skipped := f.joinedLog.Allow(time.Now()); ok {
				log.WithFields(log.Fields{"peer": name, "incarnation": h.Incarnation, "address": h.Address, "skipped": skipped}).Info("host joined")
			}
		}
		f.hosts[name] = peerState{host: h, lastSeen: time.Now(), restarted: again && old.restarted || !again && h.Sequence <= f.maxSequence(time.Now()), reannounced: again}
	}
}

// Size counts the active hosts, which divide shared limits among them. It includes this host,
// so it is at least 1.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, total := f.domainSizes()
	return total
}

// SetSeeds replaces the configured addresses of other hosts.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Run announces this host and pulls from others until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { f.announce(ctx) })
	all.Go(func() { newPuller(f).run(ctx) })
	all.Go(func() { f.recalls.run(ctx) })
	all.Go(func() { f.readers.run(ctx) })
	all.Wait()
}

func (f *Fleet) partition() eventlog.Partition { return eventlog.Partition{Topic: f.opts.Topic} }

// announce writes this host's announcement at once and then at jittered intervals, until ctx ends.
func (f *Fleet) announce(ctx context.Context) {
	self := f.opts.Self
	for ctx.Err() == nil {
		self.Sequence++
		self.ConfirmedEra = f.ownConfirmedEra()
		pause := f.announceInterval()
		if err := f.writeAnnouncement(ctx, self); err != nil {
			pause = min(pause, announceRetryDelay)
		}
		f.waitForAnnounce(ctx, pause/2+rand.N(pause))
	}
}

// Bounds on announcements in a large fleet.
const (
	announcePerHost     = 16 * time.Millisecond // per host of the fleet, for some 60 announcements a second in all
	maxAnnounceInterval = 20 * time.Second      // half as much again is well below peerExpiry
	// requestSpreadPerHost, per host of the fleet, spreads announcements that all hosts request at the same moment.
	requestSpreadPerHost = 2 * time.Millisecond
)

// announceInterval is the mean time between two announcements. It grows with the fleet since
// all hosts read each announcement.
func (f *Fleet) announceInterval() time.Duration {
	return max(f.opts.AnnounceInterval, min(time.Duration(f.PeakSize())*announcePerHost, maxAnnounceInterval))
}

// waitForAnnounce waits until the next announcement is due or requested.
func (f *Fleet) waitForAnnounce(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-f.announceNow:
		wait.For(ctx, rand.N(time.Duration(f.PeakSize())*requestSpreadPerHost))
	}
}

const (
	announceRetryDelay = 500 * time.Millisecond
	// announceTimeout is longer than the log takes to append the announcements of a thousand hosts that start at once. A
	// host that gave up earlier would announce itself again while its first announcement still waits.
	announceTimeout = 3 * time.Second
)

func (f *Fleet) writeAnnouncement(ctx context.Context, self Host) error {
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	began := time.Now()
	if _, err = f.opts.Log.Append(c, f.partition(), []eventlog.Record{{Key: self.Name, Value: value}}); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAnnounced = began
	return nil
}

// addresses lists the other hosts' addresses in random order. It includes the configured
// seeds, which are all that a host knows at its start.
func (f *Fleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{f.opts.Self.Address: true, "": true}
	var list []string
	for _, peer := range f.hosts {
		if !seen[peer.host.Address] {
			seen[peer.host.Address] = true
			list = append(list, peer.host.Address)
		}
	}
	for _, seed := range f.seeds {
		if !seen[seed] {
			seen[seed] = true
			list = append(list, seed)
		}
	}
	return shuffled(list)
}

// Leave deletes this host's announcement.
func (f *Fleet) Leave(ctx context.Context) error {
	_, err := f.opts.Log.Append(ctx, f.partition(), []eventlog.Record{{Key: f.opts.Self.Name}})
	return err
}
