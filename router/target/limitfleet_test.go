package target_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"maststage.dev/router/limit"
	"maststage.dev/router/target"
)

// limitRule is what a target that names a limit may get: in any span no more than overrun times what
// the limit allows, and slack more, from hosts that had an answer with it toldFor before.
const (
	limitSpan    = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	toldFor      = 500 * time.Millisecond
)

// limitFleet is hosts and targets of one service without a network, in virtual time. Callers ask
// the hosts at random; an answer comes after a round trip and says what its target's limit is then.
type limitFleet struct {
	random  *rand.Rand
	hosts   []*limitHost
	targets []*limitedTarget
	perHost float64 // requests a second at each host
	answers []pendingAnswer
	refused int // requests that found no target
	served  int
}

type limitHost struct {
	*host
	told map[*limitedTarget]time.Time // since when it knows that the target names a limit
}

// limitedTarget is a target and what it got.
type limitedTarget struct {
	id      string
	said    limit.Statement
	sends   []limitedSend
	windows []limitWindow
}

type limitedSend struct {
	at   time.Time
	told bool // by a host that had an answer with the limit toldFor before
}

// limitWindow is a time in which a target names one limit.
type limitWindow struct {
	from, to  time.Time // to is zero while it goes on
	perSecond float64
}

type pendingAnswer struct {
	at     time.Time
	host   *limitHost
	target *limitedTarget
	entry  *target.Target
	said   limit.Statement
}

// fleetStep is the step of virtual time, and fleetTrip the round trip to a target.
const (
	fleetStep = 20 * time.Millisecond
	fleetTrip = 40 * time.Millisecond
)

func newLimitFleet(seed uint64, hostCount, targetCount int, perHost float64) *limitFleet {
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, 1)), perHost: perHost}
	for i := range targetCount {
		f.targets = append(f.targets, &limitedTarget{id: fmt.Sprintf("t%d", i)})
	}
	all := hosts(0, hostCount)
	for _, h := range all {
		h.knows(all)
		f.hosts = append(f.hosts, f.newHost(h))
	}
	time.Sleep(10 * time.Second) // they have settled
	return f
}

func (f *limitFleet) newHost(h *host) *limitHost {
	for _, t := range f.targets {
		h.targets.Put(target.Entry{ID: t.id, Service: "s", Address: "127.0.0.1:1", Slots: 64})
	}
	return &limitHost{host: h, told: map[*limitedTarget]time.Time{}}
}

// name lets a target name a limit from now on.
func (f *limitFleet) name(t *limitedTarget, perSecond float64) {
	f.unname(t)
	t.said = limit.Statement{Named: true, PerSecond: perSecond}
	t.windows = append(t.windows, limitWindow{from: time.Now(), perSecond: perSecond})
}

// unname lets a target name no limit from now on.
func (f *limitFleet) unname(t *limitedTarget) {
	if n := len(t.windows); n > 0 && t.windows[n-1].to.IsZero() {
		t.windows[n-1].to = time.Now()
	}
	t.said = limit.Statement{}
}

// run lets callers ask for a while.
func (f *limitFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(fleetStep) {
		f.deliver()
		for _, h := range f.hosts {
			for f.random.Float64() < f.perHost*fleetStep.Seconds() {
				f.ask(h)
			}
		}
	}
}

// deliver gives the answers that are due to their hosts.
func (f *limitFleet) deliver() {
	now := time.Now()
	due := 0
	for due < len(f.answers) && !f.answers[due].at.After(now) {
		a := f.answers[due]
		due++
		a.host.targets.StateLimit(a.entry, a.said)
		a.host.targets.End(a.entry, 0, target.Succeeded)
		if _, had := a.host.told[a.target]; a.said.Named && !had {
			a.host.told[a.target] = now
		}
	}
	f.answers = f.answers[due:]
}

// ask sends a request that came to a host.
func (f *limitFleet) ask(h *limitHost) {
	chosen := h.targets.Choose(target.Want{Service: "s"})
	if chosen == nil {
		f.refused++
		return
	}
	f.served++
	now := time.Now()
	h.targets.Begin(chosen, 0)
	t := f.targetOf(chosen.ID)
	since, told := h.told[t]
	t.sends = append(t.sends, limitedSend{at: now, told: told && now.Sub(since) >= toldFor})
	f.answers = append(f.answers, pendingAnswer{at: now.Add(fleetTrip), host: h, target: t, entry: chosen, said: t.said})
}

func (f *limitFleet) targetOf(id string) *limitedTarget {
	for _, t := range f.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// worst is the largest part of what the rule allows that a target got in any span of limitSpan in
// which it named one limit.
func (t *limitedTarget) worst() (part float64, sends int) {
	for _, w := range t.windows {
		allowed := limitOverrun*limitSpan.Seconds()*w.perSecond + limitSlack
		var in []time.Time
		for _, s := range t.sends {
			if !s.told || s.at.Before(w.from) || !w.to.IsZero() && s.at.After(w.to) {
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
