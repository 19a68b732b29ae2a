package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

func TestPlainAnswerIsForwarded(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, r received, id string) (string, bool) { return okAnswer(id, "answer to "+r.Body), false })
	s := newSystem(t, x)
	got := s.post("/plain/a%2Fb?q=1", "body", ownheaders.ID, "1", ownheaders.Timeout, "900")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer to body", got.body)
	require.Equal(t, "s", got.header.Get(ownheaders.Signature))
	seen := x.requests()[0]
	require.Equal(t, "/plain/a%2Fb?q=1", seen.URI)
	require.Equal(t, "t1", seen.Target)
	require.LessOrEqual(t, parseNumber(seen.TimeoutMs), int64(900))
}

func TestBadRequestsAreRejectedBeforeSending(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, ""), false })
	s := newSystem(t, x)
	for name, c := range map[string]struct {
		status     int
		path, body string
		headers    []string
	}{
		"no id":          {http.StatusBadRequest, "/plain/", "", nil},
		"no route":       {http.StatusNotFound, "/other/", "", []string{ownheaders.ID, "1"}},
		"body too large": {http.StatusRequestEntityTooLarge, "/plain/", strings.Repeat("x", 1001), []string{ownheaders.ID, "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.status, s.post(c.path, c.body, c.headers...).status)
		})
	}
	require.Empty(t, x.requests())
}

func TestRefusedCallIsSentToAnotherTarget(t *testing.T) {
	refusing := func(_ int, _ received, id string) (string, bool) { return refusedAnswer(id), false }
	a, b := newFakeTarget(t, "t1", refusing), newFakeTarget(t, "t2", refusing)
	s := newSystem(t, a, b)
	got := s.post("/once/", "", ownheaders.ID, "1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Len(t, a.requests(), 1)
	require.Len(t, b.requests(), 1)
}

// If all targets are full, a program's call waits for a short time, since a refusal would end its
// program. It is then sent only to targets that were full.
func TestProgramCallWaitsForTargetCapacity(t *testing.T) {
	answers := func(n int, r received, id string) (string, bool) {
		if n < 3 {
			return refusedAnswer(id), false
		}
		return okAnswer(id, "done"), false
	}
	a, b, c := newFakeTarget(t, "t1", answers), newFakeTarget(t, "t2", answers), newFakeTarget(t, "t3", answers)
	s := newSystem(t, a, b, c)
	got := s.post("/once/", "", ownheaders.ID, "1", ownheaders.Program, "p")
	require.Equal(t, http.StatusOK, got.status)
	targetsReached := 0
	for _, x := range []*fakeTarget{a, b, c} {
		if len(x.requests()) > 0 {
			targetsReached++
		}
	}
	require.Equal(t, 2, targetsReached, "the route allows two targets")
}

func TestProgramCallIsRefusedIfTargetsStayFull(t *testing.T) {
	full := func(_ int, _ received, id string) (string, bool) { return refusedAnswer(id), false }
	s := newSystem(t, newFakeTarget(t, "t1", full), newFakeTarget(t, "t2", full))
	got := s.post("/once/", "", ownheaders.ID, "1", ownheaders.Program, "p")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

func TestOnlyRepeatableRequestsAreResent(t *testing.T) {
	for path, want := range map[string]struct{ status, sends int }{
		"/plain/": {http.StatusOK, 2},
		"/quick/": {http.StatusOK, 2}, // a resumable stream may run more than once
		"/turn/":  {http.StatusBadGateway, 1},
		"/once/":  {http.StatusBadGateway, 1},
	} {
		t.Run(path, func(t *testing.T) {
			sends := make(chan struct{}, 4)
			breaking := func(n int, _ received, id string) (string, bool) {
				sends <- struct{}{}
				if len(sends) == 1 {
					return "", true // closes the connection without an answer
				}
				return okStream(id, 1, "ok"), false
			}
			s := newSystem(t, newFakeTarget(t, "t1", breaking), newFakeTarget(t, "t2", breaking))
			require.Equal(t, want.status, s.post(path, "x", ownheaders.ID, "1").status)
			require.Len(t, sends, want.sends)
		})
	}
}

func TestServerErrorIsRetriedElsewhereIfRepeatable(t *testing.T) {
	for path, want := range map[string]struct{ status, sends int }{
		"/plain/": {http.StatusOK, 2},
		"/quick/": {http.StatusOK, 2},
		"/once/":  {http.StatusInternalServerError, 1},
		"/turn/":  {http.StatusInternalServerError, 1},
	} {
		t.Run(path, func(t *testing.T) {
			sends := make(chan struct{}, 4)
			failing := func(n int, _ received, id string) (string, bool) {
				sends <- struct{}{}
				if len(sends) == 1 {
					return strings.Replace(okAnswer(id, "sorry"), "200 OK", "500 Oops", 1), false
				}
				return okStream(id, 1, "ok"), false
			}
			s := newSystem(t, newFakeTarget(t, "t1", failing), newFakeTarget(t, "t2", failing))
			require.Equal(t, want.status, s.post(path, "x", ownheaders.ID, "1").status)
			require.Len(t, sends, want.sends)
		})
	}
}

// If the first target may have run a request, the answer must not claim that it has not run, even if
// the second target refuses it.
func TestRefusalAfterBrokenSendDoesNotClaimNotRun(t *testing.T) {
	sends := make(chan struct{}, 4)
	answer := func(_ int, _ received, id string) (string, bool) {
		sends <- struct{}{}
		if len(sends) == 1 {
			return "", true
		}
		return refusedAnswer(id), false
	}
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	require.Equal(t, http.StatusBadGateway, s.post("/plain/", "x", ownheaders.ID, "1").status)
	require.Len(t, sends, 2)
}

// A stream that ends before its first event is answered with a failure of the host, without the
// target's signature.
func TestHostFailureIsNotSigned(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return streamHead(id), true })
	s := newSystem(t, x)
	got := s.postTurn("/turn/", "1", "", "x")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get(ownheaders.Signature))
	require.Empty(t, got.header.Get("Transfer-Encoding"))
	require.NotEqual(t, "text/event-stream", got.header.Get("Content-Type"))
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		return streamHead(id) + eventChunks(1, "a") + "5\r\nid: 2", true
	})
	s := newSystem(t, x)
	got := s.postTurn("/turn/", "1", "", "x")
	require.Equal(t, "id: 1\ndata: a\n\n", got.body)
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
}

func TestResumableStreamContinuesAtAnotherTarget(t *testing.T) {
	breakThenResume := func(n int, r received, id string) (string, bool) {
		if r.LastEvent == "" {
			return streamHead(id) + eventChunks(1, "a", "b") + "5\r\nid: 3", true
		}
		return okStream(id, 3, "c"), false
	}
	a, b := newFakeTarget(t, "t1", breakThenResume), newFakeTarget(t, "t2", breakThenResume)
	s := newSystem(t, a, b)
	got := s.postTurn("/quick/", "1", "", "x")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
}

func TestPromptIsRebuiltFromPreviousTurns(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, r received, id string) (string, bool) { return okStream(id, 1, "out-"+id), false })
	s := newSystem(t, x)
	require.Equal(t, http.StatusOK, s.postTurn("/turn/", "1", "", "in1;").status)
	require.Equal(t, http.StatusOK, s.postTurn("/turn/", "2", "1", "in2;").status)
	require.Equal(t, http.StatusOK, s.postTurn("/turn/", "3", "1", "in3;").status)
	seen := x.requests()
	require.Equal(t, "in1;", seen[0].Body)
	require.Equal(t, "in1;out-1\nin2;", seen[1].Body)
	require.Equal(t, "in1;out-1\nin3;", seen[2].Body, "two turns may continue from the same one")
	// Another program continues from there and stores its own copy of the chain.
	got := s.post("/turn/", "in4;", ownheaders.ID, "4", ownheaders.Program, "other", ownheaders.Previous, "2", ownheaders.Budget, "100", ownheaders.MaxTokens, "12")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "in1;out-1\nin2;out-2\nin4;", x.requests()[3].Body)
}

func TestUnknownTurnRequiresQuorum(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okStream(id, 1, "x"), false })
	s := newSystem(t, x)
	require.Equal(t, http.StatusNotFound, s.postTurn("/turn/", "1", "none", "x").status)
	s.members[0].silent.Store(true)
	require.Equal(t, http.StatusNotFound, s.postTurn("/turn/", "2", "none", "x").status, "two of three history hosts answer")
	s.members[1].silent.Store(true)
	s.host.HistoryTimeout = historyTimeout
	got := s.postTurn("/turn/", "3", "none", "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, x.requests())
}

func TestBudgetIsSharedByAllTurns(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		return okStream(id, 1, "a", "b", "c", "d"), false // 4 events of 3 tokens
	})
	s := newSystem(t, x)
	served := 0
	for _, id := range []string{"1", "2", "3"} {
		got := s.post("/quick/", "x", ownheaders.ID, id, ownheaders.Program, "p", ownheaders.Budget, "24", ownheaders.MaxTokens, "12")
		if got.status == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusPaymentRequired, got.status)
	}
	require.Equal(t, 2, served)
	require.Len(t, x.requests(), 2)
}

func TestTimeoutIsAnsweredImmediately(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	x := newFakeTarget(t, "t1", func(int, received, string) (string, bool) { <-release; return "", true })
	s := newSystem(t, x)
	require.Equal(t, http.StatusGatewayTimeout, s.post("/short/", "", ownheaders.ID, "1").status)
}

func TestOnlyTimeoutsAndBrokenAnswersCountAsTargetFailures(t *testing.T) {
	broken := failure.Unknown(failure.BadAnswer, "truncated")
	require.Equal(t, balance.Failed, failureOutcome(t.Context(), broken))
	callerCtx, cancelCaller := context.WithCancel(t.Context())
	expired, cancel := context.WithDeadlineCause(callerCtx, time.Now().Add(-time.Second), context.DeadlineExceeded)
	defer cancel()
	require.Equal(t, balance.Failed, failureOutcome(expired, broken))
	require.Equal(t, failure.Timeout, failureKind(expired, broken.Kind))
	cancelCaller()
	require.Equal(t, balance.Abandoned, failureOutcome(callerCtx, broken))
	require.Equal(t, failure.CallerGone, failureKind(callerCtx, broken.Kind))
}

// The end of a turn that is not retained does not wait for history hosts.
func TestUnretainedTurnEndsWithoutHistoryHosts(t *testing.T) {
	var s *testSystem
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		for _, m := range s.members {
			m.silent.Store(true)
		}
		return okStream(id, 1, "a", "b"), false
	})
	s = newSystem(t, x)
	got := s.post("/quick/", "in", ownheaders.ID, "1", ownheaders.Program, "p", ownheaders.Timeout, "1500", ownheaders.Budget, "100", ownheaders.MaxTokens, "12")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
}

// The settlement of a turn may still be pending when the next turn begins. The budget check waits
// for it, since a refusal ends the program.
func TestBudgetCheckWaitsForPendingSettlement(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okStream(id, 1, "a"), false })
	s := newSystem(t, x)
	record := func(r *historypb.Record) {
		require.NoError(t, s.history.Write(t.Context(), "p", time.Minute, r))
	}
	record(&historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: "0", Tokens: 95}}})
	time.AfterFunc(maxSettlementWait/4, func() {
		_ = s.history.Write(context.Background(), "p", time.Minute,
			&historypb.Record{Change: &historypb.Record_Settle{Settle: &historypb.Settle{Turn: "0", Tokens: 9}}})
	})
	require.Equal(t, http.StatusOK, s.postTurn("/turn/", "1", "", "in").status)
	// Without a settlement, the whole reservation counts.
	record(&historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: "2", Tokens: 80}}})
	require.Equal(t, http.StatusPaymentRequired, s.postTurn("/turn/", "3", "", "in").status)
}

// A turn that ran but cannot be stored, because history hosts are unreachable, is aborted early: its
// caller does not wait for the end of the partition.
func TestTurnIsAbortedIfItCannotBeStored(t *testing.T) {
	var s *testSystem
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		for _, m := range s.members {
			m.silent.Store(true)
		}
		return okStream(id, 1, "said"), false
	})
	s = newSystem(t, x)
	got := s.post("/turn/", "input", ownheaders.ID, "1", ownheaders.Program, "p", ownheaders.Timeout, "30000", ownheaders.MaxTokens, "3")
	require.Equal(t, http.StatusOK, got.status, "its events are forwarded")
	require.Error(t, got.err, "the stream looks incomplete")
}

// A host that has lost contact with the platform may not know the newest routes: it must not deny them.
func TestUnknownRouteIsNotDeniedWithoutContact(t *testing.T) {
	s := newSystem(t)
	view := NewConfigView(s.host, "main", func([]byte) (*routing.Table, error) { return nil, failure.New(failure.InvalidDeclaration, "none") })
	require.Equal(t, http.StatusNotFound, s.post("/new/", "x", ownheaders.ID, "1").status)
	view.Lost(failure.New(failure.PlatformUnavailable, "platform down"))
	got := s.post("/new/", "x", ownheaders.ID, "2")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	view.Changed(objects.Changes{})
	require.Equal(t, http.StatusNotFound, s.post("/new/", "x", ownheaders.ID, "3").status)
}
