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

// deadlyKind is the kind of events in which a request comes again and again that ends each
// target that begins to run it. It is not among strikes: the events of a seed stay what they
// were without it.
const deadlyKind = "deadly"

// Figures of deadly requests.
const (
	deadlyPath    = "/deadly/"
	deadlyEvery   = 3 // of so many seeds with faults one has them
	mostDeadly    = 2
	leastDeadly   = time.Second
	deadlyLonger  = 5 * time.Second
	deadlyPause   = 100 * time.Millisecond // between two of them
	deadlyDelay   = 20 * time.Millisecond  // from the begin of a run to the end of its target
	deadlyBack    = 700 * time.Millisecond // until the target is back, under a new id
	deadlyKnown   = time.Second            // after the third end all hosts know of it
	deadlyAllowed = 3                      // sends later than that, of all hosts together
	deadlyTries   = 20
)

// deadlies draws the deadly requests of a seed, apart from its other events. The pick is
// which one it is: two events may be about the same.
func deadlies(seed uint64, others []event) []event {
	random := rand.New(rand.NewPCG(seed, 5))
	if !faulty(others) || random.IntN(deadlyEvery) != 0 {
		return nil
	}
	events := make([]event, 1+random.IntN(mostDeadly))
	for i := range events {
		events[i] = event{
			at:     time.Duration(random.Int64N(int64(faultTime))),
			length: leastDeadly + time.Duration(random.Int64N(int64(deadlyLonger))),
			kind:   deadlyKind, pick: random.IntN(2),
		}
	}
	return events
}

// deadlyName tells the deadly requests apart.
func deadlyName(e event) string { return []string{"a", "b"}[e.pick%2] }

// deadly sends a deadly request at random hosts until the event is over.
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

// sendDeadly sends a deadly request under a new id and gives the status.
func (w *world) sendDeadly(h *host, name string) int {
	c := w.send(newClient(), h, deadlyPath+name, largeTenant, rand.New(rand.NewPCG(1, 1)))
	w.watch.call(c)
	return c.status
}

// isDeadly says whether a request is one.
func isDeadly(path string) bool { return strings.HasPrefix(path, deadlyPath) }

// endDeadly is how a target answers a deadly request: it ends, unless the request is taken
// back before it begins to run.
func (w *world) endDeadly() backend.Behaviour {
	w.watch.deadlyArrived()
	return backend.Behaviour{Delay: deadlyDelay, Crash: true}
}

// replace waits for the end of a target, ends the way to it and starts another one, unless
// the world is over.
func (w *world) replace(s *targetState) {
	<-s.Done()
	if !w.beginReplacing() {
		return
	}
	defer w.replacing.Done()
	s.mu.Lock()
	s.leftAt = time.Now()
	s.mu.Unlock()
	s.way.Close()
	time.Sleep(deadlyBack)
	w.log.Put(platformtest.Servers, s.id, nil)
	if !w.isOver() {
		w.addTarget(s.service)
	}
}

func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *world) beginReplacing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.replacing.Add(1)
	}
	return !w.over
}

// endReplacing waits until no target is replaced any more.
func (w *world) endReplacing() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	w.replacing.Wait()
}

func (w *watch) deadlyArrived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly = append(w.deadly, time.Now())
}

// deadlySince lists the arrivals of deadly requests since a moment.
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

// checkDeadly: when all is well again, no host sends a deadly request for long. Hosts may
// have to count anew, since those that counted may have been killed together. What is under way
// as the third target ends may end more: a trace of five ends shows the last ones sent before
// the third, and all hosts refusing 16 ms after it.
func (w *world) checkDeadly(events []event) {
	for _, name := range []string{"a", "b"} {
		struck := false
		for _, e := range events {
			struck = struck || e.kind == deadlyKind && deadlyName(e) == name
		}
		if struck {
			w.checkStopped(name)
		}
	}
}

func (w *world) checkStopped(name string) {
	begin := time.Now()
	defer w.watch.fault("check of deadly requests")()
	for range deadlyTries {
		if w.refusedByAll(name) {
			break
		}
		time.Sleep(deadlyPause)
	}
	time.Sleep(deadlyKnown)
	if !w.refusedByAll(name) {
		w.watch.violation("deadly request", "%s is not refused by all hosts", name)
	}
	list := w.watch.deadlySince(begin)
	late := 0
	for i, at := range list {
		if i >= deadlyAllowed && at.Sub(list[deadlyAllowed-1]) > deadlyKnown+deadlyDelay {
			late++
		}
	}
	if late > deadlyAllowed {
		w.watch.violation("deadly request", "%s was sent %d times too late after all faults were over", name, late)
	}
}

// refusedByAll sends a deadly request at each host and says whether all refuse it, and none
// has reached a target.
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
