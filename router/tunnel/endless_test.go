package tunnel

import (
	"runtime"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/standin/endless"
)

// Guards against a host whose response to a call for a tunnel has a head without end, which uses up the memory of the host
// that asked.
func TestEndlessResponseToATunnelCallIsBounded(t *testing.T) {
	const maxAllocated = 16 << 20 // bytes
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
	for name, answer := range map[string]endless.Answer{
		"status line": {Start: "HTTP/1.1 101 ", Repeat: "Switching"},
		"headers":     {Start: head, Repeat: "X-More: more\r\n"},
		"header":      {Start: head + "X-Long: ", Repeat: "long"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other, err := endless.Start("X-Id", answer)
			is.NoErr(err)
			defer other.Close()
			d := NewDialer(Options{Hosts: func() []Host { return []Host{{Name: "h", Address: other.Address(), Key: key, Near: true}} }})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = d.Dial(t.Context(), "s", "t1")
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(other.Arrivals() > 0) // else the test shows nothing
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("%d bytes were allocated, and %d is the bound", allocated, maxAllocated)
			}
		})
	}
}
