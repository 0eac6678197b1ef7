package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Figures of the tests of streams over software versions.
const (
	versionsTime   = 9 * time.Second
	versionsSettle = contactTime + time.Second // before traffic, until all hosts count
	crashInterval  = 300 * time.Millisecond    // between two crashes of engine targets
	killInterval   = 3 * time.Second           // between two kills of hosts, where there are any
	maxMixed       = 2                         // streams that may hold events of two versions
	minTakeUps     = 12                        // from which their share counts
)

// Incident: streams went on at targets of another software version than the one that began them, within an answer or as
// their callers took them up at another host, and their callers got events that don't fit together.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	cases := []struct {
		name           string
		hosts, engines int
		kills          bool
		unframed       bool
	}{
		{"6 hosts", 6, 12, false, false},
		{"6 hosts, kills", 6, 12, true, false},
		{"24 hosts", 24, 24, false, false},
		{"answers without framing", 6, 12, false, true},
	}
	slots := make(chan struct{}, 2)
	for seed, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			w := newWorldWith(t, c.hosts, uint64(seed+1), worldOptions{engines: c.engines, versions: []string{"v1", "v1.1", "v2"}, unframed: c.unframed})
			time.Sleep(versionsSettle)
			ctx, stop := context.WithTimeout(context.Background(), versionsTime)
			defer stop()
			var faults sync.WaitGroup
			faults.Go(func() { w.crashEngines(ctx, rand.New(rand.NewPCG(uint64(seed), 20))) })
			if c.kills {
				faults.Go(func() { w.killHosts(ctx, rand.New(rand.NewPCG(uint64(seed), 21))) })
			}
			streams := w.resumeTraffic(ctx, uint64(seed), resumers)
			faults.Wait()
			if n := w.checkVersions(streams); n < minTakeUps {
				t.Errorf("only %d streams were taken up", n)
			}
			w.report(uint64(seed+1), nil)
		})
	}
}

// softwareVersionsEvery: one seed in this many has engine targets of several software versions.
const softwareVersionsEvery = 3

// softwareVersions draws the versions of the engine targets of a seed, nil for one.
func softwareVersions(seed uint64) []string {
	if rand.New(rand.NewPCG(seed, 22)).IntN(softwareVersionsEvery) != 0 {
		return nil
	}
	return []string{"v1", "v2"}
}

// crashEngines ends an engine target now and then, midway through its streams, until ctx ends.
func (w *world) crashEngines(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		list := w.readyTargets(engineService)
		if len(list) > 2 {
			list[random.IntN(len(list))].Close()
		}
		time.Sleep(crashInterval)
	}
}

// killHosts kills a host now and then and starts it again, until ctx ends.
func (w *world) killHosts(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(killInterval)
		w.hostFault(event{pick: random.IntN(len(w.hosts)), length: 2 * restartPause}, w.killAndStart)
	}
}

// shareOf counts attempts that count for a share, and those of them that brought events.
type shareOf struct{ sent, begun int }

func (s *shareOf) add(a streamAttempt) {
	if !a.inTouch {
		return
	}
	s.sent++
	if a.begun {
		s.begun++
	}
}

func (s shareOf) value() float64 { return float64(s.begun) / float64(max(s.sent, 1)) }

// checkVersions: no more than maxMixed streams hold events of two software versions, and callers that take streams up
// get more of them at least half as often as new streams begin. It returns how many take-ups counted.
func (w *world) checkVersions(streams []*resumedStream) (takeUps int) {
	var answers, histories, whole int
	var begun, resumed shareOf
	for _, s := range streams {
		if len(s.versions) > 1 {
			histories++
		}
		if s.lastID == resumedEvents(s.uri) {
			whole++
		}
		for n, a := range s.attempts {
			if len(a.versions) > 1 {
				answers++
			}
			switch {
			case a.takesUp:
				resumed.add(a)
			case n == 0:
				begun.add(a)
			}
		}
	}
	w.t.Logf("%d streams, %d whole; of two versions: %d answers, %d streams; begun %d of %d, taken up %d of %d", len(streams), whole, answers, histories, begun.begun, begun.sent, resumed.begun, resumed.sent)
	if histories > maxMixed {
		w.watch.violation("order", "%d streams hold events of two software versions, %d of them in one answer", histories, answers)
	}
	if resumed.sent >= minTakeUps && resumed.value() < begun.value()/2 {
		w.watch.violation("lost", "%d of %d streams that were taken up go on, %d of %d begin", resumed.begun, resumed.sent, begun.begun, begun.sent)
	}
	return resumed.sent
}
