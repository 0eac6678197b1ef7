package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"maststage.dev/platform/platformtest"
	"maststage.dev/standin/backend"
)

// deadlyKind is the kind of events that repeatedly send a deadly request, one that crashes each target
// that begins to run it. It is not in strikes, so that the other events of a seed stay the same.
const deadlyKind = "deadly"

// Figures of deadly requests.
const (
	deadlyPath    = "/deadly/"
	deadlyEvery   = 3 // one seed with faults in this many has them
	maxDeadly     = 2
	minDeadly     = time.Second
	deadlySpread  = 5 * time.Second
	deadlyPause   = 100 * time.Millisecond // between two sends
	deadlyDelay   = 20 * time.Millisecond  // from the start of a run to the crash of its target
	replaceDelay  = 700 * time.Millisecond // until a new target with a new id replaces it
	deadlyNotice  = time.Second            // after the third crash, until all hosts know of it
	deadlyAllowed = 3                      // sends after that, by all hosts together
	deadlyTries   = 20
)

// deadlies draws the deadly events of a seed, from a random source of its own. Their pick chooses the
// request; two events may send the same one.
func deadlies(seed uint64, others []event) []event {
	random := rand.New(rand.NewPCG(seed, 5))
	if !faulty(others) || random.IntN(deadlyEvery) != 0 {
		return nil
	}
	events := make([]event, 1+random.IntN(maxDeadly))
	for i := range events {
		events[i] = event{
			at:     time.Duration(random.Int64N(int64(faultTime))),
			length: minDeadly + time.Duration(random.Int64N(int64(deadlySpread))),
			kind:   deadlyKind, pick: random.IntN(2),
		}
	}
	return events
}

// deadlyName returns the name of the deadly request that an event sends.
func deadlyName(e event) string { return []string{"a", "b"}[e.pick%2] }

// deadly sends a deadly request to random hosts until the event is over.
func deadly(w *world, e event) {
	defer w.watch.fault(e.kind)()
	random := rand.New(rand.NewPCG(uint64(e.at), uint64(e.pick)))
	var all sync.WaitGroup
	for end := time.Now().Add(e.length); time.Now().Before(end); time.Sleep(deadlyPause) {
		h := w.hosts[random.IntN(len(w.hosts))]
		all.Go(func() { w.sendDeadly(h, deadlyName(e)) })
	}
	all.Wait()
}

// sendDeadly sends a deadly request with a new id and returns the status.
func (w *world) sendDeadly(h *host, name string) int {
	c := w.send(newClient(), h, deadlyPath+name, largeTenant, rand.New(rand.NewPCG(1, 1)))
	w.watch.call(c)
	return c.status
}

// isDeadly reports whether a path is that of a deadly request.
func isDeadly(path string) bool { return strings.HasPrefix(path, deadlyPath) }

// crashBehaviour returns a target's behaviour for a deadly request: it crashes, unless the request is
// cancelled before it begins to run.
func (w *world) crashBehaviour() backend.Behaviour {
	w.watch.deadlyArrived()
	return backend.Behaviour{Delay: deadlyDelay, Crash: true}
}

// replace waits until a target has ended, closes the link to it and starts another target, unless the
// cluster is stopped.
func (w *world) replace(s *targetState) {
	<-s.Done()
	if !w.beginReplacing() {
		return
	}
	defer w.replacing.Done()
	s.mu.Lock()
	s.leftAt = time.Now()
	retired := s.retired
	s.mu.Unlock()
	s.link.Close()
	if retired {
		return
	}
	time.Sleep(max(replaceDelay, w.options.downTime, s.room.downTime()))
	w.write(platformtest.Servers, s.id, nil)
	switch {
	case w.isStopped():
	case s.version != "":
		w.startTarget(w.successor(s))
	default:
		w.addTarget(s.service)
	}
}

func (w *world) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

func (w *world) beginReplacing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.replacing.Add(1)
	}
	return !w.stopped
}

// endReplacing stops the replacement of targets and waits until those in progress are done.
func (w *world) endReplacing() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.replacing.Wait()
}

func (w *watch) deadlyArrived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly = append(w.deadly, time.Now())
}

// deadlySince returns the arrival times of deadly requests after begin.
func (w *watch) deadlySince(begin time.Time) (list []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.deadly {
		if at.After(begin) {
			list = append(list, at)
		}
	}
	return list
}

// checkDeadly: after recovery, hosts soon stop sending a deadly request. They may have to count crashes
// again, since the hosts that counted them may have been killed together. Requests in flight when the
// third target crashes may crash more: in a trace of five crashes the last ones were sent before the
// third, and all hosts refused the request 16 ms after it.
func (w *world) checkDeadly(events []event) {
	for _, name := range []string{"a", "b"} {
		sent := false
		for _, e := range events {
			sent = sent || e.kind == deadlyKind && deadlyName(e) == name
		}
		if sent {
			w.checkDeadlyRefused(name)
		}
	}
}

func (w *world) checkDeadlyRefused(name string) {
	begin := time.Now()
	defer w.watch.fault("check of deadly requests")()
	for range deadlyTries {
		if w.refusedByAll(name) {
			break
		}
		time.Sleep(deadlyPause)
	}
	time.Sleep(deadlyNotice)
	if !w.refusedByAll(name) {
		w.watch.violation("deadly request", "%s is not refused by all hosts", name)
	}
	list := w.watch.deadlySince(begin)
	late := 0
	for i, at := range list {
		if i >= deadlyAllowed && at.Sub(list[deadlyAllowed-1]) > deadlyNotice+deadlyDelay {
			late++
		}
	}
	if late > deadlyAllowed {
		w.watch.violation("deadly request", "%s was sent %d times too late after all faults were over", name, late)
	}
}

// refusedByAll sends a deadly request to each host and reports whether all refuse it and none reached a
// target.
func (w *world) refusedByAll(name string) bool {
	begin := time.Now()
	refused := 0
	for _, h := range w.hosts {
		if w.sendDeadly(h, name) == http.StatusServiceUnavailable {
			refused++
		}
	}
	return refused == len(w.hosts) && len(w.watch.deadlySince(begin)) == 0
}
