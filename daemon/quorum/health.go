package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

const (
	// probeEvery paces the probes of members that do not answer, or that were not
	// heard of lately.
	probeInterval = 250 * time.Millisecond
	// quietFor is how long a member may go unheard before it is probed, so that a
	// host without traffic knows whether it could serve.
	maxSilence = time.Second
	// suspectFor is the same once another member was lost: a cut takes a whole data centre
	// mostly, and a host with few requests would find out member by member, while its
	// callers are refused and the balancer goes on sending them.
	maxSilenceAfterFailure = 100 * time.Millisecond
	// doubtFor is how long members must fail before requests are refused without
	// asking them: a host that is cut off tells the balancer so without waiting for each
	// request to time out, and its callers are sent elsewhere that much sooner.
	failureWindow = 60 * time.Millisecond
	// unwatchedEvery paces the probes of a member that fails and is not watched: each host
	// that had a request for it asks until it answers.
	onDemandProbeInterval = time.Second
	// idleConnection is after which time without calls the connection to a member is closed:
	// hosts with few requests would else come to keep one to each member.
	idleConnectionTimeout = 10 * time.Second
)

// health is what the client knows of one member.
type memberHealth struct {
	answeredAt   time.Time // last answer
	failingSince time.Time // first failure since, zero if none
	probedAt     time.Time // last probe of one that fails and is not watched
	durations    callDurations
}

// note records the outcome of a call to a member.
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

// failingFor is how long a member has failed; 0 if it has not. One that is not watched and was
// not heard lately fails for as long as all watched ones of its data centre do.
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

// AnsweredWithin reports whether any history host of a data centre was heard within d.
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

// servable reports whether enough replicas of the slot are not known to fail.
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

// IsServable reports whether turns of the program could be served now, as far as
// is known.
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

// outOfReach returns for how long the program's slot has not been servable, by what is
// known now; 0 if it may be.
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

// IsolatedFor returns how long most slots have not been servable; 0 if they are.
func (c *Client) IsolatedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolatedSince.IsZero() {
		return 0
	}
	return time.Since(c.isolatedSince)
}

// IsIsolatedFromDataCentre reports whether this host is cut off and others of its data centre most likely are
// not: it does not reach the history hosts of its own data centre either.
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

// takeoverTime is how long history hosts take to go on without a data centre that is
// silent; see placement.Map.Demote.
const demotionDelay = 1200 * time.Millisecond

// TimeUntilDemotion is how long most slots will take to be servable again because the history
// hosts at hand are about to go on without the others; 0 if that is not expected.
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

// judge notes whether the host is isolated from the history hosts.
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

// Run probes members until the context ends.
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
			c.pool.Tidy(idleConnectionTimeout)
		}
	}
}

// probe asks the members that fail and the watched ones that were not heard of for quiet.
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

// due reports whether a member is to be asked for a sign of life; the caller holds mu.
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
