package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// endlessAnswer returns a target that sends begin and then repeats piece, once per interval, until its
// connection is closed. It adds what it has sent to sent.
func endlessAnswer(begin, piece string, interval time.Duration, sent *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := io.WriteString(c, begin)
		for err == nil {
			sent.Add(int64(n))
			time.Sleep(interval)
			n, err = io.WriteString(c, piece)
		}
	}
}

// endlessAnswers are the bytes that never become an answer, as a beginning and what is repeated.
var endlessAnswers = map[string]struct{ begin, piece string }{
	"no line":                     {"", strings.Repeat("x", 1024)},
	"status line":                 {"HTTP/1.1 200 ", strings.Repeat("O", 1024)},
	"lines of the head":           {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 128)},
	"one line of the head":        {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("b", 1024)},
	"informational answers":       {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 32)},
	"unsigned body":               {"HTTP/1.1 200 OK\r\n" + ownheaders.ID + ": 1\r\n\r\n", strings.Repeat("x", 1024)},
	"signed body":                 {endlessHead("200 OK"), strings.Repeat("x", 1024)},
	"signed body of line feeds":   {endlessHead("200 OK"), strings.Repeat("\n", 1024)},
	"signed body of one event":    {endlessHead("200 OK"), strings.Repeat("id: 1\ndata: x\n", 64)},
	"body of a server error":      {endlessHead("500 Oops"), strings.Repeat("x", 1024)},
	"body of a refusal":           {endlessHead("503 Busy\r\n" + ownheaders.NotRun + ": 1"), strings.Repeat("x", 1024)},
	"body of another request":     {strings.Replace(endlessHead("200 OK"), ": 1\r\n", ": 0\r\n", 1), strings.Repeat("x", 1024)},
	"chunk without end":           {streamHead("1") + "fffffff\r\n", strings.Repeat("x", 1024)},
	"extension of a chunk's size": {streamHead("1") + "1;", strings.Repeat("x", 1024)},
	"trailers":                    {streamHead("1") + "0\r\n", strings.Repeat("A: b\r\n", 128)},
}

// endlessHead is the head of a signed answer whose body ends with its connection.
func endlessHead(status string) string {
	return "HTTP/1.1 " + status + "\r\n" + ownheaders.ID + ": 1\r\n" + signatureLine + "\r\n"
}

// maxEndlessBytes is the most that may be read of bytes without an end: a plain answer of the largest size, and
// what the buffers take beyond it.
const maxEndlessBytes = maxPlainAnswerBytes + 2*readChunkBytes

// Bytes without end in place of an answer, in its head or its body, fast or slow, must not hold a request beyond
// its timeout, use memory beyond the bound of an answer, or look like an answer. Memory is released.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	for name, bytes := range endlessAnswers {
		for speed, interval := range map[string]time.Duration{"fast": 0, "slow": 300 * time.Millisecond} {
			for _, path := range []string{"/plain/", "/once/", "/quick/"} {
				t.Run(name+" "+speed+" "+path, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						sent := &atomic.Int64{}
						h := newSlowHost(t, endlessAnswer(bytes.begin, bytes.piece, interval, sent))
						defer h.stop()
						startedAt := time.Now()
						c := h.sendRequest(path)
						defer c.Close()
						requireNoAnswer(t, c)
						require.LessOrEqual(t, time.Since(startedAt), slowRouteTimeout+timeSlack)
						synctest.Wait()
						require.Zero(t, h.chargedBytes())
						require.LessOrEqual(t, sent.Load(), int64(maxEndlessBytes))
					})
				})
			}
		}
	}
}

// requireNoAnswer reads from a caller's connection a failure without a signature, or a success that does not end
// as complete and of which nothing was sent.
func requireNoAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return // the connection was closed without an answer
	}
	body, err := io.ReadAll(resp.Body)
	if isSuccess(resp.StatusCode) {
		require.Error(t, err)
		require.Empty(t, body)
		return
	}
	require.Empty(t, resp.Header.Get(ownheaders.Signature))
}
