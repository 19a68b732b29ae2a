package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNoDelayBeforeEnoughCallsAreRecorded(t *testing.T) {
	h := New()
	_, ok := h.Delay("lookup")
	require.False(t, ok)
	for range minSamples - 1 {
		h.RecordAnswer("s", "lookup", time.Millisecond)
	}
	_, ok = h.Delay("lookup")
	require.False(t, ok)
	h.RecordAnswer("s", "lookup", time.Millisecond)
	d, ok := h.Delay("lookup")
	require.True(t, ok)
	require.Equal(t, time.Millisecond, d)
	_, ok = h.Delay("other")
	require.False(t, ok)
}

// The delay is the 95th percentile of the latencies and adapts when they change.
func TestDelayFollowsQuantileOfLatencies(t *testing.T) {
	h := New()
	rng := rand.New(rand.NewPCG(1, 1))
	delayAfter := func(meanMs float64) time.Duration {
		for range 4 * maxSamples {
			h.RecordAnswer("s", "lookup", time.Duration(meanMs*rng.ExpFloat64()*float64(time.Millisecond)))
		}
		d, ok := h.Delay("lookup")
		require.True(t, ok)
		return d
	}
	// The 95th percentile of an exponential distribution is three times its mean.
	require.InDelta(t, 240, delayAfter(80).Milliseconds(), 60)
	require.InDelta(t, 720, delayAfter(240).Milliseconds(), 180)
}

// When all targets stall, every call requests a second send. The load may grow by no more than
// the budget, over any span of the run.
func TestSecondSendsStayWithinBudget(t *testing.T) {
	h := New()
	const answers = 20_000
	sentAfter := make([]int, 0, answers)
	sent := 0
	for range answers {
		h.RecordAnswer("s", "lookup", time.Second)
		if h.TakeToken("s") {
			sent++
		}
		sentAfter = append(sentAfter, sent)
	}
	require.Greater(t, sent, int(0.9*BudgetRatio*answers), "the budget must be usable in full")
	for _, span := range []int{100, 1000, answers - 1} {
		for from := 0; from+span < answers; from += 37 {
			require.LessOrEqual(t, float64(sentAfter[from+span]-sentAfter[from]), BudgetRatio*float64(span)+Burst)
		}
	}
	require.False(t, h.TakeToken("other"), "each service has its own budget")
}

func TestAccumulatedTokensAreBounded(t *testing.T) {
	h := New()
	for range 10_000 {
		h.RecordAnswer("s", "lookup", time.Second)
	}
	sent := 0
	for h.TakeToken("s") {
		sent++
	}
	require.Equal(t, Burst, sent)
}

func TestStateListsKindsAndServices(t *testing.T) {
	h := New()
	h.RecordAnswer("s", "lookup", time.Second)
	require.False(t, h.TakeToken("s"))
	s := h.State()
	require.Equal(t, []KindState{{Kind: "lookup", DelayMs: -1}}, s.Kinds)
	require.Equal(t, []ServiceState{{Service: "s", Tokens: BudgetRatio, Denied: 1}}, s.Services)
}

func TestNumberOfKindsIsBounded(t *testing.T) {
	h := New()
	for i := range 3 * maxNames {
		h.RecordAnswer("s", string(rune('a'+i)), time.Second)
	}
	require.LessOrEqual(t, len(h.kinds), maxNames)
}
