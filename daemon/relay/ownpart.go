package relay

import (
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// ownPart is what a host holds of a kind. Relays tell it no more than that; of what the platform
// itself says, the host leaves out the rest by the same rule. A nil ownPart holds everything.
type ownPart struct {
	holder *historypb.Holder
	// all is what the platform's last list says; it says nothing while the list in use came
	// from a relay.
	all    *parts
	direct bool
	// held is what the host holds.
	held map[string]subset.Group
}

func newOwnPart(host, dataCentre string, groupOf GroupFunc) *ownPart {
	return &ownPart{holder: &historypb.Holder{Host: host, DataCentre: dataCentre}, all: newParts(groupOf), held: map[string]subset.Group{}}
}

// holderOf is how the host is named to relays, nil where it holds everything.
func (p *ownPart) holderOf() *historypb.Holder {
	if p == nil {
		return nil
	}
	return &historypb.Holder{Host: p.holder.Host, DataCentre: p.holder.DataCentre, Steps: p.holder.Steps}
}

// listed takes a list that a relay made by these steps.
func (p *ownPart) listed(s objects.Snapshot, steps []*historypb.Step) {
	if p == nil {
		return
	}
	p.direct = false
	p.all.replace(objects.Snapshot{})
	p.replace(s, steps)
}

func (p *ownPart) replace(s objects.Snapshot, steps []*historypb.Step) {
	p.holder.Steps = steps
	clear(p.held)
	for _, o := range s.Items {
		p.note(objects.Event{Object: o})
	}
}

// note takes a change of what the host holds.
func (p *ownPart) note(e objects.Event) {
	if e.Removed {
		delete(p.held, e.Object.Name)
		return
	}
	p.held[e.Object.Name], _ = p.all.groupOf(e.Object.Name, e.Object.Spec) // of no group: held until it goes
}

// told takes changes that a relay told, made by these steps. An object that has come to belong
// elsewhere is told to those that held it: they leave it out. Where the part has become smaller
// as a whole, the host leaves out what is not in it any more.
func (p *ownPart) told(c objects.Changes, steps []*historypb.Step) objects.Changes {
	if p == nil {
		return c
	}
	now := stepsOf(steps)
	for i := range c.Events {
		e := &c.Events[i]
		g, listed := p.all.groupOf(e.Object.Name, e.Object.Spec)
		if listed && !subset.Holds(now, p.holder.Host, p.holder.DataCentre, g, e.Object.Name) {
			e.Removed = true
		}
		p.note(*e)
	}
	return p.trim(c, steps)
}

// trim puts steps in force, and adds to changes what is not held any more.
func (p *ownPart) trim(c objects.Changes, steps []*historypb.Step) objects.Changes {
	now := stepsOf(steps)
	if slices.Equal(now, stepsOf(p.holder.Steps)) {
		return c
	}
	p.holder.Steps = steps
	for _, name := range slices.Sorted(maps.Keys(p.held)) {
		if !subset.Holds(now, p.holder.Host, p.holder.DataCentre, p.held[name], name) {
			gone := objects.Event{Object: objects.Object{Name: name, Revision: c.Revision}, Removed: true}
			p.note(gone)
			c.Events = append(c.Events, gone)
		}
	}
	return c
}

// ofList leaves out of the platform's list what the host does not hold.
func (p *ownPart) ofList(s objects.Snapshot) objects.Snapshot {
	if p == nil || s.Items == nil {
		return s
	}
	p.all.replace(s)
	p.direct = true
	held := s
	held.Items = nil
	for _, o := range s.Items {
		if p.all.holds(p.holder, o.Name) {
			held.Items = append(held.Items, o)
		}
	}
	p.replace(held, p.all.steps(p.holder))
	return held
}

// ofChanges leaves out of the platform's changes what the host does not hold. What is new is
// held only where the list in use was the platform's own: of a relay's list the host does not
// know how many there are.
func (p *ownPart) ofChanges(c objects.Changes) objects.Changes {
	if p == nil {
		return c
	}
	held := c
	held.Events = nil
	for _, e := range c.Events {
		_, known := p.held[e.Object.Name]
		if p.direct {
			noted := event{Event: e, groups: p.all.note(e)}
			known = known || p.all.concerns(p.holder, noted)
		}
		if known {
			p.note(e)
			held.Events = append(held.Events, e)
		}
	}
	return held
}
