package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"maststage.dev/platform/platformtest"
)

// Figures of the test of targets that fall silent as the configuration changes.
const (
	silentSettle    = time.Second // before traffic, and after the last silence
	silentInterval  = 3 * time.Second
	silentMin       = time.Second
	silentSpread    = 1600 * time.Millisecond
	silentLead      = 600 * time.Millisecond // most from a change of the configuration to the silence beside it
	silentTimeout   = 1800 * time.Millisecond
	silentOthers    = 6 // targets of the second service, which never fall silent
	silentCallers   = 60
	silentWholePart = 0.6 // least share of the requests of well-mannered callers that are answered whole
)

// silentCases are the parts of the test.
var silentCases = []struct {
	name    string
	targets int
	share   float64 // of the targets that fall silent
	options worldOptions
}{
	{"all targets", 12, 1, worldOptions{}},
	{"all targets, responses without framing", 12, 1, worldOptions{unframed: true}},
	{"60 of 100 targets, responses without framing", 100, 0.6, worldOptions{unframed: true}},
	{"10 of 12 targets, a third of the responses without framing", 12, 0.84, worldOptions{mixed: true}},
}

// socketKinds returns the kinds of n callers.
func socketKinds(n int) (kinds []socketKind) {
	mix := []socketKind{
		kindKeeps, kindStopsEarly, kindOld, kindKeeps, kindStopsQuiet, kindLeaves,
		kindKeeps, kindStopsEarly, kindOldStops, kindKeeps, kindStopsQuiet, kindSendsBefore,
	}
	for i := range n {
		kinds = append(kinds, mix[i%len(mix)])
	}
	return kinds
}

// Guards against responses that callers take for whole ones though they are not, after targets fell silent beside a change of the
// configuration: for callers that closed their sending side, and by a close for callers that speak HTTP/1.0.
func TestAnswersDoNotEndAsWholeAfterSilences(t *testing.T) {
	for number, c := range silentCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(number + 1)
			c.options.engines, c.options.services = c.targets, []string{otherService}
			w := newWorldWith(t, usualHosts, seed, c.options)
			w.addVersions(otherService, "", silentOthers)
			w.addOnceRoute()
			time.Sleep(silentSettle)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var traffic sync.WaitGroup
			traffic.Go(func() {
				w.socketTraffic(ctx, seed, socketKinds(silentCallers), []string{streamPath, streamPath, oncePath, oncePath, safePath, unsafePath})
			})
			silent := rand.New(rand.NewPCG(seed, 60))
			w.playSilences(silent, func() {
				list := w.readyTargets(engineService)
				suspendFor(list[:int(c.share*float64(len(list)))], silentMin+time.Duration(silent.Int64N(int64(silentSpread))))
			})
			time.Sleep(silentSettle)
			stop()
			traffic.Wait()
			w.checkAfterSilences()
			w.report(seed, nil)
		})
	}
}

// checkAfterSilences checks the responses that callers got beside silences.
func (w *world) checkAfterSilences() {
	tallies := w.checkSockets()
	var all socketTally
	for _, n := range tallies {
		all.add(*n)
	}
	w.t.Logf("all: %v", all)
	if all.open > 0 {
		w.t.Errorf("%d responses had not ended %v after the request", all.open, socketWait)
	}
	if keep := tallies[kindKeeps]; float64(keep.whole) < silentWholePart*float64(keep.requests) {
		w.t.Errorf("callers that keep their connections got %d whole responses to %d requests", keep.whole, keep.requests)
	}
}

// addOnceRoute adds the route of streams that may not be resumed.
func (w *world) addOnceRoute() {
	w.publish(func(c *platformtest.Config) {
		route := c.Routes[0]
		route.Name, route.PathPrefix, route.Resumable = oncePath, oncePath, false
		c.Routes = append(c.Routes, route)
	})
}

// playSilences plays a silence of targets beside each change of the configuration.
func (w *world) playSilences(random *rand.Rand, silence func()) {
	changes := []func(){
		func() { w.setStreamTimeout(silentTimeout) },
		func() { w.routeEvents(otherService) },
		func() { w.routeEvents(engineService, otherService) },
		func() { // routes are added, and the others are as at first
			w.setStreamTimeout(requestLimit)
			w.routeEvents(engineService)
		},
	}
	random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	begin := time.Now()
	for n, change := range changes {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * silentInterval)))
		change()
		time.Sleep(time.Duration(random.Int64N(int64(silentLead))))
		silence()
	}
}

// suspendFor makes targets do nothing for a time.
func suspendFor(list []*targetState, length time.Duration) {
	for _, s := range list {
		defer s.Suspend()()
	}
	time.Sleep(length)
}

// setStreamTimeout publishes a time-out of the routes of streams.
func (w *world) setStreamTimeout(limit time.Duration) {
	w.changeStreamRoutes(func(r *platformtest.Route) { r.TimeoutMs = float64(limit.Milliseconds()) })
}

// routeEvents publishes services of the routes of streams.
func (w *world) routeEvents(services ...string) {
	w.changeStreamRoutes(func(r *platformtest.Route) {
		r.Service, r.Split = services[0], nil
		for _, service := range services {
			if len(services) > 1 {
				r.Split = append(r.Split, platformtest.Weight{Service: service, Weight: 1})
			}
		}
	})
}

func (w *world) changeStreamRoutes(change func(*platformtest.Route)) {
	w.publish(func(c *platformtest.Config) {
		for i := range c.Routes {
			if name := c.Routes[i].Name; name == streamPath || name == oncePath {
				change(&c.Routes[i])
			}
		}
	})
}

// add adds the counts of others.
func (n *socketTally) add(m socketTally) {
	n.requests, n.successes, n.whole, n.broken = n.requests+m.requests, n.successes+m.successes, n.whole+m.whole, n.broken+m.broken
	n.refused, n.none, n.left, n.open, n.wrong = n.refused+m.refused, n.none+m.none, n.left+m.left, n.open+m.open, n.wrong+m.wrong
	n.resumed, n.unframed = n.resumed+m.resumed, n.unframed+m.unframed
	n.unproved += m.unproved
	n.unframedWhole, n.unframedShort = n.unframedWhole+m.unframedWhole, n.unframedShort+m.unframedShort
}
