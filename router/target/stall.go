package target

import (
	"slices"
	"time"

	log "github.com/sirupsen/logrus"
)

// While a target processes a long prompt, its other streams pause. On slower targets that pause may exceed the
// gap that the route allows. A host sees this in its own streams, whichever host sent the prompt, and sends
// long prompts to other targets.

// Parameters of stall detection.
const (
	// longPromptFactor is the multiple of its service's mean prompt above which a prompt counts as long. On the
	// platform's deployments prompts have two or three sizes, the largest three times the mean.
	longPromptFactor = 1.5
	promptWeight     = 0.02 // of the newest prompt in the mean, which covers about 50 prompts
	// stallPause is how long a target that stalled gets no long prompts. Its speed is a lasting property, which
	// doesn't show without long prompts.
	stallPause = 30 * time.Second
	// slowGapFactor is how much longer than its service's median the gaps of a slow target are. Other targets
	// stall now and then too, when two long prompts coincide.
	slowGapFactor = 1.15
	gapStep       = 0.02 // relative change of the estimated median per gap
)

// stall describes a target's streaming speed as seen in this host's own streams.
type stall struct {
	until     time.Time // no long prompts before then
	medianGap float64   // estimated median time between events, in seconds
}

// recordPrompt adds a prompt's number of tokens to the mean.
func (s *serviceStats) recordPrompt(tokens float64) {
	if tokens <= 0 {
		return
	}
	if s.meanPrompt == 0 {
		s.meanPrompt = tokens
	}
	s.meanPrompt = smooth(s.meanPrompt, tokens, promptWeight)
}

// isLong reports whether the request's prompt is much longer than others of its service. The lock is held.
func (r *Registry) isLong(w Requirements) bool {
	mean := r.statsOf(w.Service).meanPrompt
	return mean > 0 && w.PromptTokens > longPromptFactor*mean
}

// RecordGap records the time between two events of a target's stream, and the maximum that the route allows; 0
// means no maximum.
func (r *Registry) RecordGap(t *Target, gap, allowed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.stall.recordGap(gap.Seconds())
	now := time.Now()
	r.balance.RecordGap(t.ID, gap, now)
	if allowed <= 0 || gap <= allowed {
		return
	}
	if !now.Before(t.stall.until) {
		log.WithFields(log.Fields{
			"target": t.ID, "service": t.Service, "paused": gap.Round(time.Millisecond), "median_gap": t.stall.medianGap,
		}).Info("target pauses its streams for too long")
	}
	t.stall.until = now.Add(stallPause)
}

// recordGap moves the estimated median one step towards the newest gap.
func (s *stall) recordGap(gap float64) {
	switch {
	case s.medianGap == 0:
		s.medianGap = gap
	case gap > s.medianGap:
		s.medianGap *= 1 + gapStep
	default:
		s.medianGap *= 1 - gapStep
	}
}

// withoutStalled leaves out the targets that stalled streams recently and are slower than most, or none if no
// other is left. The lock is held.
func (r *Registry) withoutStalled(service string, usable []*Target, now time.Time) []*Target {
	slowGap := slowGapFactor * r.medianGap(service, now)
	rest := make([]*Target, 0, len(usable))
	for _, t := range usable {
		if !now.Before(t.stall.until) || t.stall.medianGap <= slowGap {
			rest = append(rest, t)
		}
	}
	if len(rest) == 0 {
		return usable
	}
	return rest
}

// medianGap returns the median gap of a service's targets, updated at most once per medianInterval. The lock is
// held.
func (r *Registry) medianGap(service string, now time.Time) float64 {
	stats := r.statsOf(service)
	if now.Sub(stats.gapAt) < medianInterval {
		return stats.medianGap
	}
	var gaps []float64
	for _, t := range r.services[service] {
		if t.listed && t.stall.medianGap > 0 {
			gaps = append(gaps, t.stall.medianGap)
		}
	}
	stats.gapAt = now
	if len(gaps) > 0 {
		slices.Sort(gaps)
		stats.medianGap = gaps[(len(gaps)-1)/2]
	}
	return stats.medianGap
}
