package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// rolloutLossKind is the kind of events in which targets of a new software version are listed, and all hosts are killed
// at once. It is not in strikes, so that the other events of a seed stay the same.
const rolloutLossKind = "all hosts lost in a rollout"

// Figures of such events.
const (
	maxRolloutLosses  = 2
	minLossDown       = 400 * time.Millisecond // until the hosts start again
	lossDownSpread    = 2 * time.Second
	maxRolloutLead    = 800 * time.Millisecond // from the first entry of the new version to the loss
	newTargets        = 3                      // of the new version
	patientCallers    = 4                      // callers that take their streams up until their deadline
	rolloutLossSource = 24                     // number of the random source
)

// rolloutLosses draws the events of a seed with several software versions in which all hosts are lost beside a rollout.
func rolloutLosses(seed uint64) []event {
	if softwareVersions(seed) == nil {
		return nil
	}
	return drawInSome(seed, rolloutLossSource, 1, rolloutLossKind, maxRolloutLosses, minLossDown, lossDownSpread)
}

// loseAllInRollout lists targets of a new version and kills all hosts. By the event's pick, the targets before serve on,
// end with the hosts, or half of them leave before.
func loseAllInRollout(w *world, e event) {
	defer w.watch.fault(e.kind)()
	old := w.readyTargets(engineService)
	w.addVersions(engineService, fmt.Sprintf("v%d", 3+e.pick/3%3), newTargets)
	time.Sleep(time.Duration(e.part * float64(maxRolloutLead)))
	fate := e.pick % 3
	if fate == 2 {
		for i, s := range old[:len(old)/2] {
			if i%2 == 0 {
				w.drain(s)
			} else {
				w.unlist(s)
			}
		}
	}
	var all sync.WaitGroup
	all.Go(func() { killAll(w, event{kind: e.kind, length: 2 * e.length}) })
	time.Sleep(minLossDown / 2)
	if fate == 1 {
		for _, s := range old {
			w.retire(s)
		}
	}
	all.Wait()
}

// patientUntil is patientTraffic until ctx ends.
func (w *world) patientUntil(ctx context.Context, seed uint64) []*resumedStream {
	return w.patientTraffic(ctx.Done(), seed, patientCallers)
}

// checkNotJoined: where all hosts were lost beside a rollout, no stream holds events of two software versions.
func (w *world) checkNotJoined(streams []*resumedStream) {
	joined := 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
			w.watch.violation("joined streams", "%v", s.describe())
		}
	}
	broken, begun := goOnAfterLosses(streams)
	w.t.Logf("beside losses of all hosts: %d streams, %d of two versions; broken off and gone on %d of %d; begun %d of %d", len(streams), joined, broken.begun, broken.sent, begun.begun, begun.sent)
}
