package entry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// newSystemOfLoneVersion returns a system whose host has known only one software version for longer than any stream
// lasts, from a list of revision 5 that it has had since it started.
func newSystemOfLoneVersion(t *testing.T) *testSystem {
	targets, versionOf := versionedTargets(t, stallThenResume, "v1", "v1")
	s := newSystem(t)
	list(s.host, versionOf, targets...)
	s.host.versions.Observe("s", []string{"v1"}, -maxRequestTimeout)
	s.host.targetList.advance(5, 0)
	return s
}

// takeUpUnknown takes up a stream of which nothing is stored.
func (s *testSystem) takeUpUnknown(timeoutMs string) int {
	return s.post("/quick/", "a stream", ownheaders.ID, "a stream-2", ownheaders.LastEvent, "2", ownheaders.Timeout, timeoutMs).status
}

// A stream of unknown version may continue only if the list of targets was the newest when the caller asked.
func TestTakenUpStreamOfUnknownVersionNeedsNewestList(t *testing.T) {
	now := time.Now
	for name, c := range map[string]struct {
		read func(ctx context.Context, revision uint64) (objects.Changes, error)
		want int
	}{
		"no change": {func(context.Context, uint64) (objects.Changes, error) {
			return objects.Changes{Revision: 9, AsOf: now()}, nil
		}, http.StatusOK},
		"change that has not arrived": {func(context.Context, uint64) (objects.Changes, error) {
			return objects.Changes{Revision: 9, AsOf: now(), Events: make([]objects.Event, 1)}, nil
		}, http.StatusServiceUnavailable},
		"platform fails": {func(context.Context, uint64) (objects.Changes, error) { return objects.Changes{}, errors.New("down") }, http.StatusServiceUnavailable},
		"platform is silent": {func(ctx context.Context, _ uint64) (objects.Changes, error) {
			<-ctx.Done()
			return objects.Changes{}, ctx.Err()
		}, http.StatusServiceUnavailable},
		"not asked": {nil, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystemOfLoneVersion(t)
			s.host.ReadTargetChanges = c.read
			timeout := "300"
			if c.want == http.StatusOK {
				timeout = "60000"
			}
			require.Equal(t, c.want, s.takeUpUnknown(timeout))
		})
	}
}

// A list that lacks changes that the platform has named is confirmed once they have arrived.
func TestListIsConfirmedOnceChangesHaveArrived(t *testing.T) {
	l := &targetList{}
	l.confirmed.at.Store(neverConfirmed)
	l.recordCheck(objects.Changes{Revision: 9, Events: make([]objects.Event, 1)}, time.Second)
	l.advance(8, 0)
	require.False(t, l.confirmed.isSince(time.Second))
	l.advance(9, 0)
	require.True(t, l.confirmed.isSince(time.Second))
	l.recordCheck(objects.Changes{Revision: 9, Events: make([]objects.Event, 1)}, 2*time.Second) // they arrived before
	require.True(t, l.confirmed.isSince(2*time.Second))
}

// A host that may have missed a version, or holds only some of the targets, must not take a version for the only one.
func TestHostThatMayHaveMissedVersionsHasNoLoneVersion(t *testing.T) {
	s := newSystemOfLoneVersion(t)
	require.True(t, s.host.hasLoneVersion("s"))
	s.host.registry.SetHalvings([]subset.Halvings{{Service: "s", Far: 1}})
	require.False(t, s.host.hasLoneVersion("s"), "a subset")
	s.host.registry.SetHalvings(nil)
	view := NewTargetView(s.host, nil)
	view.observeAllVersions()
	require.True(t, s.host.hasLoneVersion("s"), "the first list")
	view.observeAllVersions()
	require.False(t, s.host.hasLoneVersion("s"), "a list after an earlier one")
}

// A host without targets must not let a stream of unknown version wait for any target.
func TestTakenUpStreamIsRefusedWithoutTargets(t *testing.T) {
	s := newSystem(t)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUpUnknown("60000"))
	x := s.sharedCall()
	x.service = "s"
	require.Error(t, x.unknownVersionFailure())
}
