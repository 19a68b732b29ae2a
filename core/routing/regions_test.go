package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRegionsOfRouteAndCustomerBothBind(t *testing.T) {
	for name, c := range map[string]struct {
		r       Regions
		allowed []string
	}{
		"everywhere":   {NewRegions(), []string{"", "a", "b", "c"}},
		"one":          {NewRegions("a"), []string{"a"}},
		"of the route": {NewRegions("a", "b").Intersect(NewRegions()), []string{"a", "b"}},
		"of the other": {NewRegions().Intersect(NewRegions("b")), []string{"b"}},
		"of both":      {NewRegions("a", "b").Intersect(NewRegions("c", "b")), []string{"b"}},
		"nowhere":      {NewRegions("a").Intersect(NewRegions("b")), nil},
		"no name":      {NewRegions(""), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, region := range []string{"", "a", "b", "c"} {
				if c.r.Allows(region) {
					got = append(got, region)
				}
			}
			require.Equal(t, c.allowed, got)
		})
	}
	require.True(t, NewRegions().Intersect(NewRegions()).Unrestricted())
	require.False(t, NewRegions("a").Intersect(NewRegions("b")).Unrestricted(), "nowhere is not everywhere")
}
