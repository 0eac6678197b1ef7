package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lender stands in for a host that lends nothing and could lend so many tokens.
func lender(t *testing.T, free int64, asked *atomic.Int64) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		write(w, lendResponse{Keeper: true, Free: free})
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Room that a host keeps for large requests is not taken in pieces by small ones; what hosts
// have that is too little alone still is.
func TestKeptRoomIsNotGathered(t *testing.T) {
	for name, c := range map[string]struct {
		free  int64 // at each of two hosts
		calls int64
	}{
		"both keep room":      {5_000, 2},
		"together they could": {600, 4},
		"too little":          {100, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var asked atomic.Int64
			f := New(Options{Self: Host{Name: "a", Incarnation: "1"}, CallTimeout: time.Second})
			addresses := []string{lender(t, c.free, &asked), lender(t, c.free, &asked)}
			loan := f.borrowFrom(context.Background(), addresses, time.Second, "org", 1_000, 0)
			is.Equal(loan.Tokens, int64(0))
			is.Equal(asked.Load(), c.calls)
		})
	}
}
