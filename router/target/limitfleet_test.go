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

// What a target that names a limit may get: in any span no more than overrun times what the limit
// allows, and slack more, from hosts that had an answer with it toldFor before.
const (
	limitSpan    = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	toldFor      = 500 * time.Millisecond
	// inTouchAfter is how long a host must have run and have reached the log for what it sends to count,
	// and a target must have named its newest limit.
	inTouchAfter = 3 * time.Second
)

// Times of the simulation.
const (
	fleetStep  = 20 * time.Millisecond
	fleetTrip  = 40 * time.Millisecond // to a target and back
	topicPace  = 3 * time.Second       // between two reads of what hosts tell each other
	noticeLook = 250 * time.Millisecond
	tellHosts  = 20 * time.Second // between two times at which all hosts are told of each other
)

// limitFleet is hosts and targets of one service without a network, in virtual time. Callers ask
// the hosts at random; an answer comes after a round trip and says what its target's limit is then.
// Hosts tell each other of limits through records that each reads every few seconds.
type limitFleet struct {
	random  *rand.Rand
	hosts   []*limitHost
	targets []*limitedTarget
	perHost float64 // requests a second at each host
	answers []pendingAnswer
	topic   []topicRecord
	want    target.Requirements
	refused []target.LimitsExhausted // what requests that found no target were told
	told    time.Time                // when all hosts were told of each other
	served  int
	stop    context.Context
}

// topicRecord is a record and when it can be read.
type topicRecord struct {
	at  time.Time
	rec eventlog.Record
}

type limitHost struct {
	*host
	since time.Time                    // when it started, was back from a freeze, or reached the log again
	told  map[*limitedTarget]time.Time // since when it knows that the target names a limit
	read  int                          // records of the topic that it has read
	reads time.Time                    // when it reads next
	looks time.Time                    // when it looks next for what it is to write
	cut   bool                         // from the log
	down  bool                         // it is frozen, or has ended
}

// limitedTarget is a target and what it got.
type limitedTarget struct {
	id      string
	said    limit.Advertisement
	onlyIn  bool // it names its limit in refusals only, which it gives beyond its limit
	sends   []limitedSend
	windows []limitWindow
	recent  []time.Time // what it took in the last second
}

type limitedSend struct {
	at   time.Time
	told bool // by a host that had an answer with the limit toldFor before
}

// limitWindow is a time in which a target names one limit.
type limitWindow struct {
	from, to  time.Time // to is zero while it goes on
	perSecond float64
	changed   bool // it named another one before
}

type pendingAnswer struct {
	at     time.Time
	host   *limitHost
	target *limitedTarget
	entry  *target.Target
	said   limit.Advertisement
}

// acceptingLog takes all announcements.
type acceptingLog struct{ eventlog.Log }

func (acceptingLog) Append(context.Context, eventlog.Partition, []eventlog.Record) (int64, error) {
	return 0, nil
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
	time.Sleep(10 * time.Second) // they have settled
	for _, h := range f.hosts {
		h.reads = f.soon(topicPace)
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
	return &limitHost{host: h, since: time.Now(), told: map[*limitedTarget]time.Time{}, reads: f.soon(topicPace), looks: f.soon(noticeLook)}
}

func (f *limitFleet) soon(d time.Duration) time.Time {
	return time.Now().Add(time.Duration(f.random.Float64() * float64(d)))
}

// announceAll lets all hosts that are up know of each other.
func (f *limitFleet) announceAll() {
	f.told = time.Now()
	var changes []replica.Change
	for _, h := range f.hosts {
		value, err := json.Marshal(fleet.Host{Name: h.name, Incarnation: "1"})
		if err != nil {
			panic(err)
		}
		changes = append(changes, replica.Change{Record: eventlog.Record{Key: h.name, Value: value}})
	}
	for _, h := range f.hosts {
		if !h.cut && !h.down {
			h.fleet.HandleChanges(changes)
		}
	}
}

// name lets a target name a limit from now on.
func (f *limitFleet) name(t *limitedTarget, perSecond float64) {
	f.unname(t)
	t.said = limit.Advertisement{HasLimit: true, PerSecond: perSecond}
	t.windows = append(t.windows, limitWindow{from: time.Now(), perSecond: perSecond, changed: len(t.windows) > 0})
}

// unname lets a target name no limit from now on.
func (f *limitFleet) unname(t *limitedTarget) {
	if n := len(t.windows); n > 0 && t.windows[n-1].to.IsZero() {
		t.windows[n-1].to = time.Now()
	}
	t.said = limit.Advertisement{}
}

// run lets callers ask for a while.
func (f *limitFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(fleetStep) {
		f.deliver()
		if time.Since(f.told) > tellHosts {
			f.announceAll()
		}
		for _, h := range f.hosts {
			if h.down {
				continue
			}
			f.follow(h)
			for due := f.perHost * fleetStep.Seconds(); due > 0; due-- {
				if f.random.Float64() < due {
					f.ask(h)
				}
			}
		}
	}
}

// follow lets a host read and write what hosts tell each other.
func (f *limitFleet) follow(h *limitHost) {
	now := time.Now()
	if h.cut {
		return
	}
	if !now.Before(h.looks) {
		h.looks = now.Add(noticeLook)
		for _, n := range h.targets.DueLimitNotices(now) {
			rec, err := n.Record()
			if err != nil {
				panic(err)
			}
			f.topic = append(f.topic, topicRecord{at: now.Add(fleetTrip), rec: rec})
		}
	}
	if now.Before(h.reads) {
		return
	}
	h.reads = now.Add(topicPace)
	for ; h.read < len(f.topic) && !f.topic[h.read].at.After(now); h.read++ {
		n, ok, err := limit.ParseNotice(f.topic[h.read].rec)
		if !ok || err != nil {
			panic(err)
		}
		h.targets.ApplyLimitNotice(n)
	}
}

// deliver gives the answers that are due to their hosts.
func (f *limitFleet) deliver() {
	now := time.Now()
	due := 0
	for due < len(f.answers) && !f.answers[due].at.After(now) {
		a := f.answers[due]
		due++
		if a.host.down {
			continue
		}
		result := target.Succeeded
		if a.said.Refusal {
			result = target.Refused
		}
		a.host.targets.RecordLimit(a.entry, a.said)
		a.host.targets.EndRequest(a.entry, 0, result)
		if _, had := a.host.told[a.target]; a.said.HasLimit && !had {
			a.host.told[a.target] = now
		}
	}
	f.answers = f.answers[due:]
}

// ask sends a request that came to a host.
func (f *limitFleet) ask(h *limitHost) {
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
	since, told := h.told[t]
	t.sends = append(t.sends, limitedSend{at: now, told: told && !h.cut && now.Sub(h.since) >= inTouchAfter && now.Sub(since) >= toldFor})
	f.answers = append(f.answers, pendingAnswer{at: now.Add(fleetTrip), host: h, target: t, entry: chosen, said: t.answer(now)})
}

// answer is what a target says of its limit as it answers a request.
func (t *limitedTarget) answer(now time.Time) limit.Advertisement {
	if !t.onlyIn || !t.said.HasLimit {
		return t.said
	}
	t.recent = slices.DeleteFunc(t.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if float64(len(t.recent)) < max(t.said.PerSecond, 1) {
		t.recent = append(t.recent, now)
		return limit.Advertisement{}
	}
	return limit.Advertisement{HasLimit: true, PerSecond: t.said.PerSecond, Refusal: true}
}

func (f *limitFleet) targetOf(id string) *limitedTarget {
	for _, t := range f.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// worst is the largest part of what is allowed that a target got, in any span of limitSpan in which it
// named one limit, from hosts that it had told; of all hosts is what it got from all of them from a
// while after it first named it.
func (t *limitedTarget) worst() (part float64, sends int, ofAll float64) {
	told := func(s limitedSend, w limitWindow) bool {
		return s.told && (!w.changed || s.at.Sub(w.from) >= inTouchAfter)
	}
	known := func(s limitedSend, w limitWindow) bool { return s.at.Sub(w.from) > 12*time.Second }
	part, sends = t.most(told)
	ofAll, _ = t.most(known)
	return part, sends, ofAll
}

func (t *limitedTarget) most(counts func(limitedSend, limitWindow) bool) (part float64, sends int) {
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

// sent counts the requests that a target got in a time.
func (t *limitedTarget) sent(from, to time.Time) int {
	n := 0
	for _, s := range t.sends {
		if !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}
