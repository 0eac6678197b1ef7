package prepaid

import "time"

// drawnSamples are totals of what hosts had drawn on a budget in the last drawnSpan, drawnInterval apart.
type drawnSamples struct{ samples []grantSample } // oldest first

// drawnInterval is the least time between two drawnSamples.
const drawnInterval = 5 * time.Second

// add records the total at a time.
func (d *drawnSamples) add(total int64, now time.Time) {
	for len(d.samples) > 1 && now.Sub(d.samples[1].at) >= drawnSpan {
		d.samples = d.samples[1:]
	}
	if n := len(d.samples); n == 0 || now.Sub(d.samples[n-1].at) >= drawnInterval {
		d.samples = append(d.samples, grantSample{now, total})
	} else {
		d.samples[n-1].granted = total
	}
}

// since returns what was drawn since a time, or an earlier one if no total of that time is known. known is false if
// there is no earlier one.
func (d *drawnSamples) since(at time.Time) (drawn int64, known bool) {
	n := len(d.samples)
	if n == 0 || d.samples[0].at.After(at) {
		return 0, false
	}
	return d.samples[n-1].granted - d.samples[0].granted, true
}
