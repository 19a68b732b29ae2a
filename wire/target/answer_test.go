package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
)

// callOnce makes one call of a plain service at a target that reads the head of the request, sends raw bytes and ends
// the connection with end.
func callOnce(t *testing.T, prompt []byte, raw string, end func(c *net.TCPConn)) *host.TargetDone {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, raw)
		}
		end(c.(*net.TCPConn))
	}()
	client := httpclient.New(&http.Transport{})
	defer client.CloseIdleConnections()
	send := &host.Send{Target: &decl.Target{Name: "t", Service: "s", URL: "http://" + l.Addr().String()}, Kind: decl.Plain, Prompt: prompt}
	return New(client).Call(t.Context(), send, func(string) {})
}

func endOrderly(c *net.TCPConn) { _ = c.CloseWrite() }

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// The part of a plain answer that arrived before a reset must not be kept as all of it.
func TestResetDuringUploadLosesTarget(t *testing.T) {
	prompt := make([]byte, 16<<20)
	for range 100 {
		done := callOnce(t, prompt, "HTTP/1.1 200 OK\r\n\r\npart", reset)
		require.Equal(t, host.TargetLost, done.Outcome, "%q", done.Answer)
	}
}

// What is no answer must not be kept as one, nor repeated at the host that a redirect names.
func TestMalformedAnswerLosesTarget(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	length := "Content-Length: " + strconv.Itoa(len(forged)) + "\r\n\r\n"
	for _, raw := range []string{
		"HTTP/1.1 000 x\r\n" + length + forged, "HTTP/1.1 103 x\r\n" + length + forged, "HTTP/1.1 200 OK\r\nX-Note more: a\r\n" + length + forged,
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nxforged", "HTTP/1.1 600 x\r\n" + length + forged,
	} {
		done := callOnce(t, []byte("x"), raw, endOrderly)
		require.Equal(t, host.TargetLost, done.Outcome, "%q: %q", raw, done.Answer)
	}
	done := callOnce(t, []byte("x"), "HTTP/1.1 307 x\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", endOrderly)
	require.Equal(t, host.TargetInvalid, done.Outcome)
}

func TestWholeAnswerWithoutLengthIsKept(t *testing.T) {
	done := callOnce(t, []byte("x"), "HTTP/1.1 200 OK\r\n\r\nwhole", endOrderly)
	require.Equal(t, host.TargetAnswered, done.Outcome)
	require.Equal(t, "whole", string(done.Answer))
}
