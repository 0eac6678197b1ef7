package rollout

import (
	"math"
	"time"
)

// Outcome is how a request fared at a target, as far as it tells of the target's version.
type Outcome struct {
	Route         string
	Domain        string // failure domain of the target
	Target        string
	OnTrial       bool          // the target has the version on trial
	Failed        bool          // no answer, an incomplete one, or a failure of the target's own
	FirstByte     time.Duration // until the answer began; 0: it did not
	EventInterval time.Duration // between two events of a stream; 0: not known
	Inconclusive  bool          // it tells nothing: its caller left, or the target said that it was full
	NotSent       bool          // the target can't have got the request
}

// cell is what answers are counted by. Those of old targets are counted by failure domain: a
// large service has many.
type cell struct {
	Route  string `json:"route"`
	Domain string `json:"domain"`
	Target string `json:"target,omitempty"` // set for the version on trial
}

// counts are the answers of a cell. They only grow.
type counts struct {
	Answers int64     `json:"n"`
	Failed  int64     `json:"failed,omitempty"`
	First   histogram `json:"first,omitempty"`
	Pace    histogram `json:"pace,omitempty"`
}

// histogram counts times by half octaves of a millisecond.
type histogram map[int]int64

// bucketsPerOctave is fine enough to tell a time from twice as much.
const bucketsPerOctave = 2

func bucketOf(d time.Duration) int {
	return int(math.Floor(bucketsPerOctave * math.Log2(float64(d)/float64(time.Millisecond))))
}

func (h histogram) note(d time.Duration) histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = histogram{}
	}
	h[bucketOf(d)]++
	return h
}

// total is how many times were counted.
func (h histogram) total() (n int64) {
	for _, count := range h {
		n += count
	}
	return n
}

// above is how many times lie above a bucket.
func (h histogram) above(bucket int) (n int64) {
	for b, count := range h {
		if b > bucket {
			n += count
		}
	}
	return n
}

// quantile is the bucket at or below which a part of the times lies; ok is false without any.
func (h histogram) quantile(part float64) (bucket int, ok bool) {
	total := h.total()
	if total == 0 {
		return 0, false
	}
	low, high := math.MaxInt, math.MinInt
	for b := range h {
		low, high = min(low, b), max(high, b)
	}
	need := int64(math.Ceil(part * float64(total)))
	for b := low; b <= high; b++ {
		if need -= h[b]; need <= 0 {
			return b, true
		}
	}
	return high, true
}

// plus adds a multiple of other counts.
func (h histogram) plus(o histogram, times int64) histogram {
	if h == nil && len(o) > 0 {
		h = histogram{}
	}
	for b, count := range o {
		h[b] += times * count
	}
	return h
}

func (c *counts) note(a Outcome) {
	c.Answers++
	if a.Failed {
		c.Failed++
	}
	c.First = c.First.note(a.FirstByte)
	c.Pace = c.Pace.note(a.EventInterval)
}

// plus adds a multiple of other counts.
func (c *counts) plus(o counts, times int64) {
	c.Answers += times * o.Answers
	c.Failed += times * o.Failed
	c.First = c.First.plus(o.First, times)
	c.Pace = c.Pace.plus(o.Pace, times)
}

// clone is a copy that shares nothing.
func (c counts) clone() counts {
	copied := counts{}
	copied.plus(c, 1)
	return copied
}

// cellOf is where an answer counts.
func cellOf(a Outcome) cell {
	c := cell{Route: a.Route, Domain: a.Domain}
	if a.OnTrial {
		c.Target = a.Target
	}
	return c
}
