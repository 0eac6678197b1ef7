package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestRegionsOfRouteAndOrganisation(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(`{"version":1,
		"routes":[{"name":"any","path_prefix":"/a/"},{"name":"two","path_prefix":"/t/","allowed_regions":["north","south"]}],
		"organisations":[{"name":"free","allowed_regions":[]},{"name":"north","allowed_regions":["north"]},{"name":"west","allowed_regions":["west"]}]}`))
	is.NoErr(err)
	any, two := c.Match("", "/a/x"), c.Match("", "/t/x")
	free, north, west := c.Organisation("free"), c.Organisation("north"), c.Organisation("west")

	is.Equal(c.Regions(any, nil), Regions(nil))
	is.Equal(c.Regions(any, free), Regions(nil)) // an empty list names none
	is.Equal(c.Regions(any, north), Regions{"north"})
	is.Equal(c.Regions(two, nil), Regions{"north", "south"})
	is.Equal(c.Regions(two, free), Regions{"north", "south"})
	is.Equal(c.Regions(two, north), Regions{"north"}) // both
	is.True(c.Regions(two, west).Empty())
	is.Equal(c.Regions(nil, west), Regions{"west"})
}

func TestUnknownRegionIsOnlyAmongAll(t *testing.T) {
	is := is.New(t)
	is.True(Regions(nil).Contains(""))
	is.True(!Regions{"north", ""}.Contains(""))
	is.True(!Regions{}.Contains("north"))
	is.True(Regions{}.Empty())
	is.True(!Regions(nil).Empty())
	is.Equal(Regions(nil).String(), "all")
	is.Equal(Regions{"a", "b"}.String(), "a,b")
}
