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

// lineDialer connects or hangs, as a link that works or is cut.
type lineDialer struct{ cut atomic.Bool }

func (d *lineDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	if d.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

func newReachHost(d *lineDialer) *Host {
	h := New(Options{Dialer: d, DataCentre: "dc1", Log: discardLog()})
	h.registry.SetTarget(balance.TargetInfo{ID: "t1", Service: "s", Address: "a"})
	return h
}

func (h *Host) reachable(t *testing.T) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.registry.Target("t1")
	require.True(t, ok)
	return !x.Unreachable
}

func TestSilentTargetBehindACutIsGivenUpAndFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &lineDialer{}
		h := newReachHost(d)
		ctx, release := h.reach.guard(t.Context(), balance.TargetInfo{ID: "t1", Address: "a"})
		defer release()
		time.Sleep(5 * time.Second)
		require.NoError(t, ctx.Err(), "a silent target that can be reached is left alone")
		d.cut.Store(true)
		began := time.Now()
		<-ctx.Done()
		require.ErrorIs(t, context.Cause(ctx), errUnreachable)
		require.LessOrEqual(t, time.Since(began), 2*silenceBeforeProbe+probeTimeout)
		require.False(t, h.reachable(t))
		time.Sleep(10 * time.Second)
		d.cut.Store(false)
		time.Sleep(probeTimeout + 2*probePause)
		require.True(t, h.reachable(t))
	})
}

func TestTargetsBesideAnUnreachableOneAreFoundAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &lineDialer{}
		d.cut.Store(true)
		h := newReachHost(d)
		h.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: "b"})
		h.registry.SetTarget(balance.TargetInfo{ID: "far", Service: "s", Address: "c", DataCentre: "other"})
		h.reach.lost("t1", "a")
		time.Sleep(2*probeTimeout + time.Millisecond)
		h.mu.Lock()
		beside, _ := h.registry.Target("t2")
		far, _ := h.registry.Target("far")
		require.True(t, beside.Unreachable)
		require.False(t, far.Unreachable)
		h.mu.Unlock()
		d.cut.Store(false)
		time.Sleep(time.Second)
	})
}

// A target that leaves the list while it is behind a cut, and comes back to it, is
// probed anew.
func TestTargetThatIsListedAgainBehindTheSameCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &lineDialer{}
		d.cut.Store(true)
		h := newReachHost(d)
		h.reach.lost("t1", "a")
		time.Sleep(time.Second)
		h.mu.Lock()
		h.registry.RetainOnly(map[string]bool{})
		h.mu.Unlock()
		time.Sleep(time.Second)
		h.mu.Lock()
		h.registry.SetTarget(balance.TargetInfo{ID: "t1", Service: "s", Address: "a"})
		h.mu.Unlock()
		h.reach.lost("t1", "a")
		time.Sleep(time.Second)
		require.False(t, h.reachable(t))
		d.cut.Store(false)
		time.Sleep(time.Second)
		require.True(t, h.reachable(t))
		ctx, release := h.reach.guard(t.Context(), balance.TargetInfo{ID: "t1", Address: "a"})
		defer release()
		time.Sleep(time.Second)
		require.NoError(t, ctx.Err())
	})
}

// A cut shows as silence of a whole data centre: while one of its targets is heard,
// a kept connection to another one does not lead behind a cut.
func TestDataCentreIsHeardThroughAnyOfItsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newReachHost(&lineDialer{})
		require.False(t, h.reach.heardFrom("far", time.Minute), "never heard")
		_, release := h.reach.guard(t.Context(), balance.TargetInfo{ID: "t1", Address: "a", DataCentre: "far"})
		defer release()
		h.reach.heard("t1")
		time.Sleep(farSilenceTimeout)
		require.True(t, h.reach.heardFrom("far", farSilenceTimeout))
		time.Sleep(time.Millisecond)
		require.False(t, h.reach.heardFrom("far", farSilenceTimeout))
		require.False(t, h.reach.heardFrom("dc1", farSilenceTimeout))
		require.False(t, h.heardFrom("far", farSilenceTimeout), "no history hosts are known")
	})
}

// A target that starts again under its id knows nothing of the requests that it had: they
// end at once, and what may be repeated is.
func TestRequestsAtATargetThatStartsAgainEnd(t *testing.T) {
	var s *testSystem
	var b *fakeTarget
	ended := make(chan struct{})
	a := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		view := NewTargetView(s.host, func(id string, spec []byte) (balance.TargetInfo, error) {
			return balance.TargetInfo{ID: id, StartedAtMs: 2, Service: "s", Address: b.listener.Addr().String(), DataCentre: "dc1", Capacity: 4}, nil
		})
		view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: "t1"}}}})
		<-ended
		return "", true
	})
	b = newFakeTarget(t, "t1", answerOK)
	s = newSystem(t, a)
	got := s.post("/plain/", "", ownheaders.ID, "1")
	close(ended)
	require.Equal(t, http.StatusBadGateway, got.status, "the only target was tried already")
	require.Equal(t, http.StatusOK, s.post("/plain/", "", ownheaders.ID, "2").status)
	require.Len(t, b.requests(), 1)
}

// An entry that cannot be read names no target: the one that was listed under its name is
// not used any more, the others are.
func TestUnreadableEntryEndsItsTarget(t *testing.T) {
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
