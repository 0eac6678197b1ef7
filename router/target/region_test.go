package target

import (
	"testing"

	"github.com/matryer/is"

	"maststage.dev/router/routing"
)

// threeRegions has a target in each of three regions and one whose domain lies in none that is
// known; this host is in the north.
func threeRegions() *Registry {
	r := newRegistry(entry("n", "z1"), entry("s", "z2"), entry("w", "z3"), entry("lost", "z4"))
	r.SetRegions(map[string]string{"z1": "north", "z2": "south", "z3": "west"})
	return r
}

// Only targets of allowed regions are chosen, whatever the load, the affinity, and what else is
// left: not the last one that is ready, nor one whose region is not known.
func TestOnlyAllowedRegionsAreChosen(t *testing.T) {
	is := is.New(t)
	r := threeRegions()
	is.Equal(chosen(r, Requirements{Service: "s", Regions: routing.Regions{"south"}}, 50), map[string]int{"s": 50})
	is.Equal(chosen(r, Requirements{Service: "s", Affinity: "p", Regions: routing.Regions{"west"}}, 50), map[string]int{"w": 50})
	is.Equal(chosen(r, Requirements{Service: "s", Regions: routing.Regions{"east"}}, 1), map[string]int{"none": 1})
	is.Equal(chosen(r, Requirements{Service: "s", Regions: routing.Regions{}}, 1), map[string]int{"none": 1})
	gone := Requirements{Service: "s", Regions: routing.Regions{"south"}, Exclude: map[string]bool{"s": true}}
	is.True(!r.HasCandidate(gone))
	is.Equal(len(chosen(threeRegions(), Requirements{Service: "s"}, 40)), 4) // without a restriction all serve
}

// A region whose domains move elsewhere by the settings is not the allowed one any more.
func TestChangedRegionsCountAtOnce(t *testing.T) {
	is := is.New(t)
	r := threeRegions()
	r.SetRegions(map[string]string{"z1": "north", "z2": "west"})
	is.True(!r.HasCandidate(Requirements{Service: "s", Regions: routing.Regions{"south"}}))
	is.Equal(chosen(r, Requirements{Service: "s", Regions: routing.Regions{"west"}}, 1), map[string]int{"s": 1})
}

// Of equally busy targets the own domain comes first, then the own region.
func TestNearerRegionFirst(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("far", "z3"), entry("near", "z2"), entry("own", "z1"))
	r.SetRegions(map[string]string{"z1": "north", "z2": "north", "z3": "south"})
	for _, want := range []string{"own", "near", "own", "near", "far"} { // but not at any price
		is.Equal(chosen(r, Requirements{Service: "s"}, 1), map[string]int{want: 1})
	}
}
