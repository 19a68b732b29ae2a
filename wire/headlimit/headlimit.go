// Package headlimit bounds the heads of HTTP messages while they arrive: their size, and the number of
// their lines. net/http builds a map of the lines as it reads them, in which a short line takes many times
// its own size, and has no bound on the head of an answer.
package headlimit

import (
	"bytes"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// MaxLines bounds the lines of a head, with the first line.
const MaxLines = 128

// Limiter counts the bytes of a connection from the start of a head to the blank line that ends it. It is
// not safe for concurrent use. The zero value counts nothing until Start.
type Limiter struct {
	// MaxBytes bounds the bytes of a head; 0 means no bound.
	MaxBytes int

	counting    bool
	bytes       int
	lines       int
	lineStarted bool // the current line has a byte other than a carriage return
}

// Start makes the next byte the first one of a head.
func (l *Limiter) Start() { *l = Limiter{MaxBytes: l.MaxBytes, counting: true} }

// Stop ends the head: the parser may have found its end in bytes that arrived before Start.
func (l *Limiter) Stop() { l.counting = false }

// Count counts bytes that have arrived, until the head ends. It fails with TooLarge if the head exceeds a
// bound, and again for all that follows until Start.
func (l *Limiter) Count(p []byte) error {
	for l.counting && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		l.bytes += len(p) - len(rest)
		l.lineStarted = l.lineStarted || len(bytes.TrimSuffix(line, []byte("\r"))) > 0
		if ended {
			l.endLine()
		}
		if err := l.check(); err != nil {
			return err
		}
		p = rest
	}
	return nil
}

// endLine counts a line; an empty one ends the head.
func (l *Limiter) endLine() {
	l.counting = l.lineStarted
	l.lines++
	l.lineStarted = false
}

func (l *Limiter) check() error {
	if l.MaxBytes > 0 && l.bytes > l.MaxBytes {
		return failure.New(failure.TooLarge, "head exceeds %d bytes", l.MaxBytes)
	}
	if l.lines > MaxLines {
		return failure.New(failure.TooLarge, "head exceeds %d lines", MaxLines)
	}
	return nil
}
