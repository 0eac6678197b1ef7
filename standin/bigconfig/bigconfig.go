// Package bigconfig generates large configurations like those that operators publish, for tests
// of their distribution to the hosts.
package bigconfig

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// Routes returns the JSON of a configuration with this many routes, some 190 bytes each. As in
// real ones, the names differ and the rest repeats. The same seed gives the same names.
func Routes(routes int, seed uint64) []byte {
	draw := rand.New(rand.NewPCG(seed, 0))
	var b bytes.Buffer
	b.WriteString(`{"version":1,"services":[{"name":"s"}],"routes":[`)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","path_prefix":"/%x/","kind":"safe",`+
			`"timeout_ms":3000,"target_latency_ms":300,"service":"s","max_attempts":2,"priority":1,"public":false}`,
			draw.Uint32(), draw.Uint32(), draw.Uint32())
	}
	b.WriteString("]}")
	return b.Bytes()
}
