package streamversion

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
	"maststage.dev/standin/memlog"
)

// Topics of the simulated log, and timing of the simulated fleets.
const (
	pastTargets  = "targets"
	pastUses     = "uses"
	pastStreams  = "streams"
	pastLongPoll = 5 * time.Second
	pastTimeout  = 2 * time.Second
	pastForget   = 30 * time.Second // how long hosts remember versions of targets that are gone
	pastTick     = 20 * time.Millisecond
	pastLife     = 5 * time.Second // of a stream
)

// historyFleet is a fleet that shares a simulated log, and what is true of its streams.
type historyFleet struct {
	log    *memlog.Log
	mu     sync.Mutex
	hosts  []*historyHost
	listed map[string]bool // versions of the targets
	isNew  bool            // hosts have just begun to use the log
	size   int             // number of hosts
	begun  []pastStream
}

// pastStream is a stream whose caller got its first event.
type pastStream struct {
	key    Key
	origin Origin
	at     time.Time
}

// historyHost is one incarnation of a host; the fleet's lock guards its list.
type historyHost struct {
	fleet     *historyFleet
	name      string
	down      bool
	stop      func()
	present   map[string]bool      // versions in its list of targets
	gone      map[string]time.Time // versions that left it
	past      *Past
	directory *Directory
	targets   *replica.Replica
}

func newHistoryFleet(n int) *historyFleet {
	f := &historyFleet{log: memlog.New(), listed: map[string]bool{}, isNew: true, size: n}
	for i := range n {
		f.hosts = append(f.hosts, f.startHost(fmt.Sprintf("h%d", i)))
	}
	return f
}

// startHost starts a host that knows nothing.
func (f *historyFleet) startHost(name string) *historyHost {
	ctx, cancel := context.WithCancel(context.Background())
	h := &historyHost{fleet: f, name: name, stop: cancel, present: map[string]bool{}, gone: map[string]time.Time{}}
	view := f.log.Host(name)
	h.targets = replica.New(replica.Options{
		Log: view, Partition: eventlog.Partition{Topic: pastTargets}, LongPoll: pastLongPoll, ReadTimeout: pastTimeout,
		MinInterval: 10 * time.Millisecond, KeepLost: pastForget, OnChange: h.listChanged,
	})
	count := func() int { return f.size }
	isNew := f.isNew
	h.past = NewPast(PastOptions{
		Log: view, Partition: eventlog.Partition{Topic: pastUses}, Timeout: pastTimeout,
		Observe:  func() ([]Use, bool, bool) { return h.uses(), h.targets.Age() <= pastLongPoll, h.targets.Loaded() },
		NewFleet: func() bool { return isNew }, EarlierBuilds: func() bool { return false }, Hosts: count,
	})
	run := func(_ string, f func()) { go f() }
	ignore := func(string) {}
	journal := NewJournal(JournalOptions{Log: view, Topic: pastStreams, Partitions: 4, Host: name, Hosts: count, Timeout: pastTimeout, Count: ignore, Go: run})
	h.directory = New(Options{
		Versions: h.versions, Services: h.past.Services, Covers: h.past.Covers, CatchUp: h.past.CatchUp, Followed: h.past.Followed, Await: h.past.Await, Journal: journal,
		ConfirmedSince: h.targets.RefreshedSince, Count: ignore, Go: run,
	})
	h.directory.SetPeers(h)
	for _, task := range []func(context.Context){h.targets.Run, h.past.Run, h.directory.Run, journal.Run} {
		go task(ctx)
	}
	return h
}

// listChanged applies changes of the list of targets: a key is a version, with a value while targets have it.
func (h *historyHost) listChanged(changes []replica.Change) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, c := range changes {
		version := c.Record.Key
		if len(c.Record.Value) > 0 {
			h.present[version] = true
			delete(h.gone, version)
		} else if h.present[version] {
			delete(h.present, version)
			h.gone[version] = time.Now()
		}
	}
	h.past.Look()
}

// serves reports whether the host has the list of targets and the records, before which it serves nobody.
func (h *historyHost) serves() bool {
	h.past.mu.Lock()
	defer h.past.mu.Unlock()
	return h.past.read && h.targets.Loaded()
}

func (h *historyHost) recent() (list []string) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for version := range h.present {
		list = append(list, version)
	}
	for version, at := range h.gone {
		if time.Since(at) < pastForget {
			list = append(list, version)
		}
	}
	return list
}

func (h *historyHost) uses() []Use {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	uses := []Use{{Route: route, Service: service}}
	for version := range h.present {
		uses = append(uses, Use{Service: service, Version: version})
	}
	return uses
}

func (h *historyHost) versions(string) []string {
	list := append(h.recent(), h.past.Versions(service)...)
	slices.Sort(list)
	return slices.Compact(list)
}

func (h *historyHost) Holders(k Key) (names []string) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, other := range h.fleet.hosts {
		if other.name != h.name {
			names = append(names, other.name)
		}
	}
	return rendezvous.Rank(k.String(), names, func(name string) string { return name })
}

func (h *historyHost) reach(name string) (*historyHost, error) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	i := slices.IndexFunc(h.fleet.hosts, func(other *historyHost) bool { return other.name == name })
	if other := h.fleet.hosts[i]; !h.down && !other.down {
		return other, nil
	}
	return nil, errDown
}

func (h *historyHost) Tell(_ context.Context, name string, streams []Announcement) error {
	other, err := h.reach(name)
	if err == nil {
		other.directory.HandleAnnouncement(streams)
	}
	return err
}

func (h *historyHost) Ask(_ context.Context, name string, q Question) (Answer, error) {
	other, err := h.reach(name)
	if err != nil {
		return Answer{}, err
	}
	return other.directory.Answer(q), nil
}

// list changes whether targets of a version are listed.
func (f *historyFleet) list(version string, listed bool) {
	f.mu.Lock()
	delete(f.listed, version)
	var value []byte
	if listed {
		f.listed[version], value = true, []byte("{}")
	}
	f.mu.Unlock()
	f.log.Put(eventlog.Partition{Topic: pastTargets}, version, value)
}

// begin has a host begin a stream at a version that it lists and that targets still have, unless it ends meanwhile.
func (f *historyFleet) begin(random *rand.Rand, number int) {
	f.mu.Lock()
	h := f.hosts[random.IntN(len(f.hosts))]
	versions := slices.DeleteFunc(slices.Sorted(maps.Keys(h.present)), func(version string) bool { return !f.listed[version] })
	if h.down || len(versions) == 0 {
		f.mu.Unlock()
		return
	}
	o := Origin{service, versions[random.IntN(len(versions))]}
	f.mu.Unlock()
	k := KeyOf("org", fmt.Sprint(number))
	go func() {
		h.directory.Began(k, route, o, time.Minute)
		h.directory.Await(context.Background(), route, o)
		f.mu.Lock()
		defer f.mu.Unlock()
		if !h.down {
			f.begun = append(f.begun, pastStream{k, o, time.Now()})
		}
	}()
}

// pastFindings counts what hosts say of streams.
type pastFindings struct{ found, refused, wrong int }

// takeUp has a host look for a stream of late. Hosts serve nobody before they have the topics.
func (f *historyFleet) takeUp(random *rand.Rand, findings *pastFindings, report func(format string, args ...any)) {
	f.mu.Lock()
	f.begun = slices.DeleteFunc(f.begun, func(s pastStream) bool { return time.Since(s.at) > pastLife })
	h := f.hosts[random.IntN(len(f.hosts))]
	if h.down || len(f.begun) == 0 || !h.serves() {
		f.mu.Unlock()
		return
	}
	s := f.begun[random.IntN(len(f.begun))]
	f.mu.Unlock()
	go func() {
		found := h.directory.Find(context.Background(), s.key, route, []string{service})
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case h.down:
		case found.Verdict != Found:
			findings.refused++
		case found.Origin == s.origin:
			findings.found++
		default:
			findings.wrong++
			report("a stream of %v begun %v ago is taken for one of %v at %s: %+v", s.origin, time.Since(s.at), found.Origin, h.name, found)
		}
	}()
}

// loseAll ends all hosts, does something, and starts them again.
func (f *historyFleet) loseAll(down time.Duration, meanwhile func()) {
	f.mu.Lock()
	for _, h := range f.hosts {
		h.down = true
		h.stop()
	}
	f.isNew = false
	f.mu.Unlock()
	meanwhile()
	time.Sleep(down)
	for i := range f.hosts {
		h := f.startHost(f.hosts[i].name)
		f.mu.Lock()
		f.hosts[i] = h
		f.mu.Unlock()
	}
}

// stopAll ends all hosts and waits for what they have begun.
func (f *historyFleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
	time.Sleep(pastLongPoll)
}

// traffic begins streams and takes them up for some time.
func (f *historyFleet) traffic(ctx context.Context, random *rand.Rand, findings *pastFindings, report func(string, ...any)) {
	for n := 0; ctx.Err() == nil; n++ {
		f.begin(random, n)
		f.takeUp(random, findings, report)
		time.Sleep(pastTick)
	}
}

// rewrite has the targets write again what the log lacks.
func (f *historyFleet) rewrite() {
	p := eventlog.Partition{Topic: pastTargets}
	f.mu.Lock()
	listed := maps.Clone(f.listed)
	f.mu.Unlock()
	for _, version := range pastVersions {
		if _, there := f.log.Get(p, version); there != listed[version] {
			f.list(version, listed[version])
		}
	}
}

var pastVersions = []string{"v1", "v2", "v3", "v4"}

// act plays one random event of a history.
func (f *historyFleet) act(random *rand.Rand, versions []string, damage bool) {
	version := versions[random.IntN(len(versions))]
	roll := func() {
		f.mu.Lock()
		listed, n := f.listed[version], len(f.listed)
		f.mu.Unlock()
		if !listed || n > 1 {
			f.list(version, !listed)
		}
	}
	down := time.Duration(random.Int64N(int64(3 * time.Second)))
	copied := f.log.Snapshot()
	switch kind := random.IntN(9); {
	case kind < 4:
		roll()
	case kind == 4: // what was listed, or left, shortly before is undone
		roll()
		time.Sleep(down / 8)
		f.loseAll(down, roll)
	case kind == 5:
		f.loseAll(down, func() {})
	case kind == 6:
		f.loseAll(down, roll)
	case kind == 7:
		f.log.SetFault("", memlog.Fault{Refuse: down%2 == 0, Silent: down%2 == 1})
		f.loseAll(down/2, roll)
		time.Sleep(down / 2)
		f.log.SetFault("", memlog.Fault{})
	case damage && random.IntN(2) == 0:
		time.Sleep(down / 2)
		f.loseAll(down, func() { f.log.Restore(copied) })
		f.rewrite()
	case damage:
		f.loseAll(down, f.log.TrimAll)
	}
	time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
}

// playHistory plays a random history and returns what hosts said of streams, and the calls to the log.
func playHistory(t *testing.T, hosts int, seed uint64, versions []string, damage bool, span time.Duration) (findings pastFindings, appends, reads int) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newHistoryFleet(hosts)
		f.list(versions[0], true)
		time.Sleep(5 * time.Second)
		ctx, stop := context.WithTimeout(t.Context(), span)
		defer stop()
		var traffic sync.WaitGroup
		traffic.Go(func() { f.traffic(ctx, rand.New(rand.NewPCG(seed, 1)), &findings, t.Errorf) })
		for ctx.Err() == nil {
			f.act(random, versions, damage)
		}
		traffic.Wait()
		time.Sleep(5 * time.Second)
		f.stopAll()
		appends, reads = f.log.Calls()
	})
	return findings, appends, reads
}

// Guards against streams that go on at another version, and against refusing streams of a service with one version all
// along, over random histories of versions, losses of all hosts and damage to the log.
func TestRandomHistoriesOfVersions(t *testing.T) {
	cases := []struct {
		hosts, seeds int
		span         time.Duration
	}{{6, 30, time.Minute}, {87, 2, 30 * time.Second}, {300, 1, 20 * time.Second}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d hosts", c.hosts), func(t *testing.T) {
			for name, versions := range map[string][]string{"one version": pastVersions[:1], "several versions": pastVersions} {
				var all pastFindings
				var appends, reads int
				for seed := range c.seeds {
					several := len(versions) > 1
					found, a, r := playHistory(t, c.hosts, uint64(seed+1), versions, several, c.span)
					all.found, all.refused, all.wrong = all.found+found.found, all.refused+found.refused, all.wrong+found.wrong
					appends, reads = appends+a, reads+r
				}
				seconds := float64(c.seeds) * c.span.Seconds()
				t.Logf("%s: %d found, %d refused, %d wrong; %.1f appends and %.1f reads a second", name, all.found, all.refused, all.wrong, float64(appends)/seconds, float64(reads)/seconds)
				if len(versions) == 1 && all.refused > 0 {
					t.Errorf("%d streams of a service with one version are refused", all.refused)
				}
			}
		})
	}
}
