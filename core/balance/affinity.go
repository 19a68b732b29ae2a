package balance

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/subset"
)

const (
	// affinityShare is the fraction of a data centre's targets that are affinity targets of a
	// prompt's first part; at least one is. Entry hosts do not exchange what engines have cached.
	// With affinity targets they send a shared part to the same few engines without
	// communication, near ones first.
	affinityShare = 0.25
	// maxAffinityPool bounds the targets of a data centre from which affinity targets are chosen
	// if hosts hold subsets of them: the pool is among those that all its hosts hold. If a
	// fraction of all targets of a large fleet were affinity targets, each part would be
	// prefilled at so many of them that hardly any prompt would find its part cached.
	maxAffinityPool = 24
	// affinityCachedShare is the fraction of the first part that an affinity target is assumed to
	// have cached.
	affinityCachedShare = 0.7
	// maxAffinityParts bounds the first parts whose affinity targets are remembered.
	maxAffinityParts = 1024
)

// affinityTargets returns the affinity targets of a first part: in each data centre those with
// the highest hash of part and target, so that few change when targets are added or removed.
func (r *Registry) affinityTargets(service, part string) map[string]bool {
	if chosen, ok := r.affinityByPart[part]; ok {
		return chosen
	}
	if len(r.affinityByPart) >= maxAffinityParts {
		clear(r.affinityByPart)
	}
	pool := r.affinityPool(service)
	slices.SortFunc(pool, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(affinityHash(part, b.ID), affinityHash(part, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	remaining := map[string]int{} // affinity targets still to be chosen, by data centre
	for _, t := range pool {
		remaining[t.DataCentre]++
	}
	for dc, targets := range remaining {
		remaining[dc] = max(1, int(affinityShare*float64(targets)+0.5))
	}
	chosen := map[string]bool{}
	for _, t := range pool {
		if remaining[t.DataCentre] > 0 {
			remaining[t.DataCentre]--
			chosen[t.ID] = true
		}
	}
	r.affinityByPart[part] = chosen
	return chosen
}

// SetHalvings sets the halvings by which the host holds subsets of the targets; empty if it
// holds all.
func (r *Registry) SetHalvings(halvings []subset.Halvings) {
	if slices.Equal(r.halvings, halvings) {
		return
	}
	r.halvings = halvings
	clear(r.affinityByPart)
}

// HoldsAll reports whether the host holds all targets of a service, and not only a subset.
func (r *Registry) HoldsAll(service string) bool {
	near, far := subset.Group{Service: service, DataCentre: r.dataCentre}, subset.Group{Service: service}
	return subset.HoldsAll(r.halvings, r.dataCentre, near) && subset.HoldsAll(r.halvings, r.dataCentre, far)
}

// affinityPool returns the targets from which affinity targets are chosen: all targets of a data
// centre of which hosts hold all, and of others the first ones in an order that is the same at all
// hosts.
func (r *Registry) affinityPool(service string) []*Target {
	list := slices.Clone(r.serviceNamed(service).targets)
	list = slices.DeleteFunc(list, func(t *Target) bool { return t.Draining || t.evacuated })
	slices.SortFunc(list, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(subset.SharedRank(a.ID), subset.SharedRank(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	ranks := map[string]int{}
	return slices.DeleteFunc(list, func(t *Target) bool {
		ranks[t.DataCentre]++
		holdsAll := subset.HoldsAll(r.halvings, r.dataCentre, subset.Group{Service: service, DataCentre: t.DataCentre})
		return !holdsAll && ranks[t.DataCentre] > maxAffinityPool
	})
}

func affinityHash(part, target string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(part))
	f.Write([]byte(target))
	x := f.Sum64()
	x ^= x >> 31 // FNV mixes the last bytes poorly
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
