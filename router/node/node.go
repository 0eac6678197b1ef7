// Package node assembles the components of a router host and runs them.
package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/graceful"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/inbound"
	"maststage.dev/router/capacity"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/fleet"
	"maststage.dev/router/forward"
	"maststage.dev/router/intake"
	"maststage.dev/router/logcount"
	"maststage.dev/router/logging"
	"maststage.dev/router/observe"
	"maststage.dev/router/overload"
	"maststage.dev/router/permit"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/reach"
	"maststage.dev/router/replica"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/rollout"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/streampace"
	"maststage.dev/router/streamversion"
	"maststage.dev/router/suspend"
	"maststage.dev/router/target"
	"maststage.dev/router/tunnel"
	"maststage.dev/router/unread"
	"maststage.dev/router/unsent"
)

// Environment is a router's interface to the systems around it: the shared log, and names and formats.
// It makes no decisions.
type Environment struct {
	Log eventlog.Log
	// Groups divides duties among hosts that don't know each other yet. nil: there are none.
	Groups  eventlog.Groups
	Headers forward.Headers
	// Topics of the shared log. Hosts, Budgets and Archive are private to the routers.
	ConfigTopic, TargetsTopic, HostsTopic, BudgetsTopic, ArchiveTopic string
	// StreamsTopic is a topic without keys, private to the routers: where streams began. Empty: that is not recorded.
	StreamsTopic string
	// UsesTopic is a keyed one: at which services and versions streams may have begun. Empty: that is not recorded.
	UsesTopic string
	// MaxRecordBytes is the size of the largest record that the log accepts.
	MaxRecordBytes int
	// ConfigKey is the key of the configuration in its topic.
	ConfigKey    string
	DecodeConfig func(value []byte) (*routing.Config, error)
	DecodeTarget func(id string, value []byte) (target.Entry, error)
	// DecodeEvacuation decodes the records of the configuration's topic that order or withdraw
	// evacuations; ok is false for all others. nil: there are none.
	DecodeEvacuation func(rec eventlog.Record) (e routing.Evacuation, ok bool, err error)
	// StatusTopic is the topic of the states of rollouts.
	StatusTopic string
	// DecodeOrder decodes the records of the configuration's topic that order rollouts, or withdraw
	// an order: then only the service is set. ok is false for all others. nil: there are none.
	DecodeOrder func(rec eventlog.Record) (o rollout.Order, inForce, ok bool, err error)
	EncodeState func(r rollout.Record) eventlog.Record
	// DecodeState decodes the records of rollout states; ok is false for all others.
	DecodeState func(rec eventlog.Record) (r rollout.Record, ok bool, err error)
	// DecodeBrittle reads what a target's response says of its brittleness, see forward.Options. nil: they don't say.
	DecodeBrittle func(h http.Header) (forward.Brittleness, error)
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// PeerTransport carries the calls to other hosts; nil: TCP connections.
	PeerTransport http.RoundTripper
}

// Node is one router host.
type Node struct {
	cfg            *settings.Settings // at the start
	reloadMu       sync.Mutex
	reloaded       *settings.Settings // last reloaded; guarded by reloadMu
	env            Environment
	observer       *observe.Observer
	handler        *forward.Handler
	targets        *target.Registry
	reach          *reach.Monitor
	tunnels        *tunnel.Dialer
	tunnelServer   *tunnel.Server
	permits        *permit.Client
	permitServer   *permit.Server
	peerKey        string // that other hosts have to present to open tunnels and sessions of permits
	allocator      *prepaid.Allocator
	fleet          *fleet.Fleet
	holders        *fleet.Holders
	retries        *retrybudget.Set
	overload       *overload.Monitor
	capacity       *capacity.Host // nil: the link's speed is unknown
	unread         *unread.Tracker
	unsent         *unsent.Tracker
	guard          *quarantine.Guard
	streams        *streamversion.Directory
	streamPast     *streamversion.Past
	streamJournal  *streamversion.Journal // nil: the log has no topic for it
	intake         *intake.Gate
	inbound        *inbound.Account
	suspensions    *suspend.Detector
	lastWake       atomic.Pointer[wake] // of the newest suspension
	balances       *balanceLog
	invalidEntries *logging.Limiter // limits lines about invalid entries
	rollouts       *rollouts
	calls          *logcount.Log
	limitNotices   *limitNotices

	configReplica, targetsReplica, hostsReplica *replica.Replica

	logEra     atomic.Int64  // newest era of the log that a replica has noticed
	eraChanged chan struct{} // full: logEra has changed

	server         *graceful.Server
	auxServers     []*http.Server // readiness, peers, metrics
	pendingConfigs configQueue
	started        time.Time
	configQueued   chan struct{}             // a configuration is queued
	stopStarted    atomic.Pointer[time.Time] // set when a graceful shutdown begins
	stopGrace      atomic.Int64              // its grace time, in nanoseconds; set before it begins
	stopping       chan struct{}
	stopOnce       sync.Once
}

// New makes a node; Run starts it.
func New(cfg *settings.Settings, env Environment, incarnation string) *Node {
	return newWithClocks(cfg, env, incarnation, suspend.SystemClocks())
}

// newWithClocks is New with the given clocks.
func newWithClocks(cfg *settings.Settings, env Environment, incarnation string, clocks suspend.Clocks) *Node {
	n := &Node{
		cfg: cfg, reloaded: cfg, env: env,
		observer:       observe.New(cfg.Output.LinesPerSecond),
		overload:       overload.New(),
		balances:       newBalanceLog(incarnation),
		invalidEntries: logging.NewLimiter(invalidEntryLinesPerSecond),
		started:        time.Now(),
		stopping:       make(chan struct{}),
		configQueued:   make(chan struct{}, 1),
		eraChanged:     make(chan struct{}, 1),
		limitNotices:   newLimitNotices(),
		reach:          reach.New(),
		intake:         intake.New(),
	}
	n.inbound = newInbound(cfg, func() { n.observer.Count("clients_evicted_total") })
	n.capacity = capacity.New(cfg.Capacity.LinkMbps, n.leaving)
	n.calls = logcount.New(env.Log, n.countCall)
	n.env.Log = n.calls
	n.targets = target.NewRegistry(target.Options{
		Domain:             cfg.Host.Domain,
		Regions:            cfg.Host.RegionOf(),
		DrainLimit:         drainWindow(settings.Milliseconds(cfg.Bounds.DrainMs)),
		DialTimeout:        settings.Milliseconds(cfg.Targets.DialMs),
		IdleTimeout:        settings.Milliseconds(cfg.Targets.IdleMs),
		MaxIdle:            cfg.Targets.MaxIdle,
		UserTimeout:        settings.Milliseconds(cfg.Targets.UserTimeoutMs),
		OnDial:             func() { n.observer.Count("target_connections_total") },
		OnDialed:           func(o reach.Outcome) { n.observer.Count(fmt.Sprintf("target_dials_total{outcome=%q}", o)) },
		LocalIP:            net.ParseIP(cfg.Host.DialIP),
		Reach:              n.reach,
		Tunnels:            n.newTunnels(),
		OnBrittle:          n.brittle,
		OnMalformedBrittle: func(error) { n.observer.Count("brittle_unreadable_total") },
		Elected:            n.elected,
		Hosts:              n.hostCount,
	})
	n.targets.SetLimitBounds(limitBounds(cfg.Bounds))
	n.newReplicas()
	n.rollouts = n.newRollouts(incarnation)
	n.newGuard()
	n.newStreams()
	n.holders = fleet.NewHolders(n.heldForItself)
	n.newTunnelServer()
	n.newPermits(incarnation)
	n.newFleet(incarnation)
	n.guard.SetPeers(n.fleet)
	n.streams.SetPeers(n.fleet)
	n.retries = retrybudget.NewSet(retryLimits(cfg), n.knownHosts, time.Now())
	n.newAllocator(incarnation)
	n.unread = unread.New(int64(cfg.Callers.UnreadBytes), func() { n.observer.Count("callers_cut_total") })
	n.inbound.Include(n.unread.Held)
	n.unsent = unsent.New(unsent.Limits{
		Total: int64(cfg.Targets.UnreadBytes), PerTarget: int64(cfg.Targets.UnreadBytesPerTarget),
	}, func() { n.observer.Count("unread_requests_aborted_total") })
	n.handler = forward.New(forward.Options{
		Names: env.Headers, Targets: n.targets, Budgets: n.allocator, Retries: n.retries,
		StreamPace: streampace.New(), Overload: n.overload, Capacity: n.capacity, Permits: n.permits, DecodeBrittle: env.DecodeBrittle, Quarantine: n.guard, Unread: n.unread, Unsent: n.unsent,
		Observer: n.observer, CloseConnections: n.closesAll, MayBegin: n.admits, EndsAt: n.endsAt, Suspended: n.suspendedTime, Rollouts: n.rollouts, StreamVersions: n.streams, OnLack: n.lacksConnections,
		ConfigAge: n.configAge, ConfigAgeLimit: n.configAgeLimit,
	})
	n.suspensions = suspend.New(clocks, n.resumed)
	n.registerGauges()
	return n
}

// knownHosts counts the hosts, 0 before they are known.
func (n *Node) knownHosts() int {
	if !n.hostsReplica.Loaded() {
		return 0
	}
	return n.fleet.Size()
}

// suspendedTime is how long the host was suspended in total.
func (n *Node) suspendedTime() time.Duration { return n.suspensions.Total() }

// drainWindow is the part of the time allowed in which a draining target may still be chosen if there is
// no other.
func drainWindow(d time.Duration) time.Duration { return d / 2 }

func (n *Node) newReplicas() {
	longPoll, readTimeout := settings.Milliseconds(n.cfg.Log.LongPollMs), settings.Milliseconds(n.cfg.Log.TimeoutMs)
	newReplica := func(topic string, minInterval, keepLost time.Duration, onChange func([]replica.Change)) *replica.Replica {
		return replica.New(replica.Options{
			Log: n.env.Log, Partition: eventlog.Partition{Topic: topic}, LongPoll: longPoll, ReadTimeout: readTimeout, MinInterval: minInterval,
			OnChange:       onChange,
			OnConnectivity: func(err error) { n.logConnectivity(topic, err) },
			Hosts:          n.peakHostCount,
			LongPollNow:    n.longPoll,
			Interval:       func() time.Duration { return n.topicInterval(minInterval) },
			Follow:         n.follow(topic),
			KeepLost:       keepLost, OnRestored: n.eraSeen,
		})
	}
	minInterval := settings.Milliseconds(n.cfg.Log.PaceMs)
	n.configReplica = newReplica(n.env.ConfigTopic, 0, operatorRewriteTime, n.configChanged)
	n.targetsReplica = replica.New(replica.Options{
		Log: n.env.Log, Partition: eventlog.Partition{Topic: n.env.TargetsTopic}, LongPoll: longPoll, ReadTimeout: readTimeout, MinInterval: minInterval,
		LongPollNow:    n.longPoll,
		Interval:       n.listInterval,
		OnChange:       n.targetsChanged,
		OnConnectivity: func(err error) { n.logConnectivity(n.env.TargetsTopic, err) },
		Relay: func(ctx context.Context, from eventlog.Position) (replica.Update, bool) {
			return n.fleet.Relay(ctx, n.env.TargetsTopic, from)
		},
		Follow:     n.follow(n.env.TargetsTopic),
		DedupKey:   n.targetDedupKey,
		Hosts:      n.peakHostCount,
		OnRestored: n.eraSeen,
	})
	n.hostsReplica = newReplica(n.env.HostsTopic, hostsPollInterval, hostsRewriteTime, n.hostsChanged)
}

// hostCount counts the hosts as far as they are known.
func (n *Node) hostCount() int { return n.fleet.Size() }

// Intervals of the communication between hosts.
const (
	hostsPollInterval = 3 * time.Second
	announceInterval  = 8 * time.Second
	pullInterval      = 300 * time.Millisecond
	peerTimeout       = 500 * time.Millisecond
)

func (n *Node) newFleet(incarnation string) {
	n.fleet = fleet.New(fleet.Options{
		Self: fleet.Host{
			Name: n.cfg.Host.Name, Incarnation: incarnation, Address: n.cfg.Host.PeerListen, Domain: n.cfg.Host.Domain,
			PeerKey: n.peerKey, LinkMbps: n.cfg.Capacity.LinkMbps, StreamVersions: true, VersionRecords: true, PromptParts: true,
		},
		Tunnels: n.tunnelServer, Permits: n.permitServer, Transport: n.env.PeerTransport,
		Groups: n.groups(), OnSource: n.refreshReplicas, ReadAlone: map[string]bool{n.env.ConfigTopic: true},
		Log: n.env.Log, Topic: n.env.HostsTopic, Seeds: n.cfg.Host.Seeds,
		AnnounceInterval: announceInterval, PullInterval: pullInterval, CallTimeout: peerTimeout,
		Replicas: map[string]*replica.Replica{
			n.env.ConfigTopic:  n.configReplica,
			n.env.TargetsTopic: n.targetsReplica,
			n.env.HostsTopic:   n.hostsReplica,
		},
		Lend: func(ctx context.Context, request prepaid.LoanRequest) prepaid.Loan {
			return n.allocator.Lend(ctx, request)
		},
		Recall:       func(id string) int64 { return n.allocator.Recall(id) },
		AnswerSurvey: func(survey prepaid.Survey) prepaid.SurveyAnswer { return n.allocator.AnswerSurvey(survey) },
		Credit:       func(transfer prepaid.Transfer) bool { return n.allocator.Credit(transfer) },
		Witness: func(organisation string, record prepaid.Account, at eventlog.Position) bool {
			return n.allocator.Witness(organisation, record, at)
		},
		History:    func() prepaid.LimitHistory { return n.allocator.History() },
		Quarantine: n.guard, StreamVersions: n.streams,
		Aggregates: n.aggregates(),
		Holders:    n.holders,
		Rollouts:   n.rollouts,
		OnPull:     func(outcome string) { n.observer.Count(fmt.Sprintf("pulls_total{outcome=%q}", outcome)) },
	})
}

func (n *Node) newAllocator(incarnation string) {
	b := n.cfg.Budgets
	n.allocator = prepaid.New(prepaid.Options{
		Log: n.env.Log, Topic: n.env.BudgetsTopic, Partitions: n.cfg.Log.Partitions,
		Host:              n.cfg.Host.Name + "/" + incarnation,
		Sizing:            allocationSizing(n.cfg),
		Timeout:           settings.Milliseconds(n.cfg.Log.TimeoutMs),
		RefreshInterval:   settings.Milliseconds(b.IntervalMs),
		MaxWait:           settings.Milliseconds(b.WaitMs),
		Hosts:             n.hostsToShareWith,
		PeakHosts:         n.peakHosts,
		Keepers:           n.keepers,
		Borrow:            n.fleet.Borrow,
		BorrowFromKeepers: n.fleet.BorrowFromKeepers,
		Survey:            n.fleet.Survey,
		OnRefusal:         func(reason prepaid.Reason) { n.observer.Count(fmt.Sprintf("budget_refusals_total{reason=%q}", reason)) },
		TransferIdle:      n.fleet.TransferIdle,
		BeforeTransfer:    func(h prepaid.Holding) { n.balances.write([]prepaid.Holding{h}) },
		FetchHistory:      n.fleet.FetchHistory,
		AllHostsLost:      n.fleet.AllHostsLost,
		HostsConfirmed:    func(era int64) bool { return n.hostsReplica.Loaded() && n.fleet.HostsConfirmed(era) },
		OnConfirmed:       n.fleet.ConfirmEra,
		Unconfirmed:       n.fleet.Unconfirmed,
		Witness:           n.fleet.Witness,
		LogIsNew:          n.fleet.LogIsNew,
		OnWrittenOff:      n.writtenOff,
		LogAvailable:      func() bool { up, _ := n.configReplica.Up(); return up },
		LogSilence:        n.logSilence,
		OnCall:            func(outcome string) { n.observer.Count(fmt.Sprintf("budget_appends_total{outcome=%q}", outcome)) },
	})
}

// keepers returns how many hosts hold the tokens of a budget and whether this host is one of them.
// self is false until this host knows the others: it would otherwise assume that it is the only host,
// and take an allocation sized for a single one.
func (n *Node) keepers(organisation string) (count int, self bool) {
	if !n.hostsReplica.Loaded() || !n.fleet.SizeKnown() {
		return 1, false
	}
	return n.fleet.Keepers(organisation)
}

// elected reports whether this host is one of those that share a duty. self is false until this host
// knows the others, and once it drains.
func (n *Node) elected(duty string, count int) (hosts int, self bool) {
	if !n.hostsReplica.Loaded() || n.Draining() {
		return count, false
	}
	return n.fleet.Elected(duty, count)
}

// logConnectivity logs that the log became unavailable or available again.
func (n *Node) logConnectivity(topic string, err error) {
	entry := log.WithFields(log.Fields{"dependency": "log", "topic": topic})
	if err != nil {
		entry.WithError(err).Warn("dependency unavailable")
		return
	}
	entry.Info("dependency available again")
}

// Run serves until ctx ends or a graceful shutdown is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	n.startTasks(ctx)
	logLast := n.startBalanceLog(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopping:
	}
	n.drain(ctx)
	logLast()
	return nil
}

// startTasks starts all that runs beside the servers, until ctx ends.
func (n *Node) startTasks(ctx context.Context) {
	guard.Go("configuration copy", func() { n.configReplica.Run(ctx) })
	guard.Go("targets copy", func() { n.targetsReplica.Run(ctx) })
	guard.Go("hosts copy", func() { n.hostsReplica.Run(ctx) })
	guard.Go("configuration", func() { n.applyConfigs(ctx) })
	guard.Go("archive", func() { n.newArchive().Run(ctx) })
	guard.Go("fleet", func() { n.fleet.Run(ctx) })
	guard.Go("treasury", func() { n.allocator.Run(ctx) })
	guard.Go("quarantine", func() { n.guard.Run(ctx) })
	n.startStreams(ctx)
	guard.Go("limits of targets", func() { n.exchangeLimits(ctx) })
	guard.Go("capacity", func() { n.capacity.Run(ctx) })
	guard.Go("unread answers", func() { n.unread.Run(ctx) })
	guard.Go("unread requests", func() { n.unsent.Run(ctx) })
	guard.Go("rollouts", func() { n.rollouts.run(ctx) })
	guard.Go("eras of the log", func() { n.followEras(ctx) })
	guard.Go("suspensions", func() { n.suspensions.Run(ctx) })
	guard.Go("housekeeping", func() { n.housekeeping(ctx) })
}

// Draining reports whether a graceful shutdown has begun.
func (n *Node) Draining() bool { return n.stopStarted.Load() != nil }

// leaving reports whether callers should use other hosts because this one stops or is overloaded.
func (n *Node) leaving(now time.Time) bool { return n.Draining() || n.overload.IsUnready(now) }

// closesAll reports whether to close the connections of all callers. A host that takes no new callers because of the use
// of its link closes only connections of organisations that use too much of it.
func (n *Node) closesAll() bool {
	now := time.Now()
	return n.Draining() || n.overload.IsUnready(now) && !n.capacity.Out(now)
}

// Ready reports whether the host accepts new connections.
func (n *Node) Ready() bool {
	now := time.Now()
	takesCallers := !n.leaving(now) && !n.capacity.Out(now) && !n.intake.Unready(now)
	return takesCallers && n.handler.Config() != nil && n.targetsReplica.Loaded() && n.quarantineLoaded() && !n.catchingUp()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) housekeeping(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	sizeKnown := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.targets.Sweep(now)
			n.shareConnections()
			if known := n.fleet.SizeKnown(); known != sizeKnown {
				sizeKnown = known
				n.allocator.RequestRounds()
			}
		}
	}
}
