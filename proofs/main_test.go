package proofs

import (
	"fmt"
	"os"
	"testing"
	"time"

	"maststage.dev/lib/declare"
	"maststage.dev/proofs/fleet"
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.Clean()
	os.Exit(code)
}

// API key and budget of the organisation that the tests use.
const (
	key     = "key-of-the-organisation"
	account = "main"
)

// declarations returns a configuration with one organisation, one budget of the given tokens, a pool
// of engines and a pool of plain services.
func declarations(tokens uint64) string {
	return fleet.Operators() + fmt.Sprintf(`
[organisation org]
key_sha256 = %s
budget = main
[budget main]
organisation = org
tokens = %d
[pool model]
kind = engine
[pool plain]
kind = service
[policy chat]
program = to("model").Deadline(15000).MaxTokens(400)
[policy save]
program = to("plain").Once().Priority(9).Deadline(8000).MaxTokens(1)
[policy ping]
program = to("plain").Priority(9).Deadline(5000).MaxTokens(1)
`, declare.HashKey(key), tokens)
}

// engines returns two model engines. each is the time that one token takes.
func engines(each time.Duration) []fleet.Target {
	return []fleet.Target{
		{Name: "e0", Kind: "engine", Pool: "model", Slots: 32, Each: each},
		{Name: "e1", Kind: "engine", Pool: "model", Slots: 32, Each: each},
	}
}

// services returns two plain services, of which one checks fences. each is the time of one request.
func services(each time.Duration) []fleet.Target {
	return []fleet.Target{
		{Name: "s0", Kind: "service", Pool: "plain", Slots: 32, Each: each},
		{Name: "s1", Kind: "service", Pool: "plain", Slots: 32, Each: each, Fenced: true},
	}
}
