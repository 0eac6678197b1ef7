package streamversion

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// pastLog is the hosts' topic of simulated hosts that keep a Past.
type pastLog struct {
	era     int64
	records map[string]eventlog.Record
	hosts   []*pastHost
}

// pastHost is one of these hosts.
type pastHost struct {
	*Past
	log      *pastLog
	observed []Use
	earlier  bool // a host of an earlier build is known
	loaded   bool
	now      time.Time
}

// start starts a host, which reads the topic at once.
func (l *pastLog) start(at time.Time, observed ...Use) *pastHost {
	h := &pastHost{log: l, observed: observed, loaded: true, now: at}
	h.Past = NewPast(PastOptions{
		Observe:       func() []Use { return h.observed },
		Topic:         func() (int64, bool) { return l.era, h.loaded },
		ListLoaded:    func() bool { return true },
		EarlierBuilds: func() bool { return h.earlier },
		Hosts:         func() int { return len(l.hosts) },
	})
	l.hosts = append(l.hosts, h)
	for _, rec := range l.records {
		h.ApplyChanges([]replica.Change{{Record: rec}})
	}
	return h
}

// run lets the hosts observe and write for some time.
func (l *pastLog) run(d time.Duration) {
	for end := time.Duration(0); end < d; end += useInterval {
		for _, h := range l.hosts {
			h.now = h.now.Add(useInterval)
			for _, records := range h.step(h.now) {
				l.write(records)
			}
		}
	}
}

func (l *pastLog) write(records []eventlog.Record) {
	for _, rec := range records {
		l.records[rec.Key] = rec
		if len(rec.Value) == 0 {
			delete(l.records, rec.Key)
		}
		for _, h := range l.hosts {
			h.ApplyChanges([]replica.Change{{Record: rec}})
		}
	}
}

// killAll ends all hosts.
func (l *pastLog) killAll() { l.hosts = nil }

func newPastLog() *pastLog { return &pastLog{records: map[string]eventlog.Record{}} }

var (
	usesV1 = Use{Service: service, Version: "v1"}
	usesV2 = Use{Service: service, Version: "v2"}
	usesS  = Use{Route: route, Service: service}
	usesT  = Use{Route: route, Service: "t"}
)

// Guards against a host that has just started and takes the versions that it sees for all that there were.
func TestStartedHostKnowsWhatWasBefore(t *testing.T) {
	is := is.New(t)
	l, now := newPastLog(), time.Now()
	for range 3 {
		l.start(now, usesV1, usesS)
	}
	l.run(3 * time.Second)
	for _, h := range l.hosts {
		h.observed = []Use{usesV1, usesV2, usesS}
	}
	l.run(3 * time.Second)
	l.killAll()
	h := l.start(now, usesV2, usesT)
	l.run(useInterval)
	is.True(h.Covers())
	is.Equal(h.Versions(service), []string{"v1", "v2"})
	is.Equal(h.Services(route), []string{service, "t"})

	l.run(useMemory + 10*time.Second) // until no stream can be left
	is.Equal(h.Versions(service), []string{"v2"})
	is.Equal(h.Services(route), []string{"t"})
	l.killAll()
	h = l.start(now, usesV2, usesT)
	l.run(useInterval)
	is.True(h.Covers())
	is.Equal(h.Versions(service), []string{"v2"})
}

// Guards against relying on records that a log restored from a copy may lack, and against never relying on them again.
func TestRecordsOfARestoredLogAreNotRelliedOnUntilTheyAreComplete(t *testing.T) {
	is := is.New(t)
	l, now := newPastLog(), time.Now()
	l.start(now, usesV1)
	l.run(5 * time.Second)
	l.killAll()
	l.era++
	h := l.start(now, usesV1)
	l.run(5 * time.Second)
	is.True(!h.Covers())
	l.run(useMemory)
	is.True(h.Covers()) // it has followed the targets for long enough

	l.run(5 * time.Second)
	l.era++
	l.run(5 * time.Second) // it vouches for the records
	l.killAll()
	h = l.start(now, usesV1)
	l.run(useInterval)
	is.True(h.Covers())
}

// Guards against conclusions from records that hosts of an earlier build did not write.
func TestRecordsAreNotReliedOnWhileOthersWroteNone(t *testing.T) {
	is := is.New(t)
	l, now := newPastLog(), time.Now()
	h := l.start(now, usesV2)
	h.earlier = true
	l.run(5 * time.Second)
	is.True(!h.Covers())
	l.run(useMemory)
	is.True(h.Covers()) // it has followed the targets for long enough

	h = l.start(now, usesV2)
	h.loaded = false // it has not read them
	l.run(5 * time.Second)
	is.True(!h.Covers())
}

// Guards against a use that is forgotten as soon as it ends, and against records of large fleets that all hosts write.
func TestUsesAreRecordedByFewAndForgottenLate(t *testing.T) {
	is := is.New(t)
	l, now := newPastLog(), time.Now()
	for range 300 {
		l.start(now, usesV1)
	}
	writes := 0
	for range 25 { // hosts read the topic every few seconds
		for _, h := range l.hosts {
			h.now = h.now.Add(useInterval)
			writes += len(h.step(h.now))
		}
	}
	is.True(writes >= 1)
	is.True(writes <= 60)

	h := newPastLog().start(now)
	h.Note([]Use{usesS})
	h.step(now.Add(useMemory - time.Second))
	is.Equal(h.Services(route), []string{service})
	h.step(now.Add(useMemory + 2*time.Second))
	is.Equal(len(h.Services(route)), 0)
}

// Guards against records of other writers.
func TestInvalidRecordsOfUsesAreIgnored(t *testing.T) {
	is := is.New(t)
	h := newPastLog().start(time.Now())
	for _, rec := range []eventlog.Record{
		{Key: KeyPrefix + "x", Value: []byte(`{"service":"s","version":"v9"}`)},
		{Key: usesV1.key(), Value: []byte(`{`)},
		{Key: completeKey, Value: []byte(`[]`)},
		{Key: KeyPrefix + "unknown"},
		{Key: "another", Value: []byte(`{}`)},
	} {
		h.ApplyChanges([]replica.Change{{Record: rec}})
	}
	is.Equal(len(h.Versions(service)), 0)
	is.Equal(h.complete, nil)
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
	for deadline := time.Now().Add(5 * time.Second); f.countTold() < holders && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	f.setDown(hosts[0])
	found = hosts[1].Find(context.Background(), k, route, []string{"t"})
	is.Equal(found.Verdict, Found)
	is.Equal(found.Origin.Service, service)
}
