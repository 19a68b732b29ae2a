package history

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// pageTimeout bounds the wait for one page of a copy.
const pageTimeout = 2 * time.Second

// join copies the slots in which this member is joining and marks those that are
// complete as active.
func (k *Keeper) join(ctx context.Context, m *placement.Map) {
	copied := map[int]uint64{}
	records := 0
	started := time.Now()
	for i := range m.Slots {
		r, in := m.Slots[i].Replica(k.self.ID)
		if !in || !r.Joining {
			continue
		}
		n, err := k.copySlot(ctx, m, i)
		if err != nil {
			k.logger.Warn("slot not copied", "slot", i, "epoch", m.Epoch, "error", err.Error())
			continue
		}
		records += n
		copied[i] = m.Slots[i].Changed
	}
	if len(copied) == 0 {
		return
	}
	k.logger.Info("slots copied", "slots", len(copied), "records", records, "took_ms", time.Since(started).Milliseconds())
	k.change(ctx, "slots active", func(m *placement.Map) bool { return m.Activate(k.self.ID, copied) })
}

// copySlot copies slot i from as many members as surely hold all of it.
func (k *Keeper) copySlot(ctx context.Context, m *placement.Map, i int) (records int, err error) {
	from, need := m.Sources(i, k.self.ID)
	for _, id := range from {
		if need == 0 {
			break
		}
		n, copyErr := k.copyFrom(ctx, m, i, m.Members[id])
		if copyErr != nil {
			err = copyErr
			continue
		}
		records += n
		need--
	}
	if need > 0 {
		return 0, failure.Wrap(err, failure.PeerUnavailable, "%d sources missing", need)
	}
	return records, nil
}

func (k *Keeper) copyFrom(ctx context.Context, m *placement.Map, i int, from placement.Member) (int, error) {
	total, after := 0, ""
	for {
		reply, err := k.page(ctx, m, i, from, after)
		if err != nil {
			return total, err
		}
		if len(reply.Records) > 0 {
			if err := k.keep(reply.Records); err != nil {
				return total, err
			}
			total += len(reply.Records)
			after = reply.Records[len(reply.Records)-1].Program
		}
		if !reply.More {
			return total, nil
		}
	}
}

func (k *Keeper) page(ctx context.Context, m *placement.Map, i int, from placement.Member, after string) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := k.peers.client(from.Address).Call(ctx, &historypb.Request{
		Member: from.ID, Slot: uint32(i), Epoch: m.Epoch,
		Call: &historypb.Request_Copy{Copy: &historypb.Copy{After: after}},
	})
	if err != nil {
		return nil, err
	}
	if reply.Status != historypb.Status_STATUS_OK {
		return nil, failure.New(failure.PeerUnavailable, "member %s: %s", from.ID, reply.Status)
	}
	return reply, nil
}

func (k *Keeper) keep(records []*historypb.Record) error {
	done := make(chan error, 1)
	k.server.Store(records, func(err error) { done <- err })
	return <-done
}
