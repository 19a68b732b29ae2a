package replay

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
)

// Percentiles of program latency, in milliseconds.
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
	// WastedCacheTokens are RecomputedTokens and HeldTokenSeconds together.
	WastedCacheTokens int64 `json:"wasted_cache_tokens"`
	// RecomputedTokens are history tokens that an engine computed although
	// some engine had computed them for the program before.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// HeldTokenSeconds are tokens kept for programs that are over, times
	// seconds.
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

	latencies []time.Duration
	heldMS    int64
}

// Limits of a replay.
const (
	settleAfter = 45 * time.Second // for releases and the sweep
	maxReplay   = 6 * time.Hour
)

// Run replays a trace under one policy.
func Run(t *Trace, policy string, seed uint64) (*Result, error) {
	return RunWith(t, policy, seed, host.Config{})
}

// RunWith is Run with other settings of the hosts; zero ones are the defaults.
func RunWith(t *Trace, policy string, seed uint64, settings host.Config) (*Result, error) {
	w, err := newWorld(t, policy, seed, settings)
	if err != nil {
		return nil, err
	}
	for w.callers.left > 0 && w.Now() < maxReplay && w.RunNext() {
	}
	if w.callers.left > 0 {
		return nil, failure.New(failure.OutcomeMissed, "%d programs were not over after %s", w.callers.left, maxReplay)
	}
	for end := w.Now() + settleAfter; w.Now() < end && w.RunNext(); {
	}
	w.audit.close()
	return w.finish(), nil
}

func (w *world) finish() *Result {
	r := w.result
	slices.Sort(r.latencies)
	r.Latency = Percentiles{P50: r.percentile(0.50), P95: r.percentile(0.95), P99: r.percentile(0.99), Max: r.percentile(1)}
	r.HeldTokenSeconds = r.heldMS / 1000
	r.WastedCacheTokens = r.RecomputedTokens + r.HeldTokenSeconds
	r.PlatformCalls = w.platform.calls
	r.SimulatedSeconds = w.Now().Seconds()
	return r
}

// held counts tokens kept for a program that is over.
func (w *world) held(tokens int64, d time.Duration) { w.result.heldMS += tokens * d.Milliseconds() }

// percentile is the nearest-rank percentile of the sorted latencies.
func (r *Result) percentile(q float64) float64 {
	n := len(r.latencies)
	if n == 0 {
		return 0
	}
	i := min(n-1, max(0, int(float64(n)*q+0.999999)-1))
	return float64(r.latencies[i].Microseconds()) / 1000
}

// Check reports how the result misses the wanted outcome; nil when it holds.
func (w Want) Check(r *Result) error {
	if r.Completed < w.CompletedMin || r.NotRun > w.NotRunMax || r.Unknown > w.UnknownMax || r.Violations > w.Violations {
		return failure.New(failure.OutcomeMissed, "%s under %s: completed=%d (at least %d) not_run=%d (at most %d) unknown=%d (at most %d) violations=%d (at most %d)",
			r.Trace, r.Policy, r.Completed, w.CompletedMin, r.NotRun, w.NotRunMax, r.Unknown, w.UnknownMax, r.Violations, w.Violations)
	}
	return nil
}
