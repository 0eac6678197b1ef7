// Package node puts the duties of a router host together and runs them.
package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/graceful"
	"maststage.dev/lib/guard"
	"maststage.dev/router/archive"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/fleet"
	"maststage.dev/router/forward"
	"maststage.dev/router/logcount"
	"maststage.dev/router/logging"
	"maststage.dev/router/observe"
	"maststage.dev/router/overload"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/replica"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/streampace"
	"maststage.dev/router/suspend"
	"maststage.dev/router/target"
	"maststage.dev/router/unread"
)

// Environment is how a router meets the systems around it: names and formats, no
// decisions.
type Environment struct {
	Log     eventlog.Log
	Headers forward.Headers
	// Topics of the shared log. Hosts, Budgets and Archive are this product's own.
	ConfigTopic, TargetsTopic, HostsTopic, BudgetsTopic, ArchiveTopic string
	// MaxRecordBytes is the size of the largest record that the log takes.
	MaxRecordBytes int
	// ConfigKey is the key of the configuration in its topic.
	ConfigKey    string
	DecodeConfig func(value []byte) (*routing.Config, error)
	DecodeTarget func(id string, value []byte) (target.Entry, error)
	// DecodeEvacuation reads the records in the configuration's topic that order
	// evacuations or take them back; ok is false for all others. nil: there are none.
	DecodeEvacuation func(rec eventlog.Record) (e routing.Evacuation, ok bool, err error)
	// StatusTopic is where the states of rollouts are kept.
	StatusTopic string
	// DecodeOrder reads the records in the configuration's topic that order rollouts, or take them
	// back: then only the service is set. ok is false for all others. nil: there are none.
	DecodeOrder func(rec eventlog.Record) (o rollout.Order, inForce, ok bool, err error)
	EncodeState func(r rollout.Record) eventlog.Record
	// DecodeState reads the records of states; ok is false for all others.
	DecodeState func(rec eventlog.Record) (r rollout.Record, ok bool, err error)
	// ReadyPath is where the platform asks whether the host is ready.
	ReadyPath string
}

// Node is one router host.
type Node struct {
	cfg          *settings.Settings // of the start
	reload       sync.Mutex
	latest       *settings.Settings // last reloaded, guarded by reload
	outside      Environment
	observer     *observe.Observer
	handler      *forward.Handler
	targets      *target.Registry
	treasury     *prepaid.Allocator
	fleet        *fleet.Fleet
	retries      *retrybudget.Set
	overload     *overload.Monitor
	unread       *unread.Tracker
	guard        *quarantine.Guard
	watch        *suspend.Detector
	woke         atomic.Pointer[wake] // from the newest suspension
	accounts     *accounts
	ignored      *logging.Limiter // of lines about entries that name no target
	rollouts     *rollouts
	calls        *logcount.Log
	limitNotices *limitNotices

	configCopy, targetsCopy, hostsCopy *replica.Replica

	server    *graceful.Server
	aux       []*http.Server // ready, peers, metrics
	pending   configQueue
	started   time.Time
	changed   chan struct{}             // a configuration is pending
	stopBegan atomic.Pointer[time.Time] // set by a planned stop
	stopping  chan struct{}
	stopOnce  sync.Once
}

// New puts a node together; Run starts it.
func New(cfg *settings.Settings, outside Environment, incarnation string) *Node {
	return newWith(cfg, outside, incarnation, suspend.SystemClocks())
}

// newWith is New with clocks of the caller's.
func newWith(cfg *settings.Settings, outside Environment, incarnation string, clocks suspend.Clocks) *Node {
	n := &Node{
		cfg: cfg, latest: cfg, outside: outside,
		observer:     observe.New(cfg.Output.LinesPerSecond),
		overload:     overload.New(),
		accounts:     newAccounts(incarnation),
		ignored:      logging.NewLimiter(ignoredEntryLines),
		started:      time.Now(),
		stopping:     make(chan struct{}),
		changed:      make(chan struct{}, 1),
		limitNotices: newLimitNotices(),
	}
	n.calls = logcount.New(outside.Log, n.countCall)
	n.outside.Log = n.calls
	n.targets = target.NewRegistry(target.Options{
		Domain:      cfg.Host.Domain,
		Regions:     cfg.Host.RegionOf(),
		DrainLimit:  drainPart(settings.Milliseconds(cfg.Bounds.DrainMs)),
		DialTimeout: settings.Milliseconds(cfg.Targets.DialMs),
		IdleTimeout: settings.Milliseconds(cfg.Targets.IdleMs),
		MaxIdle:     cfg.Targets.MaxIdle,
		UserTimeout: settings.Milliseconds(cfg.Targets.UserTimeoutMs),
		OnDial:      func() { n.observer.Count("target_connections_total") },
		Elected:     n.elected,
		Hosts:       n.hostCount,
	})
	n.targets.SetLimitBounds(limitBounds(cfg.Bounds))
	n.copies()
	n.rollouts = n.newRollouts(incarnation)
	n.newGuard()
	n.newFleet(incarnation)
	n.guard.SetPeers(n.fleet)
	n.retries = retrybudget.NewSet(retryLimits(cfg), n.knownHosts, time.Now())
	n.newTreasury(incarnation)
	n.unread = unread.New(int64(cfg.Callers.UnreadBytes), func() { n.observer.Count("callers_cut_total") })
	n.handler = forward.New(forward.Options{
		Names: outside.Headers, Targets: n.targets, Budgets: n.treasury, Retries: n.retries,
		Meter: streampace.New(), Overload: n.overload, Quarantine: n.guard, Unread: n.unread,
		Observer: n.observer, CloseConnections: n.leaving, MayBegin: n.admits, Suspended: n.lost, Rollouts: n.rollouts,
	})
	n.watch = suspend.New(clocks, n.resumed)
	n.gauges()
	return n
}

// knownHosts counts the hosts, 0 before it is known which there are.
func (n *Node) knownHosts() int {
	if !n.hostsCopy.Loaded() {
		return 0
	}
	return n.fleet.Size()
}

// lost is how long the host was suspended in all.
func (n *Node) lost() time.Duration { return n.watch.Total() }

// drainPart is the part of the time allowed in which a leaving target may still
// be chosen when no other is left.
func drainPart(d time.Duration) time.Duration { return d / 2 }

func (n *Node) copies() {
	poll, slack := settings.Milliseconds(n.cfg.Log.LongPollMs), settings.Milliseconds(n.cfg.Log.TimeoutMs)
	copyOf := func(topic string, pace time.Duration, onChange func([]replica.Change)) *replica.Replica {
		return replica.New(replica.Options{
			Log: n.outside.Log, Partition: eventlog.Partition{Topic: topic}, LongPoll: poll, ReadTimeout: slack, MinInterval: pace,
			OnChange:       onChange,
			OnConnectivity: func(err error) { n.contact(topic, err) },
			Hosts:          n.hostCount,
		})
	}
	pace := settings.Milliseconds(n.cfg.Log.PaceMs)
	n.configCopy = copyOf(n.outside.ConfigTopic, 0, n.configChanged)
	n.targetsCopy = replica.New(replica.Options{
		Log: n.outside.Log, Partition: eventlog.Partition{Topic: n.outside.TargetsTopic}, LongPoll: poll, ReadTimeout: slack, MinInterval: pace,
		OnChange:       n.targetsChanged,
		OnConnectivity: func(err error) { n.contact(n.outside.TargetsTopic, err) },
		Relay: func(ctx context.Context, from int64) (replica.Update, bool) {
			return n.fleet.Relay(ctx, n.outside.TargetsTopic, from)
		},
		DedupKey: n.targetMeaning,
		Hosts:    n.hostCount,
	})
	n.hostsCopy = copyOf(n.outside.HostsTopic, hostsPace, n.hostsChanged)
}

// hostCount counts the hosts as far as they are known.
func (n *Node) hostCount() int { return n.fleet.Size() }

// noTarget is the meaning of an entry that names no target to use.
type noTarget struct{}

// targetMeaning is what counts of an entry of the list: most records are heartbeats,
// which change nothing.
func (n *Node) targetMeaning(rec eventlog.Record) any {
	if len(rec.Value) == 0 {
		return nil
	}
	entry, err := n.outside.DecodeTarget(rec.Key, rec.Value)
	if err != nil {
		return noTarget{}
	}
	return entry
}

// Paces of what hosts do for each other.
const (
	hostsPace     = 3 * time.Second
	announceEvery = 8 * time.Second
	pullEvery     = 300 * time.Millisecond
	peerTimeout   = 500 * time.Millisecond
)

func (n *Node) newFleet(incarnation string) {
	n.fleet = fleet.New(fleet.Options{
		Self: fleet.Host{
			Name: n.cfg.Host.Name, Incarnation: incarnation, Address: n.cfg.Host.PeerListen, Domain: n.cfg.Host.Domain,
		},
		Log: n.outside.Log, Topic: n.outside.HostsTopic, Seeds: n.cfg.Host.Seeds,
		AnnounceInterval: announceEvery, PullInterval: pullEvery, CallTimeout: peerTimeout,
		Replicas: map[string]*replica.Replica{
			n.outside.ConfigTopic:  n.configCopy,
			n.outside.TargetsTopic: n.targetsCopy,
			n.outside.HostsTopic:   n.hostsCopy,
		},
		Lend:       func(ctx context.Context, ask prepaid.LoanRequest) prepaid.Loan { return n.treasury.Lend(ctx, ask) },
		Recall:     func(id string) int64 { return n.treasury.Recall(id) },
		Credit:     func(gift prepaid.Transfer) bool { return n.treasury.Credit(gift) },
		History:    func() prepaid.LimitHistory { return n.treasury.History() },
		Quarantine: n.guard,
		Rollouts:   n.rollouts,
		OnPull:     func(outcome string) { n.observer.Count(fmt.Sprintf("pulls_total{outcome=%q}", outcome)) },
	})
}

// Figures of the second copies of topics.
const (
	// archiveEvery bounds how old the copy is that a host starts with. A copy costs some
	// 30 KB at each of archiveCopies partitions.
	archiveEvery    = time.Second
	archivePatience = 150 * time.Millisecond
	archiveCopies   = 3
)

// newArchive keeps second copies of configuration and list for starts while the log
// is out of reach in part.
func (n *Node) newArchive() *archive.Archive {
	return archive.New(archive.Options{
		Log: n.outside.Log, Topic: n.outside.ArchiveTopic, MaxRecordBytes: n.outside.MaxRecordBytes,
		Partitions:    min(archiveCopies, n.cfg.Log.Partitions),
		WriteInterval: archiveEvery, FallbackDelay: archivePatience, CallTimeout: settings.Milliseconds(n.cfg.Log.TimeoutMs),
		Replicas: map[string]*replica.Replica{
			n.outside.ConfigTopic:  n.configCopy,
			n.outside.TargetsTopic: n.targetsCopy,
		},
		IsWriter: func() bool { return n.fleet.IsPrimary(n.outside.ArchiveTopic) },
	})
}

func (n *Node) newTreasury(incarnation string) {
	b := n.cfg.Budgets
	n.treasury = prepaid.New(prepaid.Options{
		Log: n.outside.Log, Topic: n.outside.BudgetsTopic, Partitions: n.cfg.Log.Partitions,
		Host:              n.cfg.Host.Name + "/" + incarnation,
		Sizing:            plan(n.cfg),
		Timeout:           settings.Milliseconds(n.cfg.Log.TimeoutMs),
		RefreshInterval:   settings.Milliseconds(b.IntervalMs),
		MaxWait:           settings.Milliseconds(b.WaitMs),
		Hosts:             n.fleet.Size,
		Keepers:           n.keepers,
		Borrow:            n.fleet.Borrow,
		BorrowFromKeepers: n.fleet.BorrowFromKeepers,
		TransferIdle:      n.fleet.TransferIdle,
		BeforeTransfer:    func(h prepaid.Holding) { n.accounts.tell([]prepaid.Holding{h}) },
		FetchHistory:      n.fleet.FetchHistory,
		AllHostsLost:      n.fleet.AllHostsLost,
		LogAvailable:      func() bool { up, _ := n.configCopy.Up(); return up },
		OnCall:            func(outcome string) { n.observer.Count(fmt.Sprintf("budget_appends_total{outcome=%q}", outcome)) },
	})
}

// keepers says how many hosts hold the tokens of a budget and whether this one is among
// them: it is not before it knows the other hosts, or it would take the slice of a host
// that is alone.
func (n *Node) keepers(organisation string) (count int, self bool) {
	if !n.hostsCopy.Loaded() {
		return 1, false
	}
	return n.fleet.Keepers(organisation)
}

// elected says whether this host is one of those that share a duty: never before it knows
// the other hosts, nor once it has told them that it leaves.
func (n *Node) elected(duty string, count int) (hosts int, self bool) {
	if !n.hostsCopy.Loaded() || n.Draining() {
		return count, false
	}
	return n.fleet.Elected(duty, count)
}

// contact logs that the log was lost or regained.
func (n *Node) contact(topic string, err error) {
	entry := log.WithFields(log.Fields{"dependency": "log", "topic": topic})
	if err != nil {
		entry.WithError(err).Warn("dependency lost")
		return
	}
	entry.Info("dependency regained")
}

// Run serves until ctx ends or a planned stop is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	guard.Go("configuration copy", func() { n.configCopy.Run(ctx) })
	guard.Go("targets copy", func() { n.targetsCopy.Run(ctx) })
	guard.Go("hosts copy", func() { n.hostsCopy.Run(ctx) })
	guard.Go("configuration", func() { n.applyConfigs(ctx) })
	guard.Go("archive", func() { n.newArchive().Run(ctx) })
	guard.Go("fleet", func() { n.fleet.Run(ctx) })
	guard.Go("treasury", func() { n.treasury.Run(ctx) })
	guard.Go("quarantine", func() { n.guard.Run(ctx) })
	guard.Go("limits of targets", func() { n.followLimits(ctx) })
	guard.Go("unread answers", func() { n.unread.Run(ctx) })
	guard.Go("rollouts", func() { n.rollouts.run(ctx) })
	guard.Go("suspensions", func() { n.watch.Run(ctx) })
	guard.Go("housekeeping", func() { n.housekeeping(ctx) })
	tellLast := n.tellAccounts(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopping:
	}
	n.drain(ctx)
	tellLast()
	return nil
}

// Draining says whether a planned stop has begun.
func (n *Node) Draining() bool { return n.stopBegan.Load() != nil }

// leaving says whether callers had better use other hosts.
func (n *Node) leaving() bool { return n.Draining() || n.overload.IsUnready(time.Now()) }

// Ready says whether the host takes new connections.
func (n *Node) Ready() bool {
	return !n.leaving() && n.handler.Config() != nil && n.targetsCopy.Loaded() && n.knowsQuarantine() && !n.catchingUp()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) housekeeping(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.targets.Sweep(now)
			n.shareConnections()
		}
	}
}
