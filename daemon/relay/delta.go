package relay

import (
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/delta"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// minDeltaBaseBytes is the minimum length of an object of which deltas are sent. Deltas of a shorter
// object are hardly shorter than the object.
const minDeltaBaseBytes = 1 << 10

// encodeChange encodes a change; the caller holds mu. If the follower has the previous version of
// the object, it is sent a delta. An object that lists all members would otherwise be sent
// completely to all hosts whenever a member joins or leaves.
func (v *view) encodeChange(e *event, deltas bool) *historypb.Object {
	if !deltas || e.Removed || len(e.previous.Spec) < minDeltaBaseBytes {
		return encode(e.Event)
	}
	if e.delta == nil {
		d, err := delta.Make(e.previous.Spec, e.Object.Spec)
		if err != nil {
			v.logger.Warn("delta not computed, object sent in full", "kind", v.kind.Name, "name", e.Object.Name, "revision", e.Object.Revision, "error", err.Error())
			return encode(e.Event)
		}
		e.delta = d
	}
	return &historypb.Object{Name: e.Object.Name, Revision: e.Object.Revision, Delta: e.delta, Base: e.previous.Revision}
}

// deltaBases holds the last received versions of a kind's long objects, the bases to which deltas
// apply. A nil deltaBases accepts no deltas.
type deltaBases struct {
	byName map[string]objects.Object
}

func newDeltaBases() *deltaBases { return &deltaBases{byName: map[string]objects.Object{}} }

// replace replaces all bases by the objects of a list.
func (b *deltaBases) replace(s objects.Snapshot) {
	if b == nil {
		return
	}
	clear(b.byName)
	for _, o := range s.Items {
		b.record(objects.Event{Object: o})
	}
}

// recordChanges records changes that carry complete objects.
func (b *deltaBases) recordChanges(c objects.Changes) {
	for _, e := range c.Events {
		b.record(e)
	}
}

func (b *deltaBases) record(e objects.Event) {
	switch {
	case b == nil:
	case e.Removed || len(e.Object.Spec) < minDeltaBaseBytes:
		delete(b.byName, e.Object.Name)
	default:
		b.byName[e.Object.Name] = e.Object
	}
}

// decodeChange decodes a change, which may carry only a delta. The failure is HistoryGone if the
// delta applies to another version than the host has; the host then lists again.
func (b *deltaBases) decodeChange(o *historypb.Object) (objects.Event, error) {
	e := decode(o)
	if len(o.Delta) > 0 {
		spec, err := b.applyDelta(o)
		if err != nil {
			return objects.Event{}, err
		}
		e.Object.Spec = spec
	}
	b.record(e)
	return e, nil
}

func (b *deltaBases) applyDelta(o *historypb.Object) ([]byte, error) {
	var base objects.Object
	if b != nil {
		base = b.byName[o.Name]
	}
	if base.Revision == 0 || base.Revision != o.Base {
		return nil, failure.New(failure.HistoryGone, "delta of %s applies to revision %d, known is revision %d", o.Name, o.Base, base.Revision)
	}
	spec, err := delta.Apply(base.Spec, o.Delta)
	if err != nil {
		return nil, failure.Wrap(err, failure.HistoryGone, "apply delta of %s", o.Name)
	}
	return spec, nil
}
