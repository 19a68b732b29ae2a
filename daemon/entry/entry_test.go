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
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

func TestPlainAnswerIsPassedOnWhole(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, r received, id string) (string, bool) { return whole(id, "answer to "+r.Body), false })
	s := newSystem(t, x)
	got := s.post("/plain/a%2Fb?q=1", "body", ownheaders.ID, "1", ownheaders.Left, "900")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer to body", got.body)
	require.Equal(t, "s", got.header.Get(ownheaders.Signature))
	seen := x.requests()[0]
	require.Equal(t, "/plain/a%2Fb?q=1", seen.URI)
	require.Equal(t, "t1", seen.Target)
	require.LessOrEqual(t, number(seen.LeftMs), int64(900))
}

func TestBadRequestsAreRefusedAndNotSent(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return whole(id, ""), false })
	s := newSystem(t, x)
	for name, c := range map[string]struct {
		status     int
		path, body string
		headers    []string
	}{
		"no id":    {http.StatusBadRequest, "/plain/", "", nil},
		"no route": {http.StatusNotFound, "/other/", "", []string{ownheaders.ID, "1"}},
		"too long": {http.StatusRequestEntityTooLarge, "/plain/", strings.Repeat("x", 1001), []string{ownheaders.ID, "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.status, s.post(c.path, c.body, c.headers...).status)
		})
	}
	require.Empty(t, x.requests())
}

func TestRefusalGoesToAnotherTarget(t *testing.T) {
	refusing := func(_ int, _ received, id string) (string, bool) { return refused(id), false }
	a, b := newTarget(t, "t1", refusing), newTarget(t, "t2", refusing)
	s := newSystem(t, a, b)
	got := s.post("/once/", "", ownheaders.ID, "1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Len(t, a.requests(), 1)
	require.Len(t, b.requests(), 1)
}

// A program's call waits for a moment where all targets are full: refused, it would end
// its program. It goes to those again that said so, and to no others.
func TestProgramsCallWaitsForRoom(t *testing.T) {
	answers := func(n int, r received, id string) (string, bool) {
		if n < 3 {
			return refused(id), false
		}
		return whole(id, "done"), false
	}
	a, b, c := newTarget(t, "t1", answers), newTarget(t, "t2", answers), newTarget(t, "t3", answers)
	s := newSystem(t, a, b, c)
	got := s.post("/once/", "", ownheaders.ID, "1", ownheaders.Program, "p")
	require.Equal(t, http.StatusOK, got.status)
	asked := 0
	for _, x := range []*target{a, b, c} {
		if len(x.requests()) > 0 {
			asked++
		}
	}
	require.Equal(t, 2, asked, "the route allows two targets")
}

func TestProgramsCallIsRefusedWhereNoRoomComes(t *testing.T) {
	full := func(_ int, _ received, id string) (string, bool) { return refused(id), false }
	s := newSystem(t, newTarget(t, "t1", full), newTarget(t, "t2", full))
	got := s.post("/once/", "", ownheaders.ID, "1", ownheaders.Program, "p")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

func TestOnlyIdempotentRequestsAreSentAgain(t *testing.T) {
	for path, want := range map[string]struct{ status, sends int }{
		"/plain/": {http.StatusOK, 2},
		"/quick/": {http.StatusOK, 2}, // a stream that may be resumed may run again
		"/turn/":  {http.StatusBadGateway, 1},
		"/once/":  {http.StatusBadGateway, 1},
	} {
		t.Run(path, func(t *testing.T) {
			sends := make(chan struct{}, 4)
			breaking := func(n int, _ received, id string) (string, bool) {
				sends <- struct{}{}
				if len(sends) == 1 {
					return "", true // closes without an answer
				}
				return streamed(id, 1, "ok"), false
			}
			s := newSystem(t, newTarget(t, "t1", breaking), newTarget(t, "t2", breaking))
			require.Equal(t, want.status, s.post(path, "x", ownheaders.ID, "1").status)
			require.Len(t, sends, want.sends)
		})
	}
}

func TestFailureOfATargetIsTriedElsewhereWhereAllowed(t *testing.T) {
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
					return strings.Replace(whole(id, "sorry"), "200 OK", "500 Oops", 1), false
				}
				return streamed(id, 1, "ok"), false
			}
			s := newSystem(t, newTarget(t, "t1", failing), newTarget(t, "t2", failing))
			require.Equal(t, want.status, s.post(path, "x", ownheaders.ID, "1").status)
			require.Len(t, sends, want.sends)
		})
	}
}

// What may have run at one target is never said not to have run, whatever the next
// one says.
func TestRefusalAfterABrokenTryPromisesNothing(t *testing.T) {
	sends := make(chan struct{}, 4)
	answer := func(_ int, _ received, id string) (string, bool) {
		sends <- struct{}{}
		if len(sends) == 1 {
			return "", true
		}
		return refused(id), false
	}
	s := newSystem(t, newTarget(t, "t1", answer), newTarget(t, "t2", answer))
	require.Equal(t, http.StatusBadGateway, s.post("/plain/", "x", ownheaders.ID, "1").status)
	require.Len(t, sends, 2)
}

// A stream that breaks before its first event ends in a failure of our own,
// without the target's signature.
func TestFailureBearsNoSignature(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return streamHead(id), true })
	s := newSystem(t, x)
	got := s.turn("/turn/", "1", "", "x")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get(ownheaders.Signature))
	require.Empty(t, got.header.Get("Transfer-Encoding"))
	require.NotEqual(t, "text/event-stream", got.header.Get("Content-Type"))
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		return streamHead(id) + chunks(1, "a") + "5\r\nid: 2", true
	})
	s := newSystem(t, x)
	got := s.turn("/turn/", "1", "", "x")
	require.Equal(t, "id: 1\ndata: a\n\n", got.body)
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
}

func TestResumableStreamGoesOnAtAnotherTarget(t *testing.T) {
	first := func(n int, r received, id string) (string, bool) {
		if r.LastEvent == "" {
			return streamHead(id) + chunks(1, "a", "b") + "5\r\nid: 3", true
		}
		return streamed(id, 3, "c"), false
	}
	a, b := newTarget(t, "t1", first), newTarget(t, "t2", first)
	s := newSystem(t, a, b)
	got := s.turn("/quick/", "1", "", "x")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
}

func TestChainIsRebuiltForTheNextTurn(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, r received, id string) (string, bool) { return streamed(id, 1, "out-"+id), false })
	s := newSystem(t, x)
	require.Equal(t, http.StatusOK, s.turn("/turn/", "1", "", "in1;").status)
	require.Equal(t, http.StatusOK, s.turn("/turn/", "2", "1", "in2;").status)
	require.Equal(t, http.StatusOK, s.turn("/turn/", "3", "1", "in3;").status)
	seen := x.requests()
	require.Equal(t, "in1;", seen[0].Body)
	require.Equal(t, "in1;out-1\nin2;", seen[1].Body)
	require.Equal(t, "in1;out-1\nin3;", seen[2].Body, "two turns may continue from the same one")
	// Another program goes on from there, and keeps the chain itself.
	got := s.post("/turn/", "in4;", ownheaders.ID, "4", ownheaders.Program, "other", ownheaders.Previous, "2", ownheaders.Budget, "100", ownheaders.MaxTokens, "12")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "in1;out-1\nin2;out-2\nin4;", x.requests()[3].Body)
}

func TestUnknownTurnOnlyIfCertain(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return streamed(id, 1, "x"), false })
	s := newSystem(t, x)
	require.Equal(t, http.StatusNotFound, s.turn("/turn/", "1", "none", "x").status)
	s.members[0].silent.Store(true)
	require.Equal(t, http.StatusNotFound, s.turn("/turn/", "2", "none", "x").status, "two of three answer")
	s.members[1].silent.Store(true)
	s.host.HistoryTimeout = historyPatience
	got := s.turn("/turn/", "3", "none", "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, x.requests())
}

func TestBudgetIsSharedByAllTurns(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		return streamed(id, 1, "a", "b", "c", "d"), false // 4 events of 3 tokens
	})
	s := newSystem(t, x)
	sent := 0
	for _, id := range []string{"1", "2", "3"} {
		got := s.post("/quick/", "x", ownheaders.ID, id, ownheaders.Program, "p", ownheaders.Budget, "24", ownheaders.MaxTokens, "12")
		if got.status == http.StatusOK {
			sent++
			continue
		}
		require.Equal(t, http.StatusPaymentRequired, got.status)
	}
	require.Equal(t, 2, sent)
	require.Len(t, x.requests(), 2)
}

func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	x := newTarget(t, "t1", func(int, received, string) (string, bool) { <-hold; return "", true })
	s := newSystem(t, x)
	require.Equal(t, http.StatusGatewayTimeout, s.post("/short/", "", ownheaders.ID, "1").status)
}

func TestOnlyTimeoutsAndBreaksAreHeldAgainstATarget(t *testing.T) {
	broken := failure.Unknown(failure.BadAnswer, "cut")
	require.Equal(t, balance.Failed, outcomeOf(t.Context(), broken))
	left, leave := context.WithCancel(t.Context())
	timed, cancel := context.WithDeadlineCause(left, time.Now().Add(-time.Second), context.DeadlineExceeded)
	defer cancel()
	require.Equal(t, balance.Failed, outcomeOf(timed, broken))
	require.Equal(t, failure.Timeout, endedBy(timed, broken.Kind))
	leave()
	require.Equal(t, balance.Abandoned, outcomeOf(left, broken))
	require.Equal(t, failure.CallerGone, endedBy(left, broken.Kind))
}

// The end of a turn that nothing continues depends on no history host.
func TestEndOfATurnThatIsNotRetainedWaitsForNobody(t *testing.T) {
	var s *system
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		for _, m := range s.members {
			m.silent.Store(true)
		}
		return streamed(id, 1, "a", "b"), false
	})
	s = newSystem(t, x)
	got := s.post("/quick/", "in", ownheaders.ID, "1", ownheaders.Program, "p", ownheaders.Left, "1500", ownheaders.Budget, "100", ownheaders.MaxTokens, "12")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
}

// A settlement may still be on its way when the next turn begins; a refusal waits for
// it, since it ends the program.
func TestBudgetIsNotRefusedOverASettlementOnItsWay(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return streamed(id, 1, "a"), false })
	s := newSystem(t, x)
	record := func(r *historypb.Record) {
		require.NoError(t, s.past.Write(t.Context(), "p", time.Minute, r))
	}
	record(&historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: "0", Tokens: 95}}})
	time.AfterFunc(settlementWait/4, func() {
		_ = s.past.Write(context.Background(), "p", time.Minute,
			&historypb.Record{Change: &historypb.Record_Settle{Settle: &historypb.Settle{Turn: "0", Tokens: 9}}})
	})
	require.Equal(t, http.StatusOK, s.turn("/turn/", "1", "", "in").status)
	// One that does not come counts at its most.
	record(&historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: "2", Tokens: 80}}})
	require.Equal(t, http.StatusPaymentRequired, s.turn("/turn/", "3", "", "in").status)
}

// A turn that ran and cannot be kept, because history hosts are out of reach, is broken off
// soon: its caller does not wait for the end of a cut.
func TestTurnThatCannotBeKeptIsBrokenOff(t *testing.T) {
	var s *system
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		for _, m := range s.members {
			m.silent.Store(true)
		}
		return streamed(id, 1, "said"), false
	})
	s = newSystem(t, x)
	got := s.post("/turn/", "input", ownheaders.ID, "1", ownheaders.Program, "p", ownheaders.Left, "30000", ownheaders.MaxTokens, "3")
	require.Equal(t, http.StatusOK, got.status, "its events are passed on")
	require.Error(t, got.err, "it does not look whole")
}
