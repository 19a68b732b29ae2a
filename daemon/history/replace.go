package history

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

const (
	// probeTimeout bounds one round of probes, and a request for admission.
	probeTimeout = 350 * time.Millisecond
	// replaceTimeoutWithSpare is how long a member must be silent before a member without slots
	// takes over its slots. Waiting longer would save only the copy that is needless when the
	// host merely restarts (1 to 1.5 s).
	replaceTimeoutWithSpare = 2 * time.Second
	// replaceTimeout is the same if only members with slots could take over. A slot stays
	// available with one silent replica, so there is time for the host to reboot.
	replaceTimeout = 15 * time.Second
)

// peers holds the connections to other members, and since when each of them is silent.
type peers struct {
	pool *rpc.Pool
	// near and far count the bytes of calls to members of this data centre and of others.
	near, far   rpc.Traffic
	mu          sync.Mutex
	silentSince map[string]time.Time // by member ID; since the first failed probe
}

func newPeers(dialer rpc.Dialer) *peers {
	return &peers{pool: rpc.NewPool(dialer), silentSince: map[string]time.Time{}}
}

// probe probes the target members at once, waits for their replies, and forgets silent members
// that have left the map.
func (p *peers) probe(ctx context.Context, m *placement.Map, targets map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for id := range targets {
		target := m.Members[id]
		probes.Go(func() {
			reply, err := p.pool.Client(target.Address).Call(ctx, &historypb.Request{Member: id, Call: &historypb.Request_Ping{Ping: &historypb.Ping{}}})
			p.recordProbe(id, err == nil && reply.Status == historypb.Status_STATUS_OK)
		})
	}
	probes.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.silentSince, func(id string, _ time.Time) bool { _, in := m.Members[id]; return !in })
}

// recordProbe records whether a member answered a probe.
func (p *peers) recordProbe(id string, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.silentSince, id)
		return
	}
	if _, known := p.silentSince[id]; !known {
		p.silentSince[id] = time.Now()
	}
}

// silenceDurations returns the silent members by ID, with the time since the first failed probe.
func (p *peers) silenceDurations() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	durations := make(map[string]time.Duration, len(p.silentSince))
	for id, since := range p.silentSince {
		durations[id] = time.Since(since)
	}
	return durations
}

// membersToProbe returns the members that this one probes now: its neighbours and, on the
// coordinator, some of all others in rotation, so that it finds those to be replaced. A silent
// member is probed until it answers, even when it is no longer a neighbour.
func (c *Controller) membersToProbe(m *placement.Map) map[string]bool {
	targets := m.ProbedByMember(c.self.ID, c.self.DataCentre, c.memberAnswers())
	silent := c.peers.silenceDurations()
	for id := range silent {
		if _, in := m.Members[id]; in {
			targets[id] = true
		}
	}
	if m.ProbesAllMembers() || !c.isCoordinator(m, silent) {
		return targets
	}
	ids := slices.Sorted(maps.Keys(m.Members))
	for range placement.MaxProbeAllMembers {
		c.probeCursor = (c.probeCursor + 1) % len(ids)
		if id := ids[c.probeCursor]; id != c.self.ID {
			targets[id] = true
		}
	}
	return targets
}

// replaceMembers moves slots away from silent and retiring members. Only the coordinator does so;
// if two members take themselves for the coordinator, the conditional update lets one of them
// succeed.
func (c *Controller) replaceMembers(ctx context.Context, m *placement.Map) {
	silent := c.peers.silenceDurations()
	if !c.isCoordinator(m, silent) {
		return
	}
	excluded := map[string]bool{}
	for id := range silent {
		excluded[id] = true
	}
	retiringIDs := c.retiringMembers(m)
	for _, id := range retiringIDs {
		excluded[id] = true
	}
	for _, id := range retiringIDs {
		c.retireMember(ctx, m, id, excluded)
	}
	for id, duration := range silent {
		if _, in := m.Members[id]; in && duration > replacementTimeout(m, id, excluded) {
			c.updateMap(ctx, "silent member replaced", func(m *placement.Map) bool {
				return m.Replace(id, excluded) || m.RemoveUnused(id)
			})
		}
	}
}

// isCoordinator reports whether this member has the lowest ID of those that answer.
func (c *Controller) isCoordinator(m *placement.Map, silent map[string]time.Duration) bool {
	for id := range m.Members {
		if _, isSilent := silent[id]; !isSilent && id < c.self.ID {
			return false
		}
	}
	return true
}

// replacementTimeout returns how long a member must be silent before it is replaced. excluded
// holds the silent and retiring members.
func replacementTimeout(m *placement.Map, silent string, excluded map[string]bool) time.Duration {
	if isDataCentreUnreachable(m, m.Members[silent].DataCentre, excluded) {
		return replaceTimeout
	}
	for id := range m.Members {
		if !excluded[id] && !m.IsInUse(id) {
			return replaceTimeoutWithSpare
		}
	}
	return replaceTimeout
}

// isDataCentreUnreachable reports whether a data centre has several members and all of them are
// excluded: then a network partition is more likely than the loss of all its hosts.
func isDataCentreUnreachable(m *placement.Map, dataCentre string, excluded map[string]bool) bool {
	n := 0
	for id, member := range m.Members {
		if member.DataCentre != dataCentre {
			continue
		}
		if !excluded[id] {
			return false
		}
		n++
	}
	return n > 1
}

// retiringMembers returns the IDs of the members on hosts to retire.
func (c *Controller) retiringMembers(m *placement.Map) []string {
	hosts := c.retirements.Retiring()
	var ids []string
	for id, member := range m.Members {
		if slices.Contains(hosts, member.Host) {
			ids = append(ids, id)
		}
	}
	return ids
}

// retireMember moves the slots of a retiring member away and reports the progress.
func (c *Controller) retireMember(ctx context.Context, m *placement.Map, id string, excluded map[string]bool) {
	host := m.Members[id].Host
	if m.IsInUse(id) {
		c.reportRetirement(ctx, host, false)
		c.updateMap(ctx, "retiring member replaced", func(m *placement.Map) bool { return m.Replace(id, excluded) })
		return
	}
	c.reportRetirement(ctx, host, true)
}

// reportRetirement reports the progress of a host, each state once.
func (c *Controller) reportRetirement(ctx context.Context, host string, done bool) {
	key := host
	if done {
		key += " done"
	}
	if c.reportedRetirements[key] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.retirements.Report(ctx, host, done); err != nil {
		c.logger.Warn("retirement not reported", "host", host, "done", done, "error", err.Error())
		return
	}
	c.logger.Info("retirement reported", "host", host, "done", done)
	c.reportedRetirements[key] = true
}
