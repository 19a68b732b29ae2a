package history

import (
	"math/rand/v2"
	"sync"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/loads"
)

// loadBoard is what the hosts that report to this member know together of the targets. It is
// in memory only: hosts say everything again to a member that has started anew.
type loadBoard struct {
	mu    sync.Mutex
	board *loads.Board
}

func newLoadBoard() *loadBoard { return &loadBoard{board: loads.NewBoard(drawID())} }

// drawID draws an id other than zero.
func drawID() uint64 { return rand.Uint64() | 1 }

// exchangeLoads merges what a host sees of the targets and tells it what the others see.
func (s *Server) exchangeLoads(m *historypb.ExchangeLoads) *historypb.Reply {
	s.meter.Count("load_reports")
	s.loads.mu.Lock()
	defer s.loads.mu.Unlock()
	reply := s.loads.board.Exchange(loads.DecodeHostReport(m), s.elapsed())
	return &historypb.Reply{Status: historypb.Status_STATUS_OK, Loads: loads.EncodeReply(reply)}
}

// LoadsState is what a member knows of the targets' loads, for operators.
type LoadsState struct {
	// BoardID is the start of the board that hosts know it by.
	BoardID uint64 `json:"board"`
	// ReporterCount is the entry hosts that were heard lately.
	ReporterCount int `json:"reporters"`
}

func (s *Server) loadsState() LoadsState {
	s.loads.mu.Lock()
	defer s.loads.mu.Unlock()
	return LoadsState{BoardID: s.loads.board.ID(), ReporterCount: s.loads.board.ReporterCount(s.elapsed())}
}
