package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"maststage.dev/platform/platformtest"
)

// evacuateKind is the kind of events that evacuate a failure domain and then revoke the evacuation. It
// is not in strikes, so that the other events of a seed stay the same.
const evacuateKind = "evacuate"

// Figures of evacuations.
const (
	evacuateWithin = time.Second // after this time an evacuated domain gets no new requests
	evacuateEvery  = 2           // one seed in this many has evacuations
	maxEvacuations = 3
	domains        = 3
	// To be checked, an evacuation has to last longer than the time allowed for it.
	minEvacuation    = evacuateWithin + slack + time.Second
	evacuationSpread = 3 * time.Second
)

// evacuations draws the evacuations of a seed, from a random source of its own. They are planned work.
func evacuations(seed uint64) []event {
	random := rand.New(rand.NewPCG(seed, 4))
	if random.IntN(evacuateEvery) != 0 {
		return nil
	}
	events := make([]event, 1+random.IntN(maxEvacuations))
	for i := range events {
		events[i] = event{
			at:     time.Duration(random.Int64N(int64(faultTime))),
			length: minEvacuation + time.Duration(random.Int64N(int64(evacuationSpread))),
			kind:   evacuateKind, pick: random.IntN(domains),
		}
	}
	return events
}

// evacuate orders an evacuation and revokes it when the event is over. It does nothing if the domain is
// already evacuated.
func evacuate(w *world, e event) {
	zone := fmt.Sprintf("z%d", e.pick%domains)
	if !w.watch.beginEvacuation(zone) {
		return
	}
	w.write(platformtest.Operator, platformtest.EvacuationKey(zone), []byte("{}"))
	w.watch.evacuated(zone)
	time.Sleep(e.length)
	w.watch.endEvacuation(zone)
	w.write(platformtest.Operator, platformtest.EvacuationKey(zone), nil)
}

// beginEvacuation records the start of an evacuation, and reports false if the domain is already
// evacuated.
func (w *watch) beginEvacuation(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.evacuations {
		if e.what == zone && e.end.IsZero() {
			return false
		}
	}
	w.evacuations = append(w.evacuations, interval{what: zone, begin: time.Now()})
	return true
}

// evacuated records that the store has the order, from which its time limit counts.
func (w *watch) evacuated(zone string) { w.update(zone, func(e *interval) { e.begin = time.Now() }) }

func (w *watch) endEvacuation(zone string) { w.update(zone, func(e *interval) { e.end = time.Now() }) }

// update changes the evacuation of a domain that is in force.
func (w *watch) update(zone string, change func(*interval)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.evacuations {
		if e := &w.evacuations[i]; e.what == zone && e.end.IsZero() {
			change(e)
		}
	}
}

// checkEvacuations: targets of an evacuated failure domain get no new requests after evacuateWithin.
func (w *world) checkEvacuations(arrivals map[string][]arrivalAt) {
	w.watch.mu.Lock()
	evacuations := w.watch.evacuations
	w.watch.mu.Unlock()
	for id, list := range arrivals {
		for _, a := range list {
			for _, e := range evacuations {
				late := a.target.zone == e.what && a.at.Sub(e.begin) > evacuateWithin+slack && a.at.Before(e.end)
				if late && w.watch.faultFree(e.begin, a.at) {
					w.watch.violation("evacuation", "%s in %s got %s %v after the order", a.target.id, e.what, id, a.at.Sub(e.begin).Round(time.Millisecond))
				}
			}
		}
	}
}
