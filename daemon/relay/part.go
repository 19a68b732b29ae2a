package relay

import (
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// GroupFunc decodes to which group an object belongs; ok is false where it names nothing that
// a host could hold.
type GroupFunc func(name string, spec []byte) (g subset.Group, ok bool)

// event is a change, and the groups to which its object belongs before and after it.
type event struct {
	objects.Event
	groups []subset.Group
	// before is the object that was changed, if there was one; delta the difference from it once it
	// was asked for.
	before objects.Object
	delta  []byte
}

// parts says which objects of a kind each entry host holds, so that what a host is told does
// not grow with the number of objects.
type parts struct {
	groupOf GroupFunc // nil: all hosts hold all objects
	index   *subset.Index
	groups  map[string]subset.Group // by object; none of those that belong to no group
}

func newParts(groupOf GroupFunc) *parts {
	return &parts{groupOf: groupOf, index: subset.NewIndex(subset.DefaultSizes()), groups: map[string]subset.Group{}}
}

// replace takes all objects anew.
func (p *parts) replace(s objects.Snapshot) {
	if p.groupOf == nil {
		return
	}
	*p = *newParts(p.groupOf)
	for _, o := range s.Items {
		p.note(objects.Event{Object: o})
	}
}

// note takes a change and returns the groups that it concerns.
func (p *parts) note(e objects.Event) []subset.Group {
	if p.groupOf == nil {
		return nil
	}
	var concerned []subset.Group
	name := e.Object.Name
	old, known := p.groups[name]
	if known {
		concerned = append(concerned, old)
	}
	now, listed := subset.Group{}, false
	if !e.Removed {
		now, listed = p.groupOf(name, e.Object.Spec)
	}
	if known && listed && old == now {
		return concerned
	}
	if known {
		delete(p.groups, name)
		p.index.Remove(old)
	}
	if listed {
		concerned = append(concerned, now)
		p.groups[name] = now
		p.index.Add(now)
	}
	return concerned
}

// holds reports whether a holder holds an object; without one all are held.
func (p *parts) holds(h *historypb.Holder, name string) bool {
	if h == nil || p.groupOf == nil {
		return true
	}
	g, known := p.groups[name]
	return known && p.index.Holds(h.Host, h.DataCentre, g, name)
}

// concerns reports whether a change is news to a holder: it holds the object, or did before.
func (p *parts) concerns(h *historypb.Holder, e event) bool {
	if h == nil || p.groupOf == nil {
		return true
	}
	for _, g := range e.groups {
		if p.index.Holds(h.Host, h.DataCentre, g, e.Object.Name) {
			return true
		}
	}
	return false
}

// steps are those of a holder's part; none where all are held.
func (p *parts) steps(h *historypb.Holder) []*historypb.Step {
	if h == nil || p.groupOf == nil {
		return nil
	}
	var list []*historypb.Step
	for _, s := range p.index.Halvings(h.DataCentre) {
		list = append(list, &historypb.Step{Service: s.Service, Near: uint32(s.Near), Far: uint32(s.Far)})
	}
	return list
}

// covered reports whether a holder has all of its part but for what changes tell. Where its
// part has grown as a whole, as there are fewer targets, it must list again.
func (p *parts) covered(h *historypb.Holder) bool {
	return h == nil || p.groupOf == nil || subset.Shrunk(stepsOf(h.Steps), p.index.Halvings(h.DataCentre))
}

func stepsOf(list []*historypb.Step) []subset.Halvings {
	var steps []subset.Halvings
	for _, s := range list {
		steps = append(steps, subset.Halvings{Service: s.Service, Near: int(s.Near), Far: int(s.Far)})
	}
	return steps
}
