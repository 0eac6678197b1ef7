package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"maststage.dev/platform/platformtest"
)

// silentKind is the kind of events in which targets do nothing in numbers beside a change of the configuration. It is not in
// strikes, so that the other events of a seed stay the same.
const silentKind = "targets silent"

// Figures of these events, and of callers that are judged at their sockets.
const (
	silentSource    = 61 // number of the random source
	silentEvery     = 3  // one seed with faults in this many has them
	maxSilent       = 3
	minSilent       = 600 * time.Millisecond
	silentTimeSpan  = 2 * time.Second
	silentPart      = 0.6             // of the targets, if not all
	silentLimit     = 3 * time.Second // a time-out of routes meanwhile
	socketSource    = 62
	socketSeedEvery = 3 // one seed in this many has such callers
)

// socketSeedKinds are the callers of a seed that are judged at their sockets.
var socketSeedKinds = []socketKind{kindStopsEarly, kindStopsQuiet, kindOld, kindOldStops, kindOld, kindSendsBefore}

// targetSilences draws the events of a seed in which targets do nothing.
func targetSilences(seed uint64, others []event) []event {
	if !faulty(others) {
		return nil
	}
	return drawInSome(seed, silentSource, silentEvery, silentKind, maxSilent, minSilent, silentTimeSpan)
}

// hasSocketCallers reports whether a seed has callers that close their sending side, or speak HTTP/1.0.
func hasSocketCallers(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, socketSource)).IntN(socketSeedEvery) == 0
}

// seedSocketTraffic has these callers ask hosts until ctx ends, in a seed that has them.
func (w *world) seedSocketTraffic(ctx context.Context, seed uint64) {
	if hasSocketCallers(seed) {
		w.socketTraffic(ctx, seed, socketSeedKinds, []string{streamPath, streamPath, safePath, unsafePath})
	}
}

// fallSilent makes all targets of a service or of both do nothing, or most of them, while the configuration changes: its routes
// get a shorter time-out until the silence is over, or one is added.
func fallSilent(w *world, e event) {
	defer w.watch.fault(e.kind)()
	paths := [][]string{nil, {streamPath}, {safePath, unsafePath}}[e.pick/3%3]
	var change sync.WaitGroup
	change.Go(func() { w.limitRoutes(paths, silentLimit) })
	time.Sleep(time.Duration(e.part * float64(silentLead)))
	var list []*targetState
	services := [][]string{{engineService}, {plainService}, {engineService, plainService}}[e.pick%3]
	for _, service := range services {
		ready := w.readyTargets(service)
		if e.pick/9%2 == 0 {
			ready = ready[:int(silentPart*float64(len(ready)))]
		}
		list = append(list, ready...)
	}
	suspendFor(list, e.length)
	change.Wait()
	if paths != nil {
		w.limitRoutes(paths, requestLimit)
		time.Sleep(configWithin)
	}
}

// limitRoutes publishes a configuration with a time-out of some routes.
func (w *world) limitRoutes(paths []string, limit time.Duration) {
	w.publish(func(c *platformtest.Config) {
		for i := range c.Routes {
			if slices.Contains(paths, c.Routes[i].Name) {
				c.Routes[i].TimeoutMs = float64(limit.Milliseconds())
			}
		}
	})
}
