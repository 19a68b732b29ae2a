// Package subset selects a few of many items by rendezvous hashing: each chooser ranks all items
// by a hash of itself and the item, and selects the lowest.
//
// Choosers need no coordination. On average each item is selected by the same number of
// choosers, and when items are added or removed, only the selections that include them change.
// A host that selects a fixed number of items has the same state and sends the same number of
// messages when the fleet grows.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of an item for a chooser, uniform over all 64-bit numbers.
func Rank(chooser, item string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(chooser) // Write to a digest never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(item)
	return digest.Sum64()
}

// Select returns the n items that rank lowest for a chooser, in the order of their ranks; all
// items if there are at most n.
func Select(chooser string, items []string, n int) []string {
	type rankedItem struct {
		item string
		rank uint64
	}
	ranked := make([]rankedItem, len(items))
	for i, item := range items {
		ranked[i] = rankedItem{item, Rank(chooser, item)}
	}
	slices.SortFunc(ranked, func(a, b rankedItem) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.item, b.item))
	})
	chosen := make([]string, 0, min(n, len(ranked)))
	for _, r := range ranked[:min(n, len(ranked))] {
		chosen = append(chosen, r.item)
	}
	return chosen
}
