package placement

import (
	"encoding/json"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// maxFaults is far more than any system tolerates.
	maxFaults = 100
	// maxEpoch leaves epochs for all changes to come.
	maxEpoch = 1 << 62
)

// Decode decodes a map from JSON. Others may have written the text: a map that does not hold together is a
// failure of kind InvalidDeclaration.
func Decode(text []byte) (*Map, error) {
	m := &Map{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, failure.Wrap(err, failure.InvalidDeclaration, "slot map")
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	return m, nil
}

// validate checks what all users of a map rely on.
func (m *Map) validate() error {
	switch {
	case len(m.Slots) < GlobalSlotCount:
		return failure.New(failure.InvalidDeclaration, "slot map has %d slots", len(m.Slots))
	case m.Faults < 0 || m.Faults > maxFaults:
		return failure.New(failure.InvalidDeclaration, "slot map tolerates %d faults", m.Faults)
	case m.Epoch > maxEpoch:
		return failure.New(failure.InvalidDeclaration, "slot map has epoch %d", m.Epoch)
	}
	for id, member := range m.Members {
		if id == "" || member.ID != id || member.Address == "" {
			return failure.New(failure.InvalidDeclaration, "slot map names member %q as %q at %q", id, member.ID, member.Address)
		}
	}
	for i := range m.Slots {
		if err := m.validateSlot(i); err != nil {
			return err
		}
	}
	return nil
}

// validateSlot checks that the replicas of a slot are different members.
func (m *Map) validateSlot(slot int) error {
	seen := map[string]bool{}
	for _, r := range m.Slots[slot].Replicas {
		if _, ok := m.Members[r.Member]; !ok || seen[r.Member] {
			return failure.New(failure.InvalidDeclaration, "slot %d has replica %q, which is no member or stands twice", slot, r.Member)
		}
		seen[r.Member] = true
	}
	return nil
}
