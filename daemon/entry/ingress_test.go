package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/headlimit"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// postRaw sends text on one connection and returns the statuses of the first n answers, fewer if the
// host closes the connection before.
func (s *testSystem) postRaw(text string, n int) []int {
	s.t.Helper()
	return postRawTo(s.t, s.server.Listener.Addr().String(), text, n)
}

// postRawTo is postRaw for an address at which a host accepts connections.
func postRawTo(t *testing.T, address, text string, n int) []int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	in := bufio.NewReader(c)
	var statuses []int
	for len(statuses) < n {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, resp.StatusCode)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses
		}
	}
	return statuses
}

// postHead is the start of a request to /plain/, followed by extra.
func postHead(id string, extra ...string) string {
	return "POST /plain/ HTTP/1.1\r\nHost: example\r\n" + ownheaders.ID + ": " + id + "\r\n" + strings.Join(extra, "")
}

func TestMalformedRequestsReachNoTarget(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []int
	}{
		"invalid chunk":    {postHead("1", "Transfer-Encoding: chunked\r\n\r\n", "zz\r\nbody\r\n0\r\n\r\n"), []int{http.StatusBadRequest}},
		"truncated body":   {postHead("1", "Content-Length: 10\r\n\r\n", "short"), nil},
		"two lengths":      {postHead("1", "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", "body!"), []int{http.StatusBadRequest}},
		"negative length":  {postHead("1", "Content-Length: -4\r\n\r\n"), []int{http.StatusBadRequest}},
		"unknown encoding": {postHead("1", "Transfer-Encoding: zip\r\n\r\n"), []int{http.StatusNotImplemented}},
		"space in name":    {postHead("1", "Transfer-Encoding : chunked\r\n\r\n"), []int{http.StatusBadRequest}},
		"no HTTP":          {"hello\r\n\r\n", []int{http.StatusBadRequest}},
		"header too large": {postHead("1", "X: "+strings.Repeat("a", 2<<20)+"\r\n\r\n"), []int{http.StatusRequestHeaderFieldsTooLarge}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
			s := newSystem(t, x)
			require.Equal(t, c.want, s.postRaw(c.text, len(c.want)))
			require.Empty(t, x.requests())
		})
	}
}

// A request inside the body of another is not parsed as a request, although Content-Length and
// Transfer-Encoding contradict each other (request smuggling).
func TestSmuggledRequestIsTreatedAsBody(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
	s := newSystem(t, x)
	inner := "GET /plain/secret HTTP/1.1\r\nHost: example\r\n" + ownheaders.ID + ": 2\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	require.Equal(t, []int{http.StatusOK}, s.postRaw(postHead("1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", chunked), 1))
	seen := x.requests()
	require.Len(t, seen, 1)
	require.Equal(t, inner, seen[0].Body)
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
	s := newSystem(t, x)
	two := postHead("1", "Content-Length: 1\r\n\r\n", "a") + postHead("2", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n0\r\n\r\n")
	require.Equal(t, []int{http.StatusOK, http.StatusOK}, s.postRaw(two, 2))
	require.Equal(t, "a", x.requests()[0].Body)
	require.Equal(t, "b", x.requests()[1].Body)
}

// serveCallers makes the host of a system accept callers' connections itself and returns its address.
func (s *testSystem) serveCallers() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.host.Serve(listener)
	s.t.Cleanup(s.host.Close)
	return listener.Addr().String()
}

// A head of very many lines must be refused before it is parsed: the memory of its map of headers is not
// accounted for.
func TestHeadOfManyLinesIsRefused(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
	s := newSystem(t, x)
	address := s.serveCallers()
	lines := ""
	for i := range 10 * headlimit.MaxLines {
		lines += fmt.Sprintf("x%d: y\r\n", i)
	}
	require.Equal(t, []int{http.StatusRequestHeaderFieldsTooLarge}, postRawTo(t, address, postHead("1", lines, "Content-Length: 1\r\n\r\na"), 1))
	require.Equal(t, []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge}, postRawTo(t, address,
		postHead("2", "Content-Length: 1\r\n\r\na")+postHead("3", lines, "Content-Length: 1\r\n\r\na"), 2))
	require.Len(t, x.requests(), 1)
}

// The lines of bodies must not be counted as lines of heads, also if requests are pipelined.
func TestBodyOfManyLinesIsServed(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false })
	s := newSystem(t, x)
	body := strings.Repeat("\n", 900)
	text := ""
	for i := range 4 {
		text += postHead(fmt.Sprint(i), fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body)
	}
	require.Equal(t, []int{200, 200, 200, 200}, postRawTo(t, s.serveCallers(), text, 4))
	for _, r := range x.requests() {
		require.Equal(t, body, r.Body)
	}
}

func TestRequestsWithoutConfigurationAreRetriable(t *testing.T) {
	s := newSystem(t)
	s.host.table.Store(nil)
	got := s.post("/plain/", "", ownheaders.ID, "1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}
