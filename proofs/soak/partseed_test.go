package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// partKind is the kind of events that send requests with a part that crashes targets, beside sound ones that share their
// other parts. It is not in strikes, so that the other events of a seed stay the same.
const partKind = "crashing part"

// Figures of these events.
const (
	partEvery  = 3 // one seed in this many has them
	maxPart    = 1
	minPart    = 2 * time.Second
	partSpread = 4 * time.Second
	partPause  = 150 * time.Millisecond // between two requests with the part
	// partTries bounds the requests with which the check after recovery has the part quarantined, if it is not yet: the
	// hosts that counted its crashes may all have been killed.
	partTries = 20
)

// crashingParts draws the events of a seed with a part that crashes targets.
func crashingParts(seed uint64) []event {
	return drawInSome(seed, 23, partEvery, partKind, maxPart, minPart, partSpread)
}

// newPartsRun describes requests with the crashing part at a place that the event picks.
func (w *world) newPartsRun(e event) *partsRun {
	return &partsRun{w: w, place: e.pick % 3, interval: partPause}
}

// sendCrashingPart sends requests with the part, and sound ones, to random hosts until the event is over.
func sendCrashingPart(w *world, e event) {
	defer w.watch.fault(e.kind)()
	p := w.newPartsRun(e)
	random := rand.New(rand.NewPCG(uint64(e.at), uint64(e.pick)))
	var all sync.WaitGroup
	for end := time.Now().Add(e.length); time.Now().Before(end); time.Sleep(partPause) {
		bad, sound := rand.New(rand.NewPCG(random.Uint64(), 0)), rand.New(rand.NewPCG(random.Uint64(), 0))
		all.Go(func() { p.send(bad, p.prompt(crashingPart, "1", bad)) })
		all.Go(func() { p.send(sound, p.prompt("c1", "1", sound)) })
	}
	all.Wait()
}

// checkCrashingParts: after recovery, requests with the part are soon sent by no host, and sound requests that share their
// other parts are served.
func (w *world) checkCrashingParts(events []event) {
	for _, e := range events {
		if e.kind == partKind {
			w.checkCrashingPart(e)
		}
	}
}

func (w *world) checkCrashingPart(e event) {
	defer w.watch.fault("check of crashing parts")()
	p := w.newPartsRun(e)
	random := rand.New(rand.NewPCG(uint64(e.at), 1))
	begin := time.Now()
	for range partTries {
		p.send(random, p.prompt(crashingPart, "1", random))
		time.Sleep(partPause)
	}
	time.Sleep(deadlyNotice)
	known := time.Now()
	for range partTries {
		p.send(random, p.prompt(crashingPart, "1", random))
	}
	if late := len(w.watch.crashingSince(known)); late > maxLatePartSent {
		w.watch.violation("crashing part", "sent %d times after %d requests with it", late, partTries)
	}
	if sent := len(w.watch.crashingSince(begin)); sent > partTries/2 {
		w.watch.violation("crashing part", "sent %d of %d times after all faults were over", sent, 2*partTries)
	}
	served := 0
	for range partTries {
		if begun, _ := p.send(random, p.prompt("c2", "1", random)); begun {
			served++
		}
		time.Sleep(partPause)
	}
	if served < partTries/2 {
		w.watch.violation("sound requests", "%d of %d that share parts with requests that crash targets are served", served, partTries)
	}
}

// crashingSince returns the arrivals of requests with the part after begin.
func (w *watch) crashingSince(begin time.Time) (list []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.crashing {
		if at.After(begin) {
			list = append(list, at)
		}
	}
	return list
}
