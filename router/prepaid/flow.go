package prepaid

import (
	"math"
	"time"
)

// Figures of the flow of a budget.
const (
	flowSpan  = 12 * time.Second       // how far back grants are counted
	flowStep  = 500 * time.Millisecond // between two samples
	flowLeast = 3 * time.Second        // less is taken for this
	peakTime  = 20.0                   // seconds in which a peak falls to a third
)

// sample is what was granted to all hosts at some time.
type sample struct {
	at      time.Time
	granted int64
}

// flow measures how fast all hosts together draw on a budget. It falls slowly:
// while the log is out of reach nothing is granted, though as much is wanted.
type flow struct {
	samples []sample // oldest first
	peak    float64
	peakAt  time.Time
}

// add notes what is granted now.
func (f *flow) add(granted int64, now time.Time) {
	n := len(f.samples)
	if n > 0 && now.Sub(f.samples[n-1].at) < flowStep {
		f.samples[n-1].granted = granted
		return
	}
	f.samples = append(f.samples, sample{now, granted})
	for len(f.samples) > 2 && now.Sub(f.samples[1].at) > flowSpan {
		f.samples = f.samples[1:]
	}
}

// rate is tokens a second, 0 if it is not known.
func (f *flow) rate(now time.Time) float64 {
	if !f.peakAt.IsZero() {
		f.peak *= math.Exp(-now.Sub(f.peakAt).Seconds() / peakTime)
	}
	f.peakAt = now
	f.peak = max(f.peak, f.latest(now))
	return f.peak
}

// latest is the rate over the last samples.
func (f *flow) latest(now time.Time) float64 {
	if len(f.samples) == 0 {
		return 0
	}
	first, last := f.samples[0], f.samples[len(f.samples)-1]
	drawn := last.granted - first.granted
	if drawn <= 0 {
		return 0
	}
	return float64(drawn) / max(now.Sub(first.at), flowLeast).Seconds()
}

// noteFlow takes in how much of the budget is drawn. What a keeper holds itself is not
// drawn yet: its slices come in steps of several seconds of the flow.
func (w *wallet) noteFlow(now time.Time) {
	drawn := w.account.Granted
	if w.wanted > 0 {
		drawn -= w.free
	}
	w.flow.add(drawn, now)
}
