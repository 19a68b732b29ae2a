package answerhead

import (
	"bytes"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// The names of the fields that tell where a body ends.
var (
	lengthName = []byte("Content-Length")
	codingName = []byte("Transfer-Encoding")
)

// Answers with these status codes have no body, RFC 9112 section 6.3.
const (
	switchingProtocols = "101"
	noContent          = "204"
	informationalClass = '1' // the first digit
)

// minorVersionIndex is the index of the minor version in statusForm.
const minorVersionIndex = len("HTTP/1.")

// framing collects what a head says of where the body ends.
type framing struct {
	minorVersion byte
	code         [3]byte
	// name is the start of the name of the current field, as long as it may be one that matters.
	name []byte
	// inLength is set in the value of the length.
	inLength bool
	// hasLength and hasCoding are set if the fields are there, hasContent if the length is not zero.
	hasLength, hasContent, hasCoding bool
}

func (f *framing) addStatusByte(index int, b byte) {
	switch {
	case index == minorVersionIndex:
		f.minorVersion = b
	case index >= codeIndex:
		f.code[index-codeIndex] = b
	}
}

func (f *framing) addNameByte(b byte) {
	if len(f.name) <= len(codingName) {
		f.name = append(f.name, b)
	}
}

func (f *framing) endName() {
	f.inLength = bytes.EqualFold(f.name, lengthName)
	f.hasLength = f.hasLength || f.inLength
	f.hasCoding = f.hasCoding || bytes.EqualFold(f.name, codingName)
	f.name = f.name[:0]
}

func (f *framing) addValueByte(b byte) {
	f.hasContent = f.hasContent || f.inLength && b >= '1' && b <= '9'
}

// check fails if the head contradicts itself, so that it is not certain where the body ends and what follows it.
func (f *framing) check() error {
	code := string(f.code[:])
	hasNoBody := code == noContent || f.code[0] == informationalClass
	switch {
	case code == switchingProtocols:
		return failure.Unknown(failure.BadAnswer, "another protocol, which was not asked for")
	case hasNoBody && (f.hasContent || f.hasCoding):
		return failure.Unknown(failure.BadAnswer, "a body with status %s, which has none", code)
	case f.hasCoding && f.hasLength:
		return failure.Unknown(failure.BadAnswer, "both a length and a transfer coding")
	case f.hasCoding && f.minorVersion == '0':
		return failure.Unknown(failure.BadAnswer, "a transfer coding in HTTP/1.0, which has none")
	}
	return nil
}
