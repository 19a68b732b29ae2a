package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

const (
	// probeInterval is the interval between probes of members that do not answer, and between
	// checks for members that have not answered within maxSilence.
	probeInterval = 250 * time.Millisecond
	// maxSilence is the time since a member's last answer after which it is probed, so that a
	// host without traffic knows whether it could serve.
	maxSilence = time.Second
	// maxSilenceAfterFailure replaces maxSilence when another member starts to fail. A network
	// partition mostly affects a whole data centre, and a host with few requests would detect
	// it member by member, while its requests are refused and the balancer sends it more.
	maxSilenceAfterFailure = 100 * time.Millisecond
	// failureWindow is how long members must fail before requests are refused without sending to
	// them. An isolated host then reports to the balancer that it is not ready, without waiting for
	// each request to time out, and its callers reach another host that much sooner.
	failureWindow = 60 * time.Millisecond
	// onDemandProbeInterval is the interval between probes of a failing member outside the probe
	// set. It is longer than probeInterval since each host that had a request for the member
	// probes it until it answers.
	onDemandProbeInterval = time.Second
	// idleConnectionTimeout is the time without calls after which the connection to a member is
	// closed. Otherwise hosts with few requests would end up with one to each member.
	idleConnectionTimeout = 10 * time.Second
)

// memberHealth is the state of one member as the client's calls show it.
type memberHealth struct {
	answeredAt   time.Time // time of the last answer, zero if none
	failingSince time.Time // first failure since the last answer, zero if none
	probedAt     time.Time // last probe while failing, of a member outside the probe set
	durations    callDurations
}

// recordOutcome records the outcome of a call to a member; nil means that it answered. When a
// member starts to fail, probed members that have been silent for maxSilenceAfterFailure are probed
// at once, and the isolation of this host is updated after failureWindow.
func (c *Client) recordOutcome(id string, err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[id]
	if h == nil {
		h = &memberHealth{}
		c.health[id] = h
	}
	switch {
	case err == nil:
		if !h.failingSince.IsZero() {
			c.logger.Info("history member regained", "member", id, "after_ms", now.Sub(h.failingSince).Milliseconds())
		}
		h.answeredAt, h.failingSince = now, time.Time{}
	case h.failingSince.IsZero():
		h.failingSince = now
		c.meter.Count("history_members", "lost")
		c.logger.Warn("history member lost", "member", id, "error", err.Error())
		time.AfterFunc(failureWindow+time.Millisecond, c.updateIsolation)
		time.AfterFunc(0, func() { c.probeMembers(maxSilenceAfterFailure) })
	}
}

// failingFor returns how long a member has been failing, or 0 if it is not. A member outside the
// probe set that has not answered within maxSilence counts as failing for as long as all probed
// members of its data centre fail. The caller holds mu.
func (c *Client) failingFor(id string, now time.Time) time.Duration {
	h := c.health[id]
	if h != nil && !h.failingSince.IsZero() {
		return now.Sub(h.failingSince)
	}
	if c.probed.members[id] || h != nil && now.Sub(h.answeredAt) <= maxSilence {
		return 0
	}
	since := c.dataCentreFailingSince(id)
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// AnsweredWithin reports whether any history host of a data centre has answered within window.
func (c *Client) AnsweredWithin(dataCentre string, window time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotMap == nil {
		return false
	}
	for id, member := range c.slotMap.Members {
		h := c.health[id]
		if member.DataCentre == dataCentre && h != nil && !h.answeredAt.IsZero() && time.Since(h.answeredAt) <= window {
			return true
		}
	}
	return false
}

// isSlotServable reports whether enough replicas for a read and a write of the slot have not
// failed for longer than failureWindow; the caller holds mu.
func (c *Client) isSlotServable(m *placement.Map, slot int, now time.Time) bool {
	if former, needed := m.FormerMemberForRead(slot); needed && c.failingFor(former, now) > failureWindow {
		return false
	}
	s := &m.Slots[slot]
	answering := map[string]bool{}
	active := 0
	for _, r := range s.Replicas {
		if c.failingFor(r.Member, now) > failureWindow {
			continue
		}
		answering[r.Member] = true
		if !r.Joining {
			active++
		}
	}
	return m.IsWriteDurable(s, answering) && active >= m.ReadQuorum(s)
}

// IsServable reports whether turns of the program could be served now, according to the known
// state of the members.
func (c *Client) IsServable(program string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slotMap
	if m == nil || !m.IsAssigned() {
		return false
	}
	slot, ok := m.Slot(program)
	return ok && c.isSlotServable(m, int(slot), time.Now())
}

// unreachableFor returns for how long the program's slot has not been servable, counted from the
// latest failure of its replicas; 0 if it may be servable, and maxDuration if no member is in the
// program's region.
func (c *Client) unreachableFor(program string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slotMap
	if m == nil || !m.IsAssigned() {
		return 0
	}
	now := time.Now()
	slot, ok := m.Slot(program)
	if !ok {
		return maxDuration
	}
	s := &m.Slots[slot]
	if former, needed := m.FormerMemberForRead(int(slot)); needed && c.failingFor(former, now) > 0 {
		return c.failingFor(former, now)
	}
	answering := map[string]bool{}
	active, shortest := 0, maxDuration
	for _, r := range s.Replicas {
		if failing := c.failingFor(r.Member, now); failing > 0 {
			shortest = min(shortest, failing)
			continue
		}
		answering[r.Member] = true
		if !r.Joining {
			active++
		}
	}
	if m.IsWriteDurable(s, answering) && active >= m.ReadQuorum(s) {
		return 0
	}
	return max(shortest, 1)
}

// IsolatedFor returns how long most global slots have not been servable, or 0 if they are.
func (c *Client) IsolatedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolatedSince.IsZero() {
		return 0
	}
	return time.Since(c.isolatedSince)
}

// IsIsolatedFromDataCentre reports whether this host is isolated and cannot reach the history hosts
// of its own data centre either. The other hosts of the data centre are most likely not isolated
// then.
func (c *Client) IsIsolatedFromDataCentre() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolatedSince.IsZero() || c.slotMap == nil {
		return false
	}
	now := time.Now()
	failing := 0
	for id, member := range c.slotMap.Members {
		if member.DataCentre != c.dataCentre {
			continue
		}
		if c.failingFor(id, now) == 0 {
			return false
		}
		failing++
	}
	return failing > 0
}

// demotionDelay is how long history hosts take to continue without a data centre that is silent;
// see placement.Map.Demote.
const demotionDelay = 1200 * time.Millisecond

// TimeUntilDemotion returns how long it will take until most global slots are servable again
// because the reachable history hosts demote the replicas of a silent data centre; 0 if no
// demotion is expected or it is overdue.
func (c *Client) TimeUntilDemotion() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolatedSince.IsZero() {
		return 0
	}
	now := time.Now()
	silent := map[string]bool{}
	for id := range c.slotMap.Members {
		silent[id] = c.failingFor(id, now) > 0
	}
	due := 0
	globalSlots := c.slotMap.GlobalSlots()
	for i := range globalSlots {
		if c.slotMap.DemotionDue(i, silent) {
			due++
		}
	}
	if due*2 <= len(globalSlots) {
		return 0
	}
	return max(0, demotionDelay-now.Sub(c.isolatedSince))
}

// updateIsolation updates since when this host is isolated from the history hosts: more than half
// of the global slots are not servable.
func (c *Client) updateIsolation() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slotMap
	if m == nil || !m.IsAssigned() {
		return
	}
	unservable := c.countUnservableSlots(m, now)
	switch {
	case unservable*2 <= len(m.GlobalSlots()):
		if !c.isolatedSince.IsZero() {
			c.logger.Info("history regained", "after_ms", now.Sub(c.isolatedSince).Milliseconds())
		}
		c.isolatedSince = time.Time{}
	case c.isolatedSince.IsZero():
		c.isolatedSince = now
		c.logger.Warn("history lost", "slots", unservable, "of", len(m.GlobalSlots()))
	}
}

// Run probes members and closes idle connections until the context ends, and then closes all
// connections.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pool.Close()
			return
		case <-tick.C:
			c.updateIsolation()
			c.probeMembers(maxSilence)
			c.pool.CloseIdle(idleConnectionTimeout)
		}
	}
}

// probeMembers sends a ping to the members that fail and to those of the probe set that have not
// answered within maxSilence.
func (c *Client) probeMembers(maxSilence time.Duration) {
	m := c.currentMap()
	if m == nil {
		return
	}
	now := time.Now()
	var due []string
	c.mu.Lock()
	for id := range m.Members {
		if c.isProbeDue(id, maxSilence, now) {
			due = append(due, id)
		}
	}
	c.mu.Unlock()
	c.sendAll(m, 0, due, func(string) *historypb.Request {
		return &historypb.Request{Call: &historypb.Request_Ping{Ping: &historypb.Ping{}}}
	})
}

// isProbeDue reports whether a member is to be probed. For a failing member outside the probe set
// it records the probe. The caller holds mu.
func (c *Client) isProbeDue(id string, maxSilence time.Duration, now time.Time) bool {
	h := c.health[id]
	if c.probed.members[id] {
		return h == nil || !h.failingSince.IsZero() || now.Sub(h.answeredAt) > maxSilence
	}
	if h == nil || h.failingSince.IsZero() || now.Sub(h.probedAt) < onDemandProbeInterval {
		return false
	}
	h.probedAt = now
	return true
}
