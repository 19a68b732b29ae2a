package history

import (
	"math/rand/v2"
	"sync"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/loads"
)

// loadBoard merges the loads of targets that hosts report to this member. It is kept in memory
// only: after a restart of the member, hosts report all loads again.
type loadBoard struct {
	mu    sync.Mutex
	board *loads.Board
}

func newLoadBoard() *loadBoard { return &loadBoard{board: loads.NewBoard(newBoardID())} }

// newBoardID returns a random ID other than zero.
func newBoardID() uint64 { return rand.Uint64() | 1 }

// exchangeLoads merges the host report of an entry host and replies with the loads that the other
// hosts reported.
func (s *Server) exchangeLoads(m *historypb.ExchangeLoads) *historypb.Reply {
	s.meter.Count("load_reports")
	s.loadBoard.mu.Lock()
	defer s.loadBoard.mu.Unlock()
	reply := s.loadBoard.board.Exchange(loads.DecodeHostReport(m), s.elapsed())
	return &historypb.Reply{Status: historypb.Status_STATUS_OK, Loads: loads.EncodeReply(reply)}
}

// LoadsState is a dump of the load board for operators.
type LoadsState struct {
	// BoardID identifies the board instance to hosts; it changes when the member restarts.
	BoardID uint64 `json:"board"`
	// ReporterCount is the number of entry hosts that reported recently.
	ReporterCount int `json:"reporters"`
}

func (s *Server) loadsState() LoadsState {
	s.loadBoard.mu.Lock()
	defer s.loadBoard.mu.Unlock()
	return LoadsState{BoardID: s.loadBoard.board.ID(), ReporterCount: s.loadBoard.board.ReporterCount(s.elapsed())}
}
