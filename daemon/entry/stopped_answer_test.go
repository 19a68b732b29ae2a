package entry

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// stoppingTarget answers whole until stopAt is set, then only with that many bytes, and closes the connection.
type stoppingTarget struct {
	whole  func(id string) string
	stopAt atomic.Int64
}

func (s *stoppingTarget) answer(_ int, _ received, id string) (string, bool) {
	whole := s.whole(id)
	n := s.stopAt.Load()
	if n < 0 {
		return whole, false
	}
	return whole[:n], true
}

// longHead makes the head of an answer longer than one read of a connection.
func longHead(answer string) string {
	return strings.Replace(answer, "\r\n", "\r\nX-Padding: "+strings.Repeat("p", 6000)+"\r\n", 1)
}

// stopPoints are the lengths at which an answer is cut: the ends and the middles of all lines.
func stopPoints(answer string) []int64 {
	points := []int64{0}
	for i := range answer {
		if i > 0 && answer[i-1] == '\n' {
			points = append(points, int64(i-2), int64(i-1), int64(i), int64(i+1))
		}
	}
	return append(points, int64(len(answer)/2), int64(len(answer)-1))
}

// An answer that stops in its head or body must not reach its caller as whole, on any route, whether the
// connection is new or was used before.
func TestAnswerThatStopsIsNotPassedOnAsWhole(t *testing.T) {
	plain := func(id string) string { return okAnswer(id, "whole") }
	stream := func(id string) string { return okStream(id, 1, "a", "b") }
	for path, whole := range map[string]func(string) string{"/plain/": plain, "/once/": plain, "/turn/": stream, "/quick/": stream} {
		for _, head := range []func(string) string{func(a string) string { return a }, longHead} {
			answer := func(id string) string { return head(whole(id)) }
			t.Run(path+strconv.Itoa(len(answer("x"))), func(t *testing.T) { checkStoppedAnswers(t, path, answer) })
		}
	}
}

// checkStoppedAnswers cuts an answer at each of its stop points, on a new and on a used connection.
func checkStoppedAnswers(t *testing.T, path string, whole func(id string) string) {
	target := &stoppingTarget{whole: whole}
	s := newSystem(t, newFakeTarget(t, "t1", target.answer))
	call := func(id string) answer {
		return s.post(path+"x", id, ownheaders.ID, id, ownheaders.MaxTokens, "12")
	}
	for i, stopAt := range stopPoints(whole("r-000")) {
		for _, used := range []bool{false, true} {
			id := "r-" + strconv.Itoa(100+i)
			s.host.pool.CloseIdle(s.targetAddress("t1"))
			target.stopAt.Store(-1)
			if used {
				require.Equal(t, http.StatusOK, call(id).status)
			}
			target.stopAt.Store(stopAt)
			a := call(id + strconv.FormatBool(used))
			require.NotEqual(t, http.StatusServiceUnavailable, a.status, "sent")
			if a.status == http.StatusOK {
				require.Error(t, a.err, "cut at %d, used %t: %q", stopAt, used, a.body)
			}
		}
	}
}

// targetAddress returns the address of a target.
func (s *testSystem) targetAddress(id string) string {
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	x, ok := s.host.registry.Target(id)
	require.True(s.t, ok)
	return x.Address
}

// A stream that is resumed at a target whose answer stops must not end as whole.
func TestResumedStreamThatStopsIsNotPassedOnAsWhole(t *testing.T) {
	resumed := func(id string) string { return longHead(okStream(id, 2, "b", "c")) }
	for _, stopAt := range stopPoints(resumed("r-000")) {
		var sends atomic.Int64
		answer := func(_ int, _ received, id string) (string, bool) {
			if sends.Add(1) == 1 {
				return streamHead(id) + eventChunks(1, "a"), true
			}
			return resumed(id)[:stopAt], true
		}
		s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
		a := s.post("/quick/x", "in", ownheaders.ID, "r-100", ownheaders.MaxTokens, "12")
		require.Equal(t, int64(2), sends.Load())
		require.Error(t, a.err, "cut at %d: %q", stopAt, a.body)
		require.True(t, strings.HasPrefix(a.body, "id: 1\ndata: a\n\n"), a.body)
	}
}
