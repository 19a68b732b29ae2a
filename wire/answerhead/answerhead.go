// Package answerhead checks the head of an HTTP/1 answer while it arrives. net/http accepts more than RFC 9112
// allows, and reads what it accepts as if the target had said it.
package answerhead

import (
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// state is the part of a head that the next byte belongs to.
type state int

const (
	stateEnded     state = iota // not in a head
	stateStatus                 // the status line up to the status code
	stateAfterCode              // right after the status code
	stateReason                 // the rest of the status line
	stateFirstLine              // the start of a field, or the end of the head
	stateLine                   // the same, or the start of a line that continues a value
	stateName
	stateValue
)

// statusForm is the start of a status line; a 0 stands for any digit.
const statusForm = "HTTP/1.0 000"

// codeIndex is the index of the first digit of the status code in statusForm.
const codeIndex = len(statusForm) - 3

// The first digits of status codes, RFC 9110 section 15.
const (
	minStatusClass = '1'
	maxStatusClass = '5'
)

// MaxStatus is the largest status code, RFC 9110 section 15.
const MaxStatus = 599

// Checker checks one head after another on a connection. It is not safe for concurrent use. The zero value checks
// nothing until Start.
type Checker struct {
	state   state
	framing framing
	// index is the number of bytes of the current line.
	index int
	// lastCR is set if the last byte was a carriage return, which only a line feed may follow.
	lastCR bool
}

// Start makes the next byte the first one of a head.
func (c *Checker) Start() {
	*c = Checker{state: stateStatus, framing: framing{name: c.framing.name[:0]}}
}

// Check checks bytes that have arrived, until the head ends. At the first byte that no head of an answer can have
// there, and at the end of a head that contradicts itself, it fails with BadAnswer; whether the request ran is unknown.
func (c *Checker) Check(p []byte) error {
	for _, b := range p {
		if c.state == stateEnded {
			return nil
		}
		if err := c.next(b); err != nil {
			return err
		}
	}
	return nil
}

// next checks one byte.
func (c *Checker) next(b byte) error {
	switch {
	case b == '\n' && c.mayEndLine():
		return c.endLine()
	case c.lastCR:
		return failure.Unknown(failure.BadAnswer, "a carriage return inside a line of the head")
	case b == '\r' && c.mayEndLine():
		c.lastCR = true
		return nil
	}
	err := c.inLine(b)
	c.index++
	return err
}

// mayEndLine reports whether a line may end before the next byte.
func (c *Checker) mayEndLine() bool { return c.state != stateStatus && c.state != stateName }

// endLine ends a line; an empty one ends the head.
func (c *Checker) endLine() error {
	c.index, c.lastCR = 0, false
	switch c.state {
	case stateFirstLine, stateLine:
		c.state = stateEnded
		return c.framing.check()
	case stateAfterCode, stateReason:
		c.state = stateFirstLine
	default:
		c.state = stateLine
	}
	return nil
}

// inLine checks a byte of a line other than its end.
func (c *Checker) inLine(b byte) error {
	switch c.state {
	case stateStatus:
		return c.inStatusLine(b)
	case stateAfterCode:
		c.state = stateReason
		if b != ' ' {
			return failure.Unknown(failure.BadAnswer, "byte %q after the status code", b)
		}
	case stateReason:
		if !isText(b) {
			return failure.Unknown(failure.BadAnswer, "byte %q in the reason of the status", b)
		}
	case stateFirstLine, stateLine, stateName:
		return c.inName(b)
	case stateValue:
		if !isText(b) {
			return failure.Unknown(failure.BadAnswer, "byte %q in the value of a field", b)
		}
		c.framing.addValueByte(b)
	}
	return nil
}

// inName checks a byte of the name of a field, or the blank with which a line continues the value before it.
func (c *Checker) inName(b byte) error {
	switch {
	case isNameByte(b):
		c.state = stateName
		c.framing.addNameByte(b)
	case c.state == stateName && b == ':':
		c.state = stateValue
		c.framing.endName()
	case c.state == stateLine && (b == ' ' || b == '\t'):
		c.state = stateValue
	default:
		return failure.Unknown(failure.BadAnswer, "byte %q in the name of a field", b)
	}
	return nil
}

// isNameByte reports whether a byte may stand in the name of a field, a token of RFC 9110 section 5.6.2.
func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// inStatusLine checks a byte of a status line up to the status code.
func (c *Checker) inStatusLine(b byte) error {
	expected := statusForm[c.index]
	isDigit := b >= '0' && b <= '9'
	switch {
	case c.index == codeIndex && (b < minStatusClass || b > maxStatusClass):
		return failure.Unknown(failure.BadAnswer, "a status that begins with %q", b)
	case expected == '0' && !isDigit, expected != '0' && b != expected:
		return failure.Unknown(failure.BadAnswer, "byte %q at position %d of the status line", b, c.index)
	}
	c.framing.addStatusByte(c.index, b)
	if c.index == len(statusForm)-1 {
		c.state = stateAfterCode
	}
	return nil
}

// isText reports whether a byte may stand in the text of a line: anything but control bytes, except the tab.
func isText(b byte) bool {
	const del = 0x7f
	return b == '\t' || b >= ' ' && b != del
}

// CheckNames fails with BadAnswer if one of the names of fields that net/http has accepted is none. It is for fields
// that were not checked while they arrived.
func CheckNames(fields map[string][]string) error {
	for name := range fields {
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return failure.Unknown(failure.BadAnswer, "byte %q in the name of a field", name[i])
			}
		}
	}
	return nil
}
