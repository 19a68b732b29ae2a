package routing

import "slices"

// Regions is the set of regions in which requests may be served and their data stored. The
// zero value is unrestricted.
type Regions struct {
	restricted bool
	names      []string
}

// NewRegions returns the regions with the given names, or unrestricted regions if there are
// no names.
func NewRegions(names ...string) Regions {
	return Regions{restricted: len(names) > 0, names: names}
}

// Unrestricted reports whether every region is allowed.
func (r Regions) Unrestricted() bool { return !r.restricted }

// Intersect returns the regions that both r and other allow, possibly none.
func (r Regions) Intersect(other Regions) Regions {
	if !r.restricted {
		return other
	}
	if !other.restricted {
		return r
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Allows reports whether the region is allowed. A region without a name is allowed only if r
// is unrestricted.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}
