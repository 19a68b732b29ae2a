package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/hedge"
	"github.com/pistachioarch/pistachioarch/core/held"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

// registerGauges registers the gauges of the host.
func (h *Host) registerGauges() {
	h.registerByteGauges()
	h.Meter.Gauge("requests_active", func() int64 { return int64(h.activeRequests()) })
	h.memory.registerGauges()
	h.Meter.Gauge("targets_listed", func() int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return int64(h.registry.Size())
	})
	h.Meter.Gauge("config_version", func() int64 { return int64(h.configVersion()) })
	h.Meter.Gauge("config_age_s", func() int64 { return int64(h.configAge() / time.Second) })
	h.Meter.Gauge("config_confirmed_ms", h.confirmedAgeMs)
	h.loadExchanger.registerGauge()
	h.Meter.Gauge("ready", func() int64 {
		if h.Ready() {
			return 1
		}
		return 0
	})
}

func (h *Host) configVersion() uint64 {
	if t := h.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// configAge returns how long the current configuration has been in force on this host.
func (h *Host) configAge() time.Duration {
	return h.now() - time.Duration(h.configuredAt.Load())
}

// confirmedAgeMs returns the age of the last confirmation in milliseconds, -1 before the first.
func (h *Host) confirmedAgeMs() int64 {
	if h.configConfirmed.at.Load() == neverConfirmed {
		return -1
	}
	return h.confirmedAge().Milliseconds()
}

// State is a dump of a host for operators. It contains no content of requests.
type State struct {
	Ready          bool `json:"ready"`
	Draining       bool `json:"draining"`
	ActiveRequests int  `json:"requests_active"`
	MaxRequests    int  `json:"requests_limit"`
	// Held is the memory that requests hold.
	Held          held.State `json:"held"`
	ConfigVersion uint64     `json:"config_version"`
	ConfigAgeMs   int64      `json:"config_age_ms"`
	// ConfigConfirmedMs is the time since the configuration was last known to be the newest; -1
	// before the first confirmation. Customers is the number of customers, 0 if no keys are
	// required.
	ConfigConfirmedMs int64           `json:"config_confirmed_ms"`
	Customers         int             `json:"customers"`
	Routes            []RouteState    `json:"routes"`
	Targets           []balance.State `json:"targets"`
	History           quorum.State    `json:"history"`
	// SecondSends is the state of hedging: delays and remaining budgets.
	SecondSends  hedge.State       `json:"second_sends"`
	LoadExchange LoadExchangeState `json:"loads"`
}

// RouteState describes one route of the current configuration.
type RouteState struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"prefix"`
	Kind      string   `json:"kind"`
	Services  []string `json:"services"`
	Attempts  int      `json:"attempts"`
	TimeoutMs int64    `json:"timeout_ms"`
	Priority  int      `json:"priority"`
}

// State returns a dump of the host.
func (h *Host) State() State {
	s := State{
		Ready: h.Ready(), Draining: h.draining.Load(), ConfigVersion: h.configVersion(), ConfigAgeMs: h.configAge().Milliseconds(),
		Routes: routeStates(h.table.Load()), History: h.History.State(), ConfigConfirmedMs: h.confirmedAgeMs(),
	}
	if t := h.table.Load(); t != nil && t.RequiresKey() {
		s.Customers = len(t.Customers().Names())
	}
	s.ActiveRequests, s.MaxRequests, s.Held = h.memory.activeRequests(), h.memory.maxRequests(), h.memory.state()
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Targets = h.registry.State(h.now())
	s.SecondSends = h.hedger.State()
	s.LoadExchange = h.loadExchanger.state()
	return s
}

func routeStates(table *routing.Table) []RouteState {
	if table == nil {
		return nil
	}
	states := make([]RouteState, 0, len(table.Routes()))
	for _, r := range table.Routes() {
		state := RouteState{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind.String(), Attempts: r.MaxAttempts,
			TimeoutMs: r.Timeout.Milliseconds(), Priority: r.Priority,
		}
		for _, weighted := range r.Services {
			state.Services = append(state.Services, weighted.Service)
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b RouteState) int { return strings.Compare(a.Host+a.Prefix, b.Host+b.Prefix) })
	return states
}
