package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// switchableDialer connects, or hangs while disconnected, like a link that is partitioned.
type switchableDialer struct{ disconnected atomic.Bool }

func (d *switchableDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	if d.disconnected.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

// newHostWithTarget returns a host with one target, t1 at address a.
func newHostWithTarget(d *switchableDialer) *Host {
	h := New(Options{Dialer: d, DataCentre: "dc1", Log: discardLog()})
	h.registry.SetTarget(balance.TargetInfo{ID: "t1", Service: "s", Address: "a"})
	return h
}

// isTargetReachable reports whether t1 is reachable.
func (h *Host) isTargetReachable(t *testing.T) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.registry.Target("t1")
	require.True(t, ok)
	return !x.Unreachable
}

func TestSilentUnreachableTargetIsDetectedAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &switchableDialer{}
		h := newHostWithTarget(d)
		ctx, release := h.reachability.guard(t.Context(), balance.TargetInfo{ID: "t1", Address: "a"})
		defer release()
		time.Sleep(5 * time.Second)
		require.NoError(t, ctx.Err(), "a silent target that is reachable keeps its requests")
		d.disconnected.Store(true)
		disconnectedAt := time.Now()
		<-ctx.Done()
		require.ErrorIs(t, context.Cause(ctx), errUnreachable)
		require.LessOrEqual(t, time.Since(disconnectedAt), 2*targetSilenceTimeout+probeTimeout)
		require.False(t, h.isTargetReachable(t))
		time.Sleep(10 * time.Second)
		d.disconnected.Store(false)
		time.Sleep(probeTimeout + 2*probeRetryDelay)
		require.True(t, h.isTargetReachable(t))
	})
}

func TestOtherTargetsOfDataCentreAreProbedWhenOneIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &switchableDialer{}
		d.disconnected.Store(true)
		h := newHostWithTarget(d)
		h.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: "b"})
		h.registry.SetTarget(balance.TargetInfo{ID: "far", Service: "s", Address: "c", DataCentre: "other"})
		h.reachability.startProbing("t1", "a")
		time.Sleep(2*probeTimeout + time.Millisecond)
		h.mu.Lock()
		neighbour, _ := h.registry.Target("t2")
		far, _ := h.registry.Target("far")
		require.True(t, neighbour.Unreachable)
		require.False(t, far.Unreachable)
		h.mu.Unlock()
		d.disconnected.Store(false)
		time.Sleep(time.Second)
	})
}

// A target that is removed from the list while it is unreachable, and listed again, must be
// probed again.
func TestUnreachableTargetIsProbedAgainAfterRelisting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &switchableDialer{}
		d.disconnected.Store(true)
		h := newHostWithTarget(d)
		h.reachability.startProbing("t1", "a")
		time.Sleep(time.Second)
		h.mu.Lock()
		h.registry.Remove("t1")
		h.mu.Unlock()
		time.Sleep(time.Second)
		h.mu.Lock()
		h.registry.SetTarget(balance.TargetInfo{ID: "t1", Service: "s", Address: "a"})
		h.mu.Unlock()
		h.reachability.startProbing("t1", "a")
		time.Sleep(time.Second)
		require.False(t, h.isTargetReachable(t))
		d.disconnected.Store(false)
		time.Sleep(time.Second)
		require.True(t, h.isTargetReachable(t))
		ctx, release := h.reachability.guard(t.Context(), balance.TargetInfo{ID: "t1", Address: "a"})
		defer release()
		time.Sleep(time.Second)
		require.NoError(t, ctx.Err())
	})
}

// A partition shows as silence of a whole data centre: while any of its targets sends something,
// a reused connection to another target there is not affected by a partition.
func TestHeardFromCountsAnyTargetOfDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHostWithTarget(&switchableDialer{})
		require.False(t, h.reachability.heardFrom("far", time.Minute), "it has sent nothing")
		_, release := h.reachability.guard(t.Context(), balance.TargetInfo{ID: "t1", Address: "a", DataCentre: "far"})
		defer release()
		h.reachability.recordHeard("t1")
		time.Sleep(farSilenceTimeout)
		require.True(t, h.reachability.heardFrom("far", farSilenceTimeout))
		time.Sleep(time.Millisecond)
		require.False(t, h.reachability.heardFrom("far", farSilenceTimeout))
		require.False(t, h.reachability.heardFrom("dc1", farSilenceTimeout))
		require.False(t, h.heardFrom("far", farSilenceTimeout), "no history hosts are known")
	})
}

// A target that restarts under its ID does not know the requests of its earlier incarnation:
// they must end at once, and those that may be repeated must be sent again.
func TestRequestsAtRestartedTargetEnd(t *testing.T) {
	var s *testSystem
	var restarted *fakeTarget
	ended := make(chan struct{})
	first := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		view := NewTargetView(s.host, func(id string, spec []byte) (balance.TargetInfo, error) {
			return balance.TargetInfo{ID: id, StartedAtMs: 2, Service: "s", Address: restarted.listener.Addr().String(), DataCentre: "dc1", Capacity: 4}, nil
		})
		view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: "t1"}}}})
		<-ended
		return "", true
	})
	restarted = newFakeTarget(t, "t1", answerOK)
	s = newSystem(t, first)
	got := s.post("/plain/", "", ownheaders.ID, "1")
	close(ended)
	require.Equal(t, http.StatusBadGateway, got.status, "the only target has been tried already")
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "2").status)
	require.Len(t, restarted.requests(), 1)
}

// An entry that cannot be decoded must take the target listed under its name out of use, and
// leave the others in use.
func TestUndecodableEntryRemovesItsTarget(t *testing.T) {
	a, b := newFakeTarget(t, "t1", answerOK), newFakeTarget(t, "t2", answerOK)
	s := newSystem(t, a, b)
	view := NewTargetView(s.host, func(id string, _ []byte) (balance.TargetInfo, error) {
		return balance.TargetInfo{}, failure.New(failure.InvalidDeclaration, "not readable")
	})
	view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: "t1"}}}})
	for i := range 6 {
		require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, strconv.Itoa(i)).status)
	}
	require.Empty(t, a.requests())
	require.Len(t, b.requests(), 6)
}
