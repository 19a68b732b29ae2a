package target

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
	"github.com/pistachioarch/pistachioarch/wire/rawserver"
)

// callOnce makes one call of a plain service at a target that reads the head of the request, sends raw bytes and ends
// the connection with end.
func callOnce(t *testing.T, prompt []byte, raw string, end func(c *net.TCPConn)) *host.TargetDone {
	url := "http://" + rawserver.Start(t, rawserver.Always(raw), end)
	client := httpclient.New(&http.Transport{})
	defer client.CloseIdleConnections()
	send := &host.Send{Target: &decl.Target{Name: "t", Service: "s", URL: url}, Kind: decl.Plain, Prompt: prompt}
	return New(client).Call(t.Context(), send, func(string) {})
}

// The part of a plain answer that arrived before a reset must not be kept as all of it.
func TestResetDuringUploadLosesTarget(t *testing.T) {
	prompt := make([]byte, 16<<20)
	for range 100 {
		done := callOnce(t, prompt, "HTTP/1.1 200 OK\r\n\r\npart", rawserver.Reset)
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
		done := callOnce(t, []byte("x"), raw, rawserver.End)
		require.Equal(t, host.TargetLost, done.Outcome, "%q: %q", raw, done.Answer)
	}
	done := callOnce(t, []byte("x"), "HTTP/1.1 307 x\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", rawserver.End)
	require.Equal(t, host.TargetInvalid, done.Outcome)
}

func TestWholeAnswerWithoutLengthIsKept(t *testing.T) {
	done := callOnce(t, []byte("x"), "HTTP/1.1 200 OK\r\n\r\nwhole", rawserver.End)
	require.Equal(t, host.TargetAnswered, done.Outcome)
	require.Equal(t, "whole", string(done.Answer))
}
