package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
	"maststage.dev/standin/memlog"
)

// place is a host with its source of the log's topics.
type place struct {
	*Fleet
	stop context.CancelFunc
}

// places are the hosts of a fleet by their addresses. It carries the calls between them.
type places struct {
	mu    sync.Mutex
	hosts map[string]*place
}

// RoundTrip implements http.RoundTripper.
func (p *places) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	to := p.hosts[r.URL.Host]
	p.mu.Unlock()
	if to == nil {
		return nil, fmt.Errorf("no host at %s", r.URL.Host)
	}
	recorder := httptest.NewRecorder()
	to.Handler().ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// newPlaces returns a fleet without hosts.
func newPlaces() *places { return &places{hosts: map[string]*place{}} }

// start starts a host that takes part in the division of the readers' places.
func (all *places) start(ctx context.Context, l *memlog.Log, i int, mbps float64) *place {
	self := Host{Name: fmt.Sprintf("h%d", i), Incarnation: "1", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprintf("z%d", i%3), LinkMbps: mbps}
	view := l.Host(self.Name)
	p := &place{}
	announcements := replica.New(replica.Options{
		Log: view, Partition: eventlog.Partition{Topic: "hosts"}, LongPoll: time.Second, ReadTimeout: time.Second, MinInterval: time.Second,
		Follow: func(ctx context.Context, from eventlog.Position) (replica.Update, bool, error) {
			return p.Follow(ctx, "hosts", from)
		},
		OnChange: func(changes []replica.Change) { p.HandleChanges(changes) },
	})
	p.Fleet = New(Options{
		Self: self, Log: view, Groups: view, Transport: all, Topic: "hosts", AnnounceInterval: 8 * time.Second, PullInterval: time.Second, CallTimeout: 500 * time.Millisecond,
		Replicas: map[string]*replica.Replica{"hosts": announcements},
	})
	ctx, cancel := context.WithCancel(ctx)
	p.stop = func() {
		cancel()
		all.mu.Lock()
		defer all.mu.Unlock()
		delete(all.hosts, self.Address)
	}
	all.mu.Lock()
	all.hosts[self.Address] = p
	all.mu.Unlock()
	go announcements.Run(ctx)
	go p.readers.run(ctx)
	return p
}

// count counts the hosts that have a source.
func count(places []*place, source mode) (n int) {
	for _, p := range places {
		if p.readers.current() == source {
			n++
		}
	}
	return n
}

// announceMany fills the topic of the hosts as a fleet of the given size does that has run for a while.
func announceMany(l *memlog.Log, hosts int) {
	for range minAnnouncementsPerHost + 1 {
		for i := range hosts {
			l.Put(eventlog.Partition{Topic: "hosts"}, fmt.Sprintf("p%d", i), fmt.Appendf(nil, `{"name":"p%d","incarnation":"1","address":"10.9.%d.%d:1"}`, i, i/250, i%250))
		}
	}
}

// Guards against a log that all hosts of a large fleet read: a few with fast links do, from the first second on, and
// others take their places once they are silent.
func TestFewHostsWithFastLinksReadTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l, hosts := memlog.New(), newPlaces()
		announceMany(l, 2*maxDirectHosts)
		var fast, slow []*place
		for i := range 40 {
			if i%2 == 0 {
				fast = append(fast, hosts.start(ctx, l, i, minReaderMbps))
			} else {
				slow = append(slow, hosts.start(ctx, l, i, minReaderMbps/2))
			}
		}
		time.Sleep(3 * time.Second)
		is.Equal(count(fast, reading), maxReaders)
		is.Equal(count(fast, following), len(fast)-maxReaders)
		is.Equal(count(slow, following), len(slow))

		var left []*place
		for _, p := range fast {
			if p.readers.current() == reading {
				p.stop()
			} else {
				left = append(left, p)
			}
		}
		time.Sleep(readerTTL + 6*time.Second)
		is.Equal(count(left, reading), maxReaders)
		for _, p := range slow {
			is.Equal(len(p.readers.ranked()), maxReaders)
		}

		for _, p := range fast {
			p.stop()
		}
		time.Sleep(readerTTL + noReaderTime + 4*time.Second)
		is.Equal(count(slow, reading), maxReaders) // without any host with a fast link
		is.Equal(count(slow, following), len(slow)-maxReaders)
		cancel()
		synctest.Wait()
	})
}

// Guards against hosts of a large fleet that go back to reading the log all at once: when it refuses them or comes back,
// when places are divided anew, and when they have not heard of the others for long.
func TestFollowersNeverGoBackToTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l, hosts := memlog.New(), newPlaces()
		announceMany(l, 2*maxDirectHosts)
		var all []*place
		for i := range 40 {
			all = append(all, hosts.start(ctx, l, i, 1000))
		}
		time.Sleep(3 * time.Second)
		l.SetFault("", memlog.Fault{Refuse: true})
		for range 12 {
			time.Sleep(5 * time.Second)
			is.Equal(count(all, direct), 0)
		}
		is.Equal(count(all, reading), 0) // others may have the places by now
		l.SetFault("", memlog.Fault{})
		time.Sleep(5 * time.Second)
		is.Equal(count(all, direct), 0) // though the others have not announced themselves again
		is.Equal(count(all, reading), maxReaders)
		for range 10 {
			l.Redivide(readersGroup)
			time.Sleep(2 * time.Second)
			is.Equal(count(all, direct), 0)
			is.True(count(all, reading) <= 2*maxReaders)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a small fleet that reads the log late: its hosts read it themselves, at once if the fleet has run
// before, and otherwise once no more hosts join.
func TestHostsOfASmallFleetReadTheLog(t *testing.T) {
	for _, mbps := range []float64{0, 10, 1000} {
		t.Run(fmt.Sprint(mbps), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				l, hosts := memlog.New(), newPlaces()
				announceMany(l, 6)
				all := []*place{hosts.start(ctx, l, 0, mbps), hosts.start(ctx, l, 1, mbps)}
				time.Sleep(2 * time.Second)
				is.Equal(count(all, direct), 2)

				fresh, hosts := memlog.New(), newPlaces()
				all = nil
				for i := range 7 {
					all = append(all, hosts.start(ctx, fresh, i, mbps))
					fresh.Put(eventlog.Partition{Topic: "hosts"}, fmt.Sprintf("h%d", i), fmt.Appendf(nil, `{"name":"h%d","incarnation":"1"}`, i))
				}
				time.Sleep(9 * time.Second)
				is.Equal(count(all, direct), 7)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against hosts that all turn to the log, or lose their tokens, because one host joins.
func TestJoiningHostChangesNoSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l, hosts := memlog.New(), newPlaces()
		var all []*place
		for i := range 20 {
			all = append(all, hosts.start(ctx, l, i, 1000))
			l.Put(eventlog.Partition{Topic: "hosts"}, fmt.Sprintf("h%d", i), fmt.Appendf(nil, `{"name":"h%d","incarnation":"1"}`, i))
		}
		time.Sleep(10 * time.Second)
		is.Equal(count(all, direct), len(all))
		l.Put(eventlog.Partition{Topic: "hosts"}, "another", []byte(`{"name":"another","incarnation":"1"}`))
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			is.Equal(count(all, direct), len(all))
			for _, p := range all {
				is.True(p.SizeKnown())
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against hosts that start while the log is away, and read it all at once when it is back.
func TestHostsThatStartInAnOutageFollowReadersAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l, hosts := memlog.New(), newPlaces()
		announceMany(l, 2*maxDirectHosts)
		l.SetFault("", memlog.Fault{Refuse: true})
		var all []*place
		for i := range 40 {
			all = append(all, hosts.start(ctx, l, i, 1000))
		}
		time.Sleep(30 * time.Second)
		l.SetFault("", memlog.Fault{})
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(count(all, direct), 0)
		}
		is.Equal(count(all, reading), maxReaders)
		cancel()
		synctest.Wait()
	})
}

// Guards against a host that never serves because it can't learn whether the fleet is large.
func TestHostThatLearnsNothingReadsTheLogInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l, hosts := memlog.New(), newPlaces()
		l.SetFault("", memlog.Fault{Refuse: true})
		p := hosts.start(ctx, l, 0, 1000)
		time.Sleep(maxUndecidedTime/2 - time.Second)
		is.Equal(p.Source(), "undecided")
		time.Sleep(maxUndecidedTime/2 + 3*time.Second)
		is.Equal(p.Source(), "direct")
		cancel()
		synctest.Wait()
	})
}

// Readers in a host's own failure domain are asked first.
func TestNearReadersAreAskedFirst(t *testing.T) {
	is := is.New(t)
	f := New(Options{Self: Host{Name: "h", Address: "10.0.0.9:1", Domain: "z2"}})
	f.readers.setOwners([]eventlog.Owner{
		{Partition: 0, Member: "a 10.0.0.1:1 fast z1"}, {Partition: 1, Member: "b 10.0.0.2:1 fast z2"}, {Partition: 2, Member: "b 10.0.0.2:1 fast z2"},
		{Partition: 3, Member: "h 10.0.0.9:1 fast z2"}, {Partition: 4, Member: "unreadable"}, {Partition: 5, Member: "d 10.0.0.4:1 slow z2"}, {Partition: maxReaders, Member: "c 10.0.0.3:1 fast z2"},
	}, time.Now())
	is.Equal(f.readers.ranked(), []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.4:1"})
	f.recordCallResult("10.0.0.2:1", errOutdated)
	is.Equal(f.readers.ranked(), []string{"10.0.0.1:1", "10.0.0.4:1", "10.0.0.2:1"})
}
