package relay

import (
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// GroupFunc decodes the group of an object from its name and spec. ok is false if the object
// describes nothing that a host could hold.
type GroupFunc func(name string, spec []byte) (g subset.Group, ok bool)

// event is a change, with the groups of its object before and after it.
type event struct {
	objects.Event
	groups []subset.Group
	// previous is the object before the change, if there was one. delta is the change's delta
	// against it, computed on first use.
	previous objects.Object
	delta    []byte
}

// subsetIndex determines which objects of a kind each entry host holds, so that what a host
// receives does not grow with the number of objects.
type subsetIndex struct {
	groupOf GroupFunc // nil: all hosts hold all objects
	index   *subset.Index
	groups  map[string]subset.Group // by object name; objects without a group are absent
}

func newSubsetIndex(groupOf GroupFunc) *subsetIndex {
	return &subsetIndex{groupOf: groupOf, index: subset.NewIndex(subset.DefaultSizes()), groups: map[string]subset.Group{}}
}

// replace replaces all objects by those of a list.
func (x *subsetIndex) replace(s objects.Snapshot) {
	if x.groupOf == nil {
		return
	}
	*x = *newSubsetIndex(x.groupOf)
	for _, o := range s.Items {
		x.record(objects.Event{Object: o})
	}
}

// record applies a change and returns the groups that it affects.
func (x *subsetIndex) record(e objects.Event) []subset.Group {
	if x.groupOf == nil {
		return nil
	}
	var affected []subset.Group
	name := e.Object.Name
	previous, hadGroup := x.groups[name]
	if hadGroup {
		affected = append(affected, previous)
	}
	current, hasGroup := subset.Group{}, false
	if !e.Removed {
		current, hasGroup = x.groupOf(name, e.Object.Spec)
	}
	if hadGroup && hasGroup && previous == current {
		return affected
	}
	if hadGroup {
		delete(x.groups, name)
		x.index.Remove(previous)
	}
	if hasGroup {
		affected = append(affected, current)
		x.groups[name] = current
		x.index.Add(current)
	}
	return affected
}

// holds reports whether a host holds an object. A nil holder holds all objects.
func (x *subsetIndex) holds(holder *historypb.Holder, name string) bool {
	if holder == nil || x.groupOf == nil {
		return true
	}
	g, hasGroup := x.groups[name]
	return hasGroup && x.index.Holds(holder.Host, holder.DataCentre, g, name)
}

// affects reports whether a change affects a host's subset: the host holds the object, or held it
// before.
func (x *subsetIndex) affects(holder *historypb.Holder, e event) bool {
	if holder == nil || x.groupOf == nil {
		return true
	}
	for _, g := range e.groups {
		if x.index.Holds(holder.Host, holder.DataCentre, g, e.Object.Name) {
			return true
		}
	}
	return false
}

// halvings returns the encoded halvings of a host's subset, nil if it holds all objects.
func (x *subsetIndex) halvings(holder *historypb.Holder) []*historypb.Step {
	if holder == nil || x.groupOf == nil {
		return nil
	}
	var list []*historypb.Step
	for _, h := range x.index.Halvings(holder.DataCentre) {
		list = append(list, &historypb.Step{Service: h.Service, Near: uint32(h.Near), Far: uint32(h.Far)})
	}
	return list
}

// hasWholeSubset reports whether a host has its whole subset apart from the changes that it is sent.
// If its subset as a whole has grown, because there are fewer targets, it must list again.
func (x *subsetIndex) hasWholeSubset(holder *historypb.Holder) bool {
	return holder == nil || x.groupOf == nil || subset.Shrunk(decodeHalvings(holder.Steps), x.index.Halvings(holder.DataCentre))
}

func decodeHalvings(list []*historypb.Step) []subset.Halvings {
	var halvings []subset.Halvings
	for _, s := range list {
		halvings = append(halvings, subset.Halvings{Service: s.Service, Near: int(s.Near), Far: int(s.Far)})
	}
	return halvings
}
