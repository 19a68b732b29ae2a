package subset

import (
	"maps"
	"math"
	"slices"
)

// Group is the targets of one service in one data centre.
type Group struct {
	Service, DataCentre string
}

// Sizes are the nominal numbers of targets of each service that a host holds: near targets, of
// its own data centre, and far targets, of all others together. A host holds all targets while
// there are fewer than twice as many, and above that about three quarters to twice the size.
type Sizes struct {
	Near, Far int
}

// DefaultSizes returns sizes that leave a choice after the loss of a third of the targets, and
// with which the hosts of a data centre together reach each of its targets several times over.
func DefaultSizes() Sizes { return Sizes{Near: 64, Far: 64} }

// Index computes which targets each host holds. Half of a subset is shared: the same for all
// hosts of a data centre, so that they agree on where shared prompts are cached. The other half
// is specific to the host, so that all targets are in use. Index is not safe for concurrent use.
//
// A target is in a subset if its rank is below a limit that depends only on the number of
// targets, in powers of two. So whether a change concerns a host can be computed without the
// other targets, and a subset changes as a whole only when the number of targets doubles or
// halves.
type Index struct {
	sizes         Sizes
	targetCounts  map[Group]int
	serviceTotals map[string]int // by service
	// near holds the halvings of each group for hosts of its data centre; far holds those of all
	// other targets of the service for hosts of the group's data centre.
	near, far map[Group]int
}

// NewIndex returns an index without targets.
func NewIndex(s Sizes) *Index {
	return &Index{sizes: s, targetCounts: map[Group]int{}, serviceTotals: map[string]int{}, near: map[Group]int{}, far: map[Group]int{}}
}

// Add counts a new target of a group.
func (x *Index) Add(g Group) { x.adjust(g, 1) }

// Remove uncounts a target of a group.
func (x *Index) Remove(g Group) { x.adjust(g, -1) }

// Halvings is how often the subsets of a service were halved for hosts of one data centre as the
// number of targets grew: Near for the targets of that data centre, Far for all others. Both are
// 0 while hosts hold all targets.
type Halvings struct {
	Service   string
	Near, Far int
}

// Halvings returns the halvings of all services for hosts of a data centre, in order of service
// names.
func (x *Index) Halvings(dataCentre string) []Halvings {
	var list []Halvings
	for _, service := range slices.Sorted(maps.Keys(x.serviceTotals)) {
		g := Group{service, dataCentre}
		list = append(list, Halvings{Service: service, Near: x.near[g], Far: x.farHalvings(g)})
	}
	return list
}

// Shrunk reports whether the subsets did not grow from the halvings before to the halvings after:
// those after are contained in those before.
func Shrunk(before, after []Halvings) bool {
	for _, b := range before {
		a := halvingsOf(after, b.Service)
		if a.Near < b.Near || a.Far < b.Far {
			return false
		}
	}
	return true
}

// HoldsAll reports whether hosts of a data centre hold all targets of a group with these
// halvings.
func HoldsAll(list []Halvings, dataCentre string, g Group) bool {
	h := halvingsOf(list, g.Service)
	if g.DataCentre == dataCentre {
		return h.Near == 0
	}
	return h.Far == 0
}

func halvingsOf(list []Halvings, service string) Halvings {
	for _, h := range list {
		if h.Service == service {
			return h
		}
	}
	return Halvings{Service: service}
}

// Holds reports whether a host of a data centre holds a target of a group with these halvings.
func Holds(list []Halvings, host, dataCentre string, g Group, target string) bool {
	h := halvingsOf(list, g.Service)
	if g.DataCentre == dataCentre {
		return contains(h.Near, host, target)
	}
	return contains(h.Far, host, target)
}

// contains reports whether the subset of a host, after a number of halvings, contains a target.
// Half of a subset is shared by all hosts.
func contains(halvings int, host, target string) bool {
	if halvings == 0 {
		return true
	}
	limit := uint64(math.MaxUint64) >> (halvings + 1)
	return SharedRank(target) < limit || Rank(host, target) < limit
}

func (x *Index) adjust(g Group, delta int) {
	x.targetCounts[g] += delta
	x.serviceTotals[g.Service] += delta
	x.near[g] = updateHalvings(x.near[g], x.targetCounts[g], x.sizes.Near)
	for other := range x.targetCounts {
		if other.Service == g.Service {
			x.far[other] = updateHalvings(x.far[other], x.serviceTotals[g.Service]-x.targetCounts[other], x.sizes.Far)
		}
	}
}

// updateHalvings adjusts a number of halvings to a number of targets. It has hysteresis, so that
// a number of targets that oscillates around a limit does not change the subsets.
func updateHalvings(halvings, targets, size int) int {
	for targets >= size<<(halvings+1) {
		halvings++
	}
	for halvings > 0 && 4*targets < 3*size<<halvings {
		halvings--
	}
	return halvings
}

// Holds reports whether a host of a data centre holds a target of a group.
func (x *Index) Holds(host, dataCentre string, g Group, target string) bool {
	if g.DataCentre == dataCentre {
		return contains(x.near[g], host, target)
	}
	return contains(x.farHalvings(Group{g.Service, dataCentre}), host, target)
}

// SharedRank returns the rank of a target in the shared half of subsets, the same for all hosts.
func SharedRank(target string) uint64 { return Rank(sharedChooser, target) }

// sharedChooser is the chooser of the half of a subset that is the same for all hosts.
const sharedChooser = ""

// farHalvings returns the halvings of far targets for hosts whose data centre may have no target
// of the service.
func (x *Index) farHalvings(g Group) int {
	if _, known := x.targetCounts[g]; known {
		return x.far[g]
	}
	return updateHalvings(0, x.serviceTotals[g.Service], x.sizes.Far)
}
