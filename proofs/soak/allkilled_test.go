package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"maststage.dev/platform/platformtest"
)

// Figures of the tests in which all hosts are killed at once.
const (
	losses         = 4
	lossInterval   = 6 * time.Second        // between two losses, longer than callers wait
	lossDownTime   = 700 * time.Millisecond // until the hosts start again
	lossCallers    = 48
	refusedPause   = 100 * time.Millisecond // of a caller whose connection was refused
	lossTargets    = 6                      // of each version
	minGoOnShare   = 0.95                   // of how often new streams begin, with one version
	minKnownShare  = 0.5                    // the same, with a second version
	minBrokenCount = 20                     // broken streams from which their share counts
)

// lossCase is what happens to the software versions of the engine's targets around the loss of all hosts.
type lossCase struct {
	name    string
	hosts   int
	lead    time.Duration // from the start of targets of a new version to the loss; 0: there is one version only
	oldGone bool          // the targets of the old version end with the hosts
}

// Incident: after all hosts were killed at once, streams that their callers took up went on at targets of another software
// version than the one that began them.
func TestStreamsAreNotJoinedAfterTheLossOfAllHosts(t *testing.T) {
	cases := []lossCase{
		{"old version gone", 6, 300 * time.Millisecond, true},
		{"old version gone, listed for long", 6, 3 * time.Second, true},
		{"24 hosts, old version gone", 24, 300 * time.Millisecond, true},
		{"both versions serve", 6, 300 * time.Millisecond, false},
		{"one version", 6, 0, false},
	}
	slots := make(chan struct{}, 2)
	for seed, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			w := newWorldWith(t, c.hosts, uint64(seed+1), worldOptions{engines: lossTargets, versions: []string{"v1"}})
			time.Sleep(versionsSettle)
			stop := make(chan struct{})
			var streams []*resumedStream
			var traffic sync.WaitGroup
			traffic.Go(func() { streams = w.patientTraffic(stop, uint64(seed), lossCallers) })
			for n := range losses {
				w.loseAll(c, n)
				time.Sleep(lossInterval)
			}
			close(stop)
			traffic.Wait()
			w.checkAfterLosses(c, streams)
			w.endReplacing()
			w.report(uint64(seed+1), nil)
		})
	}
}

// loseAll plays one loss of all hosts.
func (w *world) loseAll(c lossCase, n int) {
	old := w.readyTargets(engineService)
	if c.lead > 0 {
		for range lossTargets {
			w.addVersion(fmt.Sprintf("v%d", n+2))
		}
		time.Sleep(c.lead)
	}
	w.killAllHosts()
	if c.oldGone {
		for _, s := range old {
			w.retire(s)
		}
	}
	time.Sleep(lossDownTime)
	w.startAllHosts()
}

// killAllHosts kills all hosts at once.
func (w *world) killAllHosts() {
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(h.kill)
	}
	all.Wait()
}

// startAllHosts starts all hosts again.
func (w *world) startAllHosts() {
	for _, h := range w.hosts {
		h.start()
	}
	for _, h := range w.hosts {
		h.waitListening(startTime)
	}
}

// addVersion starts an engine target of a software version.
func (w *world) addVersion(version string) {
	w.mu.Lock()
	number := w.nextID
	w.nextID++
	w.mu.Unlock()
	w.startTarget(&targetState{id: fmt.Sprintf("%s-%d", engineService, number), service: engineService, zone: fmt.Sprintf("z%d", number%3), version: version, place: number, cuts: map[int]func(){}})
}

// retire ends a target for good and deletes its entry.
func (w *world) retire(s *targetState) {
	s.mu.Lock()
	s.retired, s.leftAt = true, time.Now()
	s.mu.Unlock()
	w.write(platformtest.Servers, s.id, nil)
	s.Close()
}

// patientTraffic has callers get streams until stop is closed.
func (w *world) patientTraffic(stop <-chan struct{}, seed uint64, callers int) (streams []*resumedStream) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(700+i)))
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.Int64N(int64(2 * resumerThinkTime)))):
				}
				s := w.getPatiently(random)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return streams
}

// getPatiently gets one stream, taking it up until requestLimit has passed.
func (w *world) getPatiently(random *rand.Rand) *resumedStream {
	s := w.newResumedStream()
	for deadline := time.Now().Add(requestLimit); s.lastID < resumedEvents(s.uri); {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		a, pause := w.attemptStream(s, random, left, 0)
		s.attempts = append(s.attempts, a)
		time.Sleep(max(min(pause, left/retryAfterPart), refusedPause))
	}
	return s
}

// goOnAfterLosses counts the streams that were broken off and whose callers got a response to a take-up, and of these
// the ones that went on; and first attempts of other streams, and of these the ones that began.
func goOnAfterLosses(streams []*resumedStream) (broken, begun shareOf) {
	for _, s := range streams {
		if first := s.attempts[0]; first.status != 0 {
			begun.sent++
			if first.begun {
				begun.begun++
			}
		}
		answered, wentOn := false, false
		for _, a := range s.attempts {
			answered = answered || a.takesUp && a.status != 0
			wentOn = wentOn || a.takesUp && a.begun
		}
		if answered {
			broken.sent++
			if wentOn {
				broken.begun++
			}
		}
	}
	return broken, begun
}

// checkAfterLosses checks that no stream holds events of two versions, and that streams go on where they can.
func (w *world) checkAfterLosses(c lossCase, streams []*resumedStream) {
	mixed := 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
	}
	broken, begun := goOnAfterLosses(streams)
	w.t.Logf("%d streams, %d of two versions; broken off and gone on %d of %d; begun %d of %d", len(streams), mixed, broken.begun, broken.sent, begun.begun, begun.sent)
	if mixed > 0 {
		w.watch.violation("order", "%d streams hold events of two software versions", mixed)
	}
	if broken.sent < minBrokenCount {
		w.t.Errorf("only %d streams were broken off", broken.sent)
	}
	least := minGoOnShare
	switch {
	case c.oldGone:
		return // nothing is left that could go on with them
	case c.lead > 0:
		least = minKnownShare
	}
	if broken.value() < least*begun.value() {
		w.watch.violation("lost", "%d of %d streams that were taken up go on, %d of %d begin", broken.begun, broken.sent, begun.begun, begun.sent)
	}
}

const (
	// newVersionLead is the time from the start of targets of a new version until they and all hosts are lost.
	newVersionLead = 650 * time.Millisecond
	newGoneWorlds  = 4
	newGoneTime    = 2500 * time.Millisecond // after the hosts are back
)

// Guards against streams of a new version that served for a moment, and whose targets were lost together with all hosts, that
// go on at the old version, the only one left.
func TestStreamsOfANewVersionThatWasLostWithAllHostsAreNotJoined(t *testing.T) {
	slots := make(chan struct{}, 2)
	for n := range newGoneWorlds {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			w := newWorldWith(t, 6, uint64(n+1), worldOptions{engines: lossTargets, versions: []string{"v1"}})
			time.Sleep(versionsSettle)
			stop := make(chan struct{})
			var streams []*resumedStream
			var traffic sync.WaitGroup
			traffic.Go(func() { streams = w.patientTraffic(stop, uint64(n), lossCallers) })
			time.Sleep(versionsSettle / 2)
			for range lossTargets {
				w.addVersion("v2")
			}
			time.Sleep(newVersionLead)
			w.killAllHosts()
			for _, s := range w.readyTargets(engineService) {
				if s.version == "v2" {
					w.retire(s)
				}
			}
			time.Sleep(lossDownTime)
			w.startAllHosts()
			time.Sleep(newGoneTime)
			close(stop)
			traffic.Wait()
			w.checkAfterLosses(lossCase{oldGone: true}, streams)
			w.endReplacing()
			w.report(uint64(n+1), nil)
		})
	}
}
