package history

import (
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/wal"
)

// write makes records durable and acknowledges them: on this disk, and also at the platform if
// this disk would hold the only copy.
func (s *Server) write(slot uint32, w *historypb.Write, answer func(*historypb.Reply)) {
	acknowledge := func(err error) {
		if err != nil {
			answer(&historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE})
			return
		}
		answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
	}
	platformCopies, needsPlatformCopy := s.platformCopiesOf(slot)
	if !needsPlatformCopy {
		s.Store(w.Records, acknowledge)
		return
	}
	if platformCopies == nil {
		acknowledge(failure.New(failure.PlatformUnavailable, "platform copies of guarded slots not available yet"))
		return
	}
	both := afterBoth(acknowledge)
	platformCopies.write(w.Records, both)
	s.Store(w.Records, both)
}

// platformCopiesOf returns the writer of platform copies, nil if there is none yet, and whether
// writes to a slot need it because this disk would hold the only copy.
func (s *Server) platformCopiesOf(slot uint32) (writer *platformCopyWriter, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, in := s.slotMap.Slots[slot].Replica(s.memberID)
	return s.platformCopies, in && !r.Joining && s.slotMap.NeedsPlatformCopy(int(slot))
}

// afterBoth returns a function that calls done on its second call, with the first error of the
// two calls.
func afterBoth(done wal.DoneFunc) wal.DoneFunc {
	var mu sync.Mutex
	var first error
	calls := 0
	return func(err error) {
		mu.Lock()
		calls++
		if first == nil {
			first = err
		}
		last, result := calls == 2, first
		mu.Unlock()
		if last {
			done(result)
		}
	}
}

// setPlatformCopyWriter sets the writer of platform copies.
func (s *Server) setPlatformCopyWriter(writer *platformCopyWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformCopies = writer
}

// Store makes records durable, then applies them to the ledger and calls done.
func (s *Server) Store(records []*historypb.Record, done wal.DoneFunc) {
	startedAt := time.Now()
	s.log.Append(records, func(err error) {
		if err != nil {
			s.meter.Count("journal_writes", "failed")
			s.logger.Error("journal write failed", "records", len(records), "error", err.Error())
			done(err)
			return
		}
		s.meter.Observe("journal_write", time.Since(startedAt))
		s.meter.Add(int64(len(records)), "records", "written")
		s.mu.Lock()
		for _, r := range records {
			s.ledger.Apply(r)
		}
		s.mu.Unlock()
		done(nil)
	})
}
