package balance

import (
	"slices"
	"strings"
	"time"
)

// State is what a Registry knows about one target, for operators.
type State struct {
	Target     string `json:"target"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Draining   bool   `json:"draining"`
	// Usable is false while the target is not picked; UnusableReason is the reason.
	Usable         bool   `json:"usable"`
	UnusableReason string `json:"why,omitempty"`
	// InFlight is the number of this host's own requests; Load is the estimate for all hosts.
	InFlight int `json:"in_flight"`
	Load     int `json:"load"`
	// OthersInFlight is the number of in-flight requests of other hosts as of the last exchange.
	OthersInFlight int `json:"others"`
	Capacity       int `json:"places"`
	// ReportAgeMs is the age of the target's last load report; -1 if there is none.
	ReportAgeMs int64 `json:"report_age_ms"`
	// Failures is the decayed count of recent failures.
	Failures float64 `json:"faults"`
	// CachedParts is the number of prompt parts expected in the target's prefix cache.
	CachedParts int `json:"cached_parts"`
	// Slowness is how many times slower than the fastest target of the service the target is.
	Slowness float64 `json:"slowness"`
	// Slowdown is the factor by which work there takes longer than usual now, according to load
	// reports; 0 if targets of the service report none. IntrinsicSlowdown is how many times
	// slower than others the target is regardless of that.
	Slowdown          float64 `json:"slowdown,omitempty"`
	IntrinsicSlowdown float64 `json:"own,omitempty"`
}

// State returns the state of all targets, in order of service and ID.
func (r *Registry) State(now time.Duration) []State {
	list := make([]State, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t.state(r, now))
	}
	slices.SortFunc(list, func(a, b State) int {
		return strings.Compare(a.Service+"/"+a.Target, b.Service+"/"+b.Target)
	})
	return list
}

func (t *Target) state(r *Registry, now time.Duration) State {
	s := State{
		Target: t.ID, Service: t.Service, DataCentre: t.DataCentre, Draining: t.Draining, UnusableReason: t.unusableReason(now),
		Slowness: r.slowness(t, r.serviceNamed(t.Service).minLatencyRatio(now), now),
		InFlight: t.inFlight, Load: t.estimate(now), Capacity: t.Capacity, ReportAgeMs: -1, Failures: t.decayedFailures(now), OthersInFlight: t.exchange.othersInFlight, CachedParts: len(t.cache.lastUsed),
	}
	s.Usable = s.UnusableReason == ""
	if r.usesPredictedFinish(t.service, now) {
		s.Slowdown, s.IntrinsicSlowdown = t.slowdown(now), t.intrinsic.factor(now)
	}
	if t.hasReport {
		s.ReportAgeMs = (now - t.reportedAt).Milliseconds()
	}
	return s
}

// unusableReason returns why the target must not be picked, or "" if it is usable.
func (t *Target) unusableReason(now time.Duration) string {
	switch {
	case t.Draining:
		return "draining"
	case t.Unreachable:
		return "unreachable"
	case t.evacuated:
		return "evacuated"
	case t.breaker.IsOpen(now):
		return "failing"
	case !t.admitsByColdStart(now):
		return "cold"
	}
	return ""
}
