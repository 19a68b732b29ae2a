package placement

import (
	"slices"
	"strings"
)

// Some programs may be stored in certain regions only. If members are in several regions, each
// region has regional slots in addition to the global ones, and only members in the region hold
// them. The name of a program that is bound to a region contains the region, so that every host
// finds its slot.
//
// A regional slot is never spanning: records of a spanning slot may have to be stored at the
// platform too, which is in one region only. If the crowded data centre of a regional slot is
// cut off, the slot is unavailable until the data centre is back.

// SlotsPerRegion is the number of slots of each region: a few times the number of members that
// hold them, so that these hold about the same number each.
const SlotsPerRegion = 16

// regionDelimiter precedes and follows the region in the name of a program that is bound to a
// region. Names from callers cannot start with it, as a customer's name comes first.
const regionDelimiter = "\x00"

// RegionalName returns the name of a program that is bound to a region.
func RegionalName(region, program string) string {
	return regionDelimiter + region + regionDelimiter + program
}

// boundRegion returns the region that a program is bound to, empty if there is none.
func boundRegion(program string) string {
	rest, isBound := strings.CutPrefix(program, regionDelimiter)
	if !isBound {
		return ""
	}
	region, _, _ := strings.Cut(rest, regionDelimiter)
	return region
}

// Slot returns the index of the slot of a program. ok is false if the program is bound to a
// region that has no members.
func (m *Map) Slot(program string) (slot uint32, ok bool) {
	region := boundRegion(program)
	if region == "" {
		return GlobalSlotOf(program), true
	}
	firstSlot := slices.IndexFunc(m.Slots, func(s Slot) bool { return s.Region == region })
	if firstSlot >= 0 {
		return uint32(firstSlot) + programHash(program)%SlotsPerRegion, true
	}
	regions := m.memberRegions()
	return GlobalSlotOf(program), len(regions) == 1 && regions[0] == region
}

// SelectRegion returns the region for a program that may be stored in allowed regions only: the
// local region if it has members and is allowed, so that all hosts of a region find the program
// there, otherwise the first allowed one by name. ok is false if no region with members is allowed.
func (m *Map) SelectRegion(localRegion string, allowed func(region string) bool) (region string, ok bool) {
	regions := m.memberRegions()
	if allowed(localRegion) && slices.Contains(regions, localRegion) {
		return localRegion, true
	}
	for _, region := range regions {
		if allowed(region) {
			return region, true
		}
	}
	return "", false
}

// GlobalSlots returns the slots that are not bound to a region.
func (m *Map) GlobalSlots() []Slot { return m.Slots[:min(GlobalSlotCount, len(m.Slots))] }

// memberRegions returns the regions of the members in ascending order, without duplicates.
func (m *Map) memberRegions() []string {
	var regions []string
	for _, member := range m.Members {
		if member.Region != "" && !slices.Contains(regions, member.Region) {
			regions = append(regions, member.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// addRegionalSlots adds slots for each region of the members that has none yet, and returns the
// index of the first one added. If all members are in one region, so are the global slots, and
// no regional ones are added.
func (m *Map) addRegionalSlots() (firstAdded int) {
	firstAdded = len(m.Slots)
	regions := m.memberRegions()
	if len(regions) < 2 {
		return firstAdded
	}
	for _, region := range regions {
		if slices.ContainsFunc(m.Slots, func(s Slot) bool { return s.Region == region }) {
			continue
		}
		for range SlotsPerRegion {
			m.Slots = append(m.Slots, Slot{Region: region})
		}
	}
	return firstAdded
}
