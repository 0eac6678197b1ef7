package forward

import (
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/standin/backend"
)

// configRefusals are requests that a host refuses by its configuration alone.
var configRefusals = []struct {
	name, path, key string
	budget          error
	status          int
	kind            Kind
}{
	{"no route", "/none/x", "k1", nil, 404, NoRoute},
	{"unknown key", "/stream/x", "nobody", nil, 401, BadKey},
	{"no key", "/stream/x", "", nil, 401, BadKey},
	{"larger than the budget", "/stream/x", "k1", prepaid.ErrTooLarge, 402, OverBudget},
}

// Guards against refusals that don't tell how old the configuration is by which they were made.
func TestRefusalsByTheConfigurationHaveItsAge(t *testing.T) {
	const age = 700 * time.Millisecond
	for _, c := range configRefusals {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(budgetConfig)
			f.budgets.err = c.budget
			f.configAge.Store(int64(age))
			req := f.request("POST", c.path, "p")
			req.Header.Set("X-Key", c.key)
			f.is.Equal(f.do(req).status, c.status)
			outcome := f.recorder.waitOutcome(t, "r1")
			f.is.Equal(outcome.Kind, c.kind)
			f.is.Equal(outcome.ConfigAge, age)
		})
	}
	t.Run("served", func(t *testing.T) {
		f := newFixture(t)
		f.add("t1", "plain", backend.Behaviour{Body: "ok"})
		f.configAge.Store(int64(age))
		f.is.Equal(f.do(f.request("POST", "/safe/x", "")).status, 200)
		f.is.Equal(f.recorder.waitOutcome(t, "r1").ConfigAge, time.Duration(0))
	})
}
