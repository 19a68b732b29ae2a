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

// Sizes are how many targets of each service a host holds: of its own data centre, and of all
// others together. Of up to twice as many it holds all.
type Sizes struct {
	Near, Far int
}

// DefaultSizes are enough that one lost third leaves a choice, and that the hosts of a data
// centre together reach each of its targets several times over.
func DefaultSizes() Sizes { return Sizes{Near: 64, Far: 64} }

// Index says which targets each host holds. Half of a part is common: the same for all hosts of
// a data centre, so that these agree on where shared prompts are read. The other half is the
// host's own, so that all targets are in use. Not safe for concurrent use.
//
// A target is in a part if its rank is below a limit that depends on the number of targets
// only, in steps of two. So whether a change concerns a host is known without the other
// targets, and parts change as a whole only when the number doubles or halves.
type Index struct {
	sizes  Sizes
	counts map[Group]int
	total  map[string]int // by service
	// near is the steps of the targets of each group for hosts of its data centre, far those
	// of all other targets of the service for hosts of the group's data centre.
	near, far map[Group]int
}

// NewIndex returns an index of no targets.
func NewIndex(s Sizes) *Index {
	return &Index{sizes: s, counts: map[Group]int{}, total: map[string]int{}, near: map[Group]int{}, far: map[Group]int{}}
}

// Add counts a target.
func (x *Index) Add(g Group) { x.count(g, 1) }

// Remove takes a target out.
func (x *Index) Remove(g Group) { x.count(g, -1) }

// Halvings is how often the parts of a service were halved for hosts of one data centre, as their
// targets became more: of the targets of that data centre and of the others.
type Halvings struct {
	Service   string
	Near, Far int
}

// Halvings are those of all services for hosts of a data centre, in the order of their names.
func (x *Index) Halvings(dataCentre string) []Halvings {
	var steps []Halvings
	for _, service := range slices.Sorted(maps.Keys(x.total)) {
		g := Group{service, dataCentre}
		steps = append(steps, Halvings{Service: service, Near: x.near[g], Far: x.farStep(g)})
	}
	return steps
}

// Shrunk reports whether parts by the steps of now are within those by the steps of before.
func Shrunk(before, now []Halvings) bool {
	for _, b := range before {
		n := stepOf(now, b.Service)
		if n.Near < b.Near || n.Far < b.Far {
			return false
		}
	}
	return true
}

// HoldsAll reports whether hosts of a data centre hold all targets of a group by these steps.
func HoldsAll(steps []Halvings, dataCentre string, g Group) bool {
	s := stepOf(steps, g.Service)
	if g.DataCentre == dataCentre {
		return s.Near == 0
	}
	return s.Far == 0
}

func stepOf(steps []Halvings, service string) Halvings {
	for _, s := range steps {
		if s.Service == service {
			return s
		}
	}
	return Halvings{Service: service}
}

// Holds reports whether a host of a data centre holds a target of a group by these steps.
func Holds(steps []Halvings, host, dataCentre string, g Group, target string) bool {
	s := stepOf(steps, g.Service)
	if g.DataCentre == dataCentre {
		return in(s.Near, host, target)
	}
	return in(s.Far, host, target)
}

// in reports whether a host's part, halved so often, has a target. Half of a part is common.
func in(halvings int, host, target string) bool {
	if halvings == 0 {
		return true
	}
	limit := uint64(math.MaxUint64) >> (halvings + 1)
	return CommonRank(target) < limit || Rank(host, target) < limit
}

func (x *Index) count(g Group, n int) {
	x.counts[g] += n
	x.total[g.Service] += n
	x.near[g] = step(x.near[g], x.counts[g], x.sizes.Near)
	for other := range x.counts {
		if other.Service == g.Service {
			x.far[other] = step(x.far[other], x.total[g.Service]-x.counts[other], x.sizes.Far)
		}
	}
}

// step adjusts a step to a number of targets, late enough that a number that goes up and down
// around a limit changes nothing.
func step(step, n, size int) int {
	for n >= size<<(step+1) {
		step++
	}
	for step > 0 && 4*n < 3*size<<step {
		step--
	}
	return step
}

// Holds reports whether a host of a data centre holds a target of a group.
func (x *Index) Holds(host, dataCentre string, g Group, target string) bool {
	if g.DataCentre == dataCentre {
		return in(x.near[g], host, target)
	}
	return in(x.farStep(Group{g.Service, dataCentre}), host, target)
}

// CommonRank is a target's place in the order by which all hosts hold the same ones.
func CommonRank(target string) uint64 { return Rank(common, target) }

// common is the chooser of the part that all hosts have.
const common = ""

// farStep is that of a host whose data centre may have no target of the service.
func (x *Index) farStep(g Group) int {
	if _, known := x.counts[g]; known {
		return x.far[g]
	}
	return step(0, x.total[g.Service], x.sizes.Far)
}
