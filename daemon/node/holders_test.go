package node

import (
	"testing"

	"github.com/matryer/is"

	"maststage.dev/fold/view"
)

// Bills go to hosts that stay. While other hosts went on giving theirs to one that was
// stopping, it seldom held none when it looked, and its planned stop took up to 30 s
// ("stopped ... handover=16.251s").
func TestLeavingHostsHoldBillsLast(t *testing.T) {
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
