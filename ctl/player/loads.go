package player

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// boards tell hosts of each other's view of the targets: one in each data centre.
type boards map[string]*loads.Board

// newBoards starts the boards; nil where hosts do not tell each other.
func newBoards(w *world) boards {
	if !w.policy.ExchangeLoads {
		return nil
	}
	b := boards{}
	for _, centre := range w.fleet.DataCentres {
		b[centre] = loads.NewBoard(w.reporterID())
	}
	return b
}

// reporterID draws an id by the order of the draws, so that those of other things stay as
// they are without boards.
func (w *world) reporterID() uint64 {
	const mix = 0x9e3779b97f4a7c15
	w.reporters++
	return w.reporters * mix
}

// exchangeLater begins the exchanges of a host that has just started.
func (h *host) exchangeLater() {
	w := h.w
	if w.boards == nil {
		return
	}
	const phases = 16 // hosts do not tell in step
	salt := w.reporterID()
	teller := loads.NewReporter(salt)
	h.registry.SetSalt(salt)
	h.teller = teller
	w.After(time.Duration(w.reporters%phases)*loads.ReportInterval/phases, func() { h.exchange(teller) })
}

// exchange tells the board, until the host starts again.
func (h *host) exchange(teller *loads.Reporter) {
	w := h.w
	if h.teller != teller || !h.up {
		return
	}
	next := loads.IdleReportInterval
	if h.registry.NeedsLoadExchange(w.Now()) {
		teller.Observe(h.registry.Observations())
		if teller.HasPending() || h.registry.InFlight() > 0 {
			next = loads.ReportInterval
		}
		h.tell(teller)
	}
	w.After(next, func() { h.exchange(teller) })
}

func (h *host) tell(teller *loads.Reporter) {
	w, board := h.w, h.w.boards[h.centre]
	m := teller.NextReport(w.Now())
	w.After(nearDelay, func() {
		reply := board.Exchange(m, w.Now())
		w.After(nearDelay, func() { h.registry.ApplyUpdate(teller.HandleReply(reply, w.Now()), w.Now()) })
	})
}
