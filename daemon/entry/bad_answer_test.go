package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// signatureLine is the line of an answer's head with the signature.
const signatureLine = ownheaders.Signature + ": s\r\n"

// unsigned returns an answer without its signature.
func unsigned(answer string) string { return strings.Replace(answer, signatureLine, "", 1) }

// spoilings turn a signed success into one without a signature. They change the head only.
var spoilings = map[string]func(answer string) string{
	"no signature":                  unsigned,
	"misspelt signature":            func(a string) string { return strings.Replace(a, signatureLine, "Pistachio-Signaturf: s\r\n", 1) },
	"signature without a value":     func(a string) string { return strings.Replace(a, signatureLine, ownheaders.Signature+": \r\n", 1) },
	"no signature, another success": func(a string) string { return unsigned(strings.Replace(a, "200 OK", "203 OK", 1)) },
}

// spoilFirst returns an answerFunc that spoils the first answer over all targets, and the number of requests
// that they got.
func spoilFirst(spoil func(string) string, answer func(id string) string) (answerFunc, *atomic.Int32) {
	requestCount := &atomic.Int32{}
	return func(_ int, _ received, id string) (string, bool) {
		if requestCount.Add(1) == 1 {
			return spoil(answer(id)), false
		}
		return answer(id), false
	}, requestCount
}

// A success that is not signed must not reach a caller on any kind of route. The request is sent to another
// target if it may run twice.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	stream := func(id string) string { return okStream(id, 1, "a", "b") }
	plain := func(id string) string { return okAnswer(id, "a") }
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
		for name, spoil := range spoilings {
			t.Run(path+" "+name, func(t *testing.T) {
				answer, requestCount := spoilFirst(spoil, c.answer)
				s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
				got := s.postTurn(path, "1", "", "x")
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status)
				require.Equal(t, c.status == http.StatusOK, got.header.Get(ownheaders.Signature) != "")
				require.Equal(t, c.sends, requestCount.Load())
			})
		}
	}
}

// A signed success that does not name the request, or whose body is encoded, is not the target's answer to it.
func TestSuccessOfUnclearOriginIsNotPassedOn(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"no request ID": func(a string) string { return strings.Replace(a, ownheaders.ID+": 1\r\n", "", 1) },
		"body with encoding": func(a string) string {
			return strings.Replace(a, signatureLine, signatureLine+"Content-Encoding: gzip\r\n", 1)
		},
	} {
		for path, answer := range map[string]func(id string) string{
			"/plain/": func(id string) string { return okAnswer(id, "a") },
			"/quick/": func(id string) string { return okStream(id, 1, "a", "b") },
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				answer, requestCount := spoilFirst(spoil, answer)
				s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
				got := s.postTurn(path, "1", "", "x")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "1", got.header.Get(ownheaders.ID))
				require.Empty(t, got.header.Get("Content-Encoding"))
				require.EqualValues(t, 2, requestCount.Load())
			})
		}
	}
}

// A failure whose body is encoded, also by the second of two lines, is no more the target's answer than a success.
func TestEncodedFailureIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"200 OK", "301 x", "404 x", "500 x"} {
		for _, lines := range []string{"Content-Encoding: gzip", "Content-Encoding:\r\nContent-Encoding: gzip"} {
			requireNotPassedOn(t, status+" "+lines, func(a string) string { return withLine(lines)(withStatus(status)(a)) })
		}
	}
}

// A signature or an ID that is declared to concern only the target's connection does not reach the caller.
func TestSuccessWhoseSignatureIsNotPassedOnIsNoSuccess(t *testing.T) {
	requireNotPassedOn(t, "signature", withLine("Connection: keep-alive, "+strings.ToLower(ownheaders.Signature)))
	requireNotPassedOn(t, "request ID", withLine("Connection: "+ownheaders.ID))
}

// A call that is sent a second time must not get the unsigned success that arrives first.
func TestUnsignedSuccessDoesNotWinHedgedCall(t *testing.T) {
	release := make(chan struct{})
	requestCount := &atomic.Int32{}
	answer := func(_ int, _ received, id string) (string, bool) {
		if requestCount.Add(1) == 1 {
			<-release
			return okAnswer(id, "signed"), false
		}
		defer close(release)
		return unsigned(okAnswer(id, "unsigned")), false
	}
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	s.enableHedging(5)
	got := s.post("/plain/", "x", ownheaders.ID, "1")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "signed", got.body)
	require.EqualValues(t, 2, requestCount.Load())
}

// A stream must not continue with events of an unsigned success, neither within one answer nor when its
// caller takes it up.
func TestStreamDoesNotContinueWithUnsignedSuccess(t *testing.T) {
	for name, lastEvent := range map[string]string{"within one answer": "", "taken up": "2"} {
		t.Run(name, func(t *testing.T) {
			spoiled := &atomic.Bool{}
			answer := func(_ int, r received, id string) (string, bool) {
				switch {
				case r.LastEvent == "":
					return streamHead(id) + eventChunks(1, "a", "b") + "5\r\nid: 3", true
				case spoiled.CompareAndSwap(false, true):
					return unsigned(okStream(id, 3, "spoiled")), false
				}
				return okStream(id, 3, "c"), false
			}
			s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer), newFakeTarget(t, "t3", answer))
			s.allowAttempts("/quick/", 3)
			got := s.postStream("p", 1, ownheaders.LastEvent, lastEvent)
			require.NoError(t, got.err)
			require.True(t, spoiled.Load())
			require.Equal(t, http.StatusOK, got.status)
			require.True(t, strings.HasSuffix(got.body, "id: 3\ndata: c\n\n"), got.body)
			require.NotContains(t, got.body, "spoiled")
		})
	}
}

// Another success than 200 on a streaming route is a stream too: it is kept as a turn and settles its budget.
func TestEverySuccessOfTurnIsKept(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
		return strings.Replace(okStream(id, 1, "out"), "200 OK", "203 OK", 1), false
	})
	s := newSystem(t, x)
	require.Equal(t, http.StatusNonAuthoritativeInfo, s.postTurn("/turn/", "1", "", "in1;").status)
	got := s.postTurn("/turn/", "2", "1", "in2;")
	require.Equal(t, http.StatusNonAuthoritativeInfo, got.status)
	require.Equal(t, "in1;out\nin2;", x.requests()[1].Body)
}

// Nothing of an unsigned success may be kept as a turn.
func TestTurnOfUnsignedSuccessIsNotKept(t *testing.T) {
	answer, requestCount := spoilFirst(unsigned, func(id string) string { return okStream(id, 1, "out") })
	s := newSystem(t, newFakeTarget(t, "t1", answer))
	require.Equal(t, http.StatusBadGateway, s.postTurn("/turn/", "1", "", "in1;").status)
	require.Equal(t, http.StatusNotFound, s.postTurn("/turn/", "2", "1", "in2;").status)
	require.EqualValues(t, 1, requestCount.Load())
}

// loadHeaders decodes a load report of full targets from every answer.
type loadHeaders struct{ ownheaders.Headers }

func (loadHeaders) Answer(status int, h http.Header) request.Answer {
	a := ownheaders.Headers{}.Answer(status, h)
	a.Load, a.HasLoad = request.Load{Running: 4, Capacity: 4}, true
	return a
}

// An unsigned success counts as a failure of its target, and what its head reports of the target is ignored.
func TestUnsignedSuccessCountsAgainstItsTarget(t *testing.T) {
	for name, spoil := range map[string]func(string) string{"signed": strings.Clone, "unsigned": unsigned} {
		t.Run(name, func(t *testing.T) {
			x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return spoil(okStream(id, 1, "a")), false })
			s := newSystem(t, x)
			s.host.Headers = loadHeaders{}
			s.postTurn("/turn/", "1", "", "x")
			target := s.host.State().Targets[0]
			require.Equal(t, name == "unsigned", target.Failures > 0)
			require.Equal(t, name == "unsigned", target.ReportAgeMs < 0)
			require.Zero(t, target.InFlight)
		})
	}
}

// Events that cannot follow those that the caller has must not be passed on: the stream ends as incomplete, or
// goes on at another target.
func TestEventsOutOfOrderAreNotPassedOn(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	chunk := func(text string) string { return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n" }
	for name, spoiled := range map[string]string{
		"event without an ID":      chunk("data: c\n\n"),
		"ID that is no number":     chunk("id: x\ndata: c\n\n"),
		"event sent twice":         eventChunks(2, "b"),
		"stream begun anew":        eventChunks(1, "a", "b", "c"),
		"line feeds without end":   chunk(strings.Repeat("\n", 4096)),
		"comment lines, no events": chunk(strings.Repeat(": x\n\n", 1024)),
	} {
		answer := func(_ int, r received, id string) (string, bool) {
			if r.LastEvent == "" {
				return streamHead(id) + eventChunks(1, "a", "b") + spoiled + "0\r\n\r\n", false
			}
			return okStream(id, int(parseNumber(r.LastEvent))+1, "c"), false
		}
		t.Run(name+", resumable", func(t *testing.T) {
			s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
			got := s.postStream("p", 1)
			require.NoError(t, got.err)
			require.Equal(t, begun+"id: 3\ndata: c\n\n", got.body)
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			s := newSystem(t, newFakeTarget(t, "t1", answer))
			got := s.postTurn("/turn/", "1", "", "x")
			require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			require.Equal(t, begun, got.body)
		})
	}
}

// A target that begins a stream anew in place of continuing it must not repeat events.
func TestStreamBegunAnewIsNotJoined(t *testing.T) {
	answer := func(_ int, r received, id string) (string, bool) { return okStream(id, 1, "a", "b", "c"), false }
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	got := s.postStream("p", 2, ownheaders.LastEvent, "2", ownheaders.Resumes, "p-1")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, "data:")
}

// A target that generates more than it was asked for must not overdraw the budget of the program.
func TestEventsBeyondReservedTokensAreNotPassedOn(t *testing.T) {
	for _, path := range []string{"/turn/", "/quick/"} {
		x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
			return okStream(id, 1, "a", "b", "c", "d", "e", "f"), false // 3 tokens each, 12 are reserved
		})
		s := newSystem(t, x)
		got := s.postTurn(path, "1", "", "x")
		require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		require.Equal(t, 4, strings.Count(got.body, "data:"))
	}
}
