package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a rollout that ends because a host that has just started has read the targets of one
// version only.
func TestCoordinatorThatHasJustStartedWaitsForTargets(t *testing.T) {
	for _, only := range []string{"v1", "v2"} {
		t.Run(only, func(t *testing.T) {
			is := is.New(t)
			order := Order{Service: "s", Version: "v2", Period: 20 * time.Second}
			record := Record{Service: "s", Version: "v2", State: Running, Base: []string{"v1"}, Began: start.Add(-17500 * time.Millisecond)}
			view := View{Record: &record, RecordCurrent: true, Versions: map[string]int{only: 3}, Hosts: 6}
			c := NewCoordinator(order, Bounds{Share: 0.1, Slack: 20}, start)
			for age := time.Duration(0); age < ReportInterval(6); age += 100 * time.Millisecond {
				c.Evaluate(view, start.Add(age))
				_, decided := c.Decide(view, start.Add(age))
				is.True(!decided)
			}
			c.Evaluate(view, start.Add(settleTime))
			next, decided := c.Decide(view, start.Add(settleTime))
			is.True(decided)
			is.Equal(next.State, map[string]State{"v1": RolledBack, "v2": Done}[only])
		})
	}
}
