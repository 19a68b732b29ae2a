package placement

import (
	"slices"
	"strings"
)

// Some programs may be kept in certain regions only. Where members are in several regions, each
// region has slots of its own beside the common ones, and only members there keep them. A
// program bound to a region has a name that says so, by which all find its slot.
//
// A slot of a region never spans: one that does may come to be kept at the platform as well,
// which is in one region only. Where a data centre that crowds it is cut off, it waits for that.

// RegionSlots is the number of slots of each region: a few times the members that keep them, so
// that their shares are even.
const SlotsPerRegion = 16

// regionMark begins the names of programs that are bound to a region, and ends the region in
// them. Names of callers cannot hold it at their start, as a customer's name comes first.
const regionMark = "\x00"

// Bound returns the name of a program that is kept in a region only.
func RegionalName(region, program string) string {
	return regionMark + region + regionMark + program
}

// regionOf returns the region that a program is bound to, empty if it may be kept anywhere.
func regionOf(program string) string {
	rest, bound := strings.CutPrefix(program, regionMark)
	if !bound {
		return ""
	}
	region, _, _ := strings.Cut(rest, regionMark)
	return region
}

// Slot returns the slot of a program. There is none if the program is bound to a region in which
// there are no members.
func (m *Map) Slot(program string) (slot uint32, ok bool) {
	region := regionOf(program)
	if region == "" {
		return GlobalSlotOf(program), true
	}
	first := slices.IndexFunc(m.Slots, func(s Slot) bool { return s.Region == region })
	if first >= 0 {
		return uint32(first) + hash(program)%SlotsPerRegion, true
	}
	regions := m.regions()
	return GlobalSlotOf(program), len(regions) == 1 && regions[0] == region
}

// RegionFor returns the region in which what may be kept only in allowed ones is kept: the own one
// if that is allowed, so that all hosts of a region find it there, else the first by name.
func (m *Map) SelectRegion(own string, allowed func(region string) bool) (region string, ok bool) {
	regions := m.regions()
	if allowed(own) && slices.Contains(regions, own) {
		return own, true
	}
	for _, region := range regions {
		if allowed(region) {
			return region, true
		}
	}
	return "", false
}

// Common returns the slots that are not bound to a region.
func (m *Map) GlobalSlots() []Slot { return m.Slots[:min(GlobalSlotCount, len(m.Slots))] }

// regions returns the regions of the members by name.
func (m *Map) regions() []string {
	var list []string
	for _, x := range m.Members {
		if x.Region != "" && !slices.Contains(list, x.Region) {
			list = append(list, x.Region)
		}
	}
	slices.Sort(list)
	return list
}

// divide adds the slots of regions that have none yet, and returns the first of them. Where all
// members are in one region, all slots are.
func (m *Map) divide() (first int) {
	first = len(m.Slots)
	regions := m.regions()
	if len(regions) < 2 {
		return first
	}
	for _, region := range regions {
		if slices.ContainsFunc(m.Slots, func(s Slot) bool { return s.Region == region }) {
			continue
		}
		for range SlotsPerRegion {
			m.Slots = append(m.Slots, Slot{Region: region})
		}
	}
	return first
}
