package proofs

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/proofs/fleet"
)

// Guards the normal path: through each host, a streaming and a plain request get their complete
// responses and are billed.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Options{Hosts: 3, Domains: 3, Targets: append(engines(time.Millisecond), services(time.Millisecond)...)})
	f.Apply(declarations(100_000))
	for i := range f.Hosts {
		a := f.Do(i, fleet.Request{Key: key, ID: fmt.Sprint("chat-", i), Class: "chat", Input: []byte("a question"), MaxTokens: 20})
		is.NoErr(a.Err)
		is.True(a.Whole)
		is.Equal(a.Chunks, uint32(20))
		is.Equal(a.Billed, uint64(23)) // 3 for the prompt
		b := f.Do(i, fleet.Request{Key: key, ID: fmt.Sprint("save-", i), Class: "save", Input: []byte("an answer")})
		is.NoErr(b.Err)
		is.True(b.Whole)
	}
	is.Equal(f.UsedTokens(account), uint64(3*23+3))
	f.Eventually("bills in the log", func() bool { return f.Budget(0, account).Billed == 3*23+3 })
}
