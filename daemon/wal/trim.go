package wal

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// OldestSegment returns the programs with records in the oldest segment and when the last of
// these records expires, in Unix milliseconds. ok is false if only the segment being written
// exists.
func (l *Log) OldestSegment() (programs []string, expiresMs int64, ok bool) {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	if len(l.segments) < 2 {
		return nil, 0, false
	}
	s := l.segments[0]
	for name := range s.programs {
		programs = append(programs, name)
	}
	return programs, s.expiresMs, true
}

// DropOldestSegment removes the oldest segment unless it is the one being written. The caller
// must have appended its live records again and waited until they are durable.
func (l *Log) DropOldestSegment() error {
	l.segMu.Lock()
	if len(l.segments) < 2 {
		l.segMu.Unlock()
		return nil
	}
	s := l.segments[0]
	l.segments = l.segments[1:]
	l.segMu.Unlock()
	name := filepath.Join(l.dir, fmt.Sprintf("%016d%s", s.number, segmentSuffix))
	if err := os.Remove(name); err != nil {
		return failure.Wrap(err, failure.Suspended, "remove segment")
	}
	return SyncDir(l.dir)
}

// TotalBytes returns the size of all segments.
func (l *Log) TotalBytes() int64 {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	total := int64(0)
	for _, s := range l.segments {
		total += s.size
	}
	return total
}
