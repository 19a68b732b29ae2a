package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNothingIsSentAgainBeforeTheKindIsKnown(t *testing.T) {
	h := New()
	_, ok := h.Delay("lookup")
	require.False(t, ok)
	for range known - 1 {
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

// The delay follows what most calls of a kind take, and follows it when that changes.
func TestDelayIsWhatMostCallsStayBelow(t *testing.T) {
	h := New()
	rng := rand.New(rand.NewPCG(1, 1))
	play := func(mean float64) time.Duration {
		for range 4 * kept {
			h.RecordAnswer("s", "lookup", time.Duration(mean*rng.ExpFloat64()*float64(time.Millisecond)))
		}
		d, ok := h.Delay("lookup")
		require.True(t, ok)
		return d
	}
	// The 95th percentile of exponential times is three times their mean.
	require.InDelta(t, 240, play(80).Milliseconds(), 60)
	require.InDelta(t, 720, play(240).Milliseconds(), 180)
}

// When all targets stall, every call asks for a second send: the load grows by no more than
// the share, over every stretch of the run.
func TestSecondSendsStayWithinTheirShare(t *testing.T) {
	h := New()
	const n = 20_000
	granted := make([]int, 0, n)
	sent := 0
	for range n {
		h.RecordAnswer("s", "lookup", time.Second)
		if h.TakeToken("s") {
			sent++
		}
		granted = append(granted, sent)
	}
	require.Greater(t, sent, int(0.9*BudgetRatio*n), "the budget is there to be used")
	for _, span := range []int{100, 1000, n - 1} {
		for from := 0; from+span < n; from += 37 {
			require.LessOrEqual(t, float64(granted[from+span]-granted[from]), BudgetRatio*float64(span)+Burst)
		}
	}
	require.False(t, h.TakeToken("other"), "each service has its own")
}

func TestSavedTokensAreBounded(t *testing.T) {
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

func TestStateNamesKindsAndServices(t *testing.T) {
	h := New()
	h.RecordAnswer("s", "lookup", time.Second)
	require.False(t, h.TakeToken("s"))
	s := h.State()
	require.Equal(t, []KindState{{Kind: "lookup", DelayMs: -1}}, s.Kinds)
	require.Equal(t, []ServiceState{{Service: "s", Tokens: BudgetRatio, Denied: 1}}, s.Services)
}

func TestWhatIsRememberedIsBounded(t *testing.T) {
	h := New()
	for i := range 3 * kindsMost {
		h.RecordAnswer("s", string(rune('a'+i)), time.Second)
	}
	require.LessOrEqual(t, len(h.kinds), kindsMost)
}
