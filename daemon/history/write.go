package history

import (
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/wal"
)

// write makes records durable and acknowledges them: on this disk, and at the platform
// too where this disk would have the only copy.
func (s *Server) write(slot uint32, w *historypb.Write, answer func(*historypb.Reply)) {
	acknowledge := func(err error) {
		if err != nil {
			answer(&historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE})
			return
		}
		answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
	}
	keep, alone := s.keeper(slot)
	if !alone {
		s.Store(w.Records, acknowledge)
		return
	}
	if keep == nil {
		acknowledge(failure.New(failure.PlatformUnavailable, "nothing keeps records of guarded slots yet"))
		return
	}
	both := newBoth(acknowledge)
	keep.write(w.Records, both)
	s.Store(w.Records, both)
}

// keeper returns what keeps the records of a slot at the platform; alone is true if the
// slot needs that, since this disk would have the only copy.
func (s *Server) keeper(slot uint32) (keep *kept, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, in := s.slots.Slots[slot].Replica(s.member)
	return s.kept, in && !r.Joining && s.slots.NeedsPlatformCopy(int(slot))
}

// newBoth returns a function that calls done on its second call, with the first
// error of the two.
func newBoth(done wal.DoneFunc) wal.DoneFunc {
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

// keepAt sets what keeps records of guarded slots.
func (s *Server) keepAt(k *kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = k
}

// Store makes records durable, then applies them.
func (s *Server) Store(records []*historypb.Record, done wal.DoneFunc) {
	began := time.Now()
	s.log.Append(records, func(err error) {
		if err != nil {
			s.meter.Count("journal_writes", "failed")
			s.logger.Error("journal write failed", "records", len(records), "error", err.Error())
			done(err)
			return
		}
		s.meter.Observe("journal_write", time.Since(began))
		s.meter.Add(int64(len(records)), "records", "written")
		s.mu.Lock()
		for _, r := range records {
			s.ledger.Apply(r)
		}
		s.mu.Unlock()
		done(nil)
	})
}
