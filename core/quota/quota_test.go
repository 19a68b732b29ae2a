package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const customer = "c"

// cluster is the members that hold the slot of one customer, and the times of their grants.
type cluster struct {
	members   []*Buckets
	heldSince []time.Duration
	grantedAt []time.Duration
}

func newCluster(n int) *cluster {
	c := &cluster{heldSince: make([]time.Duration, n)}
	for range n {
		c.members = append(c.members, NewBuckets())
	}
	return c
}

// restart restarts a member, which loses its state.
func (c *cluster) restart(i int, now time.Duration) {
	c.members[i], c.heldSince[i] = NewBuckets(), now
}

func (c *cluster) take(i int, limit Limit, version uint64, now time.Duration) Grant {
	g := c.members[i].Take(TokenRequest{Customer: customer, Limit: limit, Version: version, Parts: len(c.members), HeldSince: c.heldSince[i]}, now)
	if g.Granted {
		c.grantedAt = append(c.grantedAt, now)
	}
	return g
}

// takeFromAny asks all members in turn, from a random one on, as an entry host does.
func (c *cluster) takeFromAny(r *rand.Rand, limit Limit, now time.Duration) bool {
	first := r.IntN(len(c.members))
	for k := range c.members {
		if c.take((first+k)%len(c.members), limit, 1, now).Granted {
			return true
		}
	}
	return false
}

// maxGrants returns the maximum number of tokens granted in any window.
func (c *cluster) maxGrants(window time.Duration) int {
	most, first := 0, 0
	for last, at := range c.grantedAt {
		for c.grantedAt[first] <= at-window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

const window = 5 * time.Second

// For any schedule of requests, restarts and unreachable members, no window has more grants
// than the limit allows.
func TestGrantsInAnyWindowStayWithinLimit(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		parts := 1 + r.IntN(7)
		limit := Limit{Rate: 1 + 60*r.Float64(), Burst: 60 * r.Float64()}
		c := newCluster(parts)
		now := time.Duration(0)
		for range 4000 {
			now += time.Duration(r.ExpFloat64() * float64(time.Second) / (limit.Rate * (0.2 + 6*r.Float64())))
			c.take(r.IntN(parts), limit, 1, now)
			switch r.IntN(150) {
			case 0:
				c.restart(r.IntN(parts), now)
			case 1:
				c.members[r.IntN(parts)].DropFull(now)
			}
		}
		allowed := limit.Rate*window.Seconds() + max(limit.Burst, float64(parts)) + float64(parts)
		require.LessOrEqual(t, float64(c.maxGrants(window)), allowed, "seed %d: %+v in %d parts", seed, limit, parts)
	}
}

// The check of the test above detects members that start with a full bucket.
func TestCheckDetectsMembersThatStartFull(t *testing.T) {
	c, limit := newCluster(5), Limit{Rate: 10, Burst: 10}
	now := 10 * time.Second
	for range 20 {
		for i := range 5 {
			c.restart(i, now-10*time.Second) // the fault: earns tokens for the time before the start
			for c.take(i, limit, 1, now).Granted {
			}
		}
		now += 100 * time.Millisecond
	}
	require.Greater(t, c.maxGrants(window), 5*10+10+5)
}

// tolerance is the tolerance of the users' deployments.
var tolerance = Tolerance{Window: window, Overage: 0.1, Slack: 20}

func TestLimitWithToleranceStaysWithinTolerance(t *testing.T) {
	for _, l := range []Limit{{0.5, 0}, {5, 5}, {229, 229}} {
		allowed := (l.Rate*5+l.Burst)*1.1 + 20
		tolerant := l.WithTolerance(tolerance)
		require.Less(t, tolerant.Rate*5+max(tolerant.Burst, 5), allowed, "in five parts")
	}
	require.Equal(t, Limit{5, 5}, Limit{5, 5}.WithTolerance(Tolerance{}))
}

// Of the requests of a customer at 0.6 of its limit, at most one in 500 is refused, although
// members do not communicate and requests arrive at random times.
func TestRequestsBelowLimitAreGranted(t *testing.T) {
	for _, limit := range []Limit{{5, 5}, {20, 20}, {229, 229}} {
		t.Run(fmt.Sprint(limit.Rate), func(t *testing.T) {
			refused, total := 0, 0
			for seed := range uint64(20) {
				r := rand.New(rand.NewPCG(seed, 2))
				c := newCluster(5)
				for now := 2 * time.Second; now < 60*time.Second; now += time.Duration(r.ExpFloat64() / (0.6 * limit.Rate) * float64(time.Second)) {
					total++
					if !c.takeFromAny(r, limit.WithTolerance(tolerance), now) {
						refused++
					}
				}
			}
			require.LessOrEqual(t, refused*500, total, "%d of %d", refused, total)
		})
	}
}

// A customer at eight times its limit is granted as many requests as the limit allows.
func TestFullLimitIsGranted(t *testing.T) {
	r, c, limit := rand.New(rand.NewPCG(3, 3)), newCluster(5), Limit{Rate: 50, Burst: 50}
	for now := time.Second; now < 21*time.Second; now += time.Duration(r.ExpFloat64() / 400 * float64(time.Second)) {
		c.takeFromAny(r, limit, now)
	}
	require.InDelta(t, 50*20+50, len(c.grantedAt), 10)
}

func TestNewestConfigurationSetsLimit(t *testing.T) {
	c := newCluster(1)
	high, low := Limit{Rate: 100, Burst: 100}, Limit{Rate: 2, Burst: 2}
	require.True(t, c.take(0, high, 1, time.Second).Granted)
	require.True(t, c.take(0, low, 2, time.Second).Granted)
	require.True(t, c.take(0, high, 1, time.Second).Granted, "the rest of a burst of two")
	require.False(t, c.take(0, high, 1, time.Second).Granted, "a host that still has the older version")
	c.take(0, high, 3, 2*time.Second)
	granted := 0
	for c.take(0, high, 3, 3*time.Second).Granted {
		granted++
	}
	require.InDelta(t, 100, granted, 2)
}

func TestRetryDelaysDiffer(t *testing.T) {
	c, limit := newCluster(1), Limit{Rate: 10, Burst: 1}
	require.True(t, c.take(0, limit, 1, time.Second).Granted)
	for i := range 5 {
		g := c.take(0, limit, 1, time.Second)
		require.False(t, g.Granted)
		require.InDelta(t, (100 * time.Duration(i+1) * time.Millisecond).Seconds(), g.RetryDelay.Seconds(), 0.001)
		require.InDelta(t, 0.1, g.NextTokenIn.Seconds(), 0.001, "retry delays do not postpone the next token")
	}
	for range 100 {
		require.LessOrEqual(t, c.take(0, limit, 1, time.Second).RetryDelay, maxRetryDelay)
	}
}

func TestEmptyMembersAreNoCandidatesUntilNextToken(t *testing.T) {
	s, members := NewMemberSelector(), []string{"m1", "m2"}
	candidates, _ := s.Candidates(customer, false, members, 0)
	require.Equal(t, members, candidates)
	s.RecordRefusal(customer, "m1", false, 300*time.Millisecond, 0)
	candidates, _ = s.Candidates(customer, false, members, 0)
	require.Equal(t, []string{"m2"}, candidates)
	s.RecordRefusal(customer, "m2", false, 100*time.Millisecond, 0)
	candidates, nextTokenIn := s.Candidates(customer, false, members, 50*time.Millisecond)
	require.Empty(t, candidates)
	require.Equal(t, 50*time.Millisecond, nextTokenIn)
	candidates, _ = s.Candidates("another", false, members, 0)
	require.Equal(t, members, candidates)
	candidates, _ = s.Candidates(customer, false, members, 120*time.Millisecond)
	require.Equal(t, []string{"m2"}, candidates)
}

func TestSelectorIsBounded(t *testing.T) {
	s := NewMemberSelector()
	for i := range 3 * maxEmptyParts {
		s.RecordRefusal(fmt.Sprint(i), "m", false, time.Millisecond, time.Duration(i)*time.Millisecond)
	}
	require.LessOrEqual(t, len(s.emptyUntil), maxEmptyParts)
}

// simulatePrograms starts programs of a customer at a mean rate, each with size successive
// requests, and returns how many started and how many completed. A program ends when one of
// its requests is refused twice. marksFirst sets whether members can tell first requests from
// others; maxWait is the time that the others wait for a token.
func simulatePrograms(seed uint64, limit Limit, startsPerSecond float64, size int, marksFirst bool, maxWait time.Duration) (completed, started int) {
	r := rand.New(rand.NewPCG(seed, 4))
	c, selectors := newCluster(5), []*MemberSelector{}
	names := []string{"0", "1", "2", "3", "4"}
	for range 20 {
		selectors = append(selectors, NewMemberSelector()) // one for each entry host
	}
	type request struct {
		at time.Duration
		// remaining counts the program's requests from this one on.
		remaining int
		attempt   int
		// waited is the time for which the request has waited at its host.
		waited time.Duration
	}
	queue := []request{}
	for at := 2 * time.Second; at < 42*time.Second; at += seconds(r.ExpFloat64() / startsPerSecond) {
		queue = append(queue, request{at: at, remaining: size})
		started++
	}
	for len(queue) > 0 {
		i := 0
		for k := range queue {
			if queue[k].at < queue[i].at {
				i = k
			}
		}
		q := queue[i]
		queue = append(queue[:i], queue[i+1:]...)
		first := q.remaining == size && marksFirst
		selector := selectors[r.IntN(len(selectors))]
		n := r.IntN(5)
		candidates, retryDelay := selector.Candidates(customer, first, append(append([]string{}, names[n:]...), names[:n]...), q.at)
		granted := false
		for _, member := range candidates {
			k := int(member[0] - '0')
			g := c.members[k].Take(TokenRequest{Customer: customer, Limit: limit, Version: 1, Parts: 5, FirstOfProgram: first}, q.at)
			if granted = g.Granted; granted {
				break
			}
			selector.RecordRefusal(customer, member, first, g.NextTokenIn, q.at)
			if retryDelay == 0 || g.RetryDelay < retryDelay {
				retryDelay = g.RetryDelay
			}
		}
		switch {
		case granted && q.remaining == 1:
			completed++
		case granted:
			queue = append(queue, request{at: q.at + seconds(0.2*r.ExpFloat64()), remaining: q.remaining - 1})
		case q.remaining < size && q.waited+retryDelay <= maxWait:
			queue = append(queue, request{at: q.at + retryDelay, remaining: q.remaining, attempt: q.attempt, waited: q.waited + retryDelay})
		case q.attempt == 0:
			queue = append(queue, request{at: q.at + retryDelay, remaining: q.remaining, attempt: 1})
		}
	}
	return completed, started
}

// maxTokenWait is the time for which a request of a running program waits for a token.
const maxTokenWait = 600 * time.Millisecond

// A customer whose programs need twice its quota completes nearly as many of them as the quota
// suffices for.
func TestRunningProgramsCompleteBeforeNewOnesStart(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40}.WithTolerance(tolerance)
	const size = 14
	completed := func(marksFirst bool, maxWait time.Duration) (total int) {
		for seed := range uint64(10) {
			n, _ := simulatePrograms(seed, limit, 2*40/size, size, marksFirst, maxWait)
			total += n
		}
		return total
	}
	const affordable = 10 * 40 * 40 / size // programs that the quota suffices for, over all seeds
	require.Greater(t, completed(true, maxTokenWait)*100, affordable*90)
	require.Greater(t, completed(true, maxTokenWait), completed(false, maxTokenWait)*11/10, "more than if first requests are granted like all others")
	require.Greater(t, completed(true, maxTokenWait)*100, completed(true, 0)*103, "more than if no request waits")
}

// At 0.9 of its quota, most programs of a customer complete. One program alone needs 5
// requests a second for three seconds, and a quota of 8 a second does not suffice for two at a
// time.
func TestMostProgramsBelowQuotaComplete(t *testing.T) {
	for rate, percent := range map[float64]int{8: 85, 40: 97} {
		completed, started := 0, 0
		for seed := range uint64(10) {
			n, m := simulatePrograms(seed, Limit{Rate: rate, Burst: rate}.WithTolerance(tolerance), 0.9*rate/14, 14, true, maxTokenWait)
			completed, started = completed+n, started+m
		}
		require.Greater(t, completed*100, started*percent, "%g a second: %d of %d", rate, completed, started)
	}
}
