package fleet

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/endless"
)

// Guards against a response of another host that has no end and uses up this host's memory: its call has time for
// gigabytes.
func TestEndlessResponseOfAnotherHostIsBounded(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		small = 16 << 20 // bytes
	)
	cases := map[string]struct {
		answer       endless.Answer
		maxAllocated uint64 // bytes
	}{
		// The buffer doubles as it grows, and all of its sizes count.
		"value":   {endless.Answer{Start: head + "\r\n{\"unknown\":\"", Repeat: "x"}, 8 * maxResponseBytes},
		"nesting": {endless.Answer{Start: head + "\r\n", Repeat: "["}, 8 * maxResponseBytes},
		"spaces":  {endless.Answer{Start: head + "\r\n", Repeat: " "}, 8 * maxResponseBytes},
		"headers": {endless.Answer{Start: head, Repeat: "X-More: more\r\n"}, small},
		"header":  {endless.Answer{Start: head + "X-Long: ", Repeat: "long"}, small},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other, err := endless.Start("X-Id", c.answer)
			is.NoErr(err)
			defer other.Close()
			calls := newClient(time.Second, nil, maxIdleConns)
			var response pullResponse
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err = calls.fetch(t.Context(), other.Address(), pathPull, newPullRequest(nil), &response)
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > c.maxAllocated {
				t.Errorf("%d bytes were allocated, and %d is the bound", allocated, c.maxAllocated)
			}
		})
	}
}
