package streamversion

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

// pastFleet is hosts that keep a Past, with one log.
type pastFleet struct {
	log   *memlog.Log
	hosts []*pastHost
	isNew bool // hosts have just begun to use the log
	ends  []func()
}

// pastHost is one of these hosts. Its fields but observed are set before it runs.
type pastHost struct {
	*Past
	observed  atomic.Pointer[[]Use]
	stale, no bool // what it observes is old; it observes nothing
	earlier   bool // a host of an earlier build is known
}

var usesPartition = eventlog.Partition{Topic: "uses"}

func newPastFleet() *pastFleet { return &pastFleet{log: memlog.New(), isNew: true} }

// start starts hosts.
func (f *pastFleet) start(n int, change func(h *pastHost), observed ...Use) (last *pastHost) {
	ctx, cancel := context.WithCancel(context.Background())
	f.ends = append(f.ends, cancel)
	for range n {
		h := &pastHost{}
		h.observed.Store(&observed)
		h.Past = NewPast(PastOptions{
			Log: f.log.Host(fmt.Sprint(len(f.hosts))), Partition: usesPartition, Timeout: time.Second,
			Observe:       func() ([]Use, bool, bool) { return *h.observed.Load(), !h.stale && !h.no, !h.no },
			NewFleet:      func() bool { return f.isNew },
			EarlierBuilds: func() bool { return h.earlier },
			Hosts:         func() int { return len(f.hosts) },
		})
		if change != nil {
			change(h)
		}
		f.hosts, last = append(f.hosts, h), h
	}
	for _, h := range f.hosts[len(f.hosts)-n:] {
		go h.Run(ctx)
	}
	return last
}

// killAll ends all hosts.
func (f *pastFleet) killAll() {
	for _, end := range f.ends {
		end()
	}
	synctest.Wait()
	f.hosts, f.ends, f.isNew = nil, nil, false
}

// observe has all hosts observe other uses.
func (f *pastFleet) observe(uses ...Use) {
	for _, h := range f.hosts {
		h.observed.Store(&uses)
	}
}

// recorded counts the records of uses in the log.
func (f *pastFleet) recorded(uses ...Use) (n int) {
	for _, u := range uses {
		if _, ok := f.log.Get(usesPartition, u.key()); ok {
			n++
		}
	}
	return n
}

// inVirtualTime runs a test of a fleet in virtual time.
func inVirtualTime(t *testing.T, run func(is *is.I, f *pastFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newPastFleet()
		defer f.killAll()
		run(is.New(t), f)
	})
}

var (
	usesV1 = Use{Service: service, Version: "v1"}
	usesV2 = Use{Service: service, Version: "v2"}
	usesS  = Use{Route: route, Service: service}
	usesT  = Use{Route: route, Service: "t"}
)

const oneLook = 50 * time.Millisecond // a host that starts looks and reads at once

// Guards against a host that has just started and takes the versions that it sees for all that there were.
func TestStartedHostKnowsWhatWasBefore(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.start(6, nil, usesV1, usesS)
		time.Sleep(3 * time.Second)
		f.observe(usesV1, usesV2, usesS)
		time.Sleep(time.Second)
		f.killAll()
		h := f.start(6, nil, usesV2, usesT)
		time.Sleep(oneLook)
		is.True(h.Covers())
		is.True(!h.Followed())
		is.Equal(len(h.Versions(service)), 2)
		is.Equal(len(h.Services(route)), 2)

		time.Sleep(2*useMemory + 2*readInterval) // until no stream can be left
		is.True(h.Followed())
		is.Equal(h.Versions(service), []string{"v2"})
		is.Equal(h.Services(route), []string{"t"})
		f.killAll()
		h = f.start(1, nil, usesV2, usesT)
		time.Sleep(oneLook)
		is.True(h.Covers())
		is.Equal(h.Versions(service), []string{"v2"})
	})
}

// Guards against a version of which no record is made before all hosts and its targets end.
func TestNewVersionIsRecordedAtOnce(t *testing.T) {
	for _, hosts := range []int{6, 87, 984} {
		inVirtualTime(t, func(is *is.I, f *pastFleet) {
			f.start(hosts, nil, usesV1)
			time.Sleep(10 * time.Second)
			f.observe(usesV1, usesV2)
			for _, h := range f.hosts {
				h.Look()
			}
			appends, _ := f.log.Calls()
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.recorded(usesV2), 1)
			time.Sleep(30 * time.Second)
			after, _ := f.log.Calls()
			is.True(after-appends < 20) // most hosts find that it has been recorded
		})
	}
}

// Guards against relying on records that a log restored from a copy may lack, and against never relying on them again.
func TestRecordsOfARestoredLogAreReliedOnOnceTheyAreComplete(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.start(3, nil, usesV1)
		time.Sleep(5 * time.Second)
		copied := f.log.Snapshot()
		f.observe(usesV1, usesV2)
		time.Sleep(time.Second)
		f.observe(usesV1)
		time.Sleep(time.Second)
		f.killAll()
		f.log.Restore(copied)
		h := f.start(3, nil, usesV1)
		time.Sleep(useMemory - time.Second)
		is.True(!h.Covers()) // the log has no record of v2
		time.Sleep(2 * time.Second)
		is.True(h.Covers()) // it has followed the targets for long enough
		time.Sleep(2 * readInterval)
		f.killAll()
		h = f.start(1, nil, usesV1)
		time.Sleep(oneLook)
		is.True(h.Covers())
	})
}

// Guards against records that are gone for good once a log was restored while hosts run.
func TestRecordsThatARestoredLogLacksAreWrittenAgain(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		copied := f.log.Snapshot()
		f.start(3, nil, usesV1)
		time.Sleep(time.Second)
		f.observe(usesV2)
		time.Sleep(time.Second)
		f.log.Restore(copied)
		time.Sleep(2 * readInterval)
		is.Equal(f.recorded(usesV1, usesV2), 2)
		f.killAll()
		h := f.start(1, nil, usesV2)
		time.Sleep(oneLook)
		is.True(h.Covers())
		is.Equal(len(h.Versions(service)), 2)
	})
}

// Guards against conclusions where nobody recorded what was there: after an upgrade, beside earlier builds, and where the
// records can't be read.
func TestMissingRecordsProveNothing(t *testing.T) {
	for name, change := range map[string]func(f *pastFleet, h *pastHost){
		"upgraded at once": func(f *pastFleet, _ *pastHost) { f.isNew = false },
		"earlier build":    func(_ *pastFleet, h *pastHost) { h.earlier = true },
		"log away":         func(f *pastFleet, _ *pastHost) { f.log.SetFault("", memlog.Fault{Refuse: true}) },
		"log silent":       func(f *pastFleet, _ *pastHost) { f.log.SetFault("", memlog.Fault{Silent: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *pastFleet) {
				h := f.start(2, func(h *pastHost) { change(f, h) }, usesV2)
				time.Sleep(useMemory - 5*time.Second)
				is.True(!h.Covers())
				time.Sleep(10 * time.Second)
				is.True(h.Covers()) // it has followed the targets for long enough
			})
		})
	}
}

// Guards against records from before an earlier build ran for a while, which kept none.
func TestOldRecordsProveNothingBesideAnEarlierBuild(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.start(2, nil, usesV1)
		time.Sleep(time.Second)
		f.killAll()
		h := f.start(1, func(h *pastHost) { h.earlier = true }, usesV1)
		time.Sleep(5 * time.Second)
		is.True(!h.Covers())
	})
}

// Guards against a host whose list or configuration is old, or that has none, and that deletes what others recorded.
func TestHostThatIsBehindDeletesNoRecords(t *testing.T) {
	for name, change := range map[string]func(h *pastHost){
		"old":  func(h *pastHost) { h.stale = true },
		"none": func(h *pastHost) { h.no = true },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *pastFleet) {
				f.start(1, nil, usesV1, usesV2)
				time.Sleep(time.Second)
				f.killAll()
				f.start(1, change)
				time.Sleep(5 * useMemory)
				is.Equal(f.recorded(usesV1, usesV2), 2)
			})
		})
	}
}

// Guards against a record that one host deletes as another has just written it.
func TestNewRecordIsKeptByAHostThatSeesItLater(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.start(3, nil, usesV1)
		time.Sleep(2 * useMemory)
		f.hosts[0].observed.Store(&[]Use{usesV1, usesV2})
		for range 40 {
			time.Sleep(time.Second)
			is.Equal(f.recorded(usesV2), 1)
		}
	})
}

// Guards against records that hosts delete and write again by turns once a version has gone.
func TestRecordOfAVersionThatHasGoneIsDeletedForGood(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.start(8, nil, usesV1, usesV2)
		time.Sleep(2 * useMemory)
		f.observe(usesV2)
		time.Sleep(useMemory - time.Second)
		is.Equal(f.recorded(usesV1), 1)
		time.Sleep(3*useMemory + 2*readInterval)
		is.Equal(f.recorded(usesV1), 0)
		appends, _ := f.log.Calls()
		time.Sleep(5 * useMemory)
		after, _ := f.log.Calls()
		is.Equal(after, appends)
	})
}

// Guards against records of other writers.
func TestInvalidRecordsOfUsesAreIgnored(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.log.Put(usesPartition, "x", []byte(`{"service":"s","version":"v9"}`))
		f.log.Put(usesPartition, usesV1.key(), []byte(`{`))
		f.log.Put(usesPartition, completeKey, []byte(`[]`))
		f.isNew = false
		h := f.start(1, nil)
		time.Sleep(time.Second)
		is.Equal(len(h.Versions(service)), 0)
		is.True(!h.Covers())
	})
}

// Guards against a stream that goes on at the one version in the list of a host which does not know what was before it.
func TestOneListedVersionIsNoProofAfterAStart(t *testing.T) {
	is := is.New(t)
	_, hosts := newSimFleet(t, 4, "v2")
	for _, h := range hosts {
		h.opts.Covers = func() bool { return false }
	}
	_, verdict := hosts[1].find(KeyOf("org", "a1"))
	is.Equal(verdict, Unknown)
	hosts[3].opts.Covers = func() bool { return true } // that one has run for long
	o, verdict := hosts[1].find(KeyOf("org", "a1"))
	is.Equal(verdict, Found)
	is.Equal(o, Origin{service, "v2"})
}

// Guards against a stream of a version that served for a moment, had no record yet as all hosts and its targets ended, and
// goes on at the version that is left.
func TestStartedHostAsksTheJournalBeforeItConcludes(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	newTestJournal(t, l, "h0").Add([]Announcement{{Key: KeyOf("org", "a1"), Origin: Origin{service, "v2"}, KeepMs: time.Minute.Milliseconds()}})
	until.True(t, "it is recorded", func() bool { appends, _ := l.Calls(); return appends == 1 })
	_, hosts := newSimFleet(t, 1, "v1")
	h := hosts[0]
	h.opts.Followed, h.opts.Journal = func() bool { return false }, newTestJournal(t, l, "h1")
	o, verdict := h.find(KeyOf("org", "a1"))
	is.Equal(verdict, Found)
	is.Equal(o.Version, "v2")
	o, verdict = h.find(KeyOf("org", "another"))
	is.Equal(verdict, Found)
	is.Equal(o.Version, "v1")
	l.SetFault("", memlog.Fault{Refuse: true})
	_, err := h.opts.Journal.find(context.Background(), KeyOf("org", "third"))
	is.True(errors.Is(err, eventlog.ErrRefused))
	_, verdict = h.find(KeyOf("org", "third"))
	is.Equal(verdict, Found)
}

// Guards against a stream that goes on at the service to which the operator has moved its route, or at another part of a
// split route, because the versions there have the same name.
func TestStreamOfAMovedRouteIsHeldToItsService(t *testing.T) {
	is := is.New(t)
	f, hosts := newSimFleet(t, 6, "v1")
	for _, h := range hosts {
		h.opts.Services = func(string) []string { return []string{service, "t"} }
	}
	k := KeyOf("org", "a1")
	found := hosts[1].Find(context.Background(), k, route, []string{"t"})
	is.Equal(found.Verdict, Unknown)
	hosts[0].Began(k, route, Origin{service, "v1"}, time.Minute)
	until.True(t, "holders are told", func() bool { return f.countTold() == holders })
	f.setDown(hosts[0])
	found = hosts[1].Find(context.Background(), k, route, []string{"t"})
	is.Equal(found.Verdict, Found)
	is.Equal(found.Origin.Service, service)
}

// Guards against events that callers get from a version of which the log has no record, should all hosts end.
func TestFirstEventsWaitForTheRecordOfTheirOrigin(t *testing.T) {
	for _, hosts := range []int{6, 87, 300} {
		inVirtualTime(t, func(is *is.I, f *pastFleet) {
			f.start(hosts, nil, usesV1, usesS)
			time.Sleep(10 * time.Second)
			appends, _ := f.log.Calls()
			began := time.Now()
			var all sync.WaitGroup
			for _, h := range f.hosts {
				all.Go(func() {
					h.Await(context.Background(), route, Origin{service, "v2"})
					is.Equal(f.recorded(usesV2), 1)
				})
			}
			all.Wait()
			is.True(time.Since(began) < 400*time.Millisecond) // of a latency objective of 0.8 s
			after, _ := f.log.Calls()
			is.True(after-appends < 20)
			began = time.Now()
			f.hosts[0].Await(context.Background(), route, Origin{service, "v2"})
			is.Equal(time.Since(began), time.Duration(0))
		})
	}
}

// Guards against streams that wait for a log that is away, again and again.
func TestFirstEventsWaitOnceForALogThatIsAway(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		h := f.start(3, nil, usesV1, usesS)
		time.Sleep(10 * time.Second)
		f.log.SetFault("", memlog.Fault{Silent: true})
		began := time.Now()
		h.Await(context.Background(), route, Origin{service, "v2"})
		is.Equal(time.Since(began), recordWait)
		h.Await(context.Background(), route, Origin{service, "v2"})
		is.Equal(time.Since(began), recordWait)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		h.Await(ctx, route, Origin{service, "v3"}) // its caller is gone
		is.Equal(time.Since(began), recordWait+100*time.Millisecond)
	})
}
