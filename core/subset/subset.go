// Package subset chooses a few of many by rendezvous hashing: each chooser ranks all by a hash
// of itself and of each, and takes the lowest.
//
// Choosers need to agree on nothing. Each of the many is chosen by as many choosers, in the
// mean, and when some come or go, only the choices that concern them change. It is what keeps
// a host's state and messages the same when the fleet grows.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank is the place of one thing for a chooser, uniform over all numbers.
func Rank(chooser, thing string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(chooser) // a digest takes all
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(thing)
	return d.Sum64()
}

// Select returns the n things that rank lowest for a chooser, all if there are no more, in the
// order of their ranks.
func Select(chooser string, things []string, n int) []string {
	type ranked struct {
		thing string
		rank  uint64
	}
	list := make([]ranked, len(things))
	for i, thing := range things {
		list[i] = ranked{thing, Rank(chooser, thing)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.thing, b.thing))
	})
	chosen := make([]string, 0, min(n, len(list)))
	for _, r := range list[:min(n, len(list))] {
		chosen = append(chosen, r.thing)
	}
	return chosen
}
