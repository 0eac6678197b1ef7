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

// Long requests arrive at several times the capacity of the engines. Short requests of higher
// priority on the same engines keep their deadline; long ones that can't finish in time are shed
// early, as not run and with a retry time.
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
	// Eight slots serve 16 essays of 0.5 s a second; 50 arrive.
	essays := &traffic{f: f, class: "chat", name: "essay", tokens: 100, interval: 20 * time.Millisecond, idleTimeout: 5 * time.Second, noRetry: true}
	flags := &traffic{f: f, class: "flag", name: "flag", tokens: 4, interval: 100 * time.Millisecond, idleTimeout: 5 * time.Second, noRetry: true}
	essays.start()
	time.Sleep(2 * time.Second)
	flags.start()
	time.Sleep(6 * time.Second)
	flagged := flags.finish()
	for i := range flagged { // engines send the same kind of response as for chats
		flagged[i].Want = wantOutput("chat", strings.TrimPrefix(flagged[i].FullID, "org/"), nil, 4)
	}
	c := checkCases(t, f, flagged, 10_000_000)
	is.Equal(c.Whole, c.Requests)
	cases := essays.finish()
	c = checkCases(t, f, cases, 10_000_000)
	is.True(c.Whole > 0)
	is.True(c.Refused > 0)
	for _, k := range cases {
		if !k.Outcome.Whole {
			is.True(k.Outcome.Kind == "overloaded" || k.Outcome.Kind == "deadline" || k.Outcome.Kind == "target_failed")
		}
	}
}
