package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/rollout"
	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// order is an order in the tests' own format.
type order struct {
	Version string
	PeriodS float64
}

func decodeOrder(rec eventlog.Record) (o rollout.Order, inForce, ok bool, err error) {
	service, ok := strings.CutPrefix(rec.Key, rolloutPrefix)
	if !ok || len(rec.Value) == 0 {
		return rollout.Order{Service: service}, false, ok, nil
	}
	var d order
	err = json.Unmarshal(rec.Value, &d)
	o = rollout.Order{Service: service, Version: d.Version, Period: time.Duration(d.PeriodS * float64(time.Second))}
	return o, true, true, err
}

func encodeState(r rollout.Record) eventlog.Record {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return eventlog.Record{Key: rolloutPrefix + r.Service, Value: value}
}

func decodeState(rec eventlog.Record) (r rollout.Record, ok bool, err error) {
	err = json.Unmarshal(rec.Value, &r)
	return r, true, err
}

func (f *testFleet) order(version string, period time.Duration) {
	value, err := json.Marshal(order{Version: version, PeriodS: period.Seconds()})
	f.is.NoErr(err)
	f.log.Put(eventlog.Partition{Topic: topicConfig}, rolloutPrefix+"s", value)
}

// versions starts targets of the service s with a version.
func (f *testFleet) versions(version string, count int, how backend.Behaviour) (targets []*backend.Backend) {
	f.t.Helper()
	for i := range count {
		id := fmt.Sprint(version, "-", i)
		b, err := backend.Start(id, names, func(backend.Run) backend.Behaviour { return how })
		f.is.NoErr(err)
		f.t.Cleanup(b.Close)
		f.list(target.Entry{ID: id, Service: "s", Address: b.Address(), Domain: fmt.Sprint("z", i%3), Version: version, Slots: 8})
		targets = append(targets, b)
	}
	return targets
}

// state is the state of the rollout of s in the log, empty if there is none.
func (f *testFleet) state() rollout.State {
	rec, ok := f.log.Get(eventlog.Partition{Topic: topicStatus}, rolloutPrefix+"s")
	if !ok {
		return ""
	}
	r, _, err := decodeState(rec)
	f.is.NoErr(err)
	return r.State
}

// load sends requests to hosts in turn until it is stopped, and counts the completed ones.
type load struct {
	completed, failed atomic.Int64
	stop              func()
}

func (f *testFleet) load(every time.Duration, hosts ...*host) *load {
	l := &load{}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			all.Go(func() {
				got := f.call(hosts[i%len(hosts)], "/r/x", "")
				if got.status == 200 {
					l.completed.Add(1)
					return
				}
				l.failed.Add(1)
				f.t.Logf("request not served: %+v", got)
			})
			time.Sleep(every)
		}
	})
	l.stop = func() { cancel(); all.Wait() }
	f.t.Cleanup(l.stop)
	return l
}

func runsOf(targets []*backend.Backend) (n int) {
	for _, b := range targets {
		n += len(b.Runs())
	}
	return n
}

// rolloutFleet is three hosts with targets of a first version.
func rolloutFleet(t *testing.T) (f *testFleet, hosts []*host, old []*backend.Backend) {
	f = newFleet(t)
	f.publish(config(1, plainRoute, ""))
	old = f.versions("v1", 6, backend.Behaviour{Delay: 5 * time.Millisecond})
	for i := range 3 {
		hosts = append(hosts, f.start(f.settings(fmt.Sprint("h", i))))
	}
	for _, h := range hosts {
		f.ready(h)
	}
	return f, hosts, old
}

// A good version is tried with a few requests, and done within the period; the old targets then stop at
// once, and no request fails.
func TestGoodVersionIsRolledOut(t *testing.T) {
	f, hosts, old := rolloutFleet(t)
	l := f.load(5*time.Millisecond, hosts...)
	const period = 6 * time.Second
	began := time.Now()
	f.order("v2", period)
	fresh := f.versions("v2", 6, backend.Behaviour{Delay: 5 * time.Millisecond})
	time.Sleep(period / 2)
	f.is.Equal(f.state(), rollout.Running)
	tried, all := runsOf(fresh), runsOf(fresh)+runsOf(old)
	f.is.True(tried > 0)
	f.is.True(float64(tried) <= 0.1*float64(all)+50)
	f.eventually("the rollout is done", func() bool { return f.state() == rollout.Done })
	f.is.True(time.Since(began) < period)
	time.Sleep(100 * time.Millisecond) // hosts receive the state
	for _, b := range old {
		b.Close()
		f.unlist(b.ID)
	}
	before := runsOf(fresh)
	time.Sleep(500 * time.Millisecond)
	l.stop()
	f.is.True(runsOf(fresh) > before+50)
	f.is.Equal(l.failed.Load(), int64(0))
}

// A version whose responses fail is rolled back for good after some failures: no host sends it another
// request, nor does one that starts later.
func TestBadVersionIsRolledBack(t *testing.T) {
	f, hosts, _ := rolloutFleet(t)
	l := f.load(5*time.Millisecond, hosts...)
	f.order("v2", 12*time.Second)
	fresh := f.versions("v2", 6, backend.Behaviour{Status: 500})
	f.eventually("it is rolled back", func() bool { return f.state() == rollout.RolledBack })
	time.Sleep(100 * time.Millisecond)
	bad := runsOf(fresh)
	t.Logf("%d bad responses", bad)
	f.is.True(bad < 50+20)
	f.order("v2", 12*time.Second) // again
	late := f.start(f.settings("late"))
	f.ready(late)
	more := f.load(10*time.Millisecond, late)
	time.Sleep(time.Second)
	l.stop()
	more.stop()
	f.is.Equal(runsOf(fresh), bad)
	f.is.Equal(f.state(), rollout.RolledBack)
	f.is.True(more.completed.Load() > 20)
}

// A rollout whose order is withdrawn before the decision is rolled back; an invalid order changes nothing.
func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	f, hosts, _ := rolloutFleet(t)
	l := f.load(10*time.Millisecond, hosts...)
	f.log.Put(eventlog.Partition{Topic: topicConfig}, rolloutPrefix+"s", []byte("{"))
	f.order("v2", 20*time.Second)
	fresh := f.versions("v2", 3, backend.Behaviour{})
	f.eventually("it runs", func() bool { return f.state() == rollout.Running })
	f.log.Put(eventlog.Partition{Topic: topicConfig}, rolloutPrefix+"s", nil)
	f.eventually("it is rolled back", func() bool { return f.state() == rollout.RolledBack })
	time.Sleep(100 * time.Millisecond)
	before := runsOf(fresh)
	time.Sleep(500 * time.Millisecond)
	l.stop()
	f.is.Equal(runsOf(fresh), before)
	f.is.Equal(l.failed.Load(), int64(0))
}

// A good version is done in time despite an outage of the log; a host that can't reach the log at all
// uses the new version when the old targets stop.
func TestRolloutFinishesDespiteALogOutage(t *testing.T) {
	f, hosts, old := rolloutFleet(t)
	l := f.load(5*time.Millisecond, hosts...)
	const period = 8 * time.Second
	began := time.Now()
	f.order("v2", period)
	f.versions("v2", 6, backend.Behaviour{Delay: 5 * time.Millisecond})
	f.eventually("it runs", func() bool { return f.state() == rollout.Running })
	f.log.SetFault("", memlog.Fault{Refuse: true})
	time.Sleep(2 * time.Second)
	f.log.SetFault("", memlog.Fault{})
	f.log.SetFault(hosts[0].name, memlog.Fault{Refuse: true})
	f.eventually("the rollout is done", func() bool { return f.state() == rollout.Done })
	f.is.True(time.Since(began) < period)
	time.Sleep(50 * time.Millisecond)
	for _, b := range old {
		f.unlist(b.ID)
	}
	f.eventually("the host without the log uses the new version", func() bool {
		return f.only(hosts[0], "") || f.call(hosts[0], "/r/x", "").status == 200
	})
	l.stop()
}
