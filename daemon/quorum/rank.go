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
	// hedgeDelayFactor is how many times its average duration a call may take until another
	// member is asked as well: few second requests while all members are healthy, and an early
	// one while a member is not.
	hedgeDelayFactor = 3
	// minHedgeDelay is above a round trip between data centres with a disk sync. maxHedgeDelay is
	// below a delay that a caller notices.
	minHedgeDelay, maxHedgeDelay = 6 * time.Millisecond, 30 * time.Millisecond
	// averageDivisor is the divisor of the moving average of a member's call durations: the
	// newest duration has a weight of 1/8.
	averageDivisor = 8
	// A member is slow, and ranks after the others, if its writes take longer on average than
	// slowFactor times those of the fastest replica plus slowMargin.
	slowFactor, slowMargin = 2, 4 * time.Millisecond
)

// callDurations holds the average durations of calls to a member; 0 if unknown.
type callDurations struct {
	write, read time.Duration
}

// ofKind returns the average for the request's kind of call, nil for kinds without one.
func (d *callDurations) ofKind(req *historypb.Request) *time.Duration {
	switch req.Call.(type) {
	case *historypb.Request_Write:
		return &d.write
	case *historypb.Request_Read:
		return &d.read
	}
	return nil
}

// recordDuration adds the duration of an answered call to the member's average.
func (c *Client) recordDuration(id string, req *historypb.Request, duration time.Duration) {
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
	duration = min(duration, 2*maxHedgeDelay) // so that a single stall does not dominate the average
	if *average == 0 {
		*average = duration
		return
	}
	*average += (duration - *average) / averageDivisor
}

// Ranks of members; those of a lower rank are asked first.
const (
	rankNear = iota
	rankFar
	rankSlow
	rankFailing
)

// rankedReplicas returns the active replicas of a slot in the order in which this host asks them:
// those of this data centre, those of others, the slow ones and the failing ones. Within a rank
// the order is the same on all hosts, so that a host first asks the replicas to which another one
// has written.
func (c *Client) rankedReplicas(m *placement.Map, slot uint32) []string {
	return c.sortedReplicas(m, slot, func(rank int) int { return rank })
}

// preferredReplicas returns the active replicas of a slot in an order that is the same in all data
// centres. The first is the preferred replica: writes from every data centre go to it, unless it
// is slow or does not answer.
func (c *Client) preferredReplicas(m *placement.Map, slot uint32) []string {
	return c.sortedReplicas(m, slot, func(rank int) int { return max(rank, rankFar) })
}

// sortedReplicas returns the active replicas of a slot by rank, after adjustRank, and then by a
// hash that is the same on all hosts.
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
	for i, r := range ranked {
		members[i] = r.member
	}
	return members
}

// rankOf returns the rank of one member; the caller holds mu.
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

// fastestWrite returns the average duration of a write at the fastest replica of a slot that is
// not failing, or 0 if unknown; the caller holds mu.
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

// tieBreakHash orders replicas of the same rank, with a different order for each slot so that the
// load spreads over the members.
func tieBreakHash(slot uint32, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(slot), byte(slot >> 8)})
	h.Write([]byte(member))
	return h.Sum64()
}

// hedgeDelay returns how long members may take for a read or a write until others are asked as
// well. It follows the median of their average durations, so that a slow member does not raise
// its own limit.
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
