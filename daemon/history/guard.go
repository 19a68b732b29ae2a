package history

import (
	"context"
	"maps"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// lostAfter is how long a member must be silent before slots go on without it: two
// probes, so that a process that pauses is not left out for nothing. With the wait for the
// first probe, the part of the hosts that is left of a cut goes on after 1.1 s or less.
const lostAfter = 300 * time.Millisecond

// arrange keeps slots able to go on when a data centre is cut off: crowded ones are
// made to span, and those whose crowded data centre is silent go on without it.
func (k *Controller) arrange(ctx context.Context, m *placement.Map) {
	silent := k.peers.silentFor()
	// A host that was emptied and taken away is silent and of no matter.
	maps.DeleteFunc(silent, func(id string, _ time.Duration) bool { return !m.IsInUse(id) })
	if len(silent) == 0 {
		if k.acts(m, k.peers.silentFor()) {
			k.change(ctx, "crowded slots span", func(m *placement.Map) bool { return m.SpanCrowdedSlots() })
		}
		return
	}
	lost := map[string]bool{}
	for id, since := range silent {
		if since >= lostAfter {
			lost[id] = true
		}
	}
	if len(lost) == 0 {
		return
	}
	k.change(ctx, "replicas of a silent data centre left out", func(m *placement.Map) bool { return m.Demote(lost) })
	k.change(ctx, "slots go on without those outside", func(m *placement.Map) bool { return m.UnspanSlots(lost) })
}

// prepare makes a member that joins guarded slots ready for it: its acknowledgement is
// required from then on, and where no active replica is left, it takes what is kept
// at the platform. It reports whether the copy may begin.
func (k *Controller) prepare(ctx context.Context, m *placement.Map) bool {
	k.change(ctx, "joining replica required", func(m *placement.Map) bool { return m.RequireAck(k.self.ID) })
	if !k.orphaned(m) {
		return true
	}
	records, err := loadKept(ctx, k.store)
	if err == nil {
		err = k.keep(records)
	}
	if err != nil {
		k.logger.Warn("kept records not loaded", "error", err.Error())
		return false
	}
	k.logger.Info("kept records loaded", "records", len(records))
	return true
}

// orphaned reports whether this member joins a guarded slot without active replicas.
func (k *Controller) orphaned(m *placement.Map) bool {
	for i := range m.Slots {
		s := &m.Slots[i]
		r, in := s.Replica(k.self.ID)
		if in && r.Joining && s.Guarded && s.ActiveCount() == 0 {
			return true
		}
	}
	return false
}

// tidy removes what is kept at the platform once no slot needs it.
func (k *Controller) tidy(ctx context.Context, m *placement.Map) {
	if m.AnyGuarded() {
		k.tidied = false
		return
	}
	if k.kept != nil && k.kept.untidy() {
		k.tidied = false // by this member, also if another one acts
	} else if k.tidied || !k.acts(m, k.peers.silentFor()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	n, err := dropKept(ctx, k.store, m.Epoch)
	if err != nil {
		k.logger.Warn("kept records not removed", "error", err.Error())
		return
	}
	k.tidied = true
	if n > 0 {
		k.logger.Info("kept records removed", "objects", n)
	}
}
