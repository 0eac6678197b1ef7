package target

import (
	"slices"
	"time"

	log "github.com/sirupsen/logrus"
)

// While a target reads a long prompt, the streams beside it pause. Targets differ in
// speed, so on the slower ones that pause may be longer than callers are to be kept
// waiting. A host sees it by its own streams, whoever sent the prompt, and sends long
// prompts elsewhere.

// Figures of stalls.
const (
	// longPrompt is how many times the mean prompt of its service a prompt has to be to
	// count as long. On the platform's deployments prompts are of two or three sizes, the
	// largest three times the mean.
	longPrompt   = 1.5
	promptWeight = 0.02 // of the newest prompt in the mean; some 50 prompts
	// stallMemory is how long a target that stalled gets no long prompts. Its speed is a
	// lasting trait, and without long prompts it does not show again.
	stallMemory = 30 * time.Second
	// slowPace is how much slower than the median target of its service one has to be:
	// the others stall now and then too, when two long prompts meet.
	slowPace = 1.15
	paceStep = 0.02 // by which one gap moves the estimate of the median gap
)

// stall is what this host's own streams say of a target's speed.
type stall struct {
	until time.Time // it gets no long prompts until then
	gap   float64   // estimate of the median time between events, in seconds
}

// notePrompt takes a prompt of so many tokens into the mean.
func (s *serviceStats) notePrompt(tokens float64) {
	if tokens <= 0 {
		return
	}
	if s.prompt == 0 {
		s.prompt = tokens
	}
	s.prompt = smooth(s.prompt, tokens, promptWeight)
}

// isLong says whether a request's prompt is much longer than others of its service; the
// lock is held.
func (r *Registry) isLong(w Requirements) bool {
	mean := r.statsOf(w.Service).prompt
	return mean > 0 && w.PromptTokens > longPrompt*mean
}

// RecordGap notes the time between two events of a stream of a target, and the longest that
// its route allows; 0: any.
func (r *Registry) RecordGap(t *Target, gap, allowed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.stall.note(gap.Seconds())
	now := time.Now()
	if allowed <= 0 || gap <= allowed {
		return
	}
	if !now.Before(t.stall.until) {
		log.WithFields(log.Fields{
			"target": t.ID, "service": t.Service, "paused": gap.Round(time.Millisecond), "median_gap": t.stall.gap,
		}).Info("target stalls streams")
	}
	t.stall.until = now.Add(stallMemory)
}

// note moves the estimate of the median gap a step towards the newest one.
func (s *stall) note(gap float64) {
	switch {
	case s.gap == 0:
		s.gap = gap
	case gap > s.gap:
		s.gap *= 1 + paceStep
	default:
		s.gap *= 1 - paceStep
	}
}

// withoutStalled leaves out the targets that stalled streams of late and are slower than
// most; the lock is held.
func (r *Registry) withoutStalled(service string, usable []*Target, now time.Time) []*Target {
	slow := slowPace * r.medianGap(service, now)
	spared := make([]*Target, 0, len(usable))
	for _, t := range usable {
		if !now.Before(t.stall.until) || t.stall.gap <= slow {
			spared = append(spared, t)
		}
	}
	if len(spared) == 0 {
		return usable
	}
	return spared
}

// medianGap is the median over the targets of a service, as of a moment ago.
func (r *Registry) medianGap(service string, now time.Time) float64 {
	stats := r.statsOf(service)
	if now.Sub(stats.gapAt) < medianEvery {
		return stats.gap
	}
	var gaps []float64
	for _, t := range r.services[service] {
		if t.listed && t.stall.gap > 0 {
			gaps = append(gaps, t.stall.gap)
		}
	}
	stats.gapAt = now
	if len(gaps) > 0 {
		slices.Sort(gaps)
		stats.gap = gaps[(len(gaps)-1)/2]
	}
	return stats.gap
}
