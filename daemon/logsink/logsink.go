// Package logsink writes log lines without blocking the caller: a line that does not fit into the
// buffer is dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bufferLines is the number of lines that the buffer holds: half a second of the decisions logged by
// a busy host, some 200 KB.
const bufferLines = 1024

// Sink is an io.Writer that never blocks.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a sink that writes to another writer in a goroutine of its own.
func New(to io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferLines)}
	go s.writeLines(to)
	return s
}

// Write implements io.Writer for one line. It never fails; a dropped line counts as written.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// writeLines writes the buffered lines and, after dropped ones, a line with the total dropped.
func (s *Sink) writeLines(to io.Writer) {
	reported := int64(0)
	for line := range s.lines {
		// A failure to write logs cannot be reported anywhere.
		_, _ = to.Write(line)
		if dropped := s.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(to, `{"level":"warn","msg":"log lines dropped","total":%d}`+"\n", dropped)
			reported = dropped
		}
	}
}
