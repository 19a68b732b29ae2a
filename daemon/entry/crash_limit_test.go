package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// breakConnection closes the connection of every request without an answer.
func breakConnection(int, received, string) (string, bool) { return "", true }

// newCrashingTarget starts a target that crashes at its first request: it closes the connection and
// accepts no further one.
func newCrashingTarget(t *testing.T, id string) *fakeTarget {
	var x *fakeTarget
	started := make(chan struct{})
	x = newFakeTarget(t, id, func(int, received, string) (string, bool) {
		<-started
		_ = x.listener.Close()
		return "", true
	})
	close(started)
	return x
}

// startTargets starts n targets called t0, t1 and so on.
func startTargets(t *testing.T, n int, start func(t *testing.T, id string) *fakeTarget) []*fakeTarget {
	var list []*fakeTarget
	for i := range n {
		list = append(list, start(t, "t"+strconv.Itoa(i)))
	}
	return list
}

// callRepeatedly sends n attempts of one idempotent call and returns the answers.
func (s *testSystem) callRepeatedly(n int, headers ...string) []answer {
	var answers []answer
	for i := range n {
		answers = append(answers, s.post("/plain/x", "in", append(headers, ownheaders.ID, "a"+strconv.Itoa(i))...))
	}
	return answers
}

// sendCount returns the number of requests that the targets received.
func sendCount(targets []*fakeTarget) int {
	count := 0
	for _, x := range targets {
		count += len(x.requests())
	}
	return count
}

func isGivenUp(a answer) bool {
	return a.status == http.StatusBadGateway && a.body == string(failure.TargetCrashes)+"\n"
}

// A request under which targets crashed must not be sent on at a host that has just started.
func TestNextHostKnowsOfCrashedTargets(t *testing.T) {
	for name, headers := range map[string][]string{"of a program": {ownheaders.Program, "p"}, "outside of programs": nil} {
		t.Run(name, func(t *testing.T) {
			targets := startTargets(t, 6, newCrashingTarget)
			s := newSystem(t, targets...)
			require.False(t, isGivenUp(s.callRepeatedly(1, headers...)[0]))
			require.Equal(t, 2, sendCount(targets))
			s.addHost()
			list(s.host, nil, targets...)
			for _, a := range s.callRepeatedly(4, headers...) {
				require.True(t, isGivenUp(a), "%+v", a)
				require.Empty(t, a.header.Get("Retry-After"))
			}
			require.Equal(t, ledger.MaxCrashes, sendCount(targets))
		})
	}
}

// Targets that break connections but serve on have not crashed: their requests must not be given up.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	targets := startTargets(t, 6, func(t *testing.T, id string) *fakeTarget { return newFakeTarget(t, id, breakConnection) })
	s := newSystem(t, targets...)
	for _, a := range s.callRepeatedly(4, ownheaders.Program, "p") {
		require.False(t, isGivenUp(a))
	}
	require.Greater(t, sendCount(targets), ledger.MaxCrashes)
}

// A target that served on after it broke a run off has not crashed then, also if it is gone later.
func TestTargetsThatAreGoneLaterHaveNotCrashed(t *testing.T) {
	targets := startTargets(t, 4, func(t *testing.T, id string) *fakeTarget { return newFakeTarget(t, id, breakConnection) })
	s := newSystem(t, targets...)
	s.callRepeatedly(2, ownheaders.Program, "p")
	require.GreaterOrEqual(t, sendCount(targets), ledger.MaxCrashes)
	view := NewTargetView(s.host, nil)
	for _, x := range targets {
		view.Changed(objects.Changes{Events: []objects.Event{{Object: objects.Object{Name: x.id}, Removed: true}}})
	}
	next := newFakeTarget(t, "next", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
	list(s.host, nil, next)
	require.Equal(t, http.StatusOK, s.callRepeatedly(1, ownheaders.Program, "p")[0].status)
}

// A run that was announced and whose end nobody stored counts once its target is gone.
func TestAnnouncedRunCountsOnceItsTargetIsGone(t *testing.T) {
	targets := startTargets(t, 5, newCrashingTarget)
	s := newSystem(t, targets[:2]...)
	s.callRepeatedly(1, ownheaders.Program, "p")
	require.Equal(t, 2, sendCount(targets))
	list(s.host, nil, targets[2:]...)
	x := &exchange{host: s.host, route: &routing.Route{}, call: request.Call{Program: "p", ID: "a"}}
	x.fingerprint = x.call.Fingerprint(http.MethodPost, "example", "/plain/x", []byte("in"))
	require.NoError(t, x.readBrokenRuns(t.Context()))
	require.Equal(t, 2, x.brokenRuns.Confirmed())
	require.NoError(t, x.announceRun(balance.TargetInfo{ID: targets[2].id}))
	require.NoError(t, x.crashLimitFailure(), "the target serves")
	require.NoError(t, targets[2].listener.Close())
	for _, a := range s.callRepeatedly(2, ownheaders.Program, "p") {
		require.True(t, isGivenUp(a))
	}
	require.Equal(t, 2, sendCount(targets))
}

// A crash that the next host cannot learn of must not be followed by another send.
func TestRequestIsNotRepeatedIfCrashIsNotStored(t *testing.T) {
	targets := startTargets(t, 4, newCrashingTarget)
	s := newSystem(t, targets...)
	for _, m := range s.members {
		m.silent.Store(true)
	}
	a := s.callRepeatedly(1, ownheaders.Program, "p")[0]
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, sendCount(targets))
}

// failures are the ways in which a target may end a run before its process ends.
var failures = map[string]answerFunc{
	"connection broken": breakConnection,
	"status 500":        func(_ int, _ received, id string) (string, bool) { return failedAnswer(id), false },
	"no signature":      func(_ int, _ received, id string) (string, bool) { return unsigned(okAnswer(id, "x")), false },
}

// failedAnswer is a signed answer with status 500.
func failedAnswer(id string) string {
	return "HTTP/1.1 500 Failed\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.Signature + ": s\r\nContent-Length: 0\r\n\r\n"
}

// watchForever makes the host of the system wait for late ends of targets without a limit, so that a test does
// not depend on how busy the machine is.
func (s *testSystem) watchForever() {
	s.host.runWatches.lateEndWindow, s.host.runWatches.openTime = time.Hour, time.Hour
}

// patientBrokenRunTimeouts replaces the timeouts of a deployment; see harnessTimeout.
var patientBrokenRunTimeouts = brokenRunTimeouts{write: harnessTimeout, read: harnessTimeout}

// endUsed ends the processes of the targets that have received a request.
func endUsed(t *testing.T, targets []*fakeTarget) {
	for _, x := range targets {
		if len(x.requests()) > 0 {
			_ = x.listener.Close() // those that have ended before
		}
	}
}

// A target that ends after the run under which it does must count, at every host.
func TestTargetThatEndsAfterItsRunCounts(t *testing.T) {
	for name, answer := range failures {
		t.Run(name, func(t *testing.T) {
			targets := startTargets(t, 6, func(t *testing.T, id string) *fakeTarget { return newFakeTarget(t, id, answer) })
			s := newSystem(t, targets...)
			for n := range 4 {
				s.watchForever()
				a := s.callRepeatedly(1, ownheaders.Program, "p")[0]
				require.Equal(t, n >= 2, isGivenUp(a), "call %d: %+v", n, a)
				endUsed(t, targets)
				s.addHost()
				list(s.host, nil, targets...)
			}
			require.Equal(t, ledger.MaxCrashes, sendCount(targets))
		})
	}
}

// A request whose runs fail at targets that serve on must not be given up, only held back for a moment.
func TestRequestIsHeldBackWhileTargetsMayCrash(t *testing.T) {
	for name, answer := range failures {
		t.Run(name, func(t *testing.T) {
			targets := startTargets(t, 12, func(t *testing.T, id string) *fakeTarget { return newFakeTarget(t, id, answer) })
			s := newSystem(t, targets...)
			s.watchForever()
			s.callRepeatedly(3, ownheaders.Program, "p")
			require.Equal(t, maxOpenRuns, sendCount(targets))
			a := s.callRepeatedly(1, ownheaders.Program, "p")[0]
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.NotEmpty(t, a.header.Get("Retry-After"))
			require.Equal(t, maxOpenRuns, sendCount(targets))
		})
	}
}
