package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Over all hosts and any window, retries stay within the slack plus the ratio of the requests of
// that window, of the one before it, or of the one half a window before it, whichever has most,
// even if hosts are killed and restarted.
func TestFleetStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Ratio:  rapid.SampledFrom([]float64{0.05, 0.2, 0.5}).Draw(t, "ratio"),
			Slack:  float64(rapid.IntRange(0, 60).Draw(t, "slack")),
			Window: 10 * time.Second,
		}
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		fleet := make([]*Budget, hosts)
		for i := range fleet {
			fleet[i] = New(limits, func() int { return hosts }, time.Time{})
		}
		var requests, retries []time.Duration
		at := time.Duration(0)
		start := time.Unix(1000, 0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				fleet[i] = New(limits, func() int { return hosts }, start.Add(at))
			}
			b := fleet[i]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(start.Add(at))
				requests = append(requests, at)
			}
			if b.Spend(start.Add(at)) {
				retries = append(retries, at)
			}
		}
		for _, from := range retries {
			n := countWithin(retries, from, from+limits.Window)
			most := 0
			for _, back := range []time.Duration{0, limits.Window / 2, limits.Window} {
				most = max(most, countWithin(requests, from-back, from-back+limits.Window))
			}
			if float64(n) > limits.Ratio*float64(most)+limits.Slack {
				t.Fatalf("%d retries in the window from %v, %d requests", n, from, most)
			}
		}
	})
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func TestSlackIsDividedAmongHosts(t *testing.T) {
	is := is.New(t)
	limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	count := func(hosts int) int {
		b := New(limits, func() int { return hosts }, time.Time{})
		n := 0
		for b.Spend(time.Unix(100, 0)) {
			n++
		}
		return n
	}
	is.Equal(count(1), 40)
	is.Equal(count(4), 10)
	is.Equal(count(1000), 0)
	is.Equal(count(0), 0) // the number of hosts is unknown
}

func TestBudgetRecoversAfterWindow(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Ratio: 0, Slack: 5, Window: 10 * time.Second}, func() int { return 1 }, time.Time{})
	now := time.Unix(100, 0)
	for range 4 {
		is.True(b.Spend(now))
	}
	is.True(!b.Spend(now.Add(9 * time.Second)))
	is.True(b.Spend(now.Add(12 * time.Second)))
}

func TestSetLimitsAppliesToAllServices(t *testing.T) {
	is := is.New(t)
	s := NewSet(Limits{Slack: 0, Window: time.Second}, func() int { return 1 }, time.Time{})
	is.True(!s.ForService("a").Spend(time.Unix(1, 0)))
	s.SetLimits(Limits{Slack: 10, Window: time.Second})
	is.True(s.ForService("a").Spend(time.Unix(1, 0)))
	is.True(s.ForService("b").Spend(time.Unix(1, 0)))
}
