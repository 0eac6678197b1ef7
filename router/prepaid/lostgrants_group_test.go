package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

// lossGroup is a group of hosts in virtual time that spend a budget, notice eras and tell each other which they have
// confirmed, as the hosts of a fleet do.
type lossGroup struct {
	*hostGroup
	random *rand.Rand
	limit  int64
	hosts  []*Allocator
	stops  []func()
	starts int
	spent  int64
	apart  atomic.Bool // hosts don't reach each other

	mu        sync.Mutex
	names     [lossHosts]string
	confirmed map[string]int64 // era by name
	witnesses [lossHosts]*Allocator
}

const (
	lossHosts  = 6
	lossTokens = 100 // of a request
)

func newLossGroup(t *testing.T, seed uint64, limit int64) *lossGroup {
	g := &lossGroup{
		hostGroup: newHostGroup(t, lossHosts), random: rand.New(rand.NewPCG(seed, 0)), limit: limit,
		hosts: make([]*Allocator, lossHosts), stops: make([]func(), lossHosts), confirmed: map[string]int64{},
	}
	for i := range g.hosts {
		g.startHost(i)
	}
	return g
}

// startHost starts a host, at the place of one that died if there was one.
func (g *lossGroup) startHost(i int) {
	g.starts++
	name := fmt.Sprintf("h%d/%d", i, g.starts)
	g.confirm(i, name, 0)
	unconfirmed := func(era int64) (hosts int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for j, other := range g.names {
			if j != i && g.confirmed[other] < era {
				hosts++
			}
		}
		return hosts
	}
	g.hosts[i], g.stops[i] = g.startWith(Options{
		Log: g.log.Host(name), Topic: "b", Partitions: 2, Host: name, Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 400 * time.Millisecond, MaxWait: 100 * time.Millisecond,
		Hosts:          func() int { return lossHosts },
		HostsConfirmed: func(era int64) bool { return unconfirmed(era) == 0 }, Unconfirmed: unconfirmed,
		OnConfirmed: func(era int64) { g.confirm(i, name, era) },
		Witness: func(_ context.Context, organisation string, record Account, position eventlog.Position) bool {
			return !g.apart.Load() && g.witness(i).Witness(organisation, record, position)
		},
	})
	g.mu.Lock()
	g.witnesses[i] = g.hosts[i]
	g.mu.Unlock()
	g.hosts[i].Configure(1, []Budget{{"org", g.limit}}, false)
}

// confirm notes an era that a host has confirmed, and the name of the host at a place.
func (g *lossGroup) confirm(i int, name string, era int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.names[i], g.confirmed[name] = name, era
}

// witness returns another host than that at a place.
func (g *lossGroup) witness(i int) *Allocator {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.witnesses[(i+1)%lossHosts]
}

// traffic sends requests to hosts drawn at random, at a rate per second.
func (g *lossGroup) traffic(span time.Duration, rate float64) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		g.spent += spend(g.hosts[g.random.IntN(lossHosts)], "org", lossTokens, 1)
		time.Sleep(time.Duration(g.random.ExpFloat64() / rate * float64(time.Second)))
	}
}

// restore restores the log from a copy as some hosts die, which are replaced.
func (g *lossGroup) restore(copied memlog.Snapshot, die int) {
	early := g.random.IntN(die + 1) // die before the return, the others just after it
	for i := range early {
		g.stops[i]()
	}
	g.log.Restore(copied)
	for i := early; i < die; i++ {
		g.stops[i]()
	}
	for i := range die {
		g.startHost(i)
	}
	for _, h := range g.hosts {
		h.SetLogEra(g.log.Host("").Era()) // as the replicas of a host notice it
	}
}

// spendRest spends all that can be had within a time.
func (g *lossGroup) spendRest(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range g.hosts {
			g.spent += spend(h, "org", lossTokens, int(g.limit)/lossTokens)
		}
	}
}

// Guards against tokens that are granted twice as hosts die around a return of the log, and against tokens that nobody
// gets although they can't be missing. The copies are 0.3 to 3 s old. A budget is new as the log comes back, or has been
// drawn on for some time, in which the draw rate has shown.
func TestLostGrantsOfHostGroups(t *testing.T) {
	const rate = 60 // requests per second
	for _, c := range []struct {
		name         string
		limit        int64
		die, returns int
		before       time.Duration // of traffic before the first copy
		rest         float64       // least part of the rest that has to be usable
	}{
		{"no return", 100_000, 0, 0, 3 * time.Second, 0.99},
		{"none dies", 100_000, 0, 1, 3 * time.Second, 0.99},
		{"none dies in three returns", 100_000, 0, 3, 3 * time.Second, 0.99},
		{"one dies", 100_000, 1, 1, 3 * time.Second, 0.8},
		{"one dies, new budget", 100_000, 1, 1, time.Second, 0.8},
		{"three die", 100_000, 3, 1, 3 * time.Second, 0},
		{"all die", 100_000, 6, 1, 3 * time.Second, 0},
		{"all die, new budget", 30_000, 6, 1, 0, 0},
		{"all die three times", 100_000, 6, 3, 3 * time.Second, 0},
		{"all die, long-lived budget", 10_000_000, 6, 1, drawnSpan + 30*time.Second, 0.2},
		{"all die three times, long-lived budget", 10_000_000, 6, 3, drawnSpan + 30*time.Second, 0.04},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newLossGroup(t, seed, c.limit)
					g.traffic(c.before, rate)
					for range c.returns {
						copied := g.log.Snapshot()
						g.traffic(300*time.Millisecond+time.Duration(g.random.IntN(2700))*time.Millisecond, rate)
						g.restore(copied, c.die)
					}
					spent := g.spent
					g.spendRest(90 * time.Second)
					part := 1.0
					if spent < c.limit {
						part = float64(g.spent-spent) / float64(c.limit-spent)
					}
					t.Logf("%d of %d tokens are spent, %.3f of what was left", g.spent, c.limit, part)
					is.True(g.spent <= c.limit)
					is.True(part >= c.rest)
					g.stop()
				})
			}
		})
	}
}

// spendAt spends all that can be had at one host.
func (g *lossGroup) spendAt(i int) {
	g.spent += spend(g.hosts[i], "org", lossTokens, int(g.limit)/lossTokens)
}

// stop stops all hosts.
func (g *lossGroup) stop() {
	for _, stop := range g.stops {
		stop()
	}
}

// inGroup runs a test with a group of hosts in virtual time for several seeds.
func inGroup(t *testing.T, limit int64, test func(is *is.I, g *lossGroup)) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			g := newLossGroup(t, seed, limit)
			test(is.New(t), g)
			g.stop()
		})
	}
}

// Guards against a second return to the same copy that makes tokens available again which hosts took after the first one
// and spent before they died, too.
func TestWithheldTokensAreDividedAmongReturns(t *testing.T) {
	inGroup(t, 1_000_000, func(is *is.I, g *lossGroup) {
		g.traffic(drawnSpan+recordedEverywhere+10*time.Second, 5)
		copied := g.log.Snapshot()
		g.spendRest(2 * time.Second)
		spent := g.spent
		for range 2 {
			g.restore(copied, lossHosts)
			g.spendRest(maxSettleTime + 2*time.Second)
			is.True(g.spent > spent) // some tokens can be had after each return
			spent = g.spent
		}
		g.spendRest(time.Minute)
		is.True(g.spent <= g.limit)
	})
}

// Guards against a host that takes what is withheld, as it started after the record that withholds it.
func TestNewHostLeavesWhatEarlierRecordsWithhold(t *testing.T) {
	inGroup(t, 1_000_000, func(is *is.I, g *lossGroup) {
		g.traffic(drawnSpan+recordedEverywhere+10*time.Second, 5)
		copied := g.log.Snapshot()
		g.spendRest(2 * time.Second)
		g.stops[0]()
		g.startHost(0)
		g.spendRest(2 * time.Second)
		g.restore(copied, lossHosts)
		g.spendRest(time.Minute)
		is.True(g.spent <= g.limit)
	})
}

// Guards against grants of a host that took many tokens at once and died before the log came back, and against a burst
// of requests at one host that finds fewer tokens than the others leave, as the host tells another one of its grants.
func TestBurstOfADeadHostIsNotGrantedAgain(t *testing.T) {
	inGroup(t, 100_000, func(is *is.I, g *lossGroup) {
		g.traffic(time.Second, 60)
		copied := g.log.Snapshot()
		before := g.spent
		for range 20 {
			g.spendAt(0)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(g.spent-before >= g.limit/2)
		g.restore(copied, 1)
		g.spendRest(time.Minute)
		is.True(g.spent <= g.limit)
	})
}

// Guards against the same where no other host answers. It can then take only a part at once.
func TestBurstThatNobodyKnowsOfIsNotGrantedAgain(t *testing.T) {
	inGroup(t, 100_000, func(is *is.I, g *lossGroup) {
		g.traffic(time.Second, 60)
		copied := g.log.Snapshot()
		g.apart.Store(true)
		before := g.spent
		g.spendAt(0)
		is.True(g.spent-before < g.limit/3)
		g.restore(copied, 1)
		g.spendRest(time.Minute)
		is.True(g.spent <= g.limit)
		is.True(g.spent >= g.limit*8/10)
	})
}

// Guards against tokens that living hosts return after the log came back, and that are written off as if lost records had
// granted them.
func TestTokensReturnedAfterAReturnOfTheLogAreNotWrittenOff(t *testing.T) {
	is := is.New(t)
	al := &allocation{limit: 1000, highestLimit: 1000, known: true}
	lives := func(host string) bool { return host != "dead" }
	account := Account{Limit: 1000, Era: 1, Granted: 300, Bases: []Base{{Offset: 9, Granted: 300, Writer: "dead", HostWithheld: 600, OwnWithheld: 700}}}
	is.Equal(al.mayBeMissing(account, 1, lives), int64(100))
	returned, _, _ := account.Apply(Change{Return: 200})
	is.Equal(returned.Granted, int64(100))
	is.Equal(al.mayBeMissing(returned, 1, lives), int64(100))
	is.Equal(al.mayBeMissing(returned, 1, nil), int64(700)) // nothing was withheld from several hosts
}

// Guards against a host without others in reach that can take no more once it has taken its part.
func TestOnlyTakerIsNotHeldBackForLong(t *testing.T) {
	inGroup(t, 1_000_000, func(is *is.I, g *lossGroup) {
		g.apart.Store(true)
		for range 400 {
			g.spent += spend(g.hosts[0], "org", lossTokens, 20)
			time.Sleep(100 * time.Millisecond)
		}
		copied := g.log.Snapshot()
		g.spendAt(0)
		is.True(g.spent >= g.limit/2)
		g.restore(copied, 1)
		g.spendRest(time.Minute)
		is.True(g.spent <= g.limit)
	})
}

// Guards against a host that writes the account again and again, as long as it can take nothing, since its records do
// not seem to withhold less from it.
func TestHeldBackHostWritesOnce(t *testing.T) {
	is := is.New(t)
	al := &allocation{limit: 1000, version: 1}
	note := func(record Account, offset int64, now time.Duration) {
		al.applyRecord(record, at(0, offset))
		al.noteWithheld(record, record.Writer == "a", true, now)
	}
	note(Account{Writer: "b", Limit: 1000, Version: 1, HostWithheld: 850}, 0, 0)
	own := Account{Writer: "a", Limit: 1000, Version: 1, Granted: 150, HostWithheld: 700, OwnWithheld: 850}
	note(own, 1, time.Second)
	is.True(!al.heldBack(al.account, "a", 2*time.Second))
	later := recordedEverywhere + time.Second
	is.True(al.heldBack(al.account, "a", later))
	own.OwnWithheld = al.ownWithheld(own.Remaining(), later)
	note(own, 2, later)
	is.True(!al.heldBack(al.account, "a", later))
	is.True(!al.heldBack(al.account, "b", later))
}

// Guards against tokens that are written off and counted once more as a host that knew of their grants is back.
func TestWrittenOffTokensAreNotCountedAgain(t *testing.T) {
	is := is.New(t)
	var known, late allocation
	known.applyRecord(Account{Writer: "a", Granted: 30, Limit: 100, Version: 1}, at(0, 3))
	late.applyRecord(Account{Writer: "b", Granted: 50, Limit: 100, Version: 1}, at(0, 5))
	copied := Account{Writer: "a", Granted: 30, Limit: 100, Version: 1}
	known.applyRecord(copied, at(1, 3))
	late.applyRecord(copied, at(1, 3))
	settled := known.account.writeOff(40, 1).settledIn(1)
	is.Equal(settled.Granted, int64(70))
	is.Equal(settled.WrittenOff, int64(40))
	late.applyRecord(settled, at(1, 4))
	is.Equal(late.account.Granted, int64(70))
	is.True(!late.rewrite)
}

// Guards against a budget that lasts for long, of which nothing can be had after the loss of all hosts since the log came
// back older just then: at least a quarter of the requests later than 12 s after it are served.
func TestRequestsAreServedAfterAllHostsDied(t *testing.T) {
	const (
		rate     = 20.0 // requests per second
		recovery = 12 * time.Second
		later    = 30 * time.Second
	)
	inGroup(t, 1_800_000, func(is *is.I, g *lossGroup) {
		g.traffic(drawnSpan+30*time.Second, rate)
		copied := g.log.Snapshot()
		g.traffic(2*time.Second, rate)
		g.restore(copied, lossHosts)
		g.traffic(recovery, rate)
		before := g.spent
		g.traffic(later, rate)
		served := float64(g.spent-before) / lossTokens
		g.t.Logf("%.0f of some %.0f requests are served", served, rate*later.Seconds())
		is.True(served >= rate*later.Seconds()/4)
		g.spendRest(time.Minute)
		is.True(g.spent <= g.limit)
	})
}
