// Package fleet knows the other hosts. Each host announces itself in a keyed
// topic of the shared log; beside that, hosts pull from each other what they may
// have missed of the log while they could not reach it, and lend each other tokens.
package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/limit"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/replica"
)

// Host is the announcement of one host.
type Host struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // for other hosts, IP:port
	Domain      string `json:"domain"`  // failure domain
	Sequence    int64  `json:"beat"`    // counts the announcements of an incarnation
}

// Options configure a Fleet.
type Options struct {
	Self             Host
	Log              eventlog.Log
	Topic            string
	Seeds            []string
	AnnounceInterval time.Duration // between announcements
	PullInterval     time.Duration // between looks at whether to pull
	CallTimeout      time.Duration // of a call to another host
	// Replicas are the copies of the log's topics that hosts pull from each other,
	// by topic.
	Replicas map[string]*replica.Replica
	Lend     func(ctx context.Context, ask prepaid.LoanRequest) prepaid.Loan
	// Recall takes back a loan whose borrower got no answer.
	Recall func(id string) (tokens int64)
	// Credit takes in tokens that another host gives, once for each gift.
	Credit func(gift prepaid.Transfer) bool
	// History is what this host saw of the limits of budgets.
	History func() prepaid.LimitHistory
	// Quarantine takes part in finding requests that crash targets. nil: this host does not.
	Quarantine Quarantine
	// Rollouts conducts rollouts for other hosts. nil: this host does not.
	Rollouts Rollouts
	// OnPull counts the calls for what this host missed by their outcome, PullOK or
	// PullFailed. nil: they are not counted.
	OnPull func(outcome string)
}

// Outcomes of a pull.
const (
	PullOK     = "ok"
	PullFailed = "failed"
)

// known is what this host knows of another.
type known struct {
	host  Host
	seen  time.Time // when its announcement last changed
	young bool      // it had begun with this host or later when this one first heard of it
	told  bool      // it announced itself again since then
}

// Fleet is this host's view of the hosts.
type Fleet struct {
	opts    Options
	calls   *client
	recalls *recaller
	gifts   atomic.Int64 // counts the gifts of this incarnation
	started time.Time

	mu     sync.Mutex
	seeds  []string
	hosts  map[string]known
	silent map[string]time.Time // addresses that did not answer, and when
	parts  map[string]float64   // of all prepaid tokens, by organisation

	announced   time.Time     // when the log last took this host's announcement
	changed     time.Time     // when this host last read announcements
	announceNow chan struct{} // it is to be announced at once
	pulled      time.Time     // when the newest pull was asked that was answered

	othersThen []string // names of the other hosts, as of othersAt
	othersAt   time.Time

	born     time.Time // when this host started
	read     bool      // the topic was read
	before   int64     // records of the topic when it was read first
	lostThen bool      // all hosts were lost, as of lostAt
	lostAt   time.Time
}

// forgetAfter is how long a host counts without a new announcement. It is long:
// hosts that are cut off still take their share.
const forgetAfter = 45 * time.Second

// New makes a fleet of this host alone; Run fills it.
func New(opts Options) *Fleet {
	calls := newClient(opts.CallTimeout)
	return &Fleet{
		opts: opts, calls: calls, recalls: newRecaller(calls, opts.Self.Name+"/"+opts.Self.Incarnation),
		started: time.Now(), announced: time.Now(), changed: time.Now(), born: time.Now(), seeds: opts.Seeds, hosts: map[string]known{}, silent: map[string]time.Time{},
		announceNow: make(chan struct{}, 1),
	}
}

// HandleChanges takes in announcements from the log's copy.
func (f *Fleet) HandleChanges(changes []replica.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.othersAt, f.changed = time.Time{}, time.Now()
	f.noteFirst(changes)
	for _, c := range changes {
		name := c.Record.Key
		if strings.HasPrefix(name, quarantine.KeyPrefix) || strings.HasPrefix(name, limit.KeyPrefix) {
			continue // the topic keeps other things that hosts tell each other, too
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
			log.WithField("peer", name).WithError(err).Error("announcement can't be read")
			continue
		}
		if h.Name != name {
			log.WithField("peer", name).Error("announcement of another name is ignored")
			continue
		}
		old, had := f.hosts[name]
		again := had && old.host.Incarnation == h.Incarnation
		if !again {
			log.WithFields(log.Fields{"peer": name, "incarnation": h.Incarnation, "address": h.Address}).Info("host joined")
		}
		f.hosts[name] = known{host: h, seen: time.Now(), young: again && old.young || !again && h.Sequence <= f.mostBeats(time.Now()), told: again}
	}
}

// Size counts the hosts that may take a share of what hosts share, this one
// included. It is at least 1.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, total := f.domains()
	return total
}

// SetSeeds changes the addresses that are known beside the announcements.
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
	all.Wait()
}

func (f *Fleet) partition() eventlog.Partition { return eventlog.Partition{Topic: f.opts.Topic} }

// announce writes this host's record at once and then now and again.
func (f *Fleet) announce(ctx context.Context) {
	self := f.opts.Self
	for ctx.Err() == nil {
		self.Sequence++
		pause := f.announcePause()
		if err := f.write(ctx, self); err != nil {
			pause = min(pause, announceRetry)
		}
		f.untilAnnounce(ctx, pause/2+rand.N(pause))
	}
}

// Figures of announcements in a large fleet.
const (
	announceForHost = 16 * time.Millisecond // so that all hosts announce themselves some 60 times a second
	mostAnnounce    = 20 * time.Second      // half as much again is well below forgetAfter
)

// announcePause is the time between two announcements. Each is read by all hosts.
func (f *Fleet) announcePause() time.Duration {
	return max(f.opts.AnnounceInterval, min(time.Duration(f.Size())*announceForHost, mostAnnounce))
}

// untilAnnounce waits for the next announcement.
func (f *Fleet) untilAnnounce(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-f.announceNow:
	}
}

const announceRetry = 500 * time.Millisecond

func (f *Fleet) write(ctx context.Context, self Host) error {
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
	defer cancel()
	began := time.Now()
	if _, err = f.opts.Log.Append(c, f.partition(), []eventlog.Record{{Key: self.Name, Value: value}}); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = began
	return nil
}

// addresses lists the other hosts' addresses in random order, those of the
// settings included, since they are all that a host knows at its start.
func (f *Fleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{f.opts.Self.Address: true, "": true}
	var list []string
	for _, k := range f.hosts {
		if !seen[k.host.Address] {
			seen[k.host.Address] = true
			list = append(list, k.host.Address)
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

// Leave takes this host's announcement back.
func (f *Fleet) Leave(ctx context.Context) error {
	_, err := f.opts.Log.Append(ctx, f.partition(), []eventlog.Record{{Key: f.opts.Self.Name}})
	return err
}
