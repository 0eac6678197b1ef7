package node

import (
	"testing"

	"github.com/matryer/is"

	"maststage.dev/fold/view"
)

// Hosts that stay are asked first to hold a bill. When other hosts kept sending bills to one that
// was shutting down, it seldom held none at a check, and its graceful shutdown took up to 30 s
// (one log line: handover=16.251s).
func TestLeavingHostsAreLastToHoldBills(t *testing.T) {
	is := is.New(t)
	order := holderOrder([]view.Member{
		{Incarnation: "stops", Domain: "b", Leaving: true},
		{Incarnation: "near", Domain: "a"},
		{Incarnation: "far", Domain: "b"},
		{Incarnation: "far too", Domain: "b"},
		{Incarnation: "other", Domain: "c"},
	}, "a")
	var names []string
	for _, m := range order {
		names = append(names, m.Incarnation)
	}
	is.Equal(names, []string{"far", "other", "near", "far too", "stops"})
}
