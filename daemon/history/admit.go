package history

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

const (
	// maxAdmitAttempts bounds the attempts of a member to admit itself before it sends an
	// admission request to another member: of many members that start together, only one update
	// of the map succeeds at a time, and each attempt costs the platform two calls.
	maxAdmitAttempts = 1
	// admissionTimeout is how long a member waits after an admission request before it tries
	// again: several reconcile intervals of the other member.
	admissionTimeout = time.Second
)

// admissionQueue holds the hosts that asked to be admitted. Safe for concurrent use.
type admissionQueue struct {
	mu      sync.Mutex
	members []placement.Member
}

func (a *admissionQueue) add(request *historypb.Admit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = append(a.members, placement.Member{ID: request.Id, Host: request.Host, Address: request.Address, DataCentre: request.DataCentre, Region: request.Region})
}

// drain empties the queue and returns its members. A member that is not admitted asks again.
func (a *admissionQueue) drain() []placement.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.members
	a.members = nil
	return members
}

// admitSelf adds this member to the map. If its own updates conflict with those of other members,
// it asks the member with the lowest ID, which admits all requesters in one update.
func (c *Controller) admitSelf(ctx context.Context, m *placement.Map) {
	if time.Since(c.admissionRequestedAt) < admissionTimeout {
		return
	}
	conflicted := c.updateMapWithin(ctx, maxAdmitAttempts, "member admitted", func(m *placement.Map) bool { return m.Admit(c.self) })
	if !conflicted {
		return
	}
	if err := c.requestAdmission(ctx, m); err != nil {
		c.logger.Warn("admission request failed", "error", err.Error())
		return
	}
	c.admissionRequestedAt = time.Now()
}

// requestAdmission asks the member with the lowest ID to admit this one.
func (c *Controller) requestAdmission(ctx context.Context, m *placement.Map) error {
	ids := slices.Sorted(maps.Keys(m.Members))
	if len(ids) == 0 {
		return failure.New(failure.PeerUnavailable, "slot map has no members")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := c.peers.pool.Client(m.Members[ids[0]].Address).Call(ctx, &historypb.Request{
		Member: ids[0], Call: &historypb.Request_Admit{Admit: &historypb.Admit{
			Id: c.self.ID, Host: c.self.Host, Address: c.self.Address, DataCentre: c.self.DataCentre, Region: c.self.Region,
		}},
	})
	if err == nil && reply.Status != historypb.Status_STATUS_OK {
		err = failure.New(failure.PeerUnavailable, "member %s: %s", ids[0], reply.Status)
	}
	return err
}

// admitQueued admits the hosts in the queue, except those that have a member in the map already:
// such a host admits its newer member itself, so that a delayed request of an earlier disk does
// not displace the member of a later one.
func (c *Controller) admitQueued(ctx context.Context) {
	members := c.server.admissions.drain()
	if len(members) == 0 {
		return
	}
	c.updateMap(ctx, "members admitted", func(m *placement.Map) bool {
		changed := false
		for _, member := range members {
			changed = !m.HasMemberOnHost(member.Host) && m.Admit(member) || changed
		}
		return changed
	})
}
