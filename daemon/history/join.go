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
	// maxConcurrentCopies bounds the slots that are copied at a time: enough that the copy is not
	// limited by the latency of pages and of the disk.
	maxConcurrentCopies = 4
)

// copyJoiningSlots copies the slots whose replica on this member is joining or syncing, and marks
// the complete ones as active.
func (c *Controller) copyJoiningSlots(ctx context.Context, m *placement.Map) {
	if m.AnyGuarded() {
		if !c.prepareGuardedCopy(ctx, m) {
			return
		}
		m = c.server.Map()
	}
	progress := &copyProgress{epochs: map[int]uint64{}}
	startedAt := time.Now()
	concurrency := make(chan struct{}, maxConcurrentCopies)
	var copying sync.WaitGroup
	for i := range m.Slots {
		r, in := m.Slots[i].Replica(c.self.ID)
		if !in || !r.NeedsCopy() {
			continue
		}
		concurrency <- struct{}{}
		copying.Go(func() {
			defer func() { <-concurrency }()
			n, err := c.copySlot(ctx, m, i)
			if err != nil {
				c.logger.Warn("slot not copied", "slot", i, "epoch", m.Epoch, "error", err.Error())
				return
			}
			progress.add(i, m.Slots[i].ChangedEpoch, n)
		})
	}
	copying.Wait()
	if len(progress.epochs) == 0 {
		return
	}
	c.logger.Info("slots copied", "slots", len(progress.epochs), "records", progress.records, "took_ms", time.Since(startedAt).Milliseconds())
	c.updateMap(ctx, "slots active", func(m *placement.Map) bool { return m.Activate(c.self.ID, progress.epochs) })
}

// copyProgress collects the copied slots, each with the epoch of its last change, and the number
// of records. Safe for concurrent use.
type copyProgress struct {
	mu      sync.Mutex
	epochs  map[int]uint64
	records int
}

func (c *copyProgress) add(slot int, epoch uint64, records int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epochs[slot] = epoch
	c.records += records
}

// copySlot copies a slot from as many members as surely hold all of it together, and from each of
// them only what the earlier ones lacked, so that a lost disk is restored within the few seconds
// allowed for it.
func (c *Controller) copySlot(ctx context.Context, m *placement.Map, slot int) (records int, err error) {
	sources, missing := m.CopySources(slot, c.self.ID)
	for _, id := range sources {
		if missing == 0 {
			break
		}
		n, copyErr := c.copyFromSource(ctx, m, slot, m.Members[id])
		records += n
		if copyErr != nil {
			err = copyErr
			continue
		}
		missing--
	}
	if missing > 0 {
		return 0, failure.Wrap(err, failure.PeerUnavailable, "copy lacks %d sources", missing)
	}
	return records, nil
}

// copyFromSource copies the programs of a slot for which the source has other records than this
// member. It returns the number of copied records.
func (c *Controller) copyFromSource(ctx context.Context, m *placement.Map, slot int, source placement.Member) (int, error) {
	total, afterProgram := 0, ""
	for {
		reply, err := c.requestPage(ctx, m, slot, source, &historypb.Copy{After: afterProgram})
		if err != nil {
			return total, err
		}
		n, err := c.copyPrograms(ctx, m, slot, source, c.differingPrograms(reply.Digests))
		total += n
		if err != nil || !reply.More {
			return total, err
		}
		afterProgram = reply.Digests[len(reply.Digests)-1].Program
	}
}

// differingPrograms returns the programs whose digest differs from that on this member.
func (c *Controller) differingPrograms(digests []*historypb.Digest) []string {
	var programs []string
	for _, d := range digests {
		if c.server.digest(d.Program) != d.Digest {
			programs = append(programs, d.Program)
		}
	}
	return programs
}

// copyPrograms copies all records of programs from source, page by page, and returns their
// number.
func (c *Controller) copyPrograms(ctx context.Context, m *placement.Map, slot int, source placement.Member, programs []string) (total int, err error) {
	for len(programs) > 0 {
		reply, err := c.requestPage(ctx, m, slot, source, &historypb.Copy{Programs: programs})
		if err != nil {
			return total, err
		}
		if err := c.storeRecords(reply.Records); err != nil {
			return total, err
		}
		total += len(reply.Records)
		if !reply.More {
			return total, nil
		}
		last := reply.Records[len(reply.Records)-1].Program
		programs = programs[slices.Index(programs, last)+1:]
	}
	return total, nil
}

// requestPage requests one page of digests or records from source.
func (c *Controller) requestPage(ctx context.Context, m *placement.Map, slot int, source placement.Member, request *historypb.Copy) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := c.peers.pool.Client(source.Address).Call(ctx, &historypb.Request{
		Member: source.ID, Slot: uint32(slot), Epoch: m.Epoch, Call: &historypb.Request_Copy{Copy: request},
	})
	if err != nil {
		return nil, err
	}
	if reply.Status != historypb.Status_STATUS_OK {
		return nil, failure.New(failure.PeerUnavailable, "member %s: %s", source.ID, reply.Status)
	}
	return reply, nil
}

// storeRecords makes copied records durable on this member.
func (c *Controller) storeRecords(records []*historypb.Record) error {
	if len(records) == 0 {
		return nil
	}
	done := make(chan error, 1)
	c.server.Store(records, func(err error) { done <- err })
	return <-done
}
