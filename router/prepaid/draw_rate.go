package prepaid

import (
	"cmp"
	"math"
	"time"
)

// Parameters of the draw rate.
const (
	rateWindow     = 12 * time.Second       // samples older than this are dropped
	sampleInterval = 500 * time.Millisecond // minimum distance of two samples
	minRateSpan    = 3 * time.Second        // shorter spans are treated as this long
	peakDecay      = 20.0                   // seconds in which a peak decays to 1/e
)

// grantSample is the total granted to all hosts at one time.
type grantSample struct {
	at      time.Time
	granted int64
}

// rateEstimator estimates the rate at which all hosts together draw on a budget. The estimate
// decays slowly: while the log is unavailable nothing is granted, although demand stays the same.
type rateEstimator struct {
	window  time.Duration // 0: rateWindow
	samples []grantSample // oldest first
	peak    float64
	peakAt  time.Time
}

// add records the total granted at now.
func (e *rateEstimator) add(granted int64, now time.Time) {
	n := len(e.samples)
	if n > 0 && now.Sub(e.samples[n-1].at) < sampleInterval {
		e.samples[n-1].granted = granted
		return
	}
	e.samples = append(e.samples, grantSample{now, granted})
	window := cmp.Or(e.window, rateWindow)
	for len(e.samples) > 2 && now.Sub(e.samples[1].at) > window {
		e.samples = e.samples[1:]
	}
}

// rate returns tokens per second, or 0 if it is not known.
func (e *rateEstimator) rate(now time.Time) float64 {
	if !e.peakAt.IsZero() {
		e.peak *= math.Exp(-now.Sub(e.peakAt).Seconds() / peakDecay)
	}
	e.peakAt = now
	e.peak = max(e.peak, e.latest(now))
	return e.peak
}

// latest returns the rate over the retained samples.
func (e *rateEstimator) latest(now time.Time) float64 {
	if len(e.samples) == 0 {
		return 0
	}
	first, last := e.samples[0], e.samples[len(e.samples)-1]
	drawn := last.granted - first.granted
	if drawn <= 0 {
		return 0
	}
	return float64(drawn) / max(now.Sub(first.at), minRateSpan).Seconds()
}

// span is the time that the retained samples cover.
func (e *rateEstimator) span(now time.Time) time.Duration {
	if len(e.samples) == 0 {
		return 0
	}
	return now.Sub(e.samples[0].at)
}

// recordDrawn updates the draw rate. A keeper's own free tokens are subtracted since they are not
// drawn yet: its allocation grows in steps worth several seconds of the draw rate.
func (al *allocation) recordDrawn(now time.Time) {
	drawn := al.account.Granted - al.account.WrittenOff
	if al.keeperSize > 0 {
		drawn -= al.free
	}
	al.drawRate.add(drawn, now)
	al.drawn.add(al.account.Granted-al.account.WrittenOff, now)
}
