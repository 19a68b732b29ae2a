package history

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

const (
	// pageTimeout bounds the wait for one page of a copy.
	pageTimeout = 2 * time.Second
	// copiesAtOnce is how many slots are copied at a time: enough that the wait for a
	// page and for the disk is not what bounds a copy.
	copiesAtOnce = 4
)

// join copies the slots in which this member is joining and marks those that are
// complete as active.
func (k *Controller) join(ctx context.Context, m *placement.Map) {
	if m.AnyGuarded() {
		if !k.prepare(ctx, m) {
			return
		}
		m = k.server.Map()
	}
	c := &copies{copied: map[int]uint64{}}
	started := time.Now()
	places := make(chan struct{}, copiesAtOnce)
	var all sync.WaitGroup
	for i := range m.Slots {
		r, in := m.Slots[i].Replica(k.self.ID)
		if !in || !r.NeedsCopy() {
			continue
		}
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			n, err := k.copySlot(ctx, m, i)
			if err != nil {
				k.logger.Warn("slot not copied", "slot", i, "epoch", m.Epoch, "error", err.Error())
				return
			}
			c.add(i, m.Slots[i].ChangedEpoch, n)
		})
	}
	all.Wait()
	if len(c.copied) == 0 {
		return
	}
	k.logger.Info("slots copied", "slots", len(c.copied), "records", c.records, "took_ms", time.Since(started).Milliseconds())
	k.change(ctx, "slots active", func(m *placement.Map) bool { return m.Activate(k.self.ID, c.copied) })
}

// copies collects what was copied: slots, with the epoch of their last change.
type copies struct {
	mu      sync.Mutex
	copied  map[int]uint64
	records int
}

func (c *copies) add(slot int, epoch uint64, records int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copied[slot] = epoch
	c.records += records
}

// copySlot copies slot i from as many members as surely hold all of it, from each
// what those before did not have, so that a lost disk is whole again within the few seconds
// that are allowed for it.
func (k *Controller) copySlot(ctx context.Context, m *placement.Map, i int) (records int, err error) {
	from, need := m.CopySources(i, k.self.ID)
	for _, id := range from {
		if need == 0 {
			break
		}
		n, copyErr := k.copyFrom(ctx, m, i, m.Members[id])
		records += n
		if copyErr != nil {
			err = copyErr
			continue
		}
		need--
	}
	if need > 0 {
		return 0, failure.Wrap(err, failure.PeerUnavailable, "%d sources missing", need)
	}
	return records, nil
}

// copyFrom copies the programs of a slot of which the source has other records than
// this member.
func (k *Controller) copyFrom(ctx context.Context, m *placement.Map, i int, from placement.Member) (int, error) {
	total, after := 0, ""
	for {
		reply, err := k.page(ctx, m, i, from, &historypb.Copy{After: after})
		if err != nil {
			return total, err
		}
		n, err := k.fetch(ctx, m, i, from, k.differing(reply.Digests))
		total += n
		if err != nil || !reply.More {
			return total, err
		}
		after = reply.Digests[len(reply.Digests)-1].Program
	}
}

// differing returns the programs whose digest here is another.
func (k *Controller) differing(digests []*historypb.Digest) []string {
	var names []string
	for _, d := range digests {
		if k.server.digest(d.Program) != d.Digest {
			names = append(names, d.Program)
		}
	}
	return names
}

// fetch copies some programs.
func (k *Controller) fetch(ctx context.Context, m *placement.Map, i int, from placement.Member, names []string) (total int, err error) {
	for len(names) > 0 {
		reply, err := k.page(ctx, m, i, from, &historypb.Copy{Programs: names})
		if err != nil {
			return total, err
		}
		if err := k.keep(reply.Records); err != nil {
			return total, err
		}
		total += len(reply.Records)
		if !reply.More {
			return total, nil
		}
		last := reply.Records[len(reply.Records)-1].Program
		names = names[slices.Index(names, last)+1:]
	}
	return total, nil
}

func (k *Controller) page(ctx context.Context, m *placement.Map, i int, from placement.Member, what *historypb.Copy) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := k.peers.pool.Client(from.Address).Call(ctx, &historypb.Request{
		Member: from.ID, Slot: uint32(i), Epoch: m.Epoch, Call: &historypb.Request_Copy{Copy: what},
	})
	if err != nil {
		return nil, err
	}
	if reply.Status != historypb.Status_STATUS_OK {
		return nil, failure.New(failure.PeerUnavailable, "member %s: %s", from.ID, reply.Status)
	}
	return reply, nil
}

// keep makes copied records durable here.
func (k *Controller) keep(records []*historypb.Record) error {
	if len(records) == 0 {
		return nil
	}
	done := make(chan error, 1)
	k.server.Store(records, func(err error) { done <- err })
	return <-done
}
