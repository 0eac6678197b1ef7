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

// The larger an organisation's part is, the more keepers it has: at a fleet of 295 a
// keeper bears the requests of some twelve hosts.
func TestCountGrowsWithShare(t *testing.T) {
	is := is.New(t)
	is.Equal(Count(SmallFleet, 0.01), SmallFleet) // a small fleet: all
	is.Equal(Count(SmallFleet+1, 0), 1)
	is.Equal(Count(295, 0.01), 1)
	is.Equal(Count(295, 0.2), 5)
	is.Equal(Count(295, 1), 25)
	is.Equal(Count(9, 1), 1)
}

// All hosts name the same keepers, and no two begin with the same one more often than an
// even share allows by much.
func TestAllHostsAgreeOnKeepers(t *testing.T) {
	is := is.New(t)
	all := names(295)
	const count = 5
	begins := map[string]int{}
	var keepers []string
	for _, self := range all {
		others := without(all, self)
		if IsKeeper("org", self, others, count) {
			keepers = append(keepers, self)
			continue
		}
		list := Lenders("org", self, others, count)
		is.Equal(len(list), count+spares)
		begins[list[0]]++
		asked := slices.Sorted(slices.Values(list[:count]))
		is.Equal(asked, slices.Sorted(slices.Values(first("org", all, count))))
	}
	is.Equal(len(keepers), count)
	for _, k := range keepers {
		is.True(begins[k] > 30 && begins[k] < 90) // 58 each
	}
}

// Where a keeper is gone, the first spare takes its place and the others keep theirs.
func TestFirstSpareReplacesLostKeeper(t *testing.T) {
	is := is.New(t)
	all := names(87)
	before := first("org", all, 3)
	after := first("org", without(all, before[1]), 3)
	is.Equal(after[:2], []string{before[0], before[2]})
	is.Equal(after[2], first("org", all, 4)[3])
}

func TestFirstMatchesFullRanking(t *testing.T) {
	is := is.New(t)
	all := names(100)
	whole := rendezvous.Rank("org", all, func(n string) string { return n })
	for n := range 12 {
		is.Equal(first("org", all, n+1), whole[:n+1])
	}
	is.Equal(first("org", all[:2], 5), rendezvous.Rank("org", all[:2], func(n string) string { return n }))
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
