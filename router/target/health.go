package target

import (
	"math"
	"slices"
	"time"

	log "github.com/sirupsen/logrus"
)

// Result is how a request fared at a target.
type Result int

// The results.
const (
	Succeeded Result = iota
	// Refused: the target said that it did not run the request.
	Refused
	// Errored: the target answered with a failure of its own.
	Errored
	// Broken: no answer, a wrong one or a part of one.
	Broken
	// Abandoned: this host or the caller gave up; it says nothing of the target.
	Abandoned
)

// Figures of the judgement of targets by their results.
const (
	failureWeight   = 0.15 // of the newest result in the smoothed share of failures
	latencyWeight   = 0.1
	brokenInARow    = 2    // broken exchanges in a row that eject a target
	suspectShare    = 0.35 // of failures, above which a target may be ejected
	suspectFactor   = 2.0  // times the share of its service
	suspectSamples  = 5
	ejectFirst      = 500 * time.Millisecond
	ejectMost       = 8 * time.Second
	ejectMemory     = 20 * time.Second // after so long without ejection the pause begins anew
	shedPause       = 150 * time.Millisecond
	slowFactor      = 3.0 // times the service's latency
	maxEjectedShare = 0.5
)

// health is what this host's own results say of a target.
type health struct {
	failures  float64 // smoothed share of errored and broken results
	samples   int
	broken    int           // in a row
	latency   float64       // smoothed seconds to the first byte
	latencyAt time.Time     // of the newest sample
	until     time.Time     // ejected until
	pause     time.Duration // of the last ejection
	lastEject time.Time
	shedUntil time.Time // it said it was full
}

// serviceStats are the figures of all targets of a service.
type serviceStats struct {
	failures  float64 // smoothed
	latency   float64 // median of the targets' smoothed latencies, in seconds
	latencyAt time.Time
	prompt    float64 // smoothed tokens of a prompt
	gap       float64 // median of the targets' median gaps, in seconds
	gapAt     time.Time
}

// medianEvery is the least time between two looks at the median latency.
const medianEvery = 200 * time.Millisecond

func smooth(old, sample, weight float64) float64 { return old + weight*(sample-old) }

func (r *Registry) statsOf(service string) *serviceStats {
	s := r.stats[service]
	if s == nil {
		s = &serviceStats{}
		r.stats[service] = s
	}
	return s
}

// BeginRequest counts a request of so many prompt tokens that goes to a target.
func (r *Registry) BeginRequest(t *Target, work float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.outstanding == 0 {
		t.busySince = time.Now()
	}
	t.outstanding++
	t.work += work
	r.statsOf(t.Service).notePrompt(work)
}

// RecordActivity notes that the target sent something.
func (t *Target) RecordActivity(now time.Time) { t.heard.Store(now.UnixNano()) }

// BeginCallerWait notes that a stream waits for its caller to read, and not for the target.
func (t *Target) BeginCallerWait() { t.unread.Add(1) }

// EndCallerWait notes that the caller read.
func (t *Target) EndCallerWait() {
	t.RecordActivity(time.Now())
	t.unread.Add(-1)
}

// quietTime is how long a target with requests under way may send nothing before
// others are preferred.
const quietTime = 700 * time.Millisecond

// quiet says whether a target has requests of this host and has sent nothing on any
// of them for long: it may have gone dark, which its connections don't tell.
func (t *Target) quiet(now time.Time) bool {
	if t.outstanding <= int(t.unread.Load()) {
		return false
	}
	since := t.busySince
	if heard := time.Unix(0, t.heard.Load()); heard.After(since) {
		since = heard
	}
	return now.Sub(since) > quietTime
}

// RecordFirstByte notes that the prompt was worked off, after a latency of its own.
func (r *Registry) RecordFirstByte(t *Target, work float64, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.work -= work
	t.health.noteLatency(latency.Seconds(), time.Now())
	r.updateMedian(t.Service, time.Now())
}

// slowMemory is the time in which what is believed of a target that is not asked fades to a
// third, so that one that was slow is asked again though others are idle.
const slowMemory = 4 * time.Second

// noteLatency takes in a sample, which counts the more the older the one before is.
func (h *health) noteLatency(seconds float64, now time.Time) {
	weight := 1.0
	if h.latency > 0 {
		weight = 1 - (1-latencyWeight)*h.remembered(now)
	}
	h.latency, h.latencyAt = smooth(h.latency, seconds, weight), now
}

// remembered is the part of what is believed of the latency that age has left, 0 to 1.
func (h *health) remembered(now time.Time) float64 {
	return math.Exp(-now.Sub(h.latencyAt).Seconds() / slowMemory.Seconds())
}

// slowness is how many times the median of its service a target's latency is, 1 if it is not
// much slower, as far as that is still believed. While it works on requests their answers tell.
func (t *Target) slowness(median float64, now time.Time) float64 {
	if median <= 0 {
		return 1
	}
	slowness := t.health.latency / median
	if t.outstanding == 0 {
		slowness = 1 + (slowness-1)*t.health.remembered(now)
	}
	if slowness <= slowFactor {
		return 1
	}
	return slowness
}

func (r *Registry) updateMedian(service string, now time.Time) {
	stats := r.statsOf(service)
	if now.Sub(stats.latencyAt) < medianEvery {
		return
	}
	var all []float64
	for _, t := range r.services[service] {
		if t.health.latency > 0 {
			all = append(all, t.health.latency)
		}
	}
	slices.Sort(all)
	stats.latency, stats.latencyAt = all[(len(all)-1)/2], now
}

// EndRequest counts a request off again and takes in its result; work is that of Begin
// if Answered was not called, else 0.
func (r *Registry) EndRequest(t *Target, work float64, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.outstanding--
	t.work -= work
	now := time.Now()
	h := &t.health
	switch result {
	case Succeeded:
		h.broken = 0
		r.sample(t, 0)
	case Refused:
		h.shedUntil = now.Add(shedPause)
	case Errored:
		h.broken = 0
		r.sample(t, 1)
	case Broken:
		h.broken++
		r.sample(t, 1)
	case Abandoned:
		return
	}
	r.judge(t, now)
}

func (r *Registry) sample(t *Target, failed float64) {
	stats := r.statsOf(t.Service)
	t.health.failures = smooth(t.health.failures, failed, failureWeight)
	t.health.samples++
	stats.failures = smooth(stats.failures, failed, failureWeight/float64(max(len(r.services[t.Service]), 1)))
}

// judge ejects a target that fails much more often than its service.
func (r *Registry) judge(t *Target, now time.Time) {
	h := &t.health
	if now.Before(h.until) {
		return
	}
	grey := h.samples >= suspectSamples && h.failures > suspectShare &&
		h.failures > suspectFactor*r.statsOf(t.Service).failures
	if h.broken < brokenInARow && !grey {
		return
	}
	if r.ejectedShare(t.Service, now) >= maxEjectedShare {
		return
	}
	h.pause = min(max(h.pause*2, ejectFirst), ejectMost)
	if now.Sub(h.lastEject) > ejectMemory {
		h.pause = ejectFirst
	}
	h.until = now.Add(h.pause)
	h.lastEject = now
	log.WithFields(log.Fields{
		"target": t.ID, "service": t.Service, "broken": h.broken, "failures": h.failures, "for": h.pause,
	}).Warn("target ejected")
	h.broken, h.samples, h.failures = 0, 0, h.failures/2
}

// RecordDialFailure notes that no connection could be made.
func (r *Registry) RecordDialFailure(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.health.broken++
	r.judge(t, time.Now())
}

// Ejected says whether a target is passed over for its failures.
func (r *Registry) Ejected(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	return t != nil && now.Before(t.health.until)
}

func (r *Registry) ejectedShare(service string, now time.Time) float64 {
	all, out := 0, 0
	for _, t := range r.services[service] {
		if !t.listed || t.state != Ready {
			continue
		}
		all++
		if now.Before(t.health.until) {
			out++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(out) / float64(all)
}
