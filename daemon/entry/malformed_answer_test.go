package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// withLine adds a line to the head of an answer.
func withLine(line string) func(string) string {
	return func(answer string) string {
		return strings.Replace(answer, signatureLine, signatureLine+line+"\r\n", 1)
	}
}

// withBlankInLength puts a blank before the colon of the field that tells how the body ends.
func withBlankInLength(answer string) string {
	return strings.NewReplacer("Content-Length:", "Content-Length :", "Transfer-Encoding:", "Transfer-Encoding :").Replace(answer)
}

// An answer in whose head the name of a field is none must not be passed on, neither without that line nor with a body
// that the line would have ended elsewhere.
func TestAnswerWithMalformedFieldIsNotPassedOn(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"blank in a name": withLine("X-Note more: a"), "tab in a name": withLine("X-Note\t: a"), "control byte in a name": withLine("X-No\x01te: a"),
		"no name": withLine(": a"), "control byte in a value": withLine("X-Note: a\x01"), "carriage return in a value": withLine("X-Note: a\rb"),
		"blank after the name of the length": withBlankInLength,
	} {
		requireNotPassedOn(t, name, spoil)
	}
}

// A field after the last chunk of a body must be as sound as those of the head.
func TestAnswerWithMalformedTrailerIsNotPassedOn(t *testing.T) {
	chunked := func(id string) string {
		return strings.Replace(okAnswer(id, "5\r\nwhole\r\n0\r\nX-Note more: a\r\n\r\n"), "Content-Length: 31", "Transfer-Encoding: chunked", 1)
	}
	require.Contains(t, chunked("1"), "chunked")
	s := newSystem(t, newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return chunked(id), false }))
	require.Equal(t, http.StatusBadGateway, s.post("/once/", "x", ownheaders.ID, "1").status)
}

// withLengthAndCoding adds the field that an answer does not have: its length, or its coding in chunks.
func withLengthAndCoding(answer string) string {
	if strings.Contains(answer, "Content-Length") {
		return withLine("Transfer-Encoding: chunked")(answer)
	}
	return withLine("Content-Length: 5")(answer)
}

// An answer whose head contradicts itself must not be passed on: where its body ends is not certain.
func TestAnswerWithContradictoryHeadIsNotPassedOn(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"length and coding":      withLengthAndCoding,
		"another protocol":       withStatus("101 x"),
		"no content, but a body": withStatus("204 x"),
		"informational, with an answer as its body": func(string) string {
			return withStatus("103 x")(okAnswer("1", okAnswer("1", "forged")))
		},
		"coding that the version does not have": func(a string) string {
			return withLengthAndCoding(strings.Replace(a, "HTTP/1.1", "HTTP/1.0", 1))
		},
	} {
		requireNotPassedOn(t, name, spoil)
	}
}

// An answer that names another request too, or has another signature, must not be passed on.
func TestAnswerToSeveralRequestsIsNotPassedOn(t *testing.T) {
	requireNotPassedOn(t, "two requests", withLine(ownheaders.ID+": 2"))
	requireNotPassedOn(t, "two requests, the other one first", func(a string) string { return strings.Replace(a, "\r\n", "\r\n"+ownheaders.ID+": 2\r\n", 1) })
	requireNotPassedOn(t, "two signatures", withLine(ownheaders.Signature+": t"))
	requireNotPassedOn(t, "a signature and none", withLine(ownheaders.Signature+":"))
}

// An answer after informational ones, and one without content, must be passed on.
func TestAnswerWithoutContentIsPassedOn(t *testing.T) {
	const informational = "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	s := newSystem(t, newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		return informational + withStatus("204 No Content")(okAnswer(id, "")), false
	}))
	got := s.post("/once/", "x", ownheaders.ID, "1")
	require.Equal(t, http.StatusNoContent, got.status)
	require.NotEmpty(t, got.header.Get(ownheaders.Signature))
}

// Each name that the RFC allows must reach the caller with its value.
func TestAnswerWithUnusualFieldsIsPassedOn(t *testing.T) {
	const name = "!#$%&'*+-.^_`|~1"
	for _, lines := range []string{name + ": a b", name + ":\ta\r\n b\t", strings.ToUpper(name) + ":a b"} {
		s := newSystem(t, newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
			return withLine(lines)(okAnswer(id, "whole")), false
		}))
		got := s.post("/once/", "x", ownheaders.ID, "1")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "whole", got.body)
		require.Equal(t, []string{"a b"}, got.header[name])
	}
}

// A call that is sent a second time must not get the malformed answer that arrives first.
func TestMalformedAnswerDoesNotWinHedgedCall(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"status": withStatus("000 x"), "blank in a name": withLine("X-Note more: a"),
	} {
		t.Run(name, func(t *testing.T) {
			rejected := make(chan struct{})
			requestCount := &atomic.Int32{}
			answer := func(id string) string {
				if requestCount.Add(1) == 2 {
					return spoil(okAnswer(id, "forged"))
				}
				select {
				case <-rejected:
				case <-t.Context().Done():
				}
				return okAnswer(id, "whole")
			}
			var closed sync.Once
			end := func(c *net.TCPConn) {
				_, _ = io.Copy(io.Discard, c) // until the host closes the connection
				closed.Do(func() { close(rejected) })
			}
			s := newSystem(t)
			s.addUnreadTarget("t1", answer, end)
			s.addUnreadTarget("t2", answer, end)
			s.enableHedging(5)
			got := s.post("/plain/", "x", ownheaders.ID, "1")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "whole", got.body)
		})
	}
}

// A stream must not continue with what is no answer, nor end with it as whole: the next target continues it.
func TestStreamDoesNotContinueWithMalformedAnswer(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"status": withStatus("000 x"), "blank in a name": withLine("X-Note more: a"), "length and coding": withLengthAndCoding, "two requests": withLine(ownheaders.ID + ": 2"),
	} {
		t.Run(name, func(t *testing.T) {
			spoiled := &atomic.Bool{}
			answer := func(_ int, r received, id string) (string, bool) {
				switch {
				case r.LastEvent == "":
					return streamHead(id) + eventChunks(1, "a", "b") + "5\r\nid: 3", true
				case spoiled.CompareAndSwap(false, true):
					return spoil(okStream(id, 3, "forged")), false
				}
				return okStream(id, 3, "c"), false
			}
			s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer), newFakeTarget(t, "t3", answer))
			s.allowAttempts("/quick/", 3)
			got := s.postStream("p", 1)
			require.NoError(t, got.err)
			require.True(t, spoiled.Load())
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
		})
	}
}

// What is no answer counts as a failure of its target and as a run without an answer, but not as a crash.
func TestMalformedAnswerCountsAgainstItsTarget(t *testing.T) {
	for name, spoil := range map[string]func(string) string{"sound": strings.Clone, "status": withStatus("000 x"), "blank in a name": withLine("X-Note more: a")} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return spoil(okAnswer(id, "a")), false }))
			s.post("/once/", "x", ownheaders.ID, "1")
			target := s.host.State().Targets[0]
			require.Equal(t, name != "sound", target.Failures > 0)
			require.Zero(t, target.InFlight)
			require.False(t, s.host.lastCrashes.isRecent("s"))
			s.host.runWatches.mu.Lock()
			defer s.host.runWatches.mu.Unlock()
			require.Equal(t, name != "sound", len(s.host.runWatches.byKey) == 1)
		})
	}
}
