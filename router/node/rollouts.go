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

// Figures of rollouts.
const (
	// conductEvery is the time between two looks at the evidence of a rollout that this host
	// conducts.
	conductEvery = 500 * time.Millisecond
	// stateAge is how long ago the log must have told of the states for this host to decide.
	stateAge = 3 * time.Second
	// listedFor is how long a count of a service's targets is used: requests ask for it while a
	// rollout is undecided, and a count of all targets costs each of them as much as its choice.
	listedFor = 200 * time.Millisecond
)

// rollouts is this host's part in moving services to new versions: it follows orders and states,
// reports what it sees, and conducts where other hosts ask it to.
type rollouts struct {
	node   *Node
	gate   *rollout.Gate
	states *replica.Replica
	news   chan struct{} // full: an order came or went

	mu         sync.Mutex
	conductors map[rollout.Order]*rollout.Coordinator
	lists      map[string]listed // by service
}

// listed is how many targets of a service each version had at a moment.
type listed struct {
	at       time.Time
	versions map[string]int
}

func (n *Node) newRollouts(incarnation string) *rollouts {
	r := &rollouts{node: n, news: make(chan struct{}, 1), conductors: map[rollout.Order]*rollout.Coordinator{}, lists: map[string]listed{}}
	r.gate = rollout.NewGate(n.cfg.Host.Name+"/"+incarnation, r.ordersKnown)
	r.states = replica.New(replica.Options{
		Log: n.outside.Log, Partition: eventlog.Partition{Topic: n.outside.StatusTopic},
		LongPoll: settings.Milliseconds(n.cfg.Log.LongPollMs), ReadTimeout: settings.Milliseconds(n.cfg.Log.TimeoutMs),
		OnChange:       r.statesChanged,
		OnConnectivity: func(err error) { n.contact(n.outside.StatusTopic, err) },
	})
	return r
}

// ordersKnown says whether this host knows the orders that were given until a moment.
func (r *rollouts) ordersKnown(t time.Time) bool {
	return r.node.outside.DecodeOrder == nil || r.node.configCopy.RefreshedSince(t) || r.node.fleet.PulledSince(t)
}

// Rule implements forward.Rollouts.
func (r *rollouts) Rule(a rollout.Request) rollout.Rule {
	now := time.Now()
	rule := r.gate.Rule(a, now)
	if rule.Only != "" || !r.gate.Undecided(a.Service) {
		return rule
	}
	if version, ok := r.gate.LastResort(a.Service, r.listed(a.Service, now)); ok {
		return rollout.Rule{Only: version, Share: 1}
	}
	return rule
}

// listed counts the ready targets of a service by version, as of a moment ago.
func (r *rollouts) listed(service string, now time.Time) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lists[service]
	if now.Sub(l.at) > listedFor {
		l = listed{at: now, versions: r.node.targets.CountReadyByVersion(service)}
		r.lists[service] = l
	}
	return l.versions
}

// Sent implements forward.Rollouts.
func (r *rollouts) Sent(a rollout.Request, version string) { r.gate.RequestSent(a, version) }

// Ended implements forward.Rollouts.
func (r *rollouts) Ended(a rollout.Request, version string, answer rollout.Outcome) {
	r.gate.RequestEnded(a, version, answer)
	if !answer.Inconclusive && r.gate.Undecided(a.Service) {
		r.node.observer.Count(fmt.Sprintf("version_answers_total{service=%q,version=%q,failed=\"%t\"}", a.Service, version, answer.Failed))
	}
}

// saw notes the version of a listed target.
func (r *rollouts) saw(e target.Entry) { r.gate.NoteVersion(e.Service, e.Version, time.Now()) }

// orderChanged takes over an order, or that it was taken back, if the record is one. What can't be
// read changes nothing.
func (r *rollouts) orderChanged(c replica.Change) bool {
	if r.node.outside.DecodeOrder == nil {
		return false
	}
	order, inForce, ok, err := r.node.outside.DecodeOrder(c.Record)
	fields := log.Fields{"service": order.Service, "version": order.Version, "period": order.Period, "offset": c.Record.Offset}
	changed := false
	switch {
	case !ok:
		return false
	case err != nil:
		log.WithFields(log.Fields{"key": c.Record.Key, "offset": c.Record.Offset}).WithError(err).Error("order of a rollout can't be read and is ignored")
	case inForce:
		if changed = r.gate.SetOrder(order, time.Now()); changed {
			log.WithFields(fields).Info("rollout ordered")
		}
	default:
		if changed = r.gate.WithdrawOrder(order.Service); changed {
			log.WithFields(fields).Info("order of a rollout taken back")
		}
	}
	if changed {
		select {
		case r.news <- struct{}{}:
		default:
		}
	}
	return true
}

// statesChanged takes over the states of rollouts.
func (r *rollouts) statesChanged(changes []replica.Change) {
	for _, c := range changes {
		rec, ok, err := r.node.outside.DecodeState(c.Record)
		switch {
		case !ok:
		case err != nil:
			log.WithFields(log.Fields{"key": c.Record.Key, "offset": c.Record.Offset}).WithError(err).Error("state of a rollout can't be read and is ignored")
		default:
			log.WithFields(log.Fields{"service": rec.Service, "version": rec.Version, "state": rec.State, "base": rec.Base, "barred": rec.Barred}).Info("state of a rollout")
			r.gate.SetRecord(rec)
		}
	}
}

// run takes part in rollouts until ctx ends. Without one it makes no call.
func (r *rollouts) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.news:
			r.follow(ctx)
		}
	}
}

// open says whether a rollout is not decided.
func (r *rollouts) open() bool {
	return len(r.gate.UndecidedOrders()) > 0 || len(r.gate.OrphanedRecords()) > 0
}

// follow takes part until all rollouts are decided, as far as this host knows.
func (r *rollouts) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	all.Go(func() { r.states.Run(ctx) })
	all.Go(func() { r.conductAll(ctx) })
	for ctx.Err() == nil && (r.open() || !r.states.Loaded()) {
		for order := range r.gate.UndecidedOrders() {
			r.report(ctx, order)
		}
		wait.For(ctx, wait.Jitter(rollout.ReportInterval(r.node.fleet.Size())))
	}
}

// report tells the host that conducts what this one saw.
func (r *rollouts) report(ctx context.Context, o rollout.Order) {
	report, ok := r.gate.Report(o)
	if !ok {
		return
	}
	if advice, ok := r.node.fleet.ReportRollout(ctx, report); ok {
		r.gate.SetAdvice(o.Service, o.Version, advice, r.node.fleet.Size(), time.Now())
	}
}

// Conduct implements fleet.Rollouts.
func (r *rollouts) Conduct(report rollout.Report) rollout.Advice {
	order, heard, ok := r.orderOf(report)
	if !ok {
		return rollout.Advice{Phase: rollout.PhaseHeld} // this host has not heard of it yet
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.conductors[order]
	if c == nil {
		b := r.node.newestSettings().Bounds
		c = rollout.NewCoordinator(order, rollout.Bounds{Share: b.ExposureShare, Slack: b.ExposureSlack}, heard)
		r.conductors[order] = c
	}
	c.AddReport(report)
	return c.Advise(r.view(order), time.Now())
}

// orderOf finds the order that a report is about.
func (r *rollouts) orderOf(report rollout.Report) (o rollout.Order, heard time.Time, ok bool) {
	for o, heard := range r.gate.UndecidedOrders() {
		if o.Service == report.Service && o.Version == report.Version {
			return o, heard, true
		}
	}
	return o, heard, false
}

// view is what this host sees of a rollout beside the reports.
func (r *rollouts) view(o rollout.Order) rollout.View {
	up, contact := r.states.Up()
	return rollout.View{
		Record: r.gate.Record(o.Service), RecordCurrent: up && time.Since(contact) < stateAge,
		Versions: r.node.targets.CountReadyByVersion(o.Service), Hosts: r.node.fleet.Size(),
	}
}

// conductAll weighs the evidence of the rollouts that this host conducts, until ctx ends.
func (r *rollouts) conductAll(ctx context.Context) {
	for ctx.Err() == nil {
		for _, next := range r.decisions(time.Now()) {
			r.write(ctx, next)
		}
		wait.For(ctx, conductEvery)
	}
}

// decisions lists the records that are to be written, and forgets the rollouts that are over.
func (r *rollouts) decisions(now time.Time) (records []rollout.Record) {
	open := r.gate.UndecidedOrders()
	r.mu.Lock()
	defer r.mu.Unlock()
	for o, c := range r.conductors {
		if _, is := open[o]; !is {
			delete(r.conductors, o)
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

// write puts a record into the log, unless anything was written there that this host does not know:
// of two hosts that decide, one does.
func (r *rollouts) write(ctx context.Context, rec rollout.Record) {
	call, cancel := context.WithTimeout(ctx, settings.Milliseconds(r.node.cfg.Log.TimeoutMs))
	defer cancel()
	p := eventlog.Partition{Topic: r.node.outside.StatusTopic}
	_, err := r.node.outside.Log.AppendAt(call, p, r.states.End(), []eventlog.Record{r.node.outside.EncodeState(rec)})
	line := log.WithFields(log.Fields{"service": rec.Service, "version": rec.Version, "state": rec.State})
	var conflict *eventlog.ConflictError
	switch {
	case err == nil:
		line.Info("state of a rollout written")
		r.node.observer.Count(fmt.Sprintf("rollout_states_written_total{state=%q}", rec.State))
	case errors.As(err, &conflict):
		r.states.Refresh() // another host wrote first
	default:
		line.WithError(err).Warn("state of a rollout not written")
	}
}
