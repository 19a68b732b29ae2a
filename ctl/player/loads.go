package player

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// boards are the load boards by data centre, through which hosts exchange what they observe
// of the targets.
type boards map[string]*loads.Board

// newBoards returns the boards, or nil if the policy has no load exchange.
func newBoards(sim *simulation) boards {
	if !sim.policy.ExchangeLoads {
		return nil
	}
	all := boards{}
	for _, dataCentre := range sim.fleet.DataCentres {
		all[dataCentre] = loads.NewBoard(sim.nextReporterID())
	}
	return all
}

// nextReporterID returns an ID for a board or a reporter. IDs are derived from a counter, not
// from the run's random source, so that other draws are the same with and without boards.
func (sim *simulation) nextReporterID() uint64 {
	const mix = 0x9e3779b97f4a7c15
	sim.reporterCount++
	return sim.reporterCount * mix
}

// startLoadExchange starts the load exchange of a host that has just started.
func (h *host) startLoadExchange() {
	sim := h.sim
	if sim.boards == nil {
		return
	}
	const phases = 16 // spreads the reports of hosts over the interval
	salt := sim.nextReporterID()
	reporter := loads.NewReporter(salt)
	h.registry.SetSalt(salt)
	h.reporter = reporter
	sim.After(time.Duration(sim.reporterCount%phases)*loads.ReportInterval/phases, func() { h.exchangeLoads(reporter) })
}

// exchangeLoads sends reports to the board until the host stops or restarts.
func (h *host) exchangeLoads(reporter *loads.Reporter) {
	sim := h.sim
	if h.reporter != reporter || !h.running {
		return
	}
	interval := loads.IdleReportInterval
	if h.registry.NeedsLoadExchange(sim.Now()) {
		reporter.Observe(h.registry.Observations())
		if reporter.HasPending() || h.registry.InFlight() > 0 {
			interval = loads.ReportInterval
		}
		h.sendReport(reporter)
	}
	sim.After(interval, func() { h.exchangeLoads(reporter) })
}

// sendReport sends one report to the board of the data centre and applies the reply.
func (h *host) sendReport(reporter *loads.Reporter) {
	sim, board := h.sim, h.sim.boards[h.dataCentre]
	report := reporter.NextReport(sim.Now())
	sim.After(nearDelay, func() {
		reply := board.Exchange(report, sim.Now())
		sim.After(nearDelay, func() { h.registry.ApplyUpdate(reporter.HandleReply(reply, sim.Now()), sim.Now()) })
	})
}

// broadcastLoadReports sends the load reports of targets to all hosts every
// LoadReportIntervalMs: those of near targets in every round, those of far ones only in every
// farRounds-th round.
func (sim *simulation) broadcastLoadReports(round int) {
	const farRounds = 4
	interval := simclock.Milliseconds(sim.fleet.LoadReportIntervalMs)
	if interval <= 0 {
		return
	}
	sim.After(interval, func() { sim.broadcastLoadReports(round + 1) })
	for _, id := range sim.targetIDs {
		report, dataCentre := sim.loadReportOf(id), sim.dataCentreOf(id)
		for _, h := range sim.hosts {
			if sim.isPartitioned(h.dataCentre, dataCentre) || h.dataCentre != dataCentre && round%farRounds != 0 {
				continue
			}
			if target, ok := h.registry.Target(id); ok {
				target.RecordLoadReport(report, sim.Now())
			}
		}
	}
}

// loadReportOf returns the load report of a target.
func (sim *simulation) loadReportOf(id string) request.Load {
	if e := sim.engines[id]; e != nil {
		return e.loadReport()
	}
	return sim.plainTargets[id].loadReport()
}
