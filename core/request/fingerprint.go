package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 12

// Fingerprint identifies what a caller asks for: all attempts of one request have the same
// fingerprint, whichever host they reach. method, host and uri are those of the HTTP request, body
// is as the caller sent it. ID, the timeouts and what names an interrupted stream differ between
// attempts and have no influence.
func (c *Call) Fingerprint(method, host, uri string, body []byte) string {
	h := sha256.New()
	var length [binary.MaxVarintLen64]byte
	writeNumber := func(n int64) { h.Write(length[:binary.PutVarint(length[:], n)]) }
	writeField := func(s string) {
		writeNumber(int64(len(s)))
		h.Write([]byte(s))
	}
	for _, s := range []string{method, host, uri, c.Program, c.Session, c.PreviousTurn, c.Affinity, c.Model} {
		writeField(s)
	}
	writeNumber(c.PromptTokens)
	writeNumber(c.MaxTokens)
	for _, p := range c.Prefix {
		writeField(p.ID)
		writeNumber(int64(p.Tokens))
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
