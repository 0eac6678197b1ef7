package routing

import (
	"slices"
	"strings"
)

// Regions are the regions in which a request may be served and its data kept. nil means all regions; an empty list
// means none.
type Regions []string

// Contains reports whether the region is among them. An unknown region, "", is contained only in nil.
func (r Regions) Contains(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Empty reports whether no region may serve the request.
func (r Regions) Empty() bool { return r != nil && len(r) == 0 }

// Intersect returns the regions that are in both.
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

// allowedRegions converts a configured list of regions, in which an empty list means no restriction.
func allowedRegions(list []string) Regions {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Regions returns the regions that may serve a request of the route and the organisation. Either may be nil and
// restricts nothing then.
func (c *Config) Regions(route *Route, organisation *Organisation) Regions {
	if !c.restricted {
		return nil
	}
	var regions Regions
	if route != nil {
		regions = allowedRegions(route.AllowedRegions)
	}
	if organisation != nil {
		regions = regions.Intersect(allowedRegions(organisation.AllowedRegions))
	}
	return regions
}
