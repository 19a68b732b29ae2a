package history

import (
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/wal"
)

// write makes records durable and acknowledges them once their program has the whole chain of the turn
// among them.
func (s *Server) write(slot uint32, w *historypb.Write, answer func(*historypb.Reply)) {
	s.storeSlot(slot, w.Records, func(err error) {
		if err != nil || len(w.Chain) == 0 || len(w.Records) == 0 {
			answer(writeReply(err))
			return
		}
		s.completeChain(slot, w, answer)
	})
}

// writeReply returns the reply to a write that ended with err.
func writeReply(err error) *historypb.Reply {
	if err != nil {
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	return &historypb.Reply{Status: historypb.Status_STATUS_OK}
}

// completeChain makes the program of a write take over the turns of the chain that other programs have
// here. If the member lacks turns it answers with their names.
func (s *Server) completeChain(slot uint32, w *historypb.Write, answer func(*historypb.Reply)) {
	program, expiresMs := w.Records[0].Program, w.Records[0].ExpiresMs
	s.mu.Lock()
	elsewhere, missing := s.ledger.LackingTurns(program, w.Chain)
	s.mu.Unlock()
	if len(missing) > 0 {
		s.meter.Add(int64(len(missing)), "turns", "missing")
		answer(&historypb.Reply{Status: historypb.Status_STATUS_TURNS_MISSING, MissingTurns: missing})
		return
	}
	if len(elsewhere) == 0 {
		answer(writeReply(nil))
		return
	}
	s.meter.Add(int64(len(elsewhere)), "turns", "taken_over")
	records := make([]*historypb.Record, 0, len(elsewhere))
	for _, t := range elsewhere {
		records = append(records, &historypb.Record{Slot: slot, Program: program, ExpiresMs: expiresMs, Change: &historypb.Record_Turn{Turn: t}})
	}
	s.storeSlot(slot, records, func(err error) { answer(writeReply(err)) })
}

// storeSlot makes records of a slot durable: on this disk, and also at the platform if this disk would
// hold the only copy.
func (s *Server) storeSlot(slot uint32, records []*historypb.Record, done wal.DoneFunc) {
	platformCopies, needsPlatformCopy := s.platformCopiesOf(slot)
	if !needsPlatformCopy {
		s.Store(records, done)
		return
	}
	if platformCopies == nil {
		done(failure.New(failure.PlatformUnavailable, "platform copies of guarded slots not available yet"))
		return
	}
	both := afterBoth(done)
	platformCopies.write(records, both)
	s.Store(records, both)
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
