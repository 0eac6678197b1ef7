package measure

import (
	"fmt"
	"strings"

	"maststage.dev/lib/declare"
	"maststage.dev/proofs/fleet"
)

// declarations returns a configuration of n organisations with a budget each, and some policies.
func declarations(n int) string {
	var b strings.Builder
	b.WriteString("[pool model]\nkind = engine\n")
	for i := range 20 {
		fmt.Fprintf(&b, "[policy class-%d]\nprogram = to(\"model\").Priority(%d).Deadline(20000).MaxTokens(800)\n", i, i)
	}
	for i := range n {
		fmt.Fprintf(&b, "[organisation org-%05d]\nkey_sha256 = %s\nbudget = budget-%05d\n", i, declare.HashKey(fmt.Sprint("key", i)), i)
		fmt.Fprintf(&b, "[budget budget-%05d]\norganisation = org-%05d\ntokens = 1000000\n", i, i)
	}
	return b.String()
}

const (
	fleetKey     = "key-of-the-organisation"
	fleetAccount = "org"
)

// marginDeclarations is fleetDeclarations with a margin for the class chat.
func marginDeclarations(tokens uint64, margin int) string {
	return strings.Replace(fleetDeclarations(tokens), "MaxTokens(2000)", fmt.Sprintf("MaxTokens(2000).Margin(%d)", margin), 1)
}

// fleetDeclarations returns a configuration of one organisation, for measuring a running fleet.
func fleetDeclarations(tokens uint64) string {
	return fleet.Operators() + fmt.Sprintf(`[organisation %s]
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
program = to("model").Deadline(120000).MaxTokens(2000)
[policy save]
program = to("plain").Once().Priority(9).Deadline(8000).MaxTokens(1)
[policy ping]
program = to("plain").Priority(9).Deadline(5000).MaxTokens(1)
`, fleetAccount, declare.HashKey(fleetKey), tokens)
}
