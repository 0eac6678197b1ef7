package rollout

import (
	"math"
	"time"
)

// Outcome is the result of a request at a target, as far as it says something about the target's version.
type Outcome struct {
	Route         string
	Domain        string // failure domain of the target
	Target        string
	OnTrial       bool          // the target has the version on trial
	Failed        bool          // no response, an incomplete one, or an error of the target itself
	FirstByte     time.Duration // time to the start of the response; 0: there was none
	EventInterval time.Duration // between two events of a stream; 0: unknown
	Inconclusive  bool          // no evidence: the caller left, or the target refused because it was full
	NotSent       bool          // the target can't have received the request
}

// cell is the key under which outcomes are counted. Those of old targets are counted by failure
// domain only, as a large service has many targets.
type cell struct {
	Route  string `json:"route"`
	Domain string `json:"domain"`
	Target string `json:"target,omitempty"` // set for the version on trial
}

// counts are the outcomes of a cell. They only grow.
type counts struct {
	Outcomes      int64     `json:"n"`
	Failed        int64     `json:"failed,omitempty"`
	FirstByte     histogram `json:"first,omitempty"`
	EventInterval histogram `json:"pace,omitempty"`
}

// histogram counts durations in buckets of half an octave of a millisecond.
type histogram map[int]int64

// bucketsPerOctave is fine enough to distinguish a duration from its double.
const bucketsPerOctave = 2

func bucketOf(d time.Duration) int {
	return int(math.Floor(bucketsPerOctave * math.Log2(float64(d)/float64(time.Millisecond))))
}

func (h histogram) record(d time.Duration) histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = histogram{}
	}
	h[bucketOf(d)]++
	return h
}

// total is the number of durations counted.
func (h histogram) total() (n int64) {
	for _, count := range h {
		n += count
	}
	return n
}

// above counts the durations above a bucket.
func (h histogram) above(bucket int) (n int64) {
	for b, count := range h {
		if b > bucket {
			n += count
		}
	}
	return n
}

// quantile is the bucket at or below which the given fraction lies; ok is false if the histogram is empty.
func (h histogram) quantile(fraction float64) (bucket int, ok bool) {
	total := h.total()
	if total == 0 {
		return 0, false
	}
	low, high := math.MaxInt, math.MinInt
	for b := range h {
		low, high = min(low, b), max(high, b)
	}
	need := int64(math.Ceil(fraction * float64(total)))
	for b := low; b <= high; b++ {
		if need -= h[b]; need <= 0 {
			return b, true
		}
	}
	return high, true
}

// addScaled adds other counts, multiplied by times.
func (h histogram) addScaled(o histogram, times int64) histogram {
	if h == nil && len(o) > 0 {
		h = histogram{}
	}
	for b, count := range o {
		h[b] += times * count
	}
	return h
}

func (c *counts) record(a Outcome) {
	c.Outcomes++
	if a.Failed {
		c.Failed++
	}
	c.FirstByte = c.FirstByte.record(a.FirstByte)
	c.EventInterval = c.EventInterval.record(a.EventInterval)
}

// addScaled adds other counts, multiplied by times.
func (c *counts) addScaled(o counts, times int64) {
	c.Outcomes += times * o.Outcomes
	c.Failed += times * o.Failed
	c.FirstByte = c.FirstByte.addScaled(o.FirstByte, times)
	c.EventInterval = c.EventInterval.addScaled(o.EventInterval, times)
}

// clone returns a deep copy.
func (c counts) clone() counts {
	copied := counts{}
	copied.addScaled(c, 1)
	return copied
}

// cellOf is the cell that counts an outcome.
func cellOf(a Outcome) cell {
	c := cell{Route: a.Route, Domain: a.Domain}
	if a.OnTrial {
		c.Target = a.Target
	}
	return c
}
