package quorum

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

const (
	// hedgeFactor is how many times its usual time a member may take until another one is
	// asked as well: rare with all well, and soon with one that is not.
	hedgeDelayFactor = 3
	// hedgeLeast is above a round trip between data centres with a sync, hedgeMost below what
	// a caller notices.
	minHedgeDelay, maxHedgeDelay = 6 * time.Millisecond, 30 * time.Millisecond
	// latencyWeight is the weight of the newest of the times that a member took.
	averageDivisor = 8
	// slowFactor and slowFloor are by how much the writes of a member take longer than those
	// of the fastest replica until the others are asked before it.
	slowFactor, slowMargin = 2, 4 * time.Millisecond
)

// took is how long calls to a member usually take; 0 if that is not known.
type callDurations struct {
	write, read time.Duration
}

// of returns the part for a kind of request, nil for kinds that are not timed.
func (t *callDurations) ofKind(req *historypb.Request) *time.Duration {
	switch req.Call.(type) {
	case *historypb.Request_Write:
		return &t.write
	case *historypb.Request_Read:
		return &t.read
	}
	return nil
}

// observe notes how long an answered call to a member took.
func (c *Client) recordDuration(id string, req *historypb.Request, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[id]
	if h == nil {
		return
	}
	average := h.durations.ofKind(req)
	if average == nil {
		return
	}
	d = min(d, 2*maxHedgeDelay) // one stall is not what is usual
	if *average == 0 {
		*average = d
		return
	}
	*average += (d - *average) / averageDivisor
}

// Ranks of members, by which they are asked.
const (
	rankNear = iota
	rankFar
	rankSlow
	rankFailing
)

// ranked returns the active replicas of a slot in the order in which they are asked: those of this data
// centre first, then the others, those that are slow or do not answer last. Within a rank all
// hosts have the same order, so that what one has written is where the next one asks.
func (c *Client) rankedReplicas(m *placement.Map, slot uint32) []string {
	return c.sortedReplicas(m, slot, func(rank int) int { return rank })
}

// home returns the active replicas of a slot in the order of all data centres: a write from
// any of them goes to the first, unless that is slow or does not answer.
func (c *Client) preferredReplicas(m *placement.Map, slot uint32) []string {
	return c.sortedReplicas(m, slot, func(rank int) int { return max(rank, rankFar) })
}

func (c *Client) sortedReplicas(m *placement.Map, slot uint32, adjustRank func(rank int) int) []string {
	type rankedReplica struct {
		member string
		rank   int
		hash   uint64
	}
	c.mu.Lock()
	now := time.Now()
	s := &m.Slots[slot]
	fastestWrite := c.fastestWrite(s, now)
	ranked := make([]rankedReplica, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		if r.Joining {
			continue
		}
		ranked = append(ranked, rankedReplica{r.Member, adjustRank(c.rankOf(m, r.Member, fastestWrite, now)), tieBreakHash(slot, r.Member)})
	}
	c.mu.Unlock()
	slices.SortFunc(ranked, func(a, b rankedReplica) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash))
	})
	members := make([]string, len(ranked))
	for i, p := range ranked {
		members[i] = p.member
	}
	return members
}

// rank is that of one member; the caller holds mu.
func (c *Client) rankOf(m *placement.Map, member string, fastestWrite time.Duration, now time.Time) int {
	h := c.health[member]
	switch {
	case c.failingFor(member, now) > 0:
		return rankFailing
	case h != nil && h.durations.write > slowFactor*fastestWrite+slowMargin:
		return rankSlow
	case m.Members[member].DataCentre == c.dataCentre:
		return rankNear
	}
	return rankFar
}

// fastest is the usual time of a write at the fastest replica of a slot that answers; the
// caller holds mu.
func (c *Client) fastestWrite(s *placement.Slot, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, r := range s.Replicas {
		h := c.health[r.Member]
		if h == nil || h.durations.write == 0 || c.failingFor(r.Member, now) > 0 {
			continue
		}
		if shortest == 0 || h.durations.write < shortest {
			shortest = h.durations.write
		}
	}
	return shortest
}

// orderOf spreads the slots' orders over the members.
func tieBreakHash(slot uint32, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(slot), byte(slot >> 8)})
	h.Write([]byte(member))
	return h.Sum64()
}

// hedge is how long members may take for a request until others are asked as well: by the
// one in their middle, so that a slow one does not set its own measure.
func (c *Client) hedgeDelay(members []string, req *historypb.Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	averages := make([]time.Duration, 0, len(members))
	for _, id := range members {
		if h := c.health[id]; h != nil {
			averages = append(averages, *h.durations.ofKind(req))
		}
	}
	if len(averages) == 0 {
		return minHedgeDelay
	}
	slices.Sort(averages)
	return min(max(hedgeDelayFactor*averages[len(averages)/2], minHedgeDelay), maxHedgeDelay)
}
