// Package logsink writes log lines without making the writer wait: a line that
// does not fit the buffer is dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bufferLines is how many lines may wait: half a second of a busy host's
// decisions, some 200 KB.
const bufferLines = 1024

// Sink is an io.Writer that never blocks.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a sink in front of to.
func New(to io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferLines)}
	go s.drain(to)
	return s
}

// Write implements io.Writer; p is one line.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of lines lost so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) drain(to io.Writer) {
	told := int64(0)
	for line := range s.lines {
		// There is nowhere to report that logs cannot be written.
		_, _ = to.Write(line)
		if lost := s.dropped.Load(); lost > told {
			_, _ = fmt.Fprintf(to, `{"level":"warn","msg":"log lines dropped","total":%d}`+"\n", lost)
			told = lost
		}
	}
}
