package routing

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is served in a region that its route or its organisation excludes.
func TestAllowedRegionsOfRouteAndOrganisationAreIntersected(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(`{"version":1,
		"routes":[{"name":"any","path_prefix":"/a/"},{"name":"two","path_prefix":"/t/","allowed_regions":["north","south"]}],
		"organisations":[{"name":"free","allowed_regions":[]},{"name":"north","allowed_regions":["north"]},{"name":"west","allowed_regions":["west"]}]}`))
	is.NoErr(err)
	anyRoute, twoRegions := c.Match("", "/a/x"), c.Match("", "/t/x")
	free, north, west := c.Organisation("free"), c.Organisation("north"), c.Organisation("west")

	is.Equal(c.Regions(anyRoute, nil), Regions(nil))
	is.Equal(c.Regions(anyRoute, free), Regions(nil)) // an empty list restricts nothing
	is.Equal(c.Regions(anyRoute, north), Regions{"north"})
	is.Equal(c.Regions(twoRegions, nil), Regions{"north", "south"})
	is.Equal(c.Regions(twoRegions, free), Regions{"north", "south"})
	is.Equal(c.Regions(twoRegions, north), Regions{"north"}) // in both lists
	is.True(c.Regions(twoRegions, west).Empty())
	is.Equal(c.Regions(nil, west), Regions{"west"})
}

// Guards against targets of unknown region that serve requests with restricted regions.
func TestUnknownRegionNeedsNoRestriction(t *testing.T) {
	is := is.New(t)
	is.True(Regions(nil).Contains(""))
	is.True(!Regions{"north", ""}.Contains(""))
	is.True(!Regions{}.Contains("north"))
	is.True(Regions{}.Empty())
	is.True(!Regions(nil).Empty())
	is.Equal(Regions(nil).String(), "all")
	is.Equal(Regions{"a", "b"}.String(), "a,b")
}
