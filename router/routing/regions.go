package routing

import (
	"slices"
	"strings"
)

// Regions are the regions in which a request may be served and anything of it kept. nil means
// all of them; an empty list means none.
type Regions []string

// Contains says whether a region is among them. A region that is not known, "", is only among all.
func (r Regions) Contains(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Empty says that the request may be served nowhere.
func (r Regions) Empty() bool { return r != nil && len(r) == 0 }

// Intersect gives the regions that both have.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case r == nil:
		return o
	case o == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if o.Contains(region) {
			both = append(both, region)
		}
	}
	return both
}

func (r Regions) String() string {
	if r == nil {
		return "all"
	}
	return strings.Join(r, ",")
}

// given turns a list of a configuration into regions: a list without entries is none given.
func given(list []string) Regions {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Regions is where a request of a route and an organisation may be served; nil for either is none
// that names regions.
func (c *Config) Regions(route *Route, organisation *Organisation) Regions {
	if !c.restricted {
		return nil
	}
	var regions Regions
	if route != nil {
		regions = given(route.AllowedRegions)
	}
	if organisation != nil {
		regions = regions.Intersect(given(organisation.AllowedRegions))
	}
	return regions
}
