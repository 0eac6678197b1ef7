package capacity

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/logging"
)

const (
	// maxWait is the time that data may wait in the link before requests are refused: less than callers notice, and
	// more than the waves in which requests come build up.
	maxWait = 300 * time.Millisecond
	// floorFraction is the fraction of each kind of an organisation's requests that is admitted in any case, so that no
	// kind is shut out by another.
	floorFraction = 0.1
	// defaultResponseBytes is expected of a route until one response has ended.
	defaultResponseBytes = 2000
	// responseWeight is the weight of a response in the expected size of the next ones.
	responseWeight = 0.05
	// maxRoutes bounds the routes whose sizes are remembered; all are forgotten beyond it.
	maxRoutes = 10_000
	// retrySpread is the time over which the retries of the most urgent requests are spread; those of each lower
	// priority take as long again, so that the urgent come back first.
	retrySpread      = 250 * time.Millisecond
	maxRetryPriority = 9
	admissionLines   = 1 // log lines a second
)

// class is a kind of request of an organisation: all of one priority, 0 being the most urgent.
type class struct {
	organisation string
	priority     int
}

// admission decides which requests a host runs when its link is full.
//
// Pattern: more arrives than the link carries until callers have moved, or all hosts of the domain are full. What the
// host admits nevertheless is late, all of it. Requests count with the bytes of the response that they will cause, so
// those that run already count before their responses fill the link.
type admission struct {
	arrived *meter[class] // bytes of requests, which have passed the link whether they are admitted or not
	wanted  *meter[class] // bytes of the responses to them

	sizesMu sync.Mutex
	sizes   map[string]float64 // bytes of a response, by route

	queued   float64 // bytes that wait in the link, as estimated by the last decision
	queuedAt time.Time
	sharesMu sync.Mutex
	admitted map[class]float64 // fraction of each class that is admitted; all of those not listed
	lines    *logging.Limiter
}

func newAdmission() admission {
	return admission{arrived: newMeter[class](), wanted: newMeter[class](), sizes: map[string]float64{}, lines: logging.NewLimiter(admissionLines)}
}

// Request describes a request that has arrived.
type Request struct {
	Organisation string // "" if there is none
	Route        string
	Priority     int // 0 is the most urgent
	Bytes        int
}

// Arrived counts a request that has arrived, before Admit.
func (h *Host) Arrived(r Request, now time.Time) {
	if h == nil {
		return
	}
	h.Relayed(r.Organisation, r.Bytes, now)
	c := class{r.Organisation, r.Priority}
	h.arrived.add(c, LinkBytes(r.Bytes), now)
	h.wanted.add(c, h.expectedBytes(r.Route), now)
}

// Responded records the size of a complete response.
func (h *Host) Responded(route string, linkBytes float64) {
	if h == nil {
		return
	}
	h.sizesMu.Lock()
	defer h.sizesMu.Unlock()
	size, known := h.sizes[route]
	if !known && len(h.sizes) >= maxRoutes {
		clear(h.sizes)
	}
	if !known {
		size = linkBytes
	}
	h.sizes[route] = size + responseWeight*(linkBytes-size)
}

func (a *admission) expectedBytes(route string) float64 {
	a.sizesMu.Lock()
	defer a.sizesMu.Unlock()
	if size, known := a.sizes[route]; known {
		return size
	}
	return defaultResponseBytes
}

// Admit reports whether a request may run, and if not, when its caller should retry: once load balancers send it to
// another host, urgent requests first.
func (h *Host) Admit(r Request, now time.Time) (ok bool, retryAfter time.Duration) {
	if h == nil || rand.Float64() < h.admittedFraction(class{r.Organisation, r.Priority}) {
		return true, 0
	}
	spread := retrySpread * time.Duration(1+min(max(r.Priority, 0), maxRetryPriority))
	return false, h.timeToMove(now) + rand.N(spread)
}

func (a *admission) admittedFraction(c class) float64 {
	a.sharesMu.Lock()
	defer a.sharesMu.Unlock()
	if fraction, limited := a.admitted[c]; limited {
		return fraction
	}
	return 1
}

// timeToMove returns the time until new connections of callers go to other hosts.
func (h *Host) timeToMove(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outSince.IsZero() {
		return noticeTime
	}
	return max(noticeTime-now.Sub(h.outSince), 0)
}

// decide computes the fraction of each class that is admitted.
func (a *admission) decide(capacity float64, now time.Time) {
	_, arrived := a.arrived.use(now)
	wanted, total := a.wanted.use(now)
	left := capacity - arrived
	var admitted map[class]float64
	if a.wait(arrived+total, capacity, now) > maxWait && total > left {
		admitted = admittedFractions(wanted, max(left, floorFraction*capacity))
		if ok, skipped := a.lines.Allow(now); ok {
			log.WithFields(log.Fields{
				"arriving": int(100 * arrived / capacity), "wanted": int(100 * total / capacity), "kinds": len(wanted), "skipped": skipped,
			}).Info("host refuses requests that its link can't carry")
		}
	}
	a.sharesMu.Lock()
	defer a.sharesMu.Unlock()
	a.admitted = admitted
}

// wait returns the estimated time that data waits in a link on which so many bytes per second are to pass.
func (a *admission) wait(bytesPerSecond, capacity float64, now time.Time) time.Duration {
	passed := now.Sub(a.queuedAt).Seconds()
	a.queued = max(a.queued+min(passed, window.Seconds())*(bytesPerSecond-capacity), 0)
	a.queuedAt = now
	return time.Duration(a.queued / capacity * float64(time.Second))
}

// admittedFractions divides a capacity among organisations by max-min fairness, and the share of each among its
// classes by priority, beyond the floor of each.
func admittedFractions(wanted map[class]float64, capacity float64) map[class]float64 {
	demands := map[string]float64{}
	for c, n := range wanted {
		demands[c.organisation] += n
	}
	level := fairLevel(demands, capacity)
	classes := make([]class, 0, len(wanted))
	for c := range wanted {
		classes = append(classes, c)
	}
	slices.SortFunc(classes, func(a, b class) int { return cmp.Compare(a.priority, b.priority) })
	left := map[string]float64{} // beyond the floors
	for organisation, demand := range demands {
		left[organisation] = min(demand, level) - floorFraction*demand
	}
	fractions := make(map[class]float64, len(classes))
	for _, c := range classes {
		aboveFloor := (1 - floorFraction) * wanted[c]
		granted := min(aboveFloor, max(left[c.organisation], 0))
		left[c.organisation] -= granted
		fractions[c] = floorFraction + granted/wanted[c]
	}
	return fractions
}
