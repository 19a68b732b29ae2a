package placement

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// defaultMaxStates is the number of states that CI visits, in about 15 s. The environment
// variable PLACEMENT_STATES sets another number, for a deeper manual run.
const defaultMaxStates = 400_000

func maxStatesToVisit(t *testing.T) int {
	text, set := os.LookupEnv("PLACEMENT_STATES")
	if !set {
		return defaultMaxStates
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func newChecker(t *testing.T) *checker { return &checker{t: t, mapNumbers: map[string]int{}} }

// Cuts of a data centre, lost disks and map changes, in any order, must not lose acknowledged
// records, nor let two turns miss each other.
func TestPartitionsLoseNoAcknowledgedWrite(t *testing.T) {
	for name, makeStart := range map[string]func(*checker) checkerState{
		"crowded": (*checker).initialState, "spanning": (*checker).spanningState, "demoted": (*checker).demotedState,
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t)
			visited, path := c.search(func() checkerState { return makeStart(c) }, maxStatesToVisit(t))
			t.Logf("%d states, %d maps", visited, len(c.maps))
			require.Empty(t, path, "%s", c.describe(path))
		})
	}
}

// A checker that misses a seeded fault would also miss a real one.
func TestCheckerDetectsSeededFaults(t *testing.T) {
	cases := map[string]struct {
		seedFault func(*checker)
		makeStart func(*checker) checkerState
	}{
		"replicas of a non-spanning slot are demoted":               {func(c *checker) { c.demoteWithoutSpanning = true }, (*checker).initialState},
		"platform copies are removed while slots are guarded":       {func(c *checker) { c.cleanupWhileGuarded = true }, (*checker).demotedState},
		"a member with an old map removes platform copies":          {func(c *checker) { c.cleanupWithStaleMap = true }, (*checker).demotedState},
		"no records are stored at the platform":                     {func(c *checker) { c.noPlatformCopies = true }, (*checker).demotedState},
		"a member with an old map acknowledges writes of a new one": {func(c *checker) { c.acceptNewerMap = true }, (*checker).spanningState},
		"a joining replica misses writes before it is active":       {func(c *checker) { c.activateWithoutRequiredAck = true }, (*checker).demotedState},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t)
			testCase.seedFault(c)
			_, path := c.search(func() checkerState { return testCase.makeStart(c) }, maxStatesToVisit(t))
			require.NotEmpty(t, path)
			t.Log(c.describe(path))
		})
	}
}

// After the crowded data centre is cut off, the outside replicas serve only if the slot was
// spanning before; otherwise neither side can serve.
func TestOutsideReplicasTakeOverOnlySpanningSlots(t *testing.T) {
	for _, spanning := range []bool{false, true} {
		c := newChecker(t)
		s := c.initialState()
		slots := c.maps[s.latest].Clone()
		if spanning {
			require.True(t, slots.SpanCrowdedSlots())
			require.True(t, slots.Activate("m2", map[int]uint64{0: slots.Slots[0].ChangedEpoch}))
		}
		silent := map[string]bool{"m0": true, "m1": true}
		changed := slots.Demote(silent)
		require.Equal(t, spanning, changed)
		outside := map[string]bool{"m2": true}
		require.Equal(t, spanning, slots.IsWriteDurable(&slots.Slots[0], outside), "the outside replica serves")
		require.Equal(t, spanning, slots.NeedsPlatformCopy(0), "records need a second copy at the platform")
	}
}
