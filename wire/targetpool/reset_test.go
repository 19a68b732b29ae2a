package targetpool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// answerUnread answers each connection once only the head of its request was read, and then ends it.
func answerUnread(t *testing.T, raw string, end func(c *net.TCPConn)) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, raw)
			}
			end(c.(*net.TCPConn))
		}
	}()
	return &scriptedTarget{t: t, listener: l}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// The part of an answer without a length that arrived before a reset must not be taken for all of it.
func TestResetDuringUploadDoesNotEndAnswer(t *testing.T) {
	s := answerUnread(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", reset)
	r := s.request("1")
	r.Body = make([]byte, uploadBytes)
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
		"no length, left open":    {noLength, func(c *net.TCPConn) { _ = c.CloseWrite() }},
		"no length, then reset":   {noLength, func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }},
		"with a length":           {withLength, func(*net.TCPConn) {}},
		"with a length and reset": {withLength, reset},
	} {
		t.Run(name, func(t *testing.T) {
			s := answerUnread(t, c.raw, c.end)
			r := s.request("1")
			r.Body = make([]byte, uploadBytes)
			for range 10 {
				got, err := roundTrip(t, New(&net.Dialer{}), r)
				require.NoError(t, err)
				require.Equal(t, "whole", got)
			}
		})
	}
}
