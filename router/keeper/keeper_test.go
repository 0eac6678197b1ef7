package keeper

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/lib/rendezvous"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("front-domain-%d", i)
	}
	return list
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == name })
}

// The number of keepers grows with an organisation's share of tokens: in a fleet of 295 a keeper
// serves the requests of some twelve hosts.
func TestCountGrowsWithShare(t *testing.T) {
	is := is.New(t)
	is.Equal(Count(SmallFleet, 0.01), SmallFleet) // in a small fleet all hosts are keepers
	is.Equal(Count(SmallFleet+1, 0), 1)
	is.Equal(Count(295, 0.01), 1)
	is.Equal(Count(295, 0.2), 5)
	is.Equal(Count(295, 1), 25)
	is.Equal(Count(9, 1), 1)
}

// All hosts choose the same keepers, and each keeper is asked first by about an even share of the
// hosts.
func TestAllHostsAgreeOnKeepers(t *testing.T) {
	is := is.New(t)
	all := names(295)
	const count = 5
	asksFirst := map[string]int{}
	var keepers []string
	for _, self := range all {
		others := without(all, self)
		if IsKeeper("org", self, others, count) {
			keepers = append(keepers, self)
			continue
		}
		list := Lenders("org", self, others, count)
		is.Equal(len(list), count+spareLenders)
		asksFirst[list[0]]++
		asked := slices.Sorted(slices.Values(list[:count]))
		is.Equal(asked, slices.Sorted(slices.Values(topRanked("org", all, count))))
	}
	is.Equal(len(keepers), count)
	for _, k := range keepers {
		is.True(asksFirst[k] > 30 && asksFirst[k] < 90) // 58 each if evenly spread
	}
}

// If a keeper is lost, the first spare replaces it and the other keepers stay.
func TestFirstSpareReplacesLostKeeper(t *testing.T) {
	is := is.New(t)
	all := names(87)
	before := topRanked("org", all, 3)
	after := topRanked("org", without(all, before[1]), 3)
	is.Equal(after[:2], []string{before[0], before[2]})
	is.Equal(after[2], topRanked("org", all, 4)[3])
}

func TestTopRankedMatchesFullRanking(t *testing.T) {
	is := is.New(t)
	all := names(100)
	ranking := rendezvous.Rank("org", all, func(n string) string { return n })
	for n := range 12 {
		is.Equal(topRanked("org", all, n+1), ranking[:n+1])
	}
	is.Equal(topRanked("org", all[:2], 5), rendezvous.Rank("org", all[:2], func(n string) string { return n }))
	is.Equal(Lenders("org", "self", nil, 1), nil)
}

func BenchmarkLenders(b *testing.B) {
	for _, n := range []int{9, 87, 295, 1000} {
		all := names(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Lenders("org", "self", all, Count(n, 0.2))
			}
		})
	}
}
