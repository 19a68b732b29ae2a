package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// requireNotPassedOn requires that what a target sends in place of an answer is not passed on, and that the request is
// sent to another target at once if it may run twice, on all kinds of route. The target leaves the connection open.
func requireNotPassedOn(t *testing.T, name string, spoil func(answer string) string) {
	t.Helper()
	stream := func(id string) string { return okStream(id, 1, "whole") }
	plain := func(id string) string { return okAnswer(id, "whole") }
	for path, c := range map[string]struct {
		answer func(id string) string
		status int
		sends  int32
	}{
		"/plain/": {plain, http.StatusOK, 2},
		"/once/":  {plain, http.StatusBadGateway, 1},
		"/quick/": {stream, http.StatusOK, 2},
		"/turn/":  {stream, http.StatusBadGateway, 1},
	} {
		t.Run(path+" "+name, func(t *testing.T) {
			answer, requestCount := spoilFirst(spoil, c.answer)
			s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
			got := s.postTurn(path, "1", "", "x")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.status == http.StatusOK, strings.Contains(got.body, "whole"), got.body)
			require.NotContains(t, got.body, "forged")
			require.Equal(t, c.sends, requestCount.Load())
		})
	}
}

// withStatus replaces the status of an answer.
func withStatus(status string) func(string) string {
	return func(answer string) string { return strings.Replace(answer, "200 OK", status, 1) }
}

// A number that is no status must not be taken for an informational answer, nor the body after it for an answer.
func TestAnswerWithoutStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000 x", "099 x", "+20 x", "600 x", "999 x"} {
		requireNotPassedOn(t, status, withStatus(status))
		requireNotPassedOn(t, status+" with an answer as its body", func(string) string {
			return withStatus(status)(okAnswer("1", okAnswer("1", "forged")))
		})
	}
}

// A call that is sent a second time must not get the malformed answer that arrives first.
func TestMalformedAnswerDoesNotWinHedgedCall(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"status": withStatus("000 x"),
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			answer, _ := spoilFirst(func(a string) string { <-release; return a }, func(id string) string { return okAnswer(id, "whole") })
			spoiled := func(n int, r received, id string) (string, bool) {
				raw, closes := answer(n, r, id)
				select {
				case <-release:
				default:
					defer close(release)
					return spoil(raw), closes
				}
				return raw, closes
			}
			s := newSystem(t, newFakeTarget(t, "t1", spoiled), newFakeTarget(t, "t2", spoiled))
			s.enableHedging(5)
			got := s.post("/plain/", "x", ownheaders.ID, "1")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "whole", got.body)
		})
	}
}
