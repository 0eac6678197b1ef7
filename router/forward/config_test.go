package forward

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/standin/backend"
)

// configRefusals are requests that a host refuses by its configuration alone.
var configRefusals = []struct {
	name, path, key string
	body, usage     string
	budget          error
	status          int
	kind            Kind
}{
	{"no route", "/none/x", "k1", "p", "100,50", nil, 404, NoRoute},
	{"unknown key", "/stream/x", "nobody", "p", "100,50", nil, 401, BadKey},
	{"no key", "/stream/x", "", "p", "100,50", nil, 401, BadKey},
	{"larger than the budget", "/stream/x", "k1", "p", "100,50", prepaid.ErrTooLarge, 402, OverBudget},
	{"larger than allowed", "/stream/x", "k1", strings.Repeat("p", smallBody+1), "100,50", nil, 413, TooLarge},
	{"without usage", "/stream/x", "k1", "p", "", nil, 400, BadRequest},
}

// smallBody is the size in bytes of the largest body that refusingConfig allows.
const smallBody = 64

var refusingConfig = strings.Replace(budgetConfig, `{"version":8,`, fmt.Sprintf(`{"version":8,"limits":{"max_body_bytes":%d},`, smallBody), 1)

// Guards against refusals that don't tell how old the configuration is by which they were made.
func TestRefusalsByTheConfigurationHaveItsAge(t *testing.T) {
	const age = 700 * time.Millisecond
	for _, c := range configRefusals {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(refusingConfig)
			f.budgets.err = c.budget
			f.configAge.Store(int64(age))
			req := f.request("POST", c.path, c.body)
			req.Header.Set("X-Key", c.key)
			req.Header.Set("X-Tokens", c.usage)
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

// Guards against a host that refuses for good what a newer configuration, which it has not read, allows.
func TestOldConfigurationRefusesForNow(t *testing.T) {
	for _, c := range configRefusals {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(refusingConfig)
			f.add("e1", "engine", backend.Behaviour{Events: 1})
			f.budgets.err = c.budget
			refuse := func(age time.Duration) reply {
				f.configAge.Store(int64(age))
				req := f.request("POST", c.path, c.body)
				req.Header.Set("X-Key", c.key)
				req.Header.Set("X-Tokens", c.usage)
				return f.do(req)
			}
			f.is.Equal(refuse(testConfigAgeLimit).status, c.status)
			got := refuse(testConfigAgeLimit + time.Millisecond)
			f.is.Equal(got.status, 503)
			f.is.Equal(got.header.Get("Retry-After"), "0.3")
			outcome := f.recorder.waitOutcome(t, "r2")
			f.is.Equal(outcome.Kind, Unconfirmed)
			f.is.Equal(outcome.ConfigAge, testConfigAgeLimit+time.Millisecond)
			f.is.Equal(refuse(0).status, c.status) // confirmed again
			f.is.Equal(f.arrivals(), 0)
		})
	}
}

// Guards against an old configuration that keeps proper requests from being served, or that lets others pass.
func TestOldConfigurationServesWhatItAllows(t *testing.T) {
	for _, age := range []time.Duration{0, testConfigAgeLimit + 1, time.Hour, math.MaxInt64} {
		f := newFixture(t)
		f.add("t1", "plain", backend.Behaviour{Body: "ok"})
		f.configAge.Store(int64(age))
		f.is.Equal(f.do(f.request("POST", "/safe/x", "")).status, 200)
		withoutKey := f.request("POST", "/open/x", "")
		withoutKey.Header.Del("X-Key")
		f.is.Equal(f.do(withoutKey).status, 200) // a public route
		f.handler.config.Store(nil)
		f.is.Equal(f.do(f.request("POST", "/safe/x", "")).status, 503)
		f.is.Equal(f.recorder.waitOutcome(t, "r3").Kind, NoConfig)
	}
}

// Guards against callers that come back ever so often during a long outage, or only long after it.
func TestUnconfirmedRetryAfterGrowsWithTheAge(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct {
		age  time.Duration
		want string
	}{
		{testConfigAgeLimit + 1, "0.3"}, {2400 * time.Millisecond, "0.3"}, {4 * time.Second, "0.5"}, {8 * time.Second, "1"},
		{20*time.Second + time.Microsecond, "2.5"}, {40 * time.Second, "5"}, {time.Hour, "5"}, {math.MaxInt64, "5"},
	} {
		f.configAge.Store(int64(c.age))
		f.is.Equal(f.do(f.request("GET", "/none/x", "")).header.Get("Retry-After"), c.want)
	}
}
