package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// loadExchanger reports to a history host, the board, what this host observes of the targets,
// and applies what other hosts reported.
type loadExchanger struct {
	host     *Host
	reporter *loads.Reporter
	// failing is true if the last exchange failed.
	failing bool
	// The fields below are for operators and guarded by the mu of host. needed is whether the
	// host observes too little by itself; boardID and otherHosts are from the last reply.
	needed     bool
	boardID    uint64
	otherHosts int
}

func newLoadExchanger(h *Host) *loadExchanger {
	id := rand.Uint64() | 1
	h.registry.SetSalt(id)
	return &loadExchanger{host: h, reporter: loads.NewReporter(id)}
}

// run exchanges loads until ctx ends.
func (e *loadExchanger) run(ctx context.Context) {
	timer := time.NewTimer(loads.IdleReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(e.exchangeIfNeeded(ctx))
		}
	}
}

// exchangeIfNeeded exchanges once if the host observes too little by itself. It returns the
// time until the next call.
func (e *loadExchanger) exchangeIfNeeded(ctx context.Context) time.Duration {
	if !e.updateNeeded() {
		return loads.IdleReportInterval
	}
	return e.exchange(ctx)
}

// updateNeeded records and returns whether the host observes too little by itself.
func (e *loadExchanger) updateNeeded() bool {
	h := e.host
	h.mu.Lock()
	defer h.mu.Unlock()
	needed := h.registry.NeedsLoadExchange(h.now())
	if needed != e.needed {
		h.Log.Info("exchange of loads", "on", needed)
	}
	e.needed = needed
	return needed
}

// exchange sends a report, applies the reply and returns the time until the next call.
func (e *loadExchanger) exchange(ctx context.Context) time.Duration {
	h := e.host
	h.mu.Lock()
	observations, hasInFlight := h.registry.Observations(), h.registry.InFlight() > 0
	h.mu.Unlock()
	e.reporter.Observe(observations)
	interval := loads.IdleReportInterval
	if hasInFlight || e.reporter.HasPending() {
		interval = loads.ReportInterval
	}
	reply, err := h.History.ExchangeLoads(ctx, e.reporter.NextReport(h.now()))
	if err != nil {
		return e.recordFailure(err)
	}
	h.Meter.Count("load_exchanges", "ok")
	if e.failing {
		h.Log.Info("loads are told again", "board", reply.BoardID, "hosts", reply.OtherHosts)
	}
	e.failing = false
	h.mu.Lock()
	defer h.mu.Unlock()
	update := e.reporter.HandleReply(reply, h.now())
	e.boardID, e.otherHosts = reply.BoardID, reply.OtherHosts
	h.registry.ApplyUpdate(update, h.now())
	return interval
}

// recordFailure records an exchange without a reply; the host continues with its own
// observations. It returns the time until the next call: short after the first failure, to try
// the next member, and long while further ones fail.
func (e *loadExchanger) recordFailure(err error) time.Duration {
	h := e.host
	h.Meter.Count("load_exchanges", "failed")
	if e.failing {
		return loads.IdleReportInterval
	}
	e.failing = true
	h.Log.Warn("loads are not told", "error", err.Error())
	return loads.ReportInterval
}

// LoadExchangeState is a dump of the load exchange for operators.
type LoadExchangeState struct {
	// Needed is true if the host observes too little of the targets by itself and exchanges
	// loads.
	Needed bool `json:"on"`
	// UpdateAgeMs is the time since the last reply; -1 before the first.
	UpdateAgeMs int64 `json:"told_ms"`
	// BoardID identifies the board instance, and OtherHosts is the number of other hosts that
	// report to it.
	BoardID    uint64 `json:"board"`
	OtherHosts int    `json:"hosts"`
}

// state returns the state of the exchange. The caller holds the mu of host.
func (e *loadExchanger) state() LoadExchangeState {
	s := LoadExchangeState{Needed: e.needed, BoardID: e.boardID, OtherHosts: e.otherHosts, UpdateAgeMs: -1}
	if age := e.host.registry.UpdateAge(e.host.now()); age >= 0 {
		s.UpdateAgeMs = age.Milliseconds()
	}
	return s
}

// registerGauge registers the gauge of the time since the last reply.
func (e *loadExchanger) registerGauge() {
	e.host.Meter.Gauge("loads_told_ms", func() int64 {
		e.host.mu.Lock()
		defer e.host.mu.Unlock()
		return e.state().UpdateAgeMs
	})
}
