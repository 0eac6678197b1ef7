// Package capacity compares how much a host relays with what its network link can carry, and decides from that and
// from what the other hosts of its failure domain report which callers should use other hosts, and which requests a
// full host refuses. Without a configured link speed it decides nothing.
//
// Pattern: load balancers place connections by a hash of the caller, so all callers of one organisation can come to
// one host. They fill it while its neighbours are idle, and move on as a block when it stops being ready. Delays show
// that only when the link is full, when requests wait in it that the host hasn't read yet.
package capacity

import (
	"sync"
	"time"
)

const (
	// window is the time over which rates are measured: several requests of each busy organisation, and short compared
	// to the two seconds in which callers move.
	window      = time.Second
	windowSlots = 10
	slotTime    = window / windowSlots
)

// rate counts bytes in a sliding window.
type rate struct {
	slots  [windowSlots]float64
	newest int64 // number of the newest slot since the epoch
}

// advance drops what has left the window.
func (r *rate) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotTime)
	if slot-r.newest >= windowSlots {
		r.slots = [windowSlots]float64{}
		r.newest = slot
		return
	}
	for r.newest < slot {
		r.newest++
		r.slots[r.newest%windowSlots] = 0
	}
}

func (r *rate) add(bytes float64, now time.Time) {
	r.advance(now)
	r.slots[r.newest%windowSlots] += bytes
}

// perSecond returns the bytes of the window per second.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	sum := 0.0
	for _, bytes := range r.slots {
		sum += bytes
	}
	return sum / window.Seconds()
}

// meter measures bytes per second by key. It keeps only keys with bytes in the window, so it is bounded by what the
// link carries in that time. It is safe for concurrent use.
type meter[K comparable] struct {
	mu    sync.Mutex
	rates map[K]*rate
}

func newMeter[K comparable]() *meter[K] { return &meter[K]{rates: map[K]*rate{}} }

func (m *meter[K]) add(key K, bytes float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rates[key]
	if r == nil {
		r = &rate{}
		m.rates[key] = r
	}
	r.add(bytes, now)
}

// use returns the bytes per second of each key and of all.
func (m *meter[K]) use(now time.Time) (byKey map[K]float64, total float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byKey = make(map[K]float64, len(m.rates))
	for key, r := range m.rates {
		n := r.perSecond(now)
		if n == 0 {
			delete(m.rates, key)
			continue
		}
		byKey[key] = n
		total += n
	}
	return byKey, total
}
