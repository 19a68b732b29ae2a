package routing

import "slices"

// Regions is where requests may be served and what they hold may be kept. The zero value is
// everywhere.
type Regions struct {
	bound bool
	names []string
}

// NewRegions returns the regions of these names; everywhere where none is named.
func NewRegions(names ...string) Regions {
	return Regions{bound: len(names) > 0, names: names}
}

// Unrestricted reports whether nothing bounds the regions.
func (r Regions) Unrestricted() bool { return !r.bound }

// Intersect returns the regions that both allow, which may be none.
func (r Regions) Intersect(other Regions) Regions {
	if !r.bound {
		return other
	}
	if !other.bound {
		return r
	}
	both := Regions{bound: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Allows reports whether a region is one of them. A region without a name is one only where
// nothing bounds them.
func (r Regions) Allows(region string) bool {
	return !r.bound || region != "" && slices.Contains(r.names, region)
}
