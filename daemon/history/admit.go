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
	// admitTries is how often a member tries to admit itself before it asks another one to:
	// of many that start together one gets ahead of all others at a time, and each try costs
	// the platform two calls.
	admitTries = 1
	// admitPatience is how long it waits for that: some steps of the other member.
	admitPatience = time.Second
)

// applicants are the hosts that asked to be admitted. Safe for concurrent use.
type applicants struct {
	mu   sync.Mutex
	list []placement.Member
}

func (a *applicants) add(x *historypb.Admit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, placement.Member{ID: x.Id, Host: x.Host, Address: x.Address, DataCentre: x.DataCentre, Region: x.Region})
}

// take returns the applicants and forgets them: who is not admitted asks again.
func (a *applicants) take() []placement.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list
	a.list = nil
	return list
}

// enter makes this member one of the map's: by itself, or where others are always faster, with
// the help of the first member, which admits all that ask it at once.
func (k *Controller) enter(ctx context.Context, m *placement.Map) {
	if time.Since(k.applied) < admitPatience {
		return
	}
	late := k.changeWithin(ctx, admitTries, "member admitted", func(m *placement.Map) bool { return m.Admit(k.self) })
	if !late {
		return
	}
	if err := k.apply(ctx, m); err != nil {
		k.logger.Warn("not admitted by another member", "error", err.Error())
		return
	}
	k.applied = time.Now()
}

// apply asks the first member to admit this one.
func (k *Controller) apply(ctx context.Context, m *placement.Map) error {
	ids := slices.Sorted(maps.Keys(m.Members))
	if len(ids) == 0 {
		return failure.New(failure.PeerUnavailable, "no member is known")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := k.peers.pool.Client(m.Members[ids[0]].Address).Call(ctx, &historypb.Request{
		Member: ids[0], Call: &historypb.Request_Admit{Admit: &historypb.Admit{
			Id: k.self.ID, Host: k.self.Host, Address: k.self.Address, DataCentre: k.self.DataCentre, Region: k.self.Region,
		}},
	})
	if err == nil && reply.Status != historypb.Status_STATUS_OK {
		err = failure.New(failure.PeerUnavailable, "member %s: %s", ids[0], reply.Status)
	}
	return err
}

// admit admits those that asked this member. A host that has a member already is left to admit
// its newer one by itself: what it asked long ago must not displace a member of a later disk.
func (k *Controller) admit(ctx context.Context) {
	list := k.server.applicants.take()
	if len(list) == 0 {
		return
	}
	k.change(ctx, "members admitted", func(m *placement.Map) bool {
		changed := false
		for _, x := range list {
			changed = !m.HasMemberOnHost(x.Host) && m.Admit(x) || changed
		}
		return changed
	})
}
