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

func TestSelectReturnsAllItemsWhenFewerThanN(t *testing.T) {
	require.ElementsMatch(t, names("t", 3), Select("c", names("t", 3), 5))
	require.Empty(t, Select("c", nil, 5))
}

// Each item is selected by about the same number of choosers.
func TestSelectSpreadsItemsEvenlyOverChoosers(t *testing.T) {
	const choosers, items, n = 900, 120, 4
	chosen := map[string]int{}
	for _, c := range names("c", choosers) {
		for _, x := range Select(c, names("t", items), n) {
			chosen[x]++
		}
	}
	require.Len(t, chosen, items)
	for x, count := range chosen {
		require.InDelta(t, choosers*n/items, count, 25, x)
	}
}

// Removing an item changes only the selections that include it, by one item each.
func TestRemovingAnItemKeepsTheOtherSelectedItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := names("t", rapid.IntRange(2, 60).Draw(t, "items"))
		n := rapid.IntRange(1, len(items)).Draw(t, "n")
		removed := rapid.IntRange(0, len(items)-1).Draw(t, "removed")
		chooser := rapid.String().Draw(t, "chooser")
		before := Select(chooser, items, n)
		remaining := append(append([]string{}, items[:removed]...), items[removed+1:]...)
		after := Select(chooser, remaining, n)
		for _, x := range before {
			if x != items[removed] {
				require.Contains(t, after, x)
			}
		}
	})
}
