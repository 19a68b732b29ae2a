package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	route := func(name, host, prefix string) *Route { return &Route{Name: name, Host: host, Prefix: prefix} }
	table := NewTable(1, Limits{}, nil, []*Route{
		route("all", "a", "/"), route("deep", "a", "/x/y/"), route("x", "a", "/x/"), route("other", "b", "/x/"),
	})
	for path, want := range map[string]string{"/": "all", "/x": "all", "/x/": "x", "/x/y": "x", "/x/y/z": "deep"} {
		r, ok := table.Match("A:8080", path)
		require.True(t, ok)
		require.Equal(t, want, r.Name, path)
	}
	_, ok := table.Match("b", "/y/")
	require.False(t, ok)
	_, ok = table.Match("c", "/x/")
	require.False(t, ok)
}

func TestOnlyHigherVersionIsNewer(t *testing.T) {
	old, new := NewTable(3, Limits{}, nil, nil), NewTable(4, Limits{}, nil, nil)
	require.True(t, old.Newer(nil))
	require.True(t, new.Newer(old))
	require.False(t, old.Newer(new))
	require.False(t, old.Newer(old))
}

func TestChooseFollowsWeights(t *testing.T) {
	r := &Route{Services: []WeightedService{{"a", 90}, {"b", 0}, {"c", 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Choose(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 900, "c": 100}, count)
	require.Equal(t, "z", (&Route{Services: []WeightedService{{"z", 0}}}).Choose(0.5), "all weights are zero")
}
