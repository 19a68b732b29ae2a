package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// newServingTarget starts a target that answers every request.
func newServingTarget(t *testing.T, id string) *fakeTarget {
	return newFakeTarget(t, id, func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
}

// relist replaces the targets of the first host's list.
func (s *testSystem) relist(targets ...*fakeTarget) {
	s.host.mu.Lock()
	for _, id := range s.host.registry.IDsExcept(nil) {
		s.host.registry.Remove(id)
	}
	s.host.mu.Unlock()
	list(s.host, nil, targets...)
}

// newCrashingTargets starts n targets whose IDs begin with a prefix and which crash at their first request.
func newCrashingTargets(t *testing.T, prefix string, n int) []*fakeTarget {
	return startTargets(t, n, func(t *testing.T, id string) *fakeTarget { return newCrashingTarget(t, prefix+id) })
}

// One good answer must not exempt a request from the limit on crashes under the runs after it, at no host.
func TestRequestAnsweredOnceIsGivenUpAfterThreeCrashes(t *testing.T) {
	for name, headers := range map[string][]string{"of a program": {ownheaders.Program, "p"}, "outside of programs": nil} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newServingTarget(t, "serving"))
			require.Equal(t, http.StatusOK, s.callRepeatedly(1, headers...)[0].status)
			crashing := newCrashingTargets(t, "c", 6)
			s.relist(crashing...)
			s.callRepeatedly(2, headers...)
			require.Equal(t, ledger.MaxCrashes, sendCount(crashing))
			for range 2 {
				require.True(t, isGivenUp(s.callRepeatedly(1, headers...)[0]))
				s.addHost()
				list(s.host, nil, crashing...)
			}
			require.Equal(t, ledger.MaxCrashes, sendCount(crashing))
		})
	}
}

// Crashes must not be held against a request that was answered since, by another host either.
func TestRequestAnsweredBetweenCrashesIsNotGivenUp(t *testing.T) {
	for name, headers := range map[string][]string{"of a program": {ownheaders.Program, "p"}, "outside of programs": nil} {
		t.Run(name, func(t *testing.T) {
			serving := newServingTarget(t, "serving")
			s := newSystem(t, serving)
			for n := range 4 {
				crashing := newCrashingTargets(t, strconv.Itoa(n), 2)
				s.relist(crashing...)
				s.callRepeatedly(1, headers...)
				require.Equal(t, 2, sendCount(crashing))
				s.addHost()
				list(s.host, nil, serving)
				require.Equal(t, http.StatusOK, s.callRepeatedly(1, headers...)[0].status, "round %d", n)
				s.host.background.Wait() // the answer is stored after it was passed on
			}
		})
	}
}

// A failure that a target answers must not clear the crashes before it.
func TestFailedAnswerClearsNoCrash(t *testing.T) {
	crashing := newCrashingTargets(t, "c", 2)
	s := newSystem(t, crashing...)
	s.callRepeatedly(1)
	failing := newFakeTarget(t, "failing", func(_ int, _ received, id string) (string, bool) { return failedAnswer(id), false })
	s.relist(failing)
	require.Equal(t, http.StatusInternalServerError, s.callRepeatedly(1)[0].status)
	s.host.background.Wait()
	x := s.sharedCall()
	require.NoError(t, x.readBrokenRuns(t.Context()))
	require.Equal(t, 2, x.brokenRuns.Confirmed())
}

// sharedCall returns an attempt of the request that callRepeatedly sends outside of programs.
func (s *testSystem) sharedCall() *exchange {
	x := &exchange{host: s.host, route: &routing.Route{}, call: request.Call{ID: "a"}}
	x.fingerprint = x.call.Fingerprint(http.MethodPost, "example", "/plain/x", []byte("in"))
	return x
}

// storeCrashes stores crashes under the request of sharedCall, all of the first generation.
func (s *testSystem) storeCrashes(t *testing.T, count int) {
	x := s.sharedCall()
	var runs []*historypb.BrokenRun
	for n := range count {
		runs = append(runs, &historypb.BrokenRun{Request: x.fingerprint, Target: "gone" + strconv.Itoa(n), End: historypb.RunEnd_RUN_END_CRASHED, Generation: 1})
	}
	require.NoError(t, x.storeBrokenRuns(runs))
}

// A request outside of programs that several callers sent when targets crashed at once must be tried again, by one
// attempt at a time, and be served again once that is answered.
func TestRequestOfSeveralCallersIsTriedAfterCrashesAtOnce(t *testing.T) {
	arrived, proceed := make(chan struct{}, 9), make(chan struct{})
	serving := newFakeTarget(t, "serving", func(_ int, _ received, id string) (string, bool) {
		arrived <- struct{}{}
		<-proceed
		return okAnswer(id, "ok"), false
	})
	s := newSystem(t, serving)
	s.storeCrashes(t, ledger.MaxCrashes)
	first := make(chan answer)
	go func() { first <- s.callRepeatedly(1)[0] }()
	<-arrived
	held := s.callRepeatedly(1)[0]
	require.Equal(t, http.StatusServiceUnavailable, held.status)
	require.NotEmpty(t, held.header.Get("Retry-After"))
	require.Len(t, serving.requests(), 1)
	close(proceed)
	require.Equal(t, http.StatusOK, (<-first).status)
	s.host.background.Wait()
	require.Equal(t, http.StatusOK, s.callRepeatedly(1)[0].status)
}

// A request on trial under which further targets crash must be given up once three crashed one after the other.
func TestRequestOnTrialIsGivenUp(t *testing.T) {
	crashing := newCrashingTargets(t, "c", 6)
	s := newSystem(t, crashing...)
	s.storeCrashes(t, 2*ledger.MaxCrashes)
	s.callRepeatedly(2)
	require.Equal(t, ledger.MaxCrashes-1, sendCount(crashing))
	require.True(t, isGivenUp(s.callRepeatedly(1)[0]))
}

// A run must be watched by itself, also where an earlier run of the request at the target was answered since.
func TestRunAfterAnswerIsWatchedByItself(t *testing.T) {
	s := newSystem(t)
	x := s.sharedCall()
	target := targetStart{id: "t"}
	first := x.watchRun(runKey{x.fingerprint, target, 1, false}, "broken", time.Now())
	x.ownWatches = append(x.ownWatches, first)
	x.forgetBrokenRuns()
	s.host.endWatch(first, historypb.RunEnd_RUN_END_OUTLIVED)
	second := x.watchRun(runKey{x.fingerprint, target, 2, false}, "broken", time.Now())
	require.False(t, second.answered.Load())
	require.Equal(t, historypb.RunEnd_RUN_END_BROKEN, second.currentEnd())
	require.Same(t, second, x.watchRun(runKey{x.fingerprint, target, 2, false}, "broken", time.Now()))
}
