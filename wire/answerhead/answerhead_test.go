package answerhead

import (
	"math/rand/v2"
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
	return c.state == 0, err
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
