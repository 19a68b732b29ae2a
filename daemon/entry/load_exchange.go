package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// teller tells a history host what this host sees of the targets, and is told what others see.
type loadExchanger struct {
	host     *Host
	reporter *loads.Reporter
	// broken: the last exchange failed.
	failing bool
	// What follows is for operators, guarded by the host's mu. on: the host hears too little
	// by itself; board and hosts are those of the last answer.
	needed     bool
	boardID    uint64
	otherHosts int
}

func newLoadExchanger(h *Host) *loadExchanger {
	id := rand.Uint64() | 1
	h.registry.SetSalt(id)
	return &loadExchanger{host: h, reporter: loads.NewReporter(id)}
}

// run exchanges until the context ends.
func (t *loadExchanger) run(ctx context.Context) {
	timer := time.NewTimer(loads.IdleReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(t.exchangeIfNeeded(ctx))
		}
	}
}

// step exchanges once, if the host hears too little by itself, and returns when to look again.
func (t *loadExchanger) exchangeIfNeeded(ctx context.Context) time.Duration {
	if !t.updateNeeded() {
		return loads.IdleReportInterval
	}
	return t.exchange(ctx)
}

// hushed notes whether the host hears too little by itself.
func (t *loadExchanger) updateNeeded() bool {
	h := t.host
	h.mu.Lock()
	defer h.mu.Unlock()
	needed := h.registry.NeedsLoadExchange(h.now())
	if needed != t.needed {
		h.Log.Info("exchange of loads", "on", needed)
	}
	t.needed = needed
	return needed
}

func (t *loadExchanger) exchange(ctx context.Context) time.Duration {
	h := t.host
	h.mu.Lock()
	observations, hasInFlight := h.registry.Observations(), h.registry.InFlight() > 0
	h.mu.Unlock()
	t.reporter.Observe(observations)
	interval := loads.IdleReportInterval
	if hasInFlight || t.reporter.HasPending() {
		interval = loads.ReportInterval
	}
	reply, err := h.History.ExchangeLoads(ctx, t.reporter.NextReport(h.now()))
	if err != nil {
		return t.recordFailure(err)
	}
	h.Meter.Count("load_exchanges", "ok")
	if t.failing {
		h.Log.Info("loads are told again", "board", reply.BoardID, "hosts", reply.OtherHosts)
	}
	t.failing = false
	h.mu.Lock()
	defer h.mu.Unlock()
	update := t.reporter.HandleReply(reply, h.now())
	t.boardID, t.otherHosts = reply.BoardID, reply.OtherHosts
	h.registry.ApplyUpdate(update, h.now())
	return interval
}

// failed notes an exchange without an answer: the host goes on with what it hears itself. The
// next member is asked soon, then seldom while none answers.
func (t *loadExchanger) recordFailure(err error) time.Duration {
	h := t.host
	h.Meter.Count("load_exchanges", "failed")
	if t.failing {
		return loads.IdleReportInterval
	}
	t.failing = true
	h.Log.Warn("loads are not told", "error", err.Error())
	return loads.ReportInterval
}

// LoadExchangeState is what a host was told of the targets' loads, for operators.
type LoadExchangeState struct {
	// Needed: the host hears too little of the targets by itself, and exchanges.
	Needed bool `json:"on"`
	// UpdateAgeMs is how long ago it was told; -1 if it never was.
	UpdateAgeMs int64 `json:"told_ms"`
	// BoardID is the start of the board, and Hosts the other hosts that report to it.
	BoardID    uint64 `json:"board"`
	OtherHosts int    `json:"hosts"`
}

// state returns what the host was told; the caller holds the host's mu.
func (t *loadExchanger) state() LoadExchangeState {
	s := LoadExchangeState{Needed: t.needed, BoardID: t.boardID, OtherHosts: t.otherHosts, UpdateAgeMs: -1}
	if age := t.host.registry.UpdateAge(t.host.now()); age >= 0 {
		s.UpdateAgeMs = age.Milliseconds()
	}
	return s
}

// gauge serves the age of what the host was told.
func (t *loadExchanger) registerGauge() {
	t.host.Meter.Gauge("loads_told_ms", func() int64 {
		t.host.mu.Lock()
		defer t.host.mu.Unlock()
		return t.state().UpdateAgeMs
	})
}
