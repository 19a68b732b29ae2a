package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIntersectAllowsOnlyCommonRegions(t *testing.T) {
	for name, c := range map[string]struct {
		regions Regions
		allowed []string
	}{
		"unrestricted":       {NewRegions(), []string{"", "a", "b", "c"}},
		"one region":         {NewRegions("a"), []string{"a"}},
		"other unrestricted": {NewRegions("a", "b").Intersect(NewRegions()), []string{"a", "b"}},
		"first unrestricted": {NewRegions().Intersect(NewRegions("b")), []string{"b"}},
		"both restricted":    {NewRegions("a", "b").Intersect(NewRegions("c", "b")), []string{"b"}},
		"disjoint":           {NewRegions("a").Intersect(NewRegions("b")), nil},
		"unnamed region":     {NewRegions(""), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, region := range []string{"", "a", "b", "c"} {
				if c.regions.Allows(region) {
					got = append(got, region)
				}
			}
			require.Equal(t, c.allowed, got)
		})
	}
	require.True(t, NewRegions().Intersect(NewRegions()).Unrestricted())
	require.False(t, NewRegions("a").Intersect(NewRegions("b")).Unrestricted(), "an empty set of regions is restricted")
}
