package forward

import (
	"testing"

	"maststage.dev/standin/backend"
)

// Guards against a stream in which events come twice, since a target that was to go on with it sent it from an earlier event.
func TestTargetThatRepeatsEventsDoesNotGoOnWithAStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		hows  []backend.Behaviour
		whole bool
	}{
		{"another target goes on", []backend.Behaviour{{Events: 10, BreakAfter: 3}, {Events: 10, From: 1}, {Events: 10}}, true},
		{"from the last event", []backend.Behaviour{{Events: 10, BreakAfter: 3}, {Events: 10, From: 3}, {Events: 10}}, true},
		{"no other target", []backend.Behaviour{{Events: 10, BreakAfter: 3}, {Events: 10, From: 1}, {Events: 10, From: 2}}, false},
		{"unframed", []backend.Behaviour{{Events: 10, BreakAfter: 3, NoLength: true, Reset: true}, {Events: 10, From: 1, NoLength: true}, {Events: 10, NoLength: true}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.addSequence(c.hows)
			got := f.do(f.request("POST", "/stream/x", "p"))
			sent := 3
			if c.whole {
				sent = 10
			}
			f.is.Equal(got.body, events("r1", sent))
			f.is.Equal(got.err == nil, c.whole)
		})
	}
	t.Run("taken up by the caller", func(t *testing.T) {
		f := newFixture(t)
		f.add("e1", "engine", backend.Behaviour{Events: 10, BreakAfter: 3})
		f.is.Equal(f.do(f.request("POST", "/stream/x", "p")).body, events("r1", 3))
		answers(f.backends["e1"], backend.Behaviour{Events: 10, From: 1})
		f.is.Equal(f.do(f.takeUp("r1", "3")).status, 502)
	})
}
