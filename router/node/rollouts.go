package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
	"maststage.dev/router/rollout"
	"maststage.dev/router/settings"
	"maststage.dev/router/target"
)

// Timing of rollouts.
const (
	// evaluateInterval is the time between two evaluations of a rollout that this host coordinates.
	evaluateInterval = 500 * time.Millisecond
	// maxStateAge is how long ago the log must have confirmed the states for this host to decide.
	maxStateAge = 3 * time.Second
	// versionCountTTL is how long a count of a service's targets is cached: each request needs it while
	// a rollout is undecided, and counting all targets costs as much as choosing one.
	versionCountTTL = 200 * time.Millisecond
)

// rollouts is this host's part in rollouts: it follows orders and states, reports the outcomes of its
// requests, and coordinates rollouts when other hosts ask it to.
type rollouts struct {
	node          *Node
	gate          *rollout.Gate
	states        *replica.Replica
	ordersChanged chan struct{} // full: an order was given or withdrawn

	mu            sync.Mutex
	coordinators  map[rollout.Order]*rollout.Coordinator
	versionCounts map[string]versionCount // by service
}

// versionCount is how many targets of a service each version had at some time.
type versionCount struct {
	at       time.Time
	versions map[string]int
}

func (n *Node) newRollouts(incarnation string) *rollouts {
	r := &rollouts{node: n, ordersChanged: make(chan struct{}, 1), coordinators: map[rollout.Order]*rollout.Coordinator{}, versionCounts: map[string]versionCount{}}
	r.gate = rollout.NewGate(n.cfg.Host.Name+"/"+incarnation, r.ordersKnown)
	r.states = replica.New(replica.Options{
		Log: n.env.Log, Partition: eventlog.Partition{Topic: n.env.StatusTopic},
		LongPoll: settings.Milliseconds(n.cfg.Log.LongPollMs), ReadTimeout: settings.Milliseconds(n.cfg.Log.TimeoutMs),
		OnChange:       r.statesChanged,
		OnConnectivity: func(err error) { n.logConnectivity(n.env.StatusTopic, err) },
		Hosts:          n.peakHostCount,
		KeepLost:       hostsRewriteTime, OnRestored: n.eraSeen,
	})
	return r
}

// ordersKnown reports whether this host has read all orders given until t.
func (r *rollouts) ordersKnown(t time.Time) bool {
	return r.node.env.DecodeOrder == nil || r.node.configReplica.RefreshedSince(t) || r.node.fleet.PulledSince(t)
}

// Rule implements forward.Rollouts.
func (r *rollouts) Rule(a rollout.Request) rollout.Rule {
	now := time.Now()
	rule := r.gate.Rule(a, now)
	if rule.Only != "" || a.Resumed || !r.gate.Undecided(a.Service) {
		return rule
	}
	if version, ok := r.gate.LastResort(a.Service, r.listedVersions(a.Service, now)); ok {
		return rollout.Rule{Only: version, Share: 1}
	}
	return rule
}

// listedVersions counts the ready targets of a service by version, as of a moment ago.
func (r *rollouts) listedVersions(service string, now time.Time) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.versionCounts[service]
	if now.Sub(l.at) > versionCountTTL {
		l = versionCount{at: now, versions: r.node.targets.CountReadyByVersion(service)}
		r.versionCounts[service] = l
	}
	return l.versions
}

// Sent implements forward.Rollouts.
func (r *rollouts) Sent(a rollout.Request, version string) { r.gate.RequestSent(a, version) }

// Ended implements forward.Rollouts.
func (r *rollouts) Ended(a rollout.Request, version string, outcome rollout.Outcome) {
	r.gate.RequestEnded(a, version, outcome)
	if !outcome.Inconclusive && r.gate.Undecided(a.Service) {
		r.node.observer.Count(fmt.Sprintf("version_answers_total{service=%q,version=%q,failed=\"%t\"}", a.Service, version, outcome.Failed))
	}
}

// noteVersion notes the version of a listed target.
func (r *rollouts) noteVersion(e target.Entry) { r.gate.NoteVersion(e.Service, e.Version, time.Now()) }

// orderChanged applies a record that gives or withdraws an order, if it is one. An invalid one changes
// nothing.
func (r *rollouts) orderChanged(c replica.Change) bool {
	if r.node.env.DecodeOrder == nil {
		return false
	}
	order, inForce, ok, err := r.node.env.DecodeOrder(c.Record)
	fields := log.Fields{"service": order.Service, "version": order.Version, "period": order.Period, "offset": c.Record.Position}
	changed := false
	switch {
	case !ok:
		return false
	case err != nil:
		log.WithFields(log.Fields{"key": c.Record.Key, "offset": c.Record.Position}).WithError(err).Error("ignoring an invalid rollout order")
	case inForce:
		if changed = r.gate.SetOrder(order, time.Now()); changed {
			log.WithFields(fields).Info("rollout ordered")
		}
	default:
		if changed = r.gate.WithdrawOrder(order.Service); changed {
			log.WithFields(fields).Info("rollout order withdrawn")
		}
	}
	if changed {
		select {
		case r.ordersChanged <- struct{}{}:
		default:
		}
	}
	return true
}

// statesChanged applies changes of the states of rollouts.
func (r *rollouts) statesChanged(changes []replica.Change) {
	for _, c := range changes {
		rec, ok, err := r.node.env.DecodeState(c.Record)
		switch {
		case !ok:
		case err != nil:
			log.WithFields(log.Fields{"key": c.Record.Key, "offset": c.Record.Position}).WithError(err).Error("ignoring an invalid rollout state")
		default:
			log.WithFields(log.Fields{"service": rec.Service, "version": rec.Version, "state": rec.State, "base": rec.Base, "barred": rec.Barred}).Info("rollout state received")
			r.gate.SetRecord(rec)
		}
	}
}

// run takes part in rollouts until ctx ends. Without a rollout it makes no calls.
func (r *rollouts) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ordersChanged:
			r.follow(ctx)
		}
	}
}

// undecided reports whether any rollout is undecided.
func (r *rollouts) undecided() bool {
	return len(r.gate.UndecidedOrders()) > 0 || len(r.gate.OrphanedRecords()) > 0
}

// follow takes part until all rollouts are decided, as far as this host knows.
func (r *rollouts) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	all.Go(func() { r.states.Run(ctx) })
	all.Go(func() { r.coordinateAll(ctx) })
	for ctx.Err() == nil && (r.undecided() || !r.states.Loaded()) {
		for order := range r.gate.UndecidedOrders() {
			r.report(ctx, order)
		}
		wait.For(ctx, wait.Jitter(rollout.ReportInterval(r.node.fleet.Size())))
	}
}

// report sends this host's report to the coordinating host.
func (r *rollouts) report(ctx context.Context, o rollout.Order) {
	report, ok := r.gate.Report(o)
	if !ok {
		return
	}
	if advice, ok := r.node.fleet.ReportRollout(ctx, report); ok {
		r.gate.SetAdvice(o.Service, o.Version, advice, r.node.fleet.Size(), time.Now())
	}
}

// Coordinate implements fleet.Rollouts.
func (r *rollouts) Coordinate(report rollout.Report) rollout.Advice {
	order, received, ok := r.orderOf(report)
	if !ok {
		return rollout.Advice{Phase: rollout.PhaseHeld} // this host has not read the order yet
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.coordinators[order]
	if c == nil {
		b := r.node.newestSettings().Bounds
		c = rollout.NewCoordinator(order, rollout.Bounds{Share: b.ExposureShare, Slack: b.ExposureSlack}, received)
		r.coordinators[order] = c
	}
	c.AddReport(report)
	return c.Advise(r.view(order), time.Now())
}

// orderOf returns the order that a report belongs to.
func (r *rollouts) orderOf(report rollout.Report) (o rollout.Order, received time.Time, ok bool) {
	for o, received := range r.gate.UndecidedOrders() {
		if o.Service == report.Service && o.Version == report.Version {
			return o, received, true
		}
	}
	return o, received, false
}

// view is what this host knows of a rollout besides the reports.
func (r *rollouts) view(o rollout.Order) rollout.View {
	up, lastContact := r.states.Up()
	return rollout.View{
		Record: r.gate.Record(o.Service), RecordCurrent: up && time.Since(lastContact) < maxStateAge,
		Versions: r.node.targets.CountReadyByVersion(o.Service), Hosts: r.node.fleet.Size(),
	}
}

// coordinateAll evaluates the rollouts that this host coordinates, until ctx ends.
func (r *rollouts) coordinateAll(ctx context.Context) {
	for ctx.Err() == nil {
		for _, next := range r.decisions(time.Now()) {
			r.write(ctx, next)
		}
		wait.For(ctx, evaluateInterval)
	}
}

// decisions returns the records to write, and forgets the rollouts that are decided.
func (r *rollouts) decisions(now time.Time) (records []rollout.Record) {
	undecided := r.gate.UndecidedOrders()
	r.mu.Lock()
	defer r.mu.Unlock()
	for o, c := range r.coordinators {
		if _, is := undecided[o]; !is {
			delete(r.coordinators, o)
			continue
		}
		v := r.view(o)
		c.Evaluate(v, now)
		if next, ok := c.Decide(v, now); ok {
			records = append(records, next)
		}
	}
	for _, rec := range r.gate.OrphanedRecords() {
		if next, ok := rollout.Withdraw(&rec); ok && r.node.fleet.IsPrimaryForRollout(rec.Service) {
			records = append(records, next)
		}
	}
	return records
}

// write writes a record to the log, unless the log has a record that this host has not read: if several
// hosts decide, one succeeds.
func (r *rollouts) write(ctx context.Context, rec rollout.Record) {
	call, cancel := context.WithTimeout(ctx, settings.Milliseconds(r.node.cfg.Log.TimeoutMs))
	defer cancel()
	p := eventlog.Partition{Topic: r.node.env.StatusTopic}
	_, err := r.node.env.Log.AppendAt(call, p, r.states.End(), []eventlog.Record{r.node.env.EncodeState(rec)})
	entry := log.WithFields(log.Fields{"service": rec.Service, "version": rec.Version, "state": rec.State})
	var conflict *eventlog.ConflictError
	switch {
	case err == nil:
		entry.Info("rollout state written")
		r.node.observer.Count(fmt.Sprintf("rollout_states_written_total{state=%q}", rec.State))
	case errors.As(err, &conflict):
		r.states.Refresh() // another host was first
	default:
		entry.WithError(err).Warn("rollout state not written")
	}
}
