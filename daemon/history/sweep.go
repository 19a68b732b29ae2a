package history

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// Sweep removes expired programs and old log segments periodically until stop is closed.
func (s *Server) Sweep(stop <-chan struct{}) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			s.sweep(s.now().UnixMilli())
		}
	}
}

// sweep removes programs that have expired at nowMs, Unix milliseconds, and the oldest segments
// as long as all their records have expired. Records that are still live, since the retention of
// their program was extended, are appended to the log again first.
func (s *Server) sweep(nowMs int64) {
	s.mu.Lock()
	dropped := s.ledger.Expire(nowMs)
	s.quotas.DropFull(s.elapsed())
	s.mu.Unlock()
	if dropped > 0 {
		s.logger.Info("expired programs removed", "programs", dropped)
	}
	for {
		programs, expires, ok := s.log.OldestSegment()
		if !ok || expires > nowMs {
			return
		}
		if !s.reappend(programs) {
			return
		}
		if err := s.log.DropOldestSegment(); err != nil {
			s.logger.Error("old segment not dropped", "error", err.Error())
			return
		}
	}
}

// reappend appends the live records of programs to the log again and reports whether they are
// durable.
func (s *Server) reappend(programs []string) bool {
	var records []*historypb.Record
	s.mu.Lock()
	for _, name := range programs {
		records = append(records, s.ledger.ProgramRecords(name)...)
	}
	s.mu.Unlock()
	done := make(chan error, 1)
	s.log.Append(records, func(err error) { done <- err })
	return <-done == nil
}
