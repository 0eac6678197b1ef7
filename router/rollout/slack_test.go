package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a version that gets the slack again after each loss of all hosts.
func TestSlackIsNotUsedAgainAfterTheLossOfAllHosts(t *testing.T) {
	const (
		between     = 100 * time.Millisecond // between two requests
		reportEvery = 5                      // requests
		lostEvery   = 15 * time.Second
		down        = 2 * time.Second
	)
	is := is.New(t)
	bounds := Bounds{Share: 0.1, Slack: 50}
	order := Order{Service: "s", Version: "v2", Period: time.Minute}
	record := Record{Service: "s", Version: "v2", State: Running, Base: []string{"v1"}, Began: start}
	view := View{Record: &record, RecordCurrent: true, Versions: map[string]int{"v1": 3, "v2": 3}, Hosts: 1}
	random := rand.New(rand.NewPCG(1, 7))
	sent, trial := 0, 0
	for lost := time.Duration(0); lost < order.Period; lost += lostEvery {
		now := start.Add(lost)
		g := NewGate("h", func(time.Time) bool { return true })
		g.random = random.Float64
		g.SetOrder(order, now)
		g.SetRecord(record)
		c := NewCoordinator(order, bounds, now)
		for i := 0; i < int((lostEvery-down)/between); i++ {
			now = now.Add(between)
			version := "v1"
			if g.Rule(firstAttempt, now).Allows("v2") {
				version = "v2"
				trial++
			}
			sent++
			g.RequestSent(firstAttempt, version)
			g.RequestEnded(firstAttempt, version, Outcome{Route: "r", Domain: "d", Target: version, FirstByte: time.Millisecond})
			if i%reportEvery == 0 {
				r, _ := g.Report(order)
				c.AddReport(r)
				c.Evaluate(view, now)
				g.SetAdvice("s", "v2", c.Advise(view, now), 1, now)
			}
		}
		t.Logf("%d requests sent, %d of them to the new version", sent, trial)
	}
	is.True(trial > 0)
	is.True(float64(trial) <= bounds.Share*float64(sent)+bounds.Slack)
}
