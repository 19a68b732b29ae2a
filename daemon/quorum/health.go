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
	probeEvery = 250 * time.Millisecond
	// quietFor is how long a member may go unheard before it is probed, so that a
	// host without traffic knows whether it could serve.
	quietFor = time.Second
	// suspectFor is the same once another member was lost: a cut takes a whole data centre
	// mostly, and a host with few requests would find out member by member, while its
	// callers are refused and the balancer goes on sending them.
	suspectFor = 100 * time.Millisecond
	// doubtFor is how long members must fail before requests are refused without
	// asking them: a host that is cut off tells the balancer so without waiting for each
	// request to time out, and its callers are sent elsewhere that much sooner.
	doubtFor = 60 * time.Millisecond
	// unwatchedEvery paces the probes of a member that fails and is not watched: each host
	// that had a request for it asks until it answers.
	unwatchedEvery = time.Second
	// idleConnection is after which time without calls the connection to a member is closed:
	// hosts with few requests would else come to keep one to each member.
	idleConnection = 10 * time.Second
)

// health is what the client knows of one member.
type health struct {
	heard   time.Time // last answer
	failing time.Time // first failure since, zero if none
	asked   time.Time // last probe of one that fails and is not watched
	took    took
}

// note records the outcome of a call to a member.
func (c *Client) note(id string, err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[id]
	if h == nil {
		h = &health{}
		c.health[id] = h
	}
	switch {
	case err == nil:
		if !h.failing.IsZero() {
			c.logger.Info("history member regained", "member", id, "after_ms", now.Sub(h.failing).Milliseconds())
		}
		h.heard, h.failing = now, time.Time{}
	case h.failing.IsZero():
		h.failing = now
		c.meter.Count("history_members", "lost")
		c.logger.Warn("history member lost", "member", id, "error", err.Error())
		time.AfterFunc(doubtFor+time.Millisecond, c.judge)
		time.AfterFunc(0, func() { c.probe(suspectFor) })
	}
}

// failingFor is how long a member has failed; 0 if it has not. One that is not watched and was
// not heard lately fails for as long as all watched ones of its data centre do.
func (c *Client) failingFor(id string, now time.Time) time.Duration {
	h := c.health[id]
	if h != nil && !h.failing.IsZero() {
		return now.Sub(h.failing)
	}
	if c.watch.members[id] || h != nil && now.Sub(h.heard) <= quietFor {
		return 0
	}
	since := c.centreFailing(id)
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// AnsweredWithin reports whether any history host of a data centre was heard within d.
func (c *Client) AnsweredWithin(dataCentre string, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots == nil {
		return false
	}
	for id, m := range c.slots.Members {
		h := c.health[id]
		if m.DataCentre == dataCentre && h != nil && !h.heard.IsZero() && time.Since(h.heard) <= d {
			return true
		}
	}
	return false
}

// servable reports whether enough replicas of the slot are not known to fail.
func (c *Client) servable(m *placement.Map, slot int, now time.Time) bool {
	if former, needed := m.FormerMemberForRead(slot); needed && c.failingFor(former, now) > doubtFor {
		return false
	}
	s := &m.Slots[slot]
	alive := map[string]bool{}
	active := 0
	for _, r := range s.Replicas {
		if c.failingFor(r.Member, now) > doubtFor {
			continue
		}
		alive[r.Member] = true
		if !r.Joining {
			active++
		}
	}
	return m.IsWriteDurable(s, alive) && active >= m.ReadQuorum(s)
}

// IsServable reports whether turns of the program could be served now, as far as
// is known.
func (c *Client) IsServable(program string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slots
	if m == nil || !m.IsAssigned() {
		return false
	}
	slot, ok := m.Slot(program)
	return ok && c.servable(m, int(slot), time.Now())
}

// outOfReach returns for how long the program's slot has not been servable, by what is
// known now; 0 if it may be.
func (c *Client) outOfReach(program string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slots
	if m == nil || !m.IsAssigned() {
		return 0
	}
	now := time.Now()
	slot, ok := m.Slot(program)
	if !ok {
		return forever
	}
	s := &m.Slots[slot]
	if former, needed := m.FormerMemberForRead(int(slot)); needed && c.failingFor(former, now) > 0 {
		return c.failingFor(former, now)
	}
	alive := map[string]bool{}
	active, since := 0, forever
	for _, r := range s.Replicas {
		if failing := c.failingFor(r.Member, now); failing > 0 {
			since = min(since, failing)
			continue
		}
		alive[r.Member] = true
		if !r.Joining {
			active++
		}
	}
	if m.IsWriteDurable(s, alive) && active >= m.ReadQuorum(s) {
		return 0
	}
	return max(since, 1)
}

// IsolatedFor returns how long most slots have not been servable; 0 if they are.
func (c *Client) IsolatedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated.IsZero() {
		return 0
	}
	return time.Since(c.isolated)
}

// IsIsolatedFromDataCentre reports whether this host is cut off and others of its data centre most likely are
// not: it does not reach the history hosts of its own data centre either.
func (c *Client) IsIsolatedFromDataCentre() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated.IsZero() || c.slots == nil {
		return false
	}
	now := time.Now()
	near := 0
	for id, m := range c.slots.Members {
		if m.DataCentre != c.dataCentre {
			continue
		}
		if c.failingFor(id, now) == 0 {
			return false
		}
		near++
	}
	return near > 0
}

// takeoverTime is how long history hosts take to go on without a data centre that is
// silent; see placement.Map.Demote.
const takeoverTime = 1200 * time.Millisecond

// TimeUntilDemotion is how long most slots will take to be servable again because the history
// hosts at hand are about to go on without the others; 0 if that is not expected.
func (c *Client) TimeUntilDemotion() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated.IsZero() {
		return 0
	}
	now := time.Now()
	silent := map[string]bool{}
	for id := range c.slots.Members {
		silent[id] = c.failingFor(id, now) > 0
	}
	due := 0
	common := c.slots.GlobalSlots()
	for i := range common {
		if c.slots.DemotionDue(i, silent) {
			due++
		}
	}
	if due*2 <= len(common) {
		return 0
	}
	return max(0, takeoverTime-now.Sub(c.isolated))
}

// judge notes whether the host is isolated from the history hosts.
func (c *Client) judge() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.slots
	if m == nil || !m.IsAssigned() {
		return
	}
	lost := c.unservable(m, now)
	switch {
	case lost*2 <= len(m.GlobalSlots()):
		if !c.isolated.IsZero() {
			c.logger.Info("history regained", "after_ms", now.Sub(c.isolated).Milliseconds())
		}
		c.isolated = time.Time{}
	case c.isolated.IsZero():
		c.isolated = now
		c.logger.Warn("history lost", "slots", lost, "of", len(m.GlobalSlots()))
	}
}

// Run probes members until the context ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pool.Close()
			return
		case <-tick.C:
			c.judge()
			c.probe(quietFor)
			c.pool.Tidy(idleConnection)
		}
	}
}

// probe asks the members that fail and the watched ones that were not heard of for quiet.
func (c *Client) probe(quiet time.Duration) {
	m := c.current()
	if m == nil {
		return
	}
	now := time.Now()
	var ask []string
	c.mu.Lock()
	for id := range m.Members {
		if c.due(id, quiet, now) {
			ask = append(ask, id)
		}
	}
	c.mu.Unlock()
	c.scatter(m, 0, ask, func(string) *historypb.Request {
		return &historypb.Request{Call: &historypb.Request_Ping{Ping: &historypb.Ping{}}}
	})
}

// due reports whether a member is to be asked for a sign of life; the caller holds mu.
func (c *Client) due(id string, quiet time.Duration, now time.Time) bool {
	h := c.health[id]
	if c.watch.members[id] {
		return h == nil || !h.failing.IsZero() || now.Sub(h.heard) > quiet
	}
	if h == nil || h.failing.IsZero() || now.Sub(h.asked) < unwatchedEvery {
		return false
	}
	h.asked = now
	return true
}
