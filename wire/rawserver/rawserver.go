// Package rawserver answers HTTP requests with raw bytes, for tests of those that read answers.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Start starts a server until the test ends and returns its address. On each connection it reads the head of one
// request, leaves the body unread, writes the bytes that answer returns and calls end.
func Start(t *testing.T, answer func(r *http.Request) string, end func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), answer, end)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, answer func(r *http.Request) string, end func(c *net.TCPConn)) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, answer(r)) // the client may have closed the connection
	}
	end(c)
}

// Always returns a function that answers each request with the same bytes.
func Always(raw string) func(*http.Request) string { return func(*http.Request) string { return raw } }

// LeaveOpen ends nothing.
func LeaveOpen(*net.TCPConn) {}

// End ends the server's side of a connection in an orderly way.
func End(c *net.TCPConn) { _ = c.CloseWrite() }

// Reset closes a connection with a reset in place of an orderly end.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
