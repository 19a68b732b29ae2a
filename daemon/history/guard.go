package history

import (
	"context"
	"maps"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// demotionTimeout is how long members must be silent before slots continue without them: two
// probes, so that a process that pauses briefly is not left out needlessly. With the wait for the
// first probe, the hosts that remain after a network partition continue within 1.1 s.
const demotionTimeout = 300 * time.Millisecond

// adjustCrowdedSlots keeps slots available when a data centre is partitioned from the others. If
// all members answer, the coordinator makes crowded slots spanning. Otherwise the replicas of a crowded data centre
// that is silent are demoted, and the need for silent outside replicas ends.
func (c *Controller) adjustCrowdedSlots(ctx context.Context, m *placement.Map) {
	silentFor := c.peers.silenceDurations()
	// Ignores members without slots: a host that was retired and removed stays silent.
	maps.DeleteFunc(silentFor, func(id string, _ time.Duration) bool { return !m.IsInUse(id) })
	if len(silentFor) == 0 {
		if c.isCoordinator(m, c.peers.silenceDurations()) {
			c.updateMap(ctx, "crowded slots span", func(m *placement.Map) bool { return m.SpanCrowdedSlots() })
		}
		return
	}
	silentMembers := map[string]bool{}
	for id, duration := range silentFor {
		if duration >= demotionTimeout {
			silentMembers[id] = true
		}
	}
	if len(silentMembers) == 0 {
		return
	}
	c.updateMap(ctx, "replicas of a silent data centre left out", func(m *placement.Map) bool { return m.Demote(silentMembers) })
	c.updateMap(ctx, "slots go on without those outside", func(m *placement.Map) bool { return m.UnspanSlots(silentMembers) })
}

// prepareGuardedCopy prepares the copy of guarded slots that this member joins: it makes the
// acknowledgement of this member required, and loads the platform copies if a slot has no active
// replica left. It reports whether the copy may start.
func (c *Controller) prepareGuardedCopy(ctx context.Context, m *placement.Map) bool {
	c.updateMap(ctx, "joining replica required", func(m *placement.Map) bool { return m.RequireAck(c.self.ID) })
	if !c.joinsSlotWithoutActiveReplica(m) {
		return true
	}
	records, err := loadPlatformCopies(ctx, c.store, c.logger)
	if err == nil {
		err = c.storeRecords(records)
	}
	if err != nil {
		c.logger.Warn("kept records not loaded", "error", err.Error())
		return false
	}
	c.logger.Info("kept records loaded", "records", len(records))
	return true
}

// joinsSlotWithoutActiveReplica reports whether this member joins a guarded slot that has no
// active replica.
func (c *Controller) joinsSlotWithoutActiveReplica(m *placement.Map) bool {
	for i := range m.Slots {
		s := &m.Slots[i]
		r, in := s.Replica(c.self.ID)
		if in && r.Joining && s.Guarded && s.ActiveCount() == 0 {
			return true
		}
	}
	return false
}

// removePlatformCopies removes the platform copies once no slot is guarded. Members that have
// created copies and the coordinator do so.
func (c *Controller) removePlatformCopies(ctx context.Context, m *placement.Map) {
	if m.AnyGuarded() {
		c.platformCopiesRemoved = false
		return
	}
	if c.platformCopies != nil && c.platformCopies.takeCreated() {
		c.platformCopiesRemoved = false // this member removes its copies even if it is not the coordinator
	} else if c.platformCopiesRemoved || !c.isCoordinator(m, c.peers.silenceDurations()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n, err := deletePlatformCopies(ctx, c.store, m.Epoch, c.logger)
	if err != nil {
		c.logger.Warn("kept records not removed", "error", err.Error())
		return
	}
	c.platformCopiesRemoved = true
	if n > 0 {
		c.logger.Info("kept records removed", "objects", n)
	}
}
