package targetpool

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// After some answers to other requests no answer to this one can follow. The request must fail then, not when its
// deadline ends: the targets leave the connection open.
func TestAnswerThatNoOtherCanFollowEndsTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		used   bool
		raw    string
	}{
		"first request of a connection": {http.MethodPost, false, answer("0", "old")},
		"no length":                     {http.MethodPost, true, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nold"},
		"last of its connection":        {http.MethodPost, true, "HTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\nContent-Length: 3\r\n\r\nold"},
		"body of uncertain length":      {http.MethodHead, true, answer("0", "old")},
	} {
		t.Run(name, func(t *testing.T) {
			answers := []string{c.raw}
			if c.used {
				answers = []string{answer("0", "x"), c.raw}
			}
			s := serve(t, answers...)
			p := New(&net.Dialer{})
			defer p.Close()
			if c.used {
				_, err := roundTrip(t, p, s.request("0"))
				require.NoError(t, err)
			}
			r := s.request("1")
			r.Method = c.method
			if c.method == http.MethodHead {
				r.Body = nil
			}
			_, err := p.Do(t.Context(), r, decode)
			require.True(t, failure.Is(err, failure.BadAnswer), "%v", err)
			require.Equal(t, failure.RanUnknown, failure.From(err).Ran)
			require.Equal(t, 1, s.opened())
		})
	}
}

// The body of a late answer to a request that is not HEAD must not be read as the answer to one that is.
func TestBodyOfLateAnswerIsNotTheAnswerToHead(t *testing.T) {
	forged := answer("1", "")
	s := serve(t, answer("0", "x"), "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 40\r\n\r\n"+forged)
	p := New(&net.Dialer{})
	defer p.Close()
	_, err := roundTrip(t, p, s.request("0"))
	require.NoError(t, err)
	r := s.request("1")
	r.Method, r.Body = http.MethodHead, nil
	_, err = p.Do(t.Context(), r, decode)
	require.True(t, failure.Is(err, failure.BadAnswer), "%v", err)
}

// An answer without an ID may be a late one to an earlier request of its connection: neither its status nor that a
// request did not run may be taken for this one. On a new connection there is no earlier request.
func TestAnswerWithoutIDIsNotTakenOnUsedConnection(t *testing.T) {
	for _, raw := range []string{"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"} {
		s := serve(t, answer("0", "x"), raw)
		p := New(&net.Dialer{})
		defer p.Close()
		_, err := roundTrip(t, p, s.request("0"))
		require.NoError(t, err)
		_, err = p.Do(t.Context(), s.request("1"), decode)
		require.True(t, failure.Is(err, failure.BadAnswer), "%v", err)
		require.Equal(t, failure.RanUnknown, failure.From(err).Ran)
		require.Equal(t, 1, s.opened())

		_, err = roundTrip(t, New(&net.Dialer{}), serve(t, raw).request("1"))
		require.NoError(t, err)
	}
}
