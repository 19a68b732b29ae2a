package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const customer = "c"

// fleet is the members that keep the slot of one customer, and what they granted.
type fleet struct {
	members []*Buckets
	since   []time.Duration
	granted []time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{since: make([]time.Duration, n)}
	for range n {
		f.members = append(f.members, NewBuckets())
	}
	return f
}

// restart begins a member anew: it knows nothing of what it granted.
func (f *fleet) restart(i int, now time.Duration) {
	f.members[i], f.since[i] = NewBuckets(), now
}

func (f *fleet) take(i int, limit Limit, version uint64, now time.Duration) Grant {
	g := f.members[i].Take(TokenRequest{Customer: customer, Limit: limit, Version: version, Parts: len(f.members), HeldSince: f.since[i]}, now)
	if g.Granted {
		f.granted = append(f.granted, now)
	}
	return g
}

// ask asks all members in turn, from one that is drawn, as an entry host does.
func (f *fleet) ask(r *rand.Rand, limit Limit, now time.Duration) bool {
	first := r.IntN(len(f.members))
	for k := range f.members {
		if f.take((first+k)%len(f.members), limit, 1, now).Granted {
			return true
		}
	}
	return false
}

// worst is the most tokens granted in any span of w.
func (f *fleet) worst(w time.Duration) int {
	most, first := 0, 0
	for last, at := range f.granted {
		for f.granted[first] <= at-w {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

const window = 5 * time.Second

// Whatever the schedule of questions, restarts and members that nobody reaches, no window
// sees more than the limit allows.
func TestNoWindowSeesMoreThanTheLimit(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		parts := 1 + r.IntN(7)
		limit := Limit{Rate: 1 + 60*r.Float64(), Burst: 60 * r.Float64()}
		f := newFleet(parts)
		now := time.Duration(0)
		for range 4000 {
			now += time.Duration(r.ExpFloat64() * float64(time.Second) / (limit.Rate * (0.2 + 6*r.Float64())))
			f.take(r.IntN(parts), limit, 1, now)
			switch r.IntN(150) {
			case 0:
				f.restart(r.IntN(parts), now)
			case 1:
				f.members[r.IntN(parts)].DropFull(now)
			}
		}
		allowed := limit.Rate*window.Seconds() + max(limit.Burst, float64(parts)) + float64(parts)
		require.LessOrEqual(t, float64(f.worst(window)), allowed, "seed %d: %+v in %d parts", seed, limit, parts)
	}
}

// The check above sees members that begin with a full bucket.
func TestCheckSeesMembersThatBeginFull(t *testing.T) {
	f, limit := newFleet(5), Limit{Rate: 10, Burst: 10}
	now := 10 * time.Second
	for range 20 {
		for i := range 5 {
			f.restart(i, now-10*time.Second) // the fault: tokens of before the start
			for f.take(i, limit, 1, now).Granted {
			}
		}
		now += 100 * time.Millisecond
	}
	require.Greater(t, f.worst(window), 5*10+10+5)
}

// tolerance is what the users' deployments tolerate.
var tolerance = Tolerance{Window: window, Overage: 0.1, Slack: 20}

func TestWidenedLimitStaysWithinTheTolerance(t *testing.T) {
	for _, l := range []Limit{{0.5, 0}, {5, 5}, {229, 229}} {
		allowed := (l.Rate*5+l.Burst)*1.1 + 20
		wide := l.WithTolerance(tolerance)
		require.Less(t, wide.Rate*5+max(wide.Burst, 5), allowed, "in five parts")
	}
	require.Equal(t, Limit{5, 5}, Limit{5, 5}.WithTolerance(Tolerance{}))
}

// Customers who stay under their limit are refused nothing, though no member knows of the
// others: at 0.6 of the limit, in random order.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for _, limit := range []Limit{{5, 5}, {20, 20}, {229, 229}} {
		t.Run(fmt.Sprint(limit.Rate), func(t *testing.T) {
			refused, asked := 0, 0
			for seed := range uint64(20) {
				r := rand.New(rand.NewPCG(seed, 2))
				f := newFleet(5)
				for now := 2 * time.Second; now < 60*time.Second; now += time.Duration(r.ExpFloat64() / (0.6 * limit.Rate) * float64(time.Second)) {
					asked++
					if !f.ask(r, limit.WithTolerance(tolerance), now) {
						refused++
					}
				}
			}
			require.LessOrEqual(t, refused*500, asked, "%d of %d", refused, asked)
		})
	}
}

// A customer at eight times its limit gets all of the limit.
func TestAllOfTheLimitIsGranted(t *testing.T) {
	r, f, limit := rand.New(rand.NewPCG(3, 3)), newFleet(5), Limit{Rate: 50, Burst: 50}
	for now := time.Second; now < 21*time.Second; now += time.Duration(r.ExpFloat64() / 400 * float64(time.Second)) {
		f.ask(r, limit, now)
	}
	require.InDelta(t, 50*20+50, len(f.granted), 10)
}

func TestLowerLimitOfANewerVersionBinds(t *testing.T) {
	f := newFleet(1)
	high, low := Limit{Rate: 100, Burst: 100}, Limit{Rate: 2, Burst: 2}
	require.True(t, f.take(0, high, 1, time.Second).Granted)
	require.True(t, f.take(0, low, 2, time.Second).Granted)
	require.True(t, f.take(0, high, 1, time.Second).Granted, "what is left of two at once")
	require.False(t, f.take(0, high, 1, time.Second).Granted, "a host that still knows the older version")
	f.take(0, high, 3, 2*time.Second)
	n := 0
	for f.take(0, high, 3, 3*time.Second).Granted {
		n++
	}
	require.InDelta(t, 100, n, 2)
}

func TestCallersAreToldDifferentTimes(t *testing.T) {
	f, limit := newFleet(1), Limit{Rate: 10, Burst: 1}
	require.True(t, f.take(0, limit, 1, time.Second).Granted)
	for i := range 5 {
		g := f.take(0, limit, 1, time.Second)
		require.False(t, g.Granted)
		require.InDelta(t, (100 * time.Duration(i+1) * time.Millisecond).Seconds(), g.RetryDelay.Seconds(), 0.001)
		require.InDelta(t, 0.1, g.NextTokenIn.Seconds(), 0.001, "the next token comes all the same")
	}
	for range 100 {
		require.LessOrEqual(t, f.take(0, limit, 1, time.Second).RetryDelay, mostPromise)
	}
}

func TestEmptyMembersAreNotAskedUntilTheirTokenIsDue(t *testing.T) {
	o, members := NewMemberSelector(), []string{"m1", "m2"}
	ask, _ := o.Candidates(customer, false, members, 0)
	require.Equal(t, members, ask)
	o.RecordRefusal(customer, "m1", false, 300*time.Millisecond, 0)
	ask, _ = o.Candidates(customer, false, members, 0)
	require.Equal(t, []string{"m2"}, ask)
	o.RecordRefusal(customer, "m2", false, 100*time.Millisecond, 0)
	ask, in := o.Candidates(customer, false, members, 50*time.Millisecond)
	require.Empty(t, ask)
	require.Equal(t, 50*time.Millisecond, in)
	ask, _ = o.Candidates("another", false, members, 0)
	require.Equal(t, members, ask)
	ask, _ = o.Candidates(customer, false, members, 120*time.Millisecond)
	require.Equal(t, []string{"m2"}, ask)
}

func TestOrderIsBounded(t *testing.T) {
	o := NewMemberSelector()
	for i := range 3 * mostEmpty {
		o.RecordRefusal(fmt.Sprint(i), "m", false, time.Millisecond, time.Duration(i)*time.Millisecond)
	}
	require.LessOrEqual(t, len(o.empty), mostEmpty)
}

// playPrograms lets programs of a customer, each of size requests over its time, begin at so
// many a second; a request that is refused twice ends its program. told is whether members
// know first requests, patience how long others wait for a token.
func playPrograms(seed uint64, limit Limit, perSecond float64, size int, told bool, patience time.Duration) (well, begun int) {
	r := rand.New(rand.NewPCG(seed, 4))
	f, orders := newFleet(5), []*MemberSelector{}
	names := []string{"0", "1", "2", "3", "4"}
	for range 20 {
		orders = append(orders, NewMemberSelector()) // of entry hosts
	}
	type step struct {
		at   time.Duration
		left int
		try  int
		// waited is how long the request has waited at its host.
		waited time.Duration
	}
	queue := []step{}
	for at := 2 * time.Second; at < 42*time.Second; at += seconds(r.ExpFloat64() / perSecond) {
		queue = append(queue, step{at: at, left: size})
		begun++
	}
	for len(queue) > 0 {
		i := 0
		for k := range queue {
			if queue[k].at < queue[i].at {
				i = k
			}
		}
		s := queue[i]
		queue = append(queue[:i], queue[i+1:]...)
		first := s.left == size && told
		o := orders[r.IntN(len(orders))]
		n := r.IntN(5)
		ask, in := o.Candidates(customer, first, append(append([]string{}, names[n:]...), names[:n]...), s.at)
		granted := false
		for _, m := range ask {
			k := int(m[0] - '0')
			g := f.members[k].Take(TokenRequest{Customer: customer, Limit: limit, Version: 1, Parts: 5, FirstOfProgram: first}, s.at)
			if granted = g.Granted; granted {
				break
			}
			o.RecordRefusal(customer, m, first, g.NextTokenIn, s.at)
			if in == 0 || g.RetryDelay < in {
				in = g.RetryDelay
			}
		}
		switch {
		case granted && s.left == 1:
			well++
		case granted:
			queue = append(queue, step{at: s.at + seconds(0.2*r.ExpFloat64()), left: s.left - 1})
		case s.left < size && s.waited+in <= patience:
			queue = append(queue, step{at: s.at + in, left: s.left, try: s.try, waited: s.waited + in})
		case s.try == 0:
			queue = append(queue, step{at: s.at + in, left: s.left, try: 1})
		}
	}
	return well, begun
}

// A customer whose programs need twice its quota has nearly as many of them ended as the
// quota carries.
// wait is how long a request of a program under way waits for a token.
const wait = 600 * time.Millisecond

func TestProgramsUnderWayEndBeforeNewOnesBegin(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40}.WithTolerance(tolerance)
	const size = 14
	ended := func(told bool, patience time.Duration) (well int) {
		for seed := range uint64(10) {
			w, _ := playPrograms(seed, limit, 2*40/size, size, told, patience)
			well += w
		}
		return well
	}
	const carried = 10 * 40 * 40 / size
	require.Greater(t, ended(true, wait)*100, carried*90)
	require.Greater(t, ended(true, wait), ended(false, wait)*11/10, "than where first requests are granted like all others")
	require.Greater(t, ended(true, wait)*100, ended(true, 0)*103, "than where nobody waits")
}

// Near its quota, at 0.9 of it, most programs of a customer end: one alone needs 5 requests a
// second for three seconds, which a quota of 8 does not carry twice.
func TestMostProgramsBelowTheQuotaEnd(t *testing.T) {
	for rate, percent := range map[float64]int{8: 85, 40: 97} {
		well, begun := 0, 0
		for seed := range uint64(10) {
			w, b := playPrograms(seed, Limit{Rate: rate, Burst: rate}.WithTolerance(tolerance), 0.9*rate/14, 14, true, wait)
			well, begun = well+w, begun+b
		}
		require.Greater(t, well*100, begun*percent, "%g a second: %d of %d", rate, well, begun)
	}
}
