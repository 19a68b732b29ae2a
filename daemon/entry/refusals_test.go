package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// newRefusingTarget starts a target that refuses its first request and then accepts no further connection.
func newRefusingTarget(t *testing.T, id string) *fakeTarget {
	var x *fakeTarget
	started := make(chan struct{})
	x = newFakeTarget(t, id, func(_ int, _ received, id string) (string, bool) {
		<-started
		_ = x.listener.Close()
		return refusedAnswer(id), true
	})
	close(started)
	return x
}

// A request that targets refuse and end under must be given up, although it has not run there.
func TestRequestThatTargetsRefuseAndEndUnderIsGivenUp(t *testing.T) {
	targets := startTargets(t, 12, newRefusingTarget)
	s := newSystem(t, targets...)
	s.host.lastCrashes.record("s")
	for range 6 {
		s.callRepeatedly(1, ownheaders.Program, "p")
		s.host.background.Wait()
	}
	require.True(t, isGivenUp(s.callRepeatedly(1, ownheaders.Program, "p")[0]))
	require.LessOrEqual(t, sendCount(targets), maxOpenRuns)
}

// What full targets refuse, and what was meant for another target, must not be held against the request.
func TestRefusalsOfFullTargetsAreNotCounted(t *testing.T) {
	for name, c := range map[string]struct {
		head    request.Answer
		counted int
	}{
		"full":          {request.Answer{HasLoad: true, Load: request.Load{Running: 4, Capacity: 4}}, 0},
		"queue":         {request.Answer{HasLoad: true, Load: request.Load{Running: 3, Waiting: 1, Capacity: 4}}, 0},
		"other target":  {request.Answer{Misdirected: true}, 0},
		"free":          {request.Answer{HasLoad: true, Load: request.Load{Running: 3, Capacity: 4}}, 1},
		"no load given": {request.Answer{}, 1},
	} {
		x := &exchange{route: &routing.Route{}}
		x.addRefusal(balance.TargetInfo{ID: "t"}, c.head)
		require.Len(t, x.refusals, c.counted, name)
	}
}

// Targets that serve on after they refused a request must not count, and it must be answered once they have room.
func TestRequestThatTargetsRefuseIsServedLater(t *testing.T) {
	targets := startTargets(t, 4, func(t *testing.T, id string) *fakeTarget {
		return newFakeTarget(t, id, func(n int, _ received, id string) (string, bool) {
			if n < 2 {
				return refusedAnswer(id), false
			}
			return okAnswer(id, "ok"), false
		})
	})
	s := newSystem(t, targets...)
	s.host.lastCrashes.record("s")
	require.Eventually(t, func() bool {
		a := s.callRepeatedly(1, ownheaders.Program, "p")[0]
		require.False(t, isGivenUp(a))
		return a.status == http.StatusOK
	}, harnessTimeout, time.Millisecond)
}
