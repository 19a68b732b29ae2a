package balance

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/subset"
)

const (
	// homeShare is the part of a data centre's targets that are homes of a prompt's
	// first part, one at least. Entry hosts do not tell each other what engines have
	// read; with homes they send a shared part to the same few engines without a
	// word, near ones first.
	homeShare = 0.25
	// homePool is the targets that may be homes of a data centre of which hosts hold a part: of
	// those that all its hosts hold. With a share of all targets, a fleet of them would read
	// each part so often that hardly a prompt finds its part read.
	homePool = 24
	// homeTrust is how much of the part a home is taken to have.
	homeTrust = 0.7
	// homesKept bounds the first parts remembered.
	homesKept = 1024
)

// homes returns the targets that are homes of a first part: in each data centre
// those with the highest hash of part and target, so that few move when targets
// come and go.
func (r *Registry) homes(service, part string) map[string]bool {
	if h, ok := r.homeOf[part]; ok {
		return h
	}
	if len(r.homeOf) >= homesKept {
		clear(r.homeOf)
	}
	list := r.pool(service)
	slices.SortFunc(list, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(affinity(part, b.ID), affinity(part, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	places := map[string]int{}
	for _, t := range list {
		places[t.DataCentre]++
	}
	for dc, n := range places {
		places[dc] = max(1, int(homeShare*float64(n)+0.5))
	}
	h := map[string]bool{}
	for _, t := range list {
		if places[t.DataCentre] > 0 {
			places[t.DataCentre]--
			h[t.ID] = true
		}
	}
	r.homeOf[part] = h
	return h
}

// SetHalvings notes by which steps the host holds parts of the targets; none where it holds all.
func (r *Registry) SetHalvings(steps []subset.Halvings) {
	if slices.Equal(r.steps, steps) {
		return
	}
	r.steps = steps
	clear(r.homeOf)
}

// pool returns the targets that may be homes: all of a data centre that hosts hold whole, and
// of others the first ones in an order that is the same at all hosts.
func (r *Registry) pool(service string) []*Target {
	list := slices.Clone(r.of(service).targets)
	list = slices.DeleteFunc(list, func(t *Target) bool { return t.Draining || t.evacuated })
	slices.SortFunc(list, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(subset.CommonRank(a.ID), subset.CommonRank(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	places := map[string]int{}
	return slices.DeleteFunc(list, func(t *Target) bool {
		places[t.DataCentre]++
		whole := subset.HoldsAll(r.steps, r.dataCentre, subset.Group{Service: service, DataCentre: t.DataCentre})
		return !whole && places[t.DataCentre] > homePool
	})
}

func affinity(part, target string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(part))
	f.Write([]byte(target))
	x := f.Sum64()
	x ^= x >> 31 // FNV mixes the last bytes badly
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
