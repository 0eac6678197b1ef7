package target

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/balance"
)

// speedInterval is the minimum time between two updates of the speeds of a service's targets.
const speedInterval = 200 * time.Millisecond

// Balance returns the figures by which work is balanced, which hosts exchange.
func (r *Registry) Balance() *balance.Estimates { return r.balance }

// updateSpeeds updates the speeds of a service's targets and their weights. The lock is held.
func (r *Registry) updateSpeeds(service string, now time.Time) {
	stats := r.statsOf(service)
	if now.Sub(stats.speedsAt) < speedInterval {
		return
	}
	stats.speedsAt = now
	var gaps []time.Duration
	for _, t := range r.services[service] {
		if gap, ok := r.balance.Gap(t.ID, now); ok && t.ready() {
			gaps = append(gaps, gap)
		}
	}
	median := balance.Median(gaps)
	for _, t := range r.services[service] {
		gap, ok := r.balance.Gap(t.ID, now)
		if !ok {
			gap = 0
		}
		r.setSpeed(t, t.tracker.Update(gap, median, now), gap, median)
	}
}

// setSpeed sets the step of the target's speed. The lock is held.
func (r *Registry) setSpeed(t *Target, step int, gap, median time.Duration) {
	if step == t.speed {
		return
	}
	if step < 0 && t.speed >= 0 {
		r.logAdvisory(t, "target is slower than most", log.Fields{"speed": balance.Speed(step), "gap": gap, "median_gap": median})
	}
	t.speed, t.weights = step, balance.WeightsOf(step)
}

// workOf returns the kind of a request. The lock is held.
func (r *Registry) workOf(w Requirements) balance.Work {
	return balance.WorkOf(w.SharedTokens, r.statsOf(w.Service).meanPrompt)
}

// weightedScore ranks targets for a key so that each gets a share of all keys in proportion to its weight. With equal
// weights the order is that of the scores.
func weightedScore(key rendezvous.Key, id string, weight float64) float64 {
	const mantissa = 53 // bits
	u := (float64(key.Score(id)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return math.Log(u) / weight
}

// ranking holds the targets with the highest scores, the highest first.
type ranking struct {
	targets []*Target
	scores  []float64
	most    int // targets
}

func newRanking(most int) *ranking {
	return &ranking{targets: make([]*Target, 0, most+1), scores: make([]float64, 0, most+1), most: most}
}

func (k *ranking) add(t *Target, score float64) {
	i := len(k.targets)
	for i > 0 && k.scores[i-1] < score {
		i--
	}
	if i == k.most {
		return
	}
	k.targets, k.scores = slices.Insert(k.targets, i, t), slices.Insert(k.scores, i, score)
	if len(k.targets) > k.most {
		k.targets, k.scores = k.targets[:k.most], k.scores[:k.most]
	}
}

// random picks one of the targets at random, nil if there is none.
func (k *ranking) random() *Target {
	if len(k.targets) == 0 {
		return nil
	}
	return k.targets[rand.IntN(len(k.targets))]
}

// startShare is the part of the latency objective that this host's own prompts at a target may take before a request
// goes to the target that ranks second. The rest is for its own prompt and for those of other hosts, which this host
// doesn't see.
const startShare = 0.25

// firstInTime picks the target that ranks first, or second if the request would begin late at the first one because of
// prompts of this host that the target has not read yet. The lock is held.
func (r *Registry) firstInTime(w Requirements, ranked *ranking) *Target {
	if len(ranked.targets) == 0 {
		return nil
	}
	first := ranked.targets[0]
	if len(ranked.targets) == 1 || w.LatencyObjective <= 0 {
		return first
	}
	wait, other := r.readTime(first), r.readTime(ranked.targets[1])
	if wait > time.Duration(startShare*float64(w.LatencyObjective)) && other < wait {
		return ranked.targets[1]
	}
	return first
}

// readTime returns how long the target takes to read the prompts of this host that it has not responded to, 0 if nothing
// is known of that. The lock is held.
func (r *Registry) readTime(t *Target) time.Duration {
	return time.Duration(float64(r.balance.ReadTime(t.Service, t.pendingTokens)) / balance.Speed(t.speed))
}

// BalanceStatus tells a target's part in the work of its service.
type BalanceStatus struct {
	Target, Service string
	Speed           float64 // next to most targets of its service
	PromptTokens    float64 // that this host sent to it
}

// BalanceStatuses lists the part of each target in the work of its service, if it has one.
func (r *Registry) BalanceStatuses() []BalanceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []BalanceStatus
	for _, t := range r.targets {
		if t.promptTokens > 0 || t.speed != 0 {
			list = append(list, BalanceStatus{
				Target: t.ID, Service: t.Service, Speed: balance.Speed(t.speed), PromptTokens: t.promptTokens,
			})
		}
	}
	return list
}
