package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// serve answers each connection with raw bytes once only the head of its request was read, and then ends it with end.
func serve(t *testing.T, raw string, end func(c *net.TCPConn)) string {
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
	return "http://" + l.Addr().String()
}

func endOrderly(c *net.TCPConn) { _ = c.CloseWrite() }

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
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
		_, body, err := post(t, serve(t, raw, endOrderly), []byte("x"))
		require.Error(t, err, "%s: %q", name, body)
	}
}

// The part of an answer that arrived before a reset must not be taken for all of it.
func TestResetDuringUploadIsFailure(t *testing.T) {
	upload := make([]byte, 16<<20)
	url := serve(t, "HTTP/1.1 200 OK\r\n\r\npart", reset)
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
		status, body, err := post(t, serve(t, raw, endOrderly), []byte("x"))
		require.NoError(t, err)
		require.Equal(t, want, strconv.Itoa(status)+" "+body)
	}
}

// A redirect must not send the request to another host, nor bring an answer of that.
func TestRedirectIsReturned(t *testing.T) {
	other := serve(t, withLength("200 OK", "", "forged"), endOrderly)
	status, body, err := post(t, serve(t, withLength("307 x", "Location: "+other+"\r\n", ""), endOrderly), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, status)
	require.Empty(t, body)
}
