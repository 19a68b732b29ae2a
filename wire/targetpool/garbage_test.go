package targetpool

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// garbageBytes is many times what may be read of an answer that is none.
	garbageBytes = 8 << 20
	// maxUnaccountedBytes is the most that may be read of a target before the caller of the pool has seen
	// anything of it: the heads and bodies of skipped answers, and what the read buffer takes in addition.
	maxUnaccountedBytes = maxSkippedAnswers*(maxHeadBytes+maxSkippedBodyBytes) + readBufferBytes
)

// repeated returns text repeated up to garbageBytes.
func repeated(text string) string { return strings.Repeat(text, garbageBytes/len(text)) }

// Whatever a target sends in place of an answer, only a bounded part of it must be read before the memory
// for it is accounted for.
func TestBytesThatAreNoAnswerAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, raw := range map[string]string{
		"one line":                       repeated("x"),
		"one status line":                "HTTP/1.1 200 " + repeated("x"),
		"one header line":                head + "X: " + repeated("x"),
		"many header lines":              head + repeated("a: b\r\n"),
		"many continued lines":           head + "X: y\r\n" + repeated(" z\r\n"),
		"many header lines of a refusal": "HTTP/1.1 503 Busy\r\nId: 1\r\n" + repeated("a: b\r\n"),
		"many informational answers":     repeated("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
		"long informational answer":      "HTTP/1.1 103 Early Hints\r\n" + repeated("Link: x\r\n"),
		"many late answers":              repeated(answer("0", "old")),
		"long late answer":               fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: %d\r\n\r\n", garbageBytes) + repeated("x"),
		"late answer without a length":   "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n" + repeated("x"),
		"late answer with long trailers": "HTTP/1.1 200 OK\r\nId: 0\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + repeated("A: b\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, answer("0", "x"), raw)
			p := New(&net.Dialer{})
			defer p.Close()
			_, err := roundTrip(t, p, s.request("0")) // late answers come on a connection that was used before
			require.NoError(t, err)
			r := s.request("1")
			r.Bytes = &ByteCounter{}
			_, err = p.Do(t.Context(), r, decode)
			require.Error(t, err)
			require.Equal(t, 1, s.opened())
			require.Equal(t, failure.RanUnknown, failure.From(err).Ran)
			require.LessOrEqual(t, r.Bytes.Received(), int64(maxUnaccountedBytes))
		})
	}
}

// Heads that exceed their bounds and late answers that are too long are failures of kind BadAnswer.
func TestExceededBoundsAreBadAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"one line": repeated("x"), "many lines": "HTTP/1.1 200 OK\r\n" + repeated("a: b\r\n"),
		"long late answer": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: %d\r\n\r\n", garbageBytes) + repeated("x"),
	} {
		s := serve(t, answer("0", "x"), raw)
		p := New(&net.Dialer{})
		_, err := roundTrip(t, p, s.request("0"))
		require.NoError(t, err)
		_, err = p.Do(t.Context(), s.request("1"), decode)
		require.True(t, failure.Is(err, failure.BadAnswer), "%s: %v", name, err)
	}
}

// What surrounds the parts of a chunked body is not handed to the reader of the body, so that it cannot
// account for it.
func TestBytesAroundChunksAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
	for name, raw := range map[string]string{
		"one trailer line":      head + "0\r\nA: " + repeated("x"),
		"many trailer lines":    head + "0\r\n" + repeated("A: b\r\n"),
		"long chunk extension":  head + "3;" + repeated("x"),
		"many chunk extensions": head + repeated("1;"+strings.Repeat("x", 1000)+"\r\nx\r\n"),
		"no chunk":              head + repeated("x"),
	} {
		t.Run(name, func(t *testing.T) {
			r := serveOnce(t, raw).request("1")
			r.Bytes = &ByteCounter{}
			resp, err := New(&net.Dialer{}).Do(t.Context(), r, decode)
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.Error(t, err)
			require.LessOrEqual(t, r.Bytes.Received(), int64(len(body)+maxUnaccountedBytes))
		})
	}
}

// The longest head that is allowed must be read, also if it arrives together with a body of many lines.
func TestLongestHeadIsRead(t *testing.T) {
	body := strings.Repeat("\n", 3000)
	start := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n", len(body))
	lines := strings.Repeat("a: b\r\n", 100)
	filler := "X: " + strings.Repeat("x", maxHeadBytes-len(start)-len(lines)-len("X: \r\n\r\n")) + "\r\n"
	for name, head := range map[string]string{"many lines": start + lines + "\r\n", "longest": start + lines + filler + "\r\n"} {
		got, err := roundTrip(t, New(&net.Dialer{}), serveOnce(t, head+body).request("1"))
		require.NoError(t, err, name)
		require.Equal(t, body, got, name)
	}
}

// A late answer and the answer after it, both in the read buffer already, must not be counted as one head.
func TestAnswerAfterLateAnswerIsNotCountedAsHead(t *testing.T) {
	body := strings.Repeat("\n", 300)
	s := serveOnce(t, answer("0", "old")+fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", 2*len(body))+body+body)
	got, err := roundTrip(t, New(&net.Dialer{}), s.request("1"))
	require.NoError(t, err)
	require.Equal(t, body+body, got)
}
