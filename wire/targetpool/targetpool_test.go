package targetpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// scriptedTarget answers the n-th request of each connection with the raw bytes answers[n]
// of serve. An empty answer closes the connection.
type scriptedTarget struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	requests []string
	conns    int
}

func serve(t *testing.T, answers ...string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedTarget{t: t, listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.answer(c, answers)
		}
	}()
	return s
}

func (s *scriptedTarget) answer(c net.Conn, answers []string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for _, a := range answers {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+string(body))
		s.mu.Unlock()
		if a == "" {
			return
		}
		if _, err := io.WriteString(c, a); err != nil {
			return
		}
	}
	// Keep the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, in)
}

func (s *scriptedTarget) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *scriptedTarget) request(id string) *Request {
	return &Request{
		Address: s.listener.Addr().String(), Method: "POST", URI: "/a%2Fb?q=1", Host: "example",
		Header: http.Header{"Id": {id}}, Body: []byte("hello"), ID: id, MaxIdle: time.Minute,
	}
}

func decode(status int, h map[string][]string) request.Answer {
	a := request.Answer{NotRun: status == 503}
	if v := h["Id"]; len(v) > 0 {
		a.ID = v[0]
	}
	return a
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + contentLength(body) + "\r\n\r\n" + body
}

func contentLength(body string) string { return string(rune('0' + len(body))) }

func roundTrip(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), r, decode)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, answer("1", "one"), answer("2", "two"))
	p := New(&net.Dialer{})
	for id, want := range map[string]string{"1": "one"} {
		got, err := roundTrip(t, p, s.request(id))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	got, err := roundTrip(t, p, s.request("2"))
	require.NoError(t, err)
	require.Equal(t, "two", got)
	require.Equal(t, 1, s.opened())
	require.Equal(t, []string{"POST /a%2Fb?q=1 hello", "POST /a%2Fb?q=1 hello"}, s.requests)
}

func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	s := serve(t, answer("1", "one"), answer("0", "old")+answer("2", "two"))
	p := New(&net.Dialer{})
	_, err := roundTrip(t, p, s.request("1"))
	require.NoError(t, err)
	got, err := roundTrip(t, p, s.request("2"))
	require.NoError(t, err)
	require.Equal(t, "two", got)
}

// A connection with unread bytes after an answer must not be reused.
func TestExtraBytesAfterAnswerCloseConnection(t *testing.T) {
	s := serve(t, answer("1", "one")+answer("1", "one"), answer("2", "two"))
	p := New(&net.Dialer{})
	_, err := roundTrip(t, p, s.request("1"))
	require.NoError(t, err)
	require.Empty(t, p.idle[s.listener.Addr().String()])
}

// A request that was sent and got no valid answer must be reported as possibly run.
func TestRequestWithoutValidAnswerIsRanUnknown(t *testing.T) {
	cases := map[string]string{
		"closed without an answer": "",
		"not an answer":            "garbage\r\n\r\n",
		"truncated head":           "HTTP/1.1 200 OK\r\nContent-Le",
		"only other ids":           answer("7", "a") + answer("8", "b") + answer("9", "c"),
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			s := serve(t, raw)
			if raw != "" && !strings.HasSuffix(raw, "c") {
				s = serve(t, raw, "")
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p := New(&net.Dialer{})
			if name == "truncated head" {
				s = serveOnce(t, raw)
			}
			_, err := p.Do(ctx, s.request("1"), decode)
			require.Equal(t, failure.RanUnknown, failure.From(err).Ran, "%v", err)
		})
	}
}

// serveOnce answers one request with the raw bytes and closes the connection.
func serveOnce(t *testing.T, raw string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, raw)
	}()
	return &scriptedTarget{t: t, listener: l}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedTarget{t: t, listener: l}
	require.NoError(t, l.Close())
	_, err = New(&net.Dialer{}).Do(t.Context(), s.request("1"), decode)
	require.Equal(t, failure.RanNo, failure.From(err).Ran)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serveOnce(t, raw)
			_, err := roundTrip(t, New(&net.Dialer{}), s.request("1"))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// The body of an answer without a length ends with the connection, which must not be reused.
func TestAnswerWithoutLengthIsReadToEndOfConnection(t *testing.T) {
	s := serveOnce(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
	p := New(&net.Dialer{})
	got, err := roundTrip(t, p, s.request("1"))
	require.NoError(t, err)
	require.Equal(t, "whole", got)
	require.Empty(t, p.idle)
}

// An answer that arrives before the request was sent in full must be returned, and the
// connection must not be reused.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		// Answers without reading the body and leaves the connection open.
		_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
	}()
	p := New(&net.Dialer{})
	r := (&scriptedTarget{t: t, listener: l}).request("1")
	r.Body = make([]byte, 64<<20)
	resp, err := p.Do(t.Context(), r, decode)
	require.NoError(t, err)
	require.True(t, resp.Answer.NotRun)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Empty(t, p.idle)
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		if req, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		cancel()
		_, _ = io.Copy(io.Discard, in) // returns when the client closes
	}()
	_, err = New(&net.Dialer{}).Do(ctx, (&scriptedTarget{t: t, listener: l}).request("1"), decode)
	require.Equal(t, failure.CallerGone, failure.From(err).Kind)
	require.Equal(t, failure.RanUnknown, failure.From(err).Ran)
	<-closed
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serve(t, answer("1", "one"), "")
	p := New(&net.Dialer{})
	_, err := roundTrip(t, p, s.request("1"))
	require.NoError(t, err)
	c := p.idle[s.listener.Addr().String()][0]
	require.True(t, usable(c))
	require.NoError(t, c.Conn.(*net.TCPConn).CloseRead())
	require.False(t, usable(c))
}

// crashingTarget is a Dialer that connects to a target. Once down is set, the target behaves
// like one whose process has ended without closing its idle connections: these break at the
// next request, and new connections are refused.
type crashingTarget struct {
	mu     sync.Mutex
	down   bool
	opened int
}

func (d *crashingTarget) DialContext(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, syscall.ECONNREFUSED
	}
	d.opened++
	near, far := net.Pipe()
	go d.serve(far)
	return near, nil
}

func (d *crashingTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.mu.Lock()
		down := d.down
		d.mu.Unlock()
		if down {
			return
		}
		if _, err := io.WriteString(c, answer(req.Header.Get("Id"), "ok")); err != nil {
			return
		}
	}
}

// When a reused connection breaks, the other idle connections to the target must be closed:
// the next request then dials, and a refused dial proves that it did not run.
func TestBrokenConnectionClosesOtherIdleConnections(t *testing.T) {
	d := &crashingTarget{}
	p := New(d)
	request := func(id string) *Request {
		return &Request{Address: "target", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id, MaxIdle: time.Minute}
	}
	first, err := p.Do(t.Context(), request("1"), decode)
	require.NoError(t, err)
	second, err := p.Do(t.Context(), request("2"), decode)
	require.NoError(t, err)
	for _, r := range []*Response{first, second} {
		_, err := io.ReadAll(r.Body)
		require.NoError(t, err)
	}
	require.Equal(t, 2, d.opened)

	d.mu.Lock()
	d.down = true
	d.mu.Unlock()
	_, err = p.Do(t.Context(), request("3"), decode)
	require.Equal(t, failure.RanUnknown, failure.From(err).Ran)
	_, err = p.Do(t.Context(), request("4"), decode)
	require.Equal(t, failure.RanNo, failure.From(err).Ran, "the dial is refused")
}
