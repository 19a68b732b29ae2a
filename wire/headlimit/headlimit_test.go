package headlimit

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// countInPieces passes text to a limiter in random pieces and returns the first failure.
func countInPieces(random *rand.Rand, text string) error {
	l := Limiter{MaxBytes: 4000}
	l.Start()
	for len(text) > 0 {
		n := 1 + random.IntN(len(text))
		if err := l.Count([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// The bounds must hold whatever pieces a head arrives in, and must not apply to what follows it.
func TestBoundsHoldInAllPieces(t *testing.T) {
	body := strings.Repeat("\n", 2*MaxLines) + strings.Repeat("x", 5000)
	random := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		text    string
		exceeds bool
	}{
		"short head":              {"a\r\nb: c\r\n\r\n" + body, false},
		"bare line feeds":         {"a\nb: c\n\n" + body, false},
		"as many lines as may be": {strings.Repeat("a\r\n", MaxLines-1) + "\r\n" + body, false},
		"one line more":           {strings.Repeat("a\r\n", MaxLines) + "\r\n" + body, true},
		"as long as may be":       {strings.Repeat("a", 3996) + "\r\n\r\n" + body, false},
		"one byte more":           {strings.Repeat("a", 3997) + "\r\n\r\n" + body, true},
		"no line end":             {strings.Repeat("a", 5000), true},
	} {
		for range 100 {
			err := countInPieces(random, c.text)
			require.Equal(t, c.exceeds, failure.Is(err, failure.TooLarge), name)
		}
	}
}

// Until Start, and after Stop, nothing is counted.
func TestNothingIsCountedOutsideOfHeads(t *testing.T) {
	l, many := Limiter{MaxBytes: 10}, []byte(strings.Repeat("a\n", 200))
	require.NoError(t, l.Count(many))
	l.Start()
	l.Stop()
	require.NoError(t, l.Count(many))
	l.Start()
	require.Error(t, l.Count(many))
}
