package target_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/fleet"
	"maststage.dev/router/limit"
	"maststage.dev/router/replica"
	"maststage.dev/router/target"
)

// Bounds for a target that advertises a limit: within any limitSpan at most limitOverrun times what the limit allows,
// plus limitSlack, from hosts that received the limit at least informedDelay before.
const (
	limitSpan     = 4 * time.Second
	limitOverrun  = 1.5
	limitSlack    = 5
	informedDelay = 500 * time.Millisecond
	// settleTime is how long a host must have run with access to the log, and a target must have advertised its
	// newest limit if it is a changed one, for a request to count.
	settleTime = 3 * time.Second
)

// Times of the simulation.
const (
	fleetStep        = 20 * time.Millisecond
	roundTrip        = 40 * time.Millisecond // to a target and back
	readInterval     = 3 * time.Second       // between two reads of the notices in the log
	noticeInterval   = 250 * time.Millisecond
	announceInterval = 20 * time.Second // between two exchanges of the membership among all hosts
)

// limitFleet simulates hosts and targets of one service without a network, in virtual time. Callers send requests to
// the hosts at random; a response comes after a round trip and carries its target's limit at the time of the request.
// Hosts inform each other of limits through records that each reads every few seconds.
type limitFleet struct {
	random      *rand.Rand
	hosts       []*limitHost
	targets     []*limitedTarget
	perHost     float64 // requests per second at each host
	responses   []pendingResponse
	topic       []topicRecord
	want        target.Requirements
	refused     []target.LimitsExhausted // results for requests that found no target
	announcedAt time.Time                // when all hosts last learned of each other
	served      int
	stop        context.Context
}

// topicRecord is a record with the time at which it becomes readable.
type topicRecord struct {
	at  time.Time
	rec eventlog.Record
}

type limitHost struct {
	*host
	since       time.Time                    // when it started, recovered from a freeze, or reached the log again
	informedAt  map[*limitedTarget]time.Time // when it first received the target's limit
	readCount   int                          // records of the topic that it has read
	nextRead    time.Time                    // time of its next read
	nextNotices time.Time                    // time of its next check for notices to write
	logCut      bool                         // it can't reach the log
	down        bool                         // it is frozen or has exited
}

// limitedTarget is a simulated target and the requests that it got.
type limitedTarget struct {
	id           string
	advertised   limit.Advertisement
	refusalsOnly bool // it advertises its limit only in refusals, which it sends above the limit
	sends        []limitedSend
	windows      []limitWindow
	recent       []time.Time // requests accepted within the last second
}

type limitedSend struct {
	at       time.Time
	informed bool // sent by a host that received the limit at least informedDelay before
}

// limitWindow is a period in which a target advertises one limit.
type limitWindow struct {
	from, to  time.Time // to is zero while the period lasts
	perSecond float64
	changed   bool // the target advertised another limit before
}

type pendingResponse struct {
	at         time.Time
	host       *limitHost
	target     *limitedTarget
	entry      *target.Target
	advertised limit.Advertisement
}

// acceptingLog accepts all announcements.
type acceptingLog struct{ eventlog.Log }

func (acceptingLog) Append(context.Context, eventlog.Partition, []eventlog.Record) (eventlog.Position, error) {
	return eventlog.Position{}, nil
}

func newLimitFleet(t *testing.T, seed uint64, hostCount, targetCount int, perHost float64) *limitFleet {
	stop, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, 1)), perHost: perHost, stop: stop, want: target.Requirements{Service: "s"}}
	for i := range targetCount {
		f.targets = append(f.targets, &limitedTarget{id: fmt.Sprintf("t%d", i)})
	}
	for i := range hostCount {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("front-%d", i)))
	}
	f.announceAll()
	time.Sleep(10 * time.Second) // until the hosts have settled
	for _, h := range f.hosts {
		h.nextRead = f.randomTimeWithin(readInterval)
	}
	return f
}

func (f *limitFleet) newHost(name string) *limitHost {
	h := &host{name: name, fleet: fleet.New(fleet.Options{
		Self: fleet.Host{Name: name}, Log: acceptingLog{}, AnnounceInterval: 8 * time.Second, PullInterval: time.Minute, CallTimeout: time.Second,
	})}
	go h.fleet.Run(f.stop)
	h.targets = target.NewRegistry(target.Options{Elected: h.fleet.Elected, Hosts: h.fleet.Size})
	for _, t := range f.targets {
		h.targets.Put(target.Entry{ID: t.id, Service: "s", Address: "127.0.0.1:1", Slots: 64})
	}
	return &limitHost{host: h, since: time.Now(), informedAt: map[*limitedTarget]time.Time{}, nextRead: f.randomTimeWithin(readInterval), nextNotices: f.randomTimeWithin(noticeInterval)}
}

func (f *limitFleet) randomTimeWithin(d time.Duration) time.Time {
	return time.Now().Add(time.Duration(f.random.Float64() * float64(d)))
}

// announceAll informs all reachable hosts of each other.
func (f *limitFleet) announceAll() {
	f.announcedAt = time.Now()
	var changes []replica.Change
	for _, h := range f.hosts {
		value, err := json.Marshal(fleet.Host{Name: h.name, Incarnation: "1"})
		if err != nil {
			panic(err)
		}
		changes = append(changes, replica.Change{Record: eventlog.Record{Key: h.name, Value: value}})
	}
	for _, h := range f.hosts {
		if !h.logCut && !h.down {
			h.fleet.HandleChanges(changes)
		}
	}
}

// advertise makes a target advertise a limit from now on.
func (f *limitFleet) advertise(t *limitedTarget, perSecond float64) {
	f.withdraw(t)
	t.advertised = limit.Advertisement{HasLimit: true, PerSecond: perSecond}
	t.windows = append(t.windows, limitWindow{from: time.Now(), perSecond: perSecond, changed: len(t.windows) > 0})
}

// withdraw makes a target advertise no limit from now on.
func (f *limitFleet) withdraw(t *limitedTarget) {
	if n := len(t.windows); n > 0 && t.windows[n-1].to.IsZero() {
		t.windows[n-1].to = time.Now()
	}
	t.advertised = limit.Advertisement{}
}

// run simulates callers for the given duration.
func (f *limitFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(fleetStep) {
		f.deliver()
		if time.Since(f.announcedAt) > announceInterval {
			f.announceAll()
		}
		for _, h := range f.hosts {
			if h.down {
				continue
			}
			f.syncNotices(h)
			for due := f.perHost * fleetStep.Seconds(); due > 0; due-- {
				if f.random.Float64() < due {
					f.send(h)
				}
			}
		}
	}
}

// syncNotices lets a host read and write notices when it is due.
func (f *limitFleet) syncNotices(h *limitHost) {
	now := time.Now()
	if h.logCut {
		return
	}
	if !now.Before(h.nextNotices) {
		h.nextNotices = now.Add(noticeInterval)
		for _, n := range h.targets.DueLimitNotices(now) {
			rec, err := n.Record()
			if err != nil {
				panic(err)
			}
			f.topic = append(f.topic, topicRecord{at: now.Add(roundTrip), rec: rec})
		}
	}
	if now.Before(h.nextRead) {
		return
	}
	h.nextRead = now.Add(readInterval)
	for ; h.readCount < len(f.topic) && !f.topic[h.readCount].at.After(now); h.readCount++ {
		n, ok, err := limit.ParseNotice(f.topic[h.readCount].rec)
		if !ok || err != nil {
			panic(err)
		}
		h.targets.ApplyLimitNotice(n)
	}
}

// deliver hands the responses that are due to their hosts.
func (f *limitFleet) deliver() {
	now := time.Now()
	due := 0
	for due < len(f.responses) && !f.responses[due].at.After(now) {
		a := f.responses[due]
		due++
		if a.host.down {
			continue
		}
		result := target.Succeeded
		if a.advertised.Refusal {
			result = target.Refused
		}
		a.host.targets.RecordLimit(a.entry, a.advertised)
		a.host.targets.EndRequest(a.entry, 0, result)
		if _, known := a.host.informedAt[a.target]; a.advertised.HasLimit && !known {
			a.host.informedAt[a.target] = now
		}
	}
	f.responses = f.responses[due:]
}

// send routes a request that arrives at a host.
func (f *limitFleet) send(h *limitHost) {
	chosen := h.targets.Choose(f.want)
	if chosen == nil {
		full, _ := h.targets.LimitsExhaustedFor(f.want)
		f.refused = append(f.refused, full)
		return
	}
	f.served++
	now := time.Now()
	h.targets.BeginRequest(chosen, 0)
	t := f.targetOf(chosen.ID)
	since, informed := h.informedAt[t]
	t.sends = append(t.sends, limitedSend{at: now, informed: informed && !h.logCut && now.Sub(h.since) >= settleTime && now.Sub(since) >= informedDelay})
	f.responses = append(f.responses, pendingResponse{at: now.Add(roundTrip), host: h, target: t, entry: chosen, advertised: t.respond(now)})
}

// respond returns what the target advertises in its response to a request.
func (t *limitedTarget) respond(now time.Time) limit.Advertisement {
	if !t.refusalsOnly || !t.advertised.HasLimit {
		return t.advertised
	}
	t.recent = slices.DeleteFunc(t.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if float64(len(t.recent)) < max(t.advertised.PerSecond, 1) {
		t.recent = append(t.recent, now)
		return limit.Advertisement{}
	}
	return limit.Advertisement{HasLimit: true, PerSecond: t.advertised.PerSecond, Refusal: true}
}

func (f *limitFleet) targetOf(id string) *limitedTarget {
	for _, t := range f.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// maxUse returns the largest part of the bounds that a target got within any limitSpan under one limit, from hosts
// that knew the limit, and the number of requests; ofAll is the part from all hosts, some time after the limit was
// first advertised.
func (t *limitedTarget) maxUse() (part float64, sends int, ofAll float64) {
	informed := func(s limitedSend, w limitWindow) bool {
		return s.informed && (!w.changed || s.at.Sub(w.from) >= settleTime)
	}
	settled := func(s limitedSend, w limitWindow) bool { return s.at.Sub(w.from) > 12*time.Second }
	part, sends = t.maxPart(informed)
	ofAll, _ = t.maxPart(settled)
	return part, sends, ofAll
}

func (t *limitedTarget) maxPart(counts func(limitedSend, limitWindow) bool) (part float64, sends int) {
	for _, w := range t.windows {
		allowed := limitOverrun*limitSpan.Seconds()*w.perSecond + limitSlack
		var in []time.Time
		for _, s := range t.sends {
			if s.at.Before(w.from) || !w.to.IsZero() && s.at.After(w.to) || !counts(s, w) {
				continue
			}
			in = append(in, s.at)
			for s.at.Sub(in[0]) >= limitSpan {
				in = in[1:]
			}
			if p := float64(len(in)) / allowed; p > part {
				part, sends = p, len(in)
			}
		}
	}
	return part, sends
}

// sent counts the requests that the target got between two times.
func (t *limitedTarget) sent(from, to time.Time) int {
	n := 0
	for _, s := range t.sends {
		if !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}
