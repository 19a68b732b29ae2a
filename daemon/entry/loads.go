package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// teller tells a history host what this host sees of the targets, and is told what others see.
type teller struct {
	host     *Host
	reporter *loads.Reporter
	// broken: the last exchange failed.
	broken bool
	// What follows is for operators, guarded by the host's mu. on: the host hears too little
	// by itself; board and hosts are those of the last answer.
	on    bool
	board uint64
	hosts int
}

func newTeller(h *Host) *teller {
	id := rand.Uint64() | 1
	h.registry.SetSalt(id)
	return &teller{host: h, reporter: loads.NewReporter(id)}
}

// run exchanges until the context ends.
func (t *teller) run(ctx context.Context) {
	timer := time.NewTimer(loads.IdleReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(t.step(ctx))
		}
	}
}

// step exchanges once, if the host hears too little by itself, and returns when to look again.
func (t *teller) step(ctx context.Context) time.Duration {
	if !t.hushed() {
		return loads.IdleReportInterval
	}
	return t.exchange(ctx)
}

// hushed notes whether the host hears too little by itself.
func (t *teller) hushed() bool {
	h := t.host
	h.mu.Lock()
	defer h.mu.Unlock()
	on := h.registry.NeedsLoadExchange(h.now())
	if on != t.on {
		h.Log.Info("exchange of loads", "on", on)
	}
	t.on = on
	return on
}

func (t *teller) exchange(ctx context.Context) time.Duration {
	h := t.host
	h.mu.Lock()
	own, active := h.registry.Observations(), h.registry.InFlight() > 0
	h.mu.Unlock()
	t.reporter.Observe(own)
	every := loads.IdleReportInterval
	if active || t.reporter.HasPending() {
		every = loads.ReportInterval
	}
	reply, err := h.History.ExchangeLoads(ctx, t.reporter.NextReport(h.now()))
	if err != nil {
		return t.failed(err)
	}
	h.Meter.Count("load_exchanges", "ok")
	if t.broken {
		h.Log.Info("loads are told again", "board", reply.BoardID, "hosts", reply.OtherHosts)
	}
	t.broken = false
	h.mu.Lock()
	defer h.mu.Unlock()
	learned := t.reporter.HandleReply(reply, h.now())
	t.board, t.hosts = reply.BoardID, reply.OtherHosts
	h.registry.ApplyUpdate(learned, h.now())
	return every
}

// failed notes an exchange without an answer: the host goes on with what it hears itself. The
// next member is asked soon, then seldom while none answers.
func (t *teller) failed(err error) time.Duration {
	h := t.host
	h.Meter.Count("load_exchanges", "failed")
	if t.broken {
		return loads.IdleReportInterval
	}
	t.broken = true
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
func (t *teller) state() LoadExchangeState {
	s := LoadExchangeState{Needed: t.on, BoardID: t.board, OtherHosts: t.hosts, UpdateAgeMs: -1}
	if age := t.host.registry.UpdateAge(t.host.now()); age >= 0 {
		s.UpdateAgeMs = age.Milliseconds()
	}
	return s
}

// gauge serves the age of what the host was told.
func (t *teller) gauge() {
	t.host.Meter.Gauge("loads_told_ms", func() int64 {
		t.host.mu.Lock()
		defer t.host.mu.Unlock()
		return t.state().UpdateAgeMs
	})
}
