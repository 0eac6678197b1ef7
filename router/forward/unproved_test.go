package forward

import (
	"sync"
	"testing"

	"maststage.dev/router/rollout"
	"maststage.dev/standin/backend"
)

// recordedRollouts records the results of attempts.
type recordedRollouts struct {
	anyVersion
	mu       sync.Mutex
	outcomes []rollout.Outcome
}

func (r *recordedRollouts) Ended(_ rollout.Request, _ string, o rollout.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Guards against counting a response whose end nothing proves as a failure of its target's version.
func TestUnprovedEndIsNoFailureOfItsVersion(t *testing.T) {
	f := newFixture(t)
	rollouts := &recordedRollouts{}
	f.handler.opts.Rollouts = rollouts
	f.addSequence([]backend.Behaviour{{Events: 10, BreakAfter: 3}, {Events: 10, NoLength: true}, {Events: 10}})
	got := f.do(f.request("POST", "/stream/x", "p"))
	f.is.NoErr(got.err)
	f.is.Equal(got.body, events("r1", 10))
	f.is.Equal(len(rollouts.outcomes), 3)
	f.is.True(rollouts.outcomes[0].Failed)
	f.is.True(!rollouts.outcomes[1].Failed)
	f.is.True(!rollouts.outcomes[2].Failed)
}
