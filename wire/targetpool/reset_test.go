package targetpool

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/rawserver"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// answerUnread answers each connection once only the head of its request was read, and then ends it.
func answerUnread(t *testing.T, raw string, end func(c *net.TCPConn)) *Request {
	return &Request{
		Address: rawserver.Start(t, rawserver.Always(raw), end), Method: "POST", URI: "/", Host: "example", Header: http.Header{"Id": {"1"}},
		Body: make([]byte, uploadBytes), ID: "1", MaxIdle: time.Minute,
	}
}

// The part of an answer without a length that arrived before a reset must not be taken for all of it.
func TestResetDuringUploadDoesNotEndAnswer(t *testing.T) {
	r := answerUnread(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", rawserver.Reset)
	for range 30 {
		_, err := roundTrip(t, New(&net.Dialer{}), r)
		require.Error(t, err)
	}
}

// An answer that ends well before the upload was read must be returned, with a length or without one.
func TestWholeAnswerDuringUploadIsReturned(t *testing.T) {
	const noLength, withLength = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole"
	for name, c := range map[string]struct {
		raw string
		end func(c *net.TCPConn)
	}{
		"no length, left open":    {noLength, rawserver.End},
		"no length, then reset":   {noLength, func(c *net.TCPConn) { rawserver.End(c); rawserver.Reset(c) }},
		"with a length":           {withLength, rawserver.LeaveOpen},
		"with a length and reset": {withLength, rawserver.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			r := answerUnread(t, c.raw, c.end)
			for range 10 {
				got, err := roundTrip(t, New(&net.Dialer{}), r)
				require.NoError(t, err)
				require.Equal(t, "whole", got)
			}
		})
	}
}
