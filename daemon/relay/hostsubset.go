package relay

import (
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// hostSubset is the subset of a kind that a host holds. Relays send only these objects; what the
// host reads directly from the platform is filtered by the same rule. A nil hostSubset holds
// everything.
type hostSubset struct {
	holder *historypb.Holder
	// platformIndex indexes the objects of the platform's last list. It is empty while the list
	// in use came from a relay.
	platformIndex *subsetIndex
	// fromPlatform reports whether the list in use came directly from the platform.
	fromPlatform bool
	// held is the objects that the host holds, with their groups.
	held map[string]subset.Group
}

func newHostSubset(host, dataCentre string, groupOf GroupFunc) *hostSubset {
	return &hostSubset{holder: &historypb.Holder{Host: host, DataCentre: dataCentre}, platformIndex: newSubsetIndex(groupOf), held: map[string]subset.Group{}}
}

// encodeHolder returns the host and its subset as sent to relays, nil if it holds everything.
func (h *hostSubset) encodeHolder() *historypb.Holder {
	if h == nil {
		return nil
	}
	return &historypb.Holder{Host: h.holder.Host, DataCentre: h.holder.DataCentre, Steps: h.holder.Steps}
}

// replaceFromRelay replaces the held objects by a list that a relay has filtered by these halvings.
func (h *hostSubset) replaceFromRelay(s objects.Snapshot, halvings []*historypb.Step) {
	if h == nil {
		return
	}
	h.fromPlatform = false
	h.platformIndex.replace(objects.Snapshot{})
	h.replace(s, halvings)
}

func (h *hostSubset) replace(s objects.Snapshot, halvings []*historypb.Step) {
	h.holder.Steps = halvings
	clear(h.held)
	for _, o := range s.Items {
		h.record(objects.Event{Object: o})
	}
}

// record applies a change to the objects that the host holds.
func (h *hostSubset) record(e objects.Event) {
	if e.Removed {
		delete(h.held, e.Object.Name)
		return
	}
	h.held[e.Object.Name], _ = h.platformIndex.groupOf(e.Object.Name, e.Object.Spec) // without a group: held until removed
}

// applyRelayChanges records changes that a relay has filtered by these halvings and returns those
// to apply. Relays send an object whose group has changed also to its previous holders, which
// remove it. If the subset as a whole has become smaller, the host removes what is no longer in
// it.
func (h *hostSubset) applyRelayChanges(c objects.Changes, halvings []*historypb.Step) objects.Changes {
	if h == nil {
		return c
	}
	current := decodeHalvings(halvings)
	for i := range c.Events {
		e := &c.Events[i]
		g, ok := h.platformIndex.groupOf(e.Object.Name, e.Object.Spec)
		if ok && !subset.Holds(current, h.holder.Host, h.holder.DataCentre, g, e.Object.Name) {
			e.Removed = true
		}
		h.record(*e)
	}
	return h.applyHalvings(c, halvings)
}

// applyHalvings replaces the halvings, and adds a removal to the changes for each object that is no
// longer held.
func (h *hostSubset) applyHalvings(c objects.Changes, halvings []*historypb.Step) objects.Changes {
	current := decodeHalvings(halvings)
	if slices.Equal(current, decodeHalvings(h.holder.Steps)) {
		return c
	}
	h.holder.Steps = halvings
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		if !subset.Holds(current, h.holder.Host, h.holder.DataCentre, h.held[name], name) {
			removal := objects.Event{Object: objects.Object{Name: name, Revision: c.Revision}, Removed: true}
			h.record(removal)
			c.Events = append(c.Events, removal)
		}
	}
	return c
}

// filterList returns the objects of the platform's list that the host holds.
func (h *hostSubset) filterList(s objects.Snapshot) objects.Snapshot {
	if h == nil || s.Items == nil {
		return s
	}
	h.platformIndex.replace(s)
	h.fromPlatform = true
	filtered := s
	filtered.Items = nil
	for _, o := range s.Items {
		if h.platformIndex.holds(h.holder, o.Name) {
			filtered.Items = append(filtered.Items, o)
		}
	}
	h.replace(filtered, h.platformIndex.halvings(h.holder))
	return filtered
}

// filterChanges returns the platform's changes that affect what the host holds. It adds new objects
// only if the list in use came from the platform: a relay's list does not show how many
// objects there are.
func (h *hostSubset) filterChanges(c objects.Changes) objects.Changes {
	if h == nil {
		return c
	}
	filtered := c
	filtered.Events = nil
	for _, e := range c.Events {
		_, affected := h.held[e.Object.Name]
		if h.fromPlatform {
			change := event{Event: e, groups: h.platformIndex.record(e)}
			affected = affected || h.platformIndex.affects(h.holder, change)
		}
		if affected {
			h.record(e)
			filtered.Events = append(filtered.Events, e)
		}
	}
	return filtered
}
