package replay

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
)

// Percentiles are percentiles of program latency, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result is the outcome of one replay.
type Result struct {
	Trace   string      `json:"trace"`
	Policy  string      `json:"policy"`
	Latency Percentiles `json:"program_latency_ms"`
	// WastedCacheTokens is the sum of RecomputedTokens and HeldTokenSeconds.
	WastedCacheTokens int64 `json:"wasted_cache_tokens"`
	// RecomputedTokens is the number of history tokens that an engine computed although
	// an engine had computed them for the same program before.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// HeldTokenSeconds is the sum, over programs that have ended, of cached tokens times
	// the seconds for which an engine still cached them.
	HeldTokenSeconds int64    `json:"held_token_seconds"`
	Completed        int      `json:"completed"`
	Answered         int      `json:"answered"`
	NotRun           int      `json:"not_run"`
	Unknown          int      `json:"unknown"`
	Violations       int      `json:"violations"`
	ViolationTexts   []string `json:"violation_texts,omitempty"`
	FailureTexts     []string `json:"failure_texts,omitempty"`
	PlatformCalls    uint64   `json:"platform_calls"`
	SimulatedSeconds float64  `json:"simulated_seconds"`

	latencies   []time.Duration // of completed programs, without pauses
	heldTokenMS int64           // HeldTokenSeconds in token milliseconds
}

// Durations of a replay, on virtual time.
const (
	settleTime    = 45 * time.Second // after the last program, for cache releases and those that reports trigger (host.NoteSwept)
	maxReplayTime = 6 * time.Hour    // until all programs have ended
)

// Run replays a trace under one scheduling policy (core/sched) with the default settings
// of the hosts. Its error states invalid settings, or that programs had not ended
// after maxReplayTime; violations and failed calls are in the result.
func Run(t *Trace, policy string, seed uint64) (*Result, error) {
	return RunWithConfig(t, policy, seed, host.Config{})
}

// RunWithConfig is Run with other settings of the hosts; zero values mean the defaults.
func RunWithConfig(t *Trace, policy string, seed uint64, config host.Config) (*Result, error) {
	sim, err := newSimulation(t, policy, seed, config)
	if err != nil {
		return nil, err
	}
	for sim.callers.unfinished > 0 && sim.Now() < maxReplayTime && sim.RunNext() {
	}
	if sim.callers.unfinished > 0 {
		return nil, failure.New(failure.OutcomeMissed, "%d programs had not ended after %s", sim.callers.unfinished, maxReplayTime)
	}
	for end := sim.Now() + settleTime; sim.Now() < end && sim.RunNext(); {
	}
	sim.audit.checkCaches()
	return sim.finish(), nil
}

// finish computes the sums and percentiles of the result.
func (sim *simulation) finish() *Result {
	r := sim.result
	slices.Sort(r.latencies)
	r.Latency = Percentiles{P50: r.percentile(0.50), P95: r.percentile(0.95), P99: r.percentile(0.99), Max: r.percentile(1)}
	r.HeldTokenSeconds = r.heldTokenMS / 1000
	r.WastedCacheTokens = r.RecomputedTokens + r.HeldTokenSeconds
	r.PlatformCalls = sim.platform.calls
	r.SimulatedSeconds = sim.Now().Seconds()
	return r
}

// recordHeldTokens counts tokens that were cached for a time after their program's end.
func (sim *simulation) recordHeldTokens(tokens int64, d time.Duration) {
	sim.result.heldTokenMS += tokens * d.Milliseconds()
}

// percentile returns the nearest-rank percentile of the sorted latencies, for q from 0
// to 1, in milliseconds; 0 without latencies.
func (r *Result) percentile(q float64) float64 {
	n := len(r.latencies)
	if n == 0 {
		return 0
	}
	rank := min(n-1, max(0, int(float64(n)*q+0.999999)-1))
	return float64(r.latencies[rank].Microseconds()) / 1000
}

// Check returns an error of kind OutcomeMissed if the result violates the expected
// outcome.
func (o ExpectedOutcome) Check(r *Result) error {
	if r.Completed < o.MinCompleted || r.NotRun > o.MaxNotRun || r.Unknown > o.MaxUnknown || r.Violations > o.MaxViolations {
		return failure.New(failure.OutcomeMissed, "%s under %s: completed=%d (at least %d) not_run=%d (at most %d) unknown=%d (at most %d) violations=%d (at most %d)",
			r.Trace, r.Policy, r.Completed, o.MinCompleted, r.NotRun, o.MaxNotRun, r.Unknown, o.MaxUnknown, r.Violations, o.MaxViolations)
	}
	return nil
}
