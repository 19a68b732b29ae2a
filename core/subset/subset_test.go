package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

func TestAllOfAFewAreChosen(t *testing.T) {
	require.ElementsMatch(t, names("t", 3), Select("c", names("t", 3), 5))
	require.Empty(t, Select("c", nil, 5))
}

// Each thing is chosen by about as many choosers.
func TestChoicesAreSpread(t *testing.T) {
	const choosers, things, n = 900, 120, 4
	chosen := map[string]int{}
	for _, c := range names("c", choosers) {
		for _, x := range Select(c, names("t", things), n) {
			chosen[x]++
		}
	}
	require.Len(t, chosen, things)
	for x, count := range chosen {
		require.InDelta(t, choosers*n/things, count, 25, x)
	}
}

// One thing that goes changes the choices of those who had chosen it, by one each, and no
// other.
func TestAChangeMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		things := names("t", rapid.IntRange(2, 60).Draw(t, "things"))
		n := rapid.IntRange(1, len(things)).Draw(t, "n")
		gone := rapid.IntRange(0, len(things)-1).Draw(t, "gone")
		chooser := rapid.String().Draw(t, "chooser")
		before := Select(chooser, things, n)
		left := append(append([]string{}, things[:gone]...), things[gone+1:]...)
		after := Select(chooser, left, n)
		for _, x := range before {
			if x != things[gone] {
				require.Contains(t, after, x)
			}
		}
	})
}
