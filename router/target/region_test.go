package target

import (
	"testing"

	"github.com/matryer/is"

	"maststage.dev/router/routing"
)

// threeRegions has a target in each of three regions and one in a domain of unknown region. This host is in the
// north.
func threeRegions() *Registry {
	r := newRegistry(entry("n", "z1"), entry("s", "z2"), entry("w", "z3"), entry("lost", "z4"))
	r.SetRegions(map[string]string{"z1": "north", "z2": "south", "z3": "west"})
	return r
}

// Guards against requests outside the allowed regions, whatever the load, the affinity and the remaining targets: not
// even the last ready target or one of unknown region may be chosen.
func TestOnlyAllowedRegionsAreChosen(t *testing.T) {
	is := is.New(t)
	r := threeRegions()
	is.Equal(countChosen(r, Requirements{Service: "s", Regions: routing.Regions{"south"}}, 50), map[string]int{"s": 50})
	is.Equal(countChosen(r, Requirements{Service: "s", Affinity: "p", Regions: routing.Regions{"west"}}, 50), map[string]int{"w": 50})
	is.Equal(countChosen(r, Requirements{Service: "s", Regions: routing.Regions{"east"}}, 1), map[string]int{"none": 1})
	is.Equal(countChosen(r, Requirements{Service: "s", Regions: routing.Regions{}}, 1), map[string]int{"none": 1})
	gone := Requirements{Service: "s", Regions: routing.Regions{"south"}, Exclude: map[string]bool{"s": true}}
	is.True(!r.HasCandidate(gone))
	is.Equal(len(countChosen(threeRegions(), Requirements{Service: "s"}, 40)), 4) // without a restriction all targets serve
}

// Guards against a target that is chosen by its former region after the settings moved its domain.
func TestRegionChangeTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	r := threeRegions()
	r.SetRegions(map[string]string{"z1": "north", "z2": "west"})
	is.True(!r.HasCandidate(Requirements{Service: "s", Regions: routing.Regions{"south"}}))
	is.Equal(countChosen(r, Requirements{Service: "s", Regions: routing.Regions{"west"}}, 1), map[string]int{"s": 1})
}

// Among equally busy targets this host's failure domain comes first, then its region.
func TestNearerTargetIsPreferred(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("far", "z3"), entry("near", "z2"), entry("own", "z1"))
	r.SetRegions(map[string]string{"z1": "north", "z2": "north", "z3": "south"})
	for _, want := range []string{"own", "near", "own", "near", "far"} { // until the nearer ones are busier
		is.Equal(countChosen(r, Requirements{Service: "s"}, 1), map[string]int{want: 1})
	}
}
