package proofs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/lib/declare"
	"maststage.dev/proofs/fleet"
)

// Essays come at several times what the engines can do; short urgent work on the
// same engines keeps its deadline, and essays that can't be done in time are
// refused as not run, with the time to come back, before they wait for long.
func TestOverloadUrgentFirst(t *testing.T) {
	is := is.New(t)
	targets := []fleet.Target{
		{Name: "e0", Kind: "engine", Pool: "model", Slots: 4, Each: 5 * time.Millisecond},
		{Name: "e1", Kind: "engine", Pool: "model", Slots: 4, Each: 5 * time.Millisecond},
	}
	f := sixHosts(t, targets, "")
	f.Apply(fleet.Operators() + fmt.Sprintf(`
[organisation org]
key_sha256 = %s
budget = main
[budget main]
organisation = org
tokens = 10000000
[pool model]
kind = engine
[policy chat]
program = to("model").Priority(1).Deadline(3000).MaxTokens(100)
[policy flag]
program = to("model").Priority(10).Deadline(3000).MaxTokens(4)
`, declare.HashKey(key)))
	// Eight slots do 16 essays of 0.5 s a second; 50 come.
	essays := &storm{f: f, class: "chat", name: "essay", tokens: 100, every: 20 * time.Millisecond, silence: 5 * time.Second, once: true}
	flags := &storm{f: f, class: "flag", name: "flag", tokens: 4, every: 100 * time.Millisecond, silence: 5 * time.Second, once: true}
	essays.begin()
	time.Sleep(2 * time.Second)
	flags.begin()
	time.Sleep(6 * time.Second)
	flagged := flags.end()
	for i := range flagged { // engines give them the same kind of answer
		flagged[i].Want = want("chat", strings.TrimPrefix(flagged[i].FullID, "org/"), nil, 4)
	}
	c := judge(t, f, flagged, 10_000_000)
	is.Equal(c.Whole, c.Requests)
	cases := essays.end()
	c = judge(t, f, cases, 10_000_000)
	is.True(c.Whole > 0)
	is.True(c.Refused > 0)
	for _, k := range cases {
		if !k.Outcome.Whole {
			is.True(k.Outcome.Kind == "overloaded" || k.Outcome.Kind == "deadline" || k.Outcome.Kind == "target_failed")
		}
	}
}
