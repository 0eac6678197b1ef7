// Package metric collects a host's metrics: histograms per organisation and class, and
// counters per error kind. The number of series is bounded.
package metric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxPairs bounds the pairs of organisation and class that have their own series; all
// others are counted under "other".
const maxPairs = 1000

// Set holds the metrics of one host.
type Set struct {
	set *metrics.Set

	mu    sync.Mutex
	pairs map[pair]*series
}

type pair struct{ org, class string }

// series are the histograms of one organisation and class, in seconds.
type series struct {
	labels       string
	total, first *metrics.Histogram
	gap, queued  *metrics.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet(), pairs: map[pair]*series{}}
}

func (s *Set) seriesFor(org, class string) *series {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pair{org, class}
	if x := s.pairs[p]; x != nil {
		return x
	}
	if len(s.pairs) >= maxPairs {
		p = pair{"other", "other"}
		if x := s.pairs[p]; x != nil {
			return x
		}
	}
	labels := fmt.Sprintf("organisation=%q,class=%q", p.org, p.class)
	x := &series{
		labels: labels,
		total:  s.set.NewHistogram("maststage_request_seconds{" + labels + "}"),
		first:  s.set.NewHistogram("maststage_first_token_seconds{" + labels + "}"),
		gap:    s.set.NewHistogram("maststage_token_gap_seconds{" + labels + "}"),
		queued: s.set.NewHistogram("maststage_queue_seconds{" + labels + "}"),
	}
	s.pairs[p] = x
	return x
}

// Request records a finished request with its error kind, or "ok".
func (s *Set) Request(org, class, kind string, took time.Duration) {
	x := s.seriesFor(org, class)
	x.total.Update(took.Seconds())
	s.set.GetOrCreateCounter(fmt.Sprintf("maststage_requests_total{%s,kind=%q}", x.labels, kind)).Inc()
}

// FirstToken records the time to the first token.
func (s *Set) FirstToken(org, class string, d time.Duration) {
	s.seriesFor(org, class).first.Update(d.Seconds())
}

// Gap records the time between two tokens.
func (s *Set) Gap(org, class string, d time.Duration) {
	s.seriesFor(org, class).gap.Update(d.Seconds())
}

// Queued records how long a request waited for a target.
func (s *Set) Queued(org, class string, d time.Duration) {
	s.seriesFor(org, class).queued.Update(d.Seconds())
}

// Gauge adds a gauge; f is called on each read of the metrics.
func (s *Set) Gauge(name string, f func() float64) { s.set.NewGauge("maststage_"+name, f) }

// Count adds n to a counter.
func (s *Set) Count(name string, n int) { s.set.GetOrCreateCounter("maststage_" + name).Add(n) }

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }
