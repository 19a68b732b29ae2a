package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// newFateSystem returns a system without listed targets and a view whose entries describe targets at the address
// of x; the spec "draining" is that of one that leaves.
func newFateSystem(t *testing.T, x *fakeTarget) (*testSystem, *TargetView) {
	s := newSystem(t)
	decode := func(id string, spec []byte) (balance.TargetInfo, error) {
		return balance.TargetInfo{ID: id, Service: "s", Address: x.listener.Addr().String(), Capacity: 4, Draining: string(spec) == "draining"}, nil
	}
	return s, NewTargetView(s.host, decode)
}

// Of several targets listed at one address, only the last one serves, in whatever order the list has them.
func TestFormerTargetsAtAnAddressHaveCrashed(t *testing.T) {
	x := newFakeTarget(t, "x", breakConnection)
	s, view := newFateSystem(t, x)
	view.Replaced(objects.Snapshot{Items: []objects.Object{{Name: "third", Revision: 9}, {Name: "first", Revision: 2}, {Name: "second", Revision: 5}}})
	require.Equal(t, fateCrashed, s.host.fateOf(targetStart{id: "first"}))
	require.Equal(t, fateCrashed, s.host.fateOf(targetStart{id: "second"}))
	require.Equal(t, fateServing, s.host.fateOf(targetStart{id: "third"}))
	require.True(t, s.host.lastCrashes.isRecent("s"))
}

// A target that announced that it leaves, or serves on unlisted long enough, has not crashed; any other that is gone
// has, also if it served on for a moment.
func TestTargetThatLeavesByPlanHasNotCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		announced, ends, early bool
		later                  time.Duration
		fate                   targetFate
	}{
		"announced":                    {announced: true, ends: true, fate: fateLeft},
		"serves unlisted":              {fate: fateUnlisted},
		"serves on unlisted":           {later: unlistedServeTime, fate: fateLeft},
		"served on and ended then":     {later: unlistedServeTime, early: true, ends: true, fate: fateLeft},
		"gone without announce":        {ends: true, fate: fateCrashed},
		"served for a moment and gone": {early: true, ends: true, fate: fateCrashed},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFakeTarget(t, "x", breakConnection)
			s, view := newFateSystem(t, x)
			entry := objects.Object{Name: "x", Revision: 1}
			if c.announced {
				entry.Spec = []byte("draining")
			}
			view.Replaced(objects.Snapshot{Items: []objects.Object{entry}})
			if !c.early && c.ends {
				require.NoError(t, x.listener.Close())
			}
			view.Replaced(objects.Snapshot{})
			s.host.runWatches.unlistedServeTime -= c.later
			if c.early {
				s.host.fateOf(targetStart{id: "x"})
				require.NoError(t, x.listener.Close())
			}
			require.Equal(t, c.fate, s.host.fateOf(targetStart{id: "x"}))
		})
	}
}

// A target at whose address another one is listed soon after it left the list has ended, not left by plan.
func TestTargetThatIsReplacedSoonAfterItLeftTheListHasCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		later time.Duration
		fate  targetFate
	}{"soon": {0, fateCrashed}, "later": {unlistedServeTime, fateLeft}} {
		t.Run(name, func(t *testing.T) {
			x := newFakeTarget(t, "x", breakConnection)
			s, view := newFateSystem(t, x)
			view.Replaced(objects.Snapshot{Items: []objects.Object{{Name: "x", Revision: 1}}})
			view.Replaced(objects.Snapshot{})
			s.host.runWatches.unlistedServeTime -= c.later
			view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: "next", Revision: 2}}}})
			require.Equal(t, c.fate, s.host.fateOf(targetStart{id: "x"}))
			require.Equal(t, fateServing, s.host.fateOf(targetStart{id: "next"}))
		})
	}
}
