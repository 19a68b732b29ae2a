package httpclient

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/rawserver"
)

// serve starts a server that answers with raw bytes and returns its URL.
func serve(t *testing.T, raw string, end func(c *net.TCPConn)) string {
	return "http://" + rawserver.Start(t, rawserver.Always(raw), end)
}

// post sends a body and returns the status and body of the answer.
func post(t *testing.T, url string, upload []byte) (int, string, error) {
	client := New(&http.Transport{})
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(upload))
	require.NoError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func withLength(status, lines, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + lines + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// What net/http accepts in place of an answer must be a failure.
func TestMalformedAnswersAreFailures(t *testing.T) {
	forged := withLength("200 OK", "", "forged")
	for name, raw := range map[string]string{
		"status 000": withLength("000 x", "", forged), "status 101": "HTTP/1.1 101 x\r\n\r\n", "status 600": withLength("600 x", "", ""),
		"informational with a body": withLength("103 x", "", forged), "blank in a name of an informational answer": "HTTP/1.1 103 x\r\nA b: c\r\n\r\n" + forged,
		"blank in a name": withLength("200 OK", "X-Note more: a\r\n", "x"), "blank after the name of the length": "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nxforged",
	} {
		_, body, err := post(t, serve(t, raw, rawserver.End), []byte("x"))
		require.Error(t, err, "%s: %q", name, body)
	}
}

// The part of an answer that arrived before a reset must not be taken for all of it.
func TestResetDuringUploadIsFailure(t *testing.T) {
	upload := make([]byte, 16<<20)
	url := serve(t, "HTTP/1.1 200 OK\r\n\r\npart", rawserver.Reset)
	for range 200 {
		_, _, err := post(t, url, upload)
		require.Error(t, err)
	}
}

func TestWholeAnswersAreReturned(t *testing.T) {
	for raw, want := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\nwhole":                                         "200 whole",
		withLength("413 x", "!#$%&'*+-.^_`|~: a\r\n", "whole"):                 "413 whole",
		"HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + withLength("200 x", "", "whole"): "200 whole",
		"HTTP/1.1 204 x\r\n\r\n":                                               "204 ",
	} {
		status, body, err := post(t, serve(t, raw, rawserver.End), []byte("x"))
		require.NoError(t, err)
		require.Equal(t, want, strconv.Itoa(status)+" "+body)
	}
}

// A redirect must not send the request to another host, nor bring an answer of that.
func TestRedirectIsReturned(t *testing.T) {
	other := serve(t, withLength("200 OK", "", "forged"), rawserver.End)
	status, body, err := post(t, serve(t, withLength("307 x", "Location: "+other+"\r\n", ""), rawserver.End), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, status)
	require.Empty(t, body)
}
