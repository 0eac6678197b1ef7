package balance

import (
	"math"
	"slices"
	"time"
)

// Speeds are compared in steps, so that the noise of a measurement changes no choice and hosts that measured a
// little differently choose alike.
const (
	// StepRatio is the ratio of speeds between two steps: a difference that callers notice.
	StepRatio = 1.25
	// stepHysteresis is how far, in steps, a speed has to be from its step before the step changes. A change makes
	// a part of the target's shared parts be read again elsewhere.
	stepHysteresis = 0.75
	maxStep        = 6 // a target that is slower still is one that fails
)

// Step returns the step of a target's speed next to the service's median gap: 0 for a target as fast as most or of
// unknown speed, negative for slower ones. previous is its step before.
func Step(gap, median time.Duration, previous int) int {
	if gap <= 0 || median <= 0 {
		return 0
	}
	exact := math.Log(median.Seconds()/gap.Seconds()) / math.Log(StepRatio)
	exact = min(max(exact, -maxStep), maxStep)
	if math.Abs(exact-float64(previous)) <= stepHysteresis {
		return previous
	}
	return int(math.Round(exact))
}

const (
	learnTime   = 4 * time.Second // for which the step of a new target follows each estimate
	confirmTime = 3 * time.Second // for which estimates have to differ from a step before it changes
)

// Tracker follows the step of one target. A crowded moment or a slow host changes nothing, as each change of a step makes
// shared parts be read again. The zero value is that of a target of unknown speed.
type Tracker struct {
	step      int
	knownAt   time.Time // of the first estimate
	differsAt time.Time // since when estimates differ from the step; zero if they don't
}

// Update returns the step for a new estimate; gap is 0 if the target's speed isn't known.
func (t *Tracker) Update(gap, median time.Duration, now time.Time) int {
	if gap <= 0 || median <= 0 {
		*t = Tracker{}
		return 0
	}
	if t.knownAt.IsZero() {
		t.knownAt = now
	}
	step := Step(gap, median, t.step)
	switch {
	case step == t.step:
		t.differsAt = time.Time{}
	case t.differsAt.IsZero():
		t.differsAt = now
	}
	if step != t.step && (now.Sub(t.knownAt) < learnTime || now.Sub(t.differsAt) >= confirmTime) {
		t.step, t.differsAt = step, time.Time{}
	}
	return t.step
}

// Speed returns the speed of a step; 1 is the speed of step 0.
func Speed(step int) float64 { return math.Pow(StepRatio, float64(step)) }

// Median returns the median of gaps, 0 if there are none. It sorts them.
func Median(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// Work is the kind of a request in the choice of its target.
type Work int

// The kinds of work.
const (
	// Light requests take up a target mostly by their responses. Each target gets them in proportion to its speed.
	Light Work = iota
	// Heavy requests hold up all others at their target while it reads their prompts. A request waits for the
	// prompts that are being read when it arrives: their rate times the square of the time that one takes. That
	// is equal at all targets if each gets heavy requests in proportion to the square of its speed.
	Heavy
)

// heavyShare is the part of its service's mean prompt from which on shared parts make a request heavy. The shared parts
// decide, not the whole prompt, so that requests with the same ones go to the same target.
const heavyShare = 0.5

// WorkOf returns the kind of a request with sharedTokens in shared parts, for a mean prompt of its service.
func WorkOf(sharedTokens, meanPrompt float64) Work {
	if meanPrompt > 0 && sharedTokens >= heavyShare*meanPrompt {
		return Heavy
	}
	return Light
}

// Weights are the shares of requests that a target gets by the kind of work, next to a target of step 0.
type Weights [Heavy + 1]float64

// WeightsOf returns the weights of a step.
func WeightsOf(step int) Weights {
	speed := Speed(step)
	return Weights{Light: speed, Heavy: speed * speed}
}
