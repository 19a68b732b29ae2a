package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
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

// A request that targets refuse and crash under must be given up, although it has not run there.
func TestRequestThatTargetsRefuseAndCrashUnderIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ path, program string }{
		"of a program": {"/plain/x", "p"}, "that may run once": {"/once/x", "p"}, "outside of programs": {"/plain/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			targets := startTargets(t, 12, newRefusingTarget)
			s := newSystem(t, targets...)
			for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
				s.post(c.path, "in", ownheaders.ID, id, ownheaders.Program, c.program)
				s.host.background.Wait()
			}
			require.True(t, isGivenUp(s.post(c.path, "in", ownheaders.ID, "7", ownheaders.Program, c.program)))
			require.LessOrEqual(t, sendCount(targets), ledger.MaxCrashes+1, "two in each attempt")
		})
	}
}

// What full targets refuse, and what was meant for another target, must not be held against the request.
func TestRefusalsOfFullTargetsAreNotCounted(t *testing.T) {
	for name, c := range map[string]struct {
		head    request.Answer
		load    float64
		counted int
	}{
		"full":                      {request.Answer{HasLoad: true, Load: request.Load{Running: 4, Capacity: 4}}, 0, 0},
		"queue":                     {request.Answer{HasLoad: true, Load: request.Load{Running: 3, Waiting: 1, Capacity: 4}}, 0, 0},
		"other target":              {request.Answer{Misdirected: true}, 0, 0},
		"free":                      {request.Answer{HasLoad: true, Load: request.Load{Running: 3, Capacity: 4}}, 1, 1},
		"no report, known as full":  {request.Answer{}, 1, 0},
		"no report, known as free ": {request.Answer{}, 0.5, 1},
	} {
		x := &exchange{route: &routing.Route{}, targetLoad: c.load}
		x.addRefusal(balance.TargetInfo{ID: "t"}, &targetpool.Response{Answer: c.head})
		require.Len(t, x.refusals, c.counted, name)
	}
}

// Targets that serve on after they refused a request must not count: it must be answered once they take it.
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
	s.host.runWatches.openTime = 0
	s.host.lastCrashes.record("s")
	for range 4 {
		s.callRepeatedly(1, ownheaders.Program, "p")
		s.host.background.Wait()
	}
	require.Equal(t, http.StatusOK, s.callRepeatedly(1, ownheaders.Program, "p")[0].status)
}
