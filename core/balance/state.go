package balance

import (
	"slices"
	"strings"
	"time"
)

// State is what a Registry knows of one target, for operators.
type State struct {
	Target     string `json:"target"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Draining   bool   `json:"draining"`
	// Usable is false while the target is not picked; Why says what keeps it out.
	Usable         bool   `json:"usable"`
	UnusableReason string `json:"why,omitempty"`
	// InFlight counts this host's own requests; Load is the estimate of all.
	InFlight int `json:"in_flight"`
	Load     int `json:"load"`
	// OthersInFlight is the requests of other hosts in flight, as told last.
	OthersInFlight int `json:"others"`
	Capacity       int `json:"places"`
	// ReportAgeMs is the age of the target's own word of its load; -1 if none.
	ReportAgeMs int64 `json:"report_age_ms"`
	// Failures is the recent failures, fading.
	Failures float64 `json:"faults"`
	// CachedParts is the number of prompt parts that it is believed to have read.
	CachedParts int `json:"cached_parts"`
	// Slowness is how many times slower than the fastest target of the service it is.
	Slowness float64 `json:"slowness"`
	// Slowdown is how many times longer than usual work takes there now, by the target's
	// word; 0 where targets of the service do not tell. Own is how many times slower it is
	// than others by itself.
	Slowdown          float64 `json:"slowdown,omitempty"`
	IntrinsicSlowdown float64 `json:"own,omitempty"`
}

// State returns what is known of all targets, in order of service and id.
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
		Target: t.ID, Service: t.Service, DataCentre: t.DataCentre, Draining: t.Draining, UnusableReason: t.obstacle(now),
		Slowness: r.slowness(t, r.of(t.Service).fastest(now), now),
		InFlight: t.inFlight, Load: t.estimate(now), Capacity: t.Capacity, ReportAgeMs: -1, Failures: t.fade(now), OthersInFlight: t.told.others, CachedParts: len(t.cache.used),
	}
	s.Usable = s.UnusableReason == ""
	if r.told(t.service, now) {
		s.Slowdown, s.IntrinsicSlowdown = t.slowdown(now), t.own.factor(now)
	}
	if t.hasReport {
		s.ReportAgeMs = (now - t.reportedAt).Milliseconds()
	}
	return s
}

// obstacle is what keeps the target from being picked; empty if nothing does.
func (t *Target) obstacle(now time.Duration) string {
	switch {
	case t.Draining:
		return "draining"
	case t.Unreachable:
		return "unreachable"
	case t.evacuated:
		return "evacuated"
	case t.breaker.Open(now):
		return "failing"
	case !t.bears(now):
		return "cold"
	}
	return ""
}
