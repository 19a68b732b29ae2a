package answerhead

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// check passes a text to a Checker in random pieces and returns the first failure, and whether the head has ended.
func check(random *rand.Rand, text string) (ended bool, err error) {
	var c Checker
	c.Start()
	for len(text) > 0 && err == nil {
		n := 1 + random.IntN(len(text))
		err = c.Check([]byte(text[:n]))
		text = text[n:]
	}
	return c.state == stateEnded, err
}

// checkAll requires that each text is the start of a head or not, whatever pieces it arrives in.
func checkAll(t *testing.T, texts []string, isHead bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for _, text := range texts {
		for range 20 {
			_, err := check(random, text)
			require.Equal(t, isHead, err == nil, "%q: %v", text, err)
			require.Equal(t, !isHead, failure.Is(err, failure.BadAnswer), "%q", text)
		}
	}
}

func TestStatusLinesAreAccepted(t *testing.T) {
	checkAll(t, []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 200 OK\n",
		"HTTP/1.1 100 Continue\r\n", "HTTP/1.1 599 x\r\n", "HTTP/1.1 299 a\tb \xe9\r\n", "HTTP/1.",
	}, true)
}

// What only reads as a number is no status, and neither is a number that no status has.
func TestStatusLinesAreRejected(t *testing.T) {
	checkAll(t, []string{
		"HTTP/1.1 000 x", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 +20 x", "HTTP/1.1 -00 x", "HTTP/1.1 2e2 x",
		"HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1  200 x", "HTTP/1.1\t200 x", "HTTP/1.1 200\tx", "HTTP/2.0 200 x", "HTTP/0.9 200 x",
		"http/1.1 200 x", "HTTP/1.10 200 x", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "\r\nHTTP/1.1 200 OK", " HTTP/1.1 200 OK", "SSH-2.0", "\x00",
	}, false)
}

// What follows a head is not checked, until the next one starts.
func TestNothingIsCheckedOutsideOfHeads(t *testing.T) {
	ended, err := check(rand.New(rand.NewPCG(1, 2)), "HTTP/1.1 200 OK\r\nA: b\r\n\r\n\x00\r\r\nbody")
	require.NoError(t, err)
	require.True(t, ended)
	require.NoError(t, new(Checker).Check([]byte("\x00")))
}

const okLine = "HTTP/1.1 200 OK\r\n"

// Each name that RFC 9110 allows must be accepted, and so must continued values and lines that end in a line feed only.
func TestFieldsAreAccepted(t *testing.T) {
	checkAll(t, []string{
		okLine + "X-Note: a\r\n\r\n", okLine + "!#$%&'*+-.^_`|~09azAZ: a\r\n\r\n", okLine + "_:a\r\n\r\n", okLine + "1:\r\n\r\n", okLine + "\r\n",
		okLine + "A: b\r\n c\r\n\td: e\r\n\r\n", okLine + "A: b\n\n", okLine + "A:\tb \xe9:\t\r\n\r\n", okLine + "A: b\r\n \r\n\r\n", okLine + "A: \x80\xff\r\n\r\n",
	}, true)
}

// A name with a blank or a control byte is none: net/http would read another field than the target meant.
func TestFieldsAreRejected(t *testing.T) {
	checkAll(t, []string{
		okLine + "X-Note more: a", okLine + "Content-Length : 41", okLine + "X-Note\t: a", okLine + "X-No\x01te: a", okLine + "X-No\x00te: a", okLine + "X-No\x7fte: a",
		okLine + "X-No\xe9te: a", okLine + ": a", okLine + "X-Note\r\n", okLine + "X-Note\n", okLine + " X-Note: a", okLine + "\tX-Note: a",
		okLine + "X(a): b", okLine + "X@a: b", okLine + "\"X\": b", okLine + "A: b\x00", okLine + "A: b\x01", okLine + "A: b\x7f", okLine + "A: b\rc", okLine + "A: b\r\r\n",
		okLine + "A: b\r\n\r\r\n", okLine + "A: b\r\n c\x01",
	}, false)
}

// A head that contradicts itself does not tell where its body ends.
func TestContradictoryHeadsAreRejected(t *testing.T) {
	const length, coding = "Content-Length: 41\r\n", "transfer-encoding: chunked\r\n"
	checkAll(t, []string{
		"HTTP/1.1 103 x\r\n" + length + "\r\n", "HTTP/1.1 100 x\r\n" + coding + "\r\n", "HTTP/1.1 101 x\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 204 x\r\n" + length + "\r\n", "HTTP/1.1 204 x\r\n" + coding + "\r\n", okLine + length + coding + "\r\n", okLine + coding + "A: b\r\n" + length + "\r\n",
		"HTTP/1.0 200 x\r\n" + coding + "\r\n", "HTTP/1.1 204 x\r\nCONTENT-LENGTH:\r\n 1\r\n\r\n",
	}, false)
	checkAll(t, []string{
		"HTTP/1.1 103 x\r\nLink: 1\r\n\r\n", "HTTP/1.1 100 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200 x\r\n" + length + "\r\n",
		okLine + length + "\r\n", okLine + coding + "\r\n", okLine + length + length + "\r\n", "HTTP/1.1 304 x\r\n" + length + "\r\n", "HTTP/1.1 205 x\r\n" + length + "\r\n",
		okLine + "X-Content-Length: 1\r\nContent-Lengths: 1\r\nTransfer-Encoding2: 1\r\n" + length + "\r\n",
	}, true)
}

func TestNamesAreChecked(t *testing.T) {
	require.NoError(t, CheckNames(http.Header{"X-Note": nil, "!#$%&'*+-.^_`|~": nil}))
	require.NoError(t, CheckNames(nil))
	require.True(t, failure.Is(CheckNames(http.Header{"X-Note": nil, "X-Note more": nil}), failure.BadAnswer))
}

// headLength returns the length of the head at the start of text, and whether there is one.
func headLength(text []byte) (int, bool) {
	var c Checker
	c.Start()
	for i := range text {
		if c.Check(text[i:i+1]) != nil {
			return 0, false
		}
		if c.state == stateEnded {
			return i + 1, true
		}
	}
	return 0, false
}

// net/http must see the end of a head where the Checker sees it, a status of three digits and nothing but sound names.
func FuzzCheck(f *testing.F) {
	for _, head := range []string{
		okLine + "A: b\r\n c\r\n\r\nrest", "HTTP/1.0 404 Not Found\nA: b\n\nrest", okLine + "A: b\r\n \r\n\r\n", okLine + "\r\n\r\n", okLine + "a:b\r\nA:c\n\r\nx",
		okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 000 x\r\n\r\n", okLine + "X-Note more: a\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		n, ok := headLength(text)
		if !ok {
			return
		}
		in := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return // not all that the Checker accepts is an answer, such as a length that is no number
		}
		require.Equal(t, len(text)-n, in.Buffered())
		require.True(t, resp.StatusCode >= 100 && resp.StatusCode < 600)
		require.NoError(t, CheckNames(resp.Header))
	})
}
