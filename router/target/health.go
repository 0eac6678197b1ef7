package target

import (
	"math"
	"slices"
	"time"

	log "github.com/sirupsen/logrus"
)

// Result is the outcome of a request at a target.
type Result int

// The results.
const (
	Succeeded Result = iota
	// Refused means that the target reported that it did not run the request.
	Refused
	// Errored means that the target answered with an error of its own.
	Errored
	// Broken means no response, an invalid one or an incomplete one.
	Broken
	// Abandoned means that this host or the caller gave up. It says nothing about the target.
	Abandoned
)

// Parameters of outlier ejection by results, and of latency.
const (
	failureWeight    = 0.15 // of the newest result in the smoothed failure rate
	latencyWeight    = 0.1  // of the newest sample in the smoothed latency
	ejectAfterBroken = 2    // consecutive broken requests that eject a target
	ejectFailureRate = 0.35 // failure rate above which a target may be ejected
	ejectRateFactor  = 2.0  // multiple of the service's failure rate that it must also exceed
	ejectMinSamples  = 5    // results needed before the failure rate counts
	minEjection      = 500 * time.Millisecond
	maxEjection      = 8 * time.Second
	ejectionReset    = 20 * time.Second       // after this time without an ejection the next one is the shortest again
	fullPause        = 150 * time.Millisecond // how long a target that refused a request is avoided
	slowFactor       = 3.0                    // multiple of the service's latency above which a target counts as slow
	maxEjectedShare  = 0.5                    // of a service's ready targets
)

// health is the state of a target by this host's own results.
type health struct {
	failureRate       float64 // smoothed share of errored and broken results
	samples           int
	consecutiveBroken int
	latency           float64   // smoothed seconds to the first byte
	latencyAt         time.Time // of the newest sample
	ejectedUntil      time.Time
	ejection          time.Duration // length of the last ejection
	ejectedAt         time.Time
	fullUntil         time.Time // avoided until then because it refused a request
	unreached         int       // consecutive dials that failed
	unreachedFor      time.Duration
	unreachedUntil    time.Time // avoided until then because of these
}

// serviceStats aggregates the targets of a service.
type serviceStats struct {
	failureRate   float64   // smoothed
	medianLatency float64   // median of the targets' smoothed latencies, in seconds
	latencyAt     time.Time // when medianLatency was updated
	meanPrompt    float64   // smoothed prompt length in tokens
	medianGap     float64   // median of the targets' median gaps, in seconds
	gapAt         time.Time // when medianGap was updated
	speedsAt      time.Time // when the targets' speeds were updated
	lostSince     time.Time // since when it was out of reach as failures of its targets were last forgotten
}

// medianInterval is the minimum time between two updates of a median.
const medianInterval = 200 * time.Millisecond

func smooth(old, sample, weight float64) float64 { return old + weight*(sample-old) }

func (r *Registry) statsOf(service string) *serviceStats {
	s := r.stats[service]
	if s == nil {
		s = &serviceStats{}
		r.stats[service] = s
	}
	return s
}

// BeginRequest counts a request that is sent to a target; work is its number of prompt tokens. EndRequest
// has to follow.
func (r *Registry) BeginRequest(t *Target, work float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.outstanding == 0 {
		t.busySince = time.Now()
	}
	t.outstanding++
	t.pendingTokens += work
	t.promptTokens += work
	r.statsOf(t.Service).recordPrompt(work)
}

// RecordActivity records that the target sent something.
func (t *Target) RecordActivity(now time.Time) { t.lastActivity.Store(now.UnixNano()) }

// BeginCallerWait records that a stream waits for its caller to read, not for the target.
func (t *Target) BeginCallerWait() { t.callerWaits.Add(1) }

// EndCallerWait records that the caller reads again.
func (t *Target) EndCallerWait() {
	t.RecordActivity(time.Now())
	t.callerWaits.Add(-1)
}

// silenceLimit is how long a target with outstanding requests may send nothing before other targets are
// preferred.
const silenceLimit = 700 * time.Millisecond

// silent reports whether the target has outstanding requests of this host and has sent nothing on any of
// them for longer than silenceLimit: it may be unreachable, which its connections don't show.
func (t *Target) silent(now time.Time) bool {
	if t.outstanding <= int(t.callerWaits.Load()) {
		return false
	}
	since := t.busySince
	if last := time.Unix(0, t.lastActivity.Load()); last.After(since) {
		since = last
	}
	return now.Sub(since) > silenceLimit
}

// RecordFirstByte records that the target has processed the prompt and begun its response after the given
// latency.
func (r *Registry) RecordFirstByte(t *Target, work float64, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.pendingTokens -= work
	t.backoff.recordTaken(time.Now())
	t.health.recordLatency(latency.Seconds(), time.Now())
	r.updateMedian(t.Service, time.Now())
	if work >= r.statsOf(t.Service).meanPrompt {
		r.balance.RecordFirstByte(t.Service, work, latency)
	}
}

// latencyDecay is the time in which the weight of a latency estimate falls to 1/e without new samples, so
// that a target that was slow is tried again even if others are idle.
const latencyDecay = 4 * time.Second

// recordLatency adds a sample, whose weight grows with the age of the one before.
func (h *health) recordLatency(seconds float64, now time.Time) {
	weight := 1.0
	if h.latency > 0 {
		weight = 1 - (1-latencyWeight)*h.latencyFreshness(now)
	}
	h.latency, h.latencyAt = smooth(h.latency, seconds, weight), now
}

// latencyFreshness is the weight that the latency estimate keeps at its age, 0 to 1.
func (h *health) latencyFreshness(now time.Time) float64 {
	return math.Exp(-now.Sub(h.latencyAt).Seconds() / latencyDecay.Seconds())
}

// slowness is the target's latency as a multiple of the service's median, or 1 if it isn't much slower. While
// the target is idle the value decays towards 1; while it has requests, their responses update it.
func (t *Target) slowness(median float64, now time.Time) float64 {
	if median <= 0 {
		return 1
	}
	slowness := t.health.latency / median
	if t.outstanding == 0 {
		slowness = 1 + (slowness-1)*t.health.latencyFreshness(now)
	}
	if slowness <= slowFactor {
		return 1
	}
	return slowness
}

// updateMedian updates the median latency of a service. It keeps its value while no target has one: targets may have left the
// service since they got their requests. The lock is held.
func (r *Registry) updateMedian(service string, now time.Time) {
	stats := r.statsOf(service)
	if now.Sub(stats.latencyAt) < medianInterval {
		return
	}
	var all []float64
	for _, t := range r.services[service] {
		if t.health.latency > 0 {
			all = append(all, t.health.latency)
		}
	}
	stats.latencyAt = now
	if len(all) > 0 {
		slices.Sort(all)
		stats.medianLatency = all[(len(all)-1)/2]
	}
}

// EndRequest counts a request as finished and records its result; work is the value given to BeginRequest, or 0
// if RecordFirstByte was called.
func (r *Registry) EndRequest(t *Target, work float64, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.outstanding--
	t.pendingTokens -= work
	now := time.Now()
	h := &t.health
	switch result {
	case Succeeded:
		h.consecutiveBroken = 0
		r.recordResult(t, 0)
	case Refused:
		h.fullUntil = now.Add(fullPause)
	case Errored:
		h.consecutiveBroken = 0
		r.recordResult(t, 1)
	case Broken:
		h.consecutiveBroken++
		r.recordResult(t, 1)
	case Abandoned:
		return
	}
	r.ejectIfFailing(t, now)
}

func (r *Registry) recordResult(t *Target, failed float64) {
	stats := r.statsOf(t.Service)
	t.health.failureRate = smooth(t.health.failureRate, failed, failureWeight)
	t.health.samples++
	stats.failureRate = smooth(stats.failureRate, failed, failureWeight/float64(max(len(r.services[t.Service]), 1)))
}

// ejectIfFailing ejects a target that fails much more often than its service, unless too many are ejected. The
// lock is held.
func (r *Registry) ejectIfFailing(t *Target, now time.Time) {
	h := &t.health
	if now.Before(h.ejectedUntil) {
		return
	}
	failsOften := h.samples >= ejectMinSamples && h.failureRate > ejectFailureRate &&
		h.failureRate > ejectRateFactor*r.statsOf(t.Service).failureRate
	if h.consecutiveBroken < ejectAfterBroken && !failsOften {
		return
	}
	if r.ejectedShare(t.Service, now) >= maxEjectedShare {
		return
	}
	h.ejection = min(max(h.ejection*2, minEjection), maxEjection)
	if now.Sub(h.ejectedAt) > ejectionReset {
		h.ejection = minEjection
	}
	h.ejectedUntil = now.Add(h.ejection)
	h.ejectedAt = now
	log.WithFields(log.Fields{
		"target": t.ID, "service": t.Service, "broken": h.consecutiveBroken, "failures": h.failureRate, "for": h.ejection,
	}).Warn("target ejected")
	h.consecutiveBroken, h.samples, h.failureRate = 0, 0, h.failureRate/2
}

// RecordDialFailure records that no connection to the target could be made. Others are preferred then, however many targets
// can't be reached.
func (r *Registry) RecordDialFailure(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, h := time.Now(), &t.health
	h.consecutiveBroken++
	r.ejectIfFailing(t, now)
	h.unreached++
	if h.unreached >= ejectAfterBroken {
		h.unreachedFor = min(max(2*h.unreachedFor, minEjection), maxEjection)
		h.unreachedUntil = now.Add(h.unreachedFor)
	}
}

// recordReached records that a connection to the target was made.
func (r *Registry) recordReached(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.health.forgetUnreached()
}

// forgetUnreached forgets that dials failed.
func (h *health) forgetUnreached() {
	h.unreached, h.unreachedFor, h.unreachedUntil = 0, 0, time.Time{}
}

// Ejected reports whether a target is ejected because of its failures.
func (r *Registry) Ejected(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	return t != nil && now.Before(t.health.ejectedUntil)
}

func (r *Registry) ejectedShare(service string, now time.Time) float64 {
	all, out := 0, 0
	for _, t := range r.services[service] {
		if !t.ready() {
			continue
		}
		all++
		if now.Before(t.health.ejectedUntil) {
			out++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(out) / float64(all)
}
