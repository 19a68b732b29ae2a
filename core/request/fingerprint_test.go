package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All attempts of a request must have one fingerprint, and requests that differ must not share one.
func TestFingerprintIdentifiesRequestOverAttempts(t *testing.T) {
	call := Call{ID: "a", Program: "p", Session: "s", PreviousTurn: "t", PromptTokens: 20, MaxTokens: 10, Prefix: []Part{{ID: "x", Tokens: 20}}}
	fingerprint := func(change func(*Call)) string {
		c := call
		change(&c)
		return c.Fingerprint("POST", "h", "/u", []byte("body"))
	}
	first := fingerprint(func(*Call) {})
	require.Equal(t, first, fingerprint(func(c *Call) {
		c.ID, c.Timeout, c.ProgramTimeout, c.LastEventID, c.Resumes = "b", time.Second, time.Second, "3", "a"
	}))
	for name, change := range map[string]func(*Call){
		"program":  func(c *Call) { c.Program = "q" },
		"session":  func(c *Call) { c.Session = "q" },
		"boundary": func(c *Call) { c.Program, c.Session = "ps", "" },
		"previous": func(c *Call) { c.PreviousTurn = "q" },
		"prompt":   func(c *Call) { c.Prefix = []Part{{ID: "y", Tokens: 20}} },
		"output":   func(c *Call) { c.MaxTokens = 11 },
	} {
		require.NotEqual(t, first, fingerprint(change), name)
	}
	require.NotEqual(t, first, call.Fingerprint("POST", "h", "/u", []byte("other")))
	require.NotEqual(t, first, call.Fingerprint("POST", "h", "/v", []byte("body")))
}
