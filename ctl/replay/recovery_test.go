package replay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// recoveryTrace returns a trace with programs in two data centres of two hosts each and
// the given faults (JSON lines). A program submits its next call pauseMS milliseconds
// after each answer.
func recoveryTrace(t testing.TB, programs, turns, pauseMS int, faults string) *Trace {
	var b strings.Builder
	b.WriteString(`{"trace":"recovery","link_ms":1.5,"client_ms":1,"services":[{"name":"s","objective":"latency"}],"hosts":[{"name":"h1","data_centre":"a"},{"name":"h2","data_centre":"a"},{"name":"h3","data_centre":"b"},{"name":"h4","data_centre":"b"}],"targets":[{"name":"e1","service":"s","data_centre":"a","batch":64,"cache_tokens":1000000,"prefill_ms":0.01,"decode_ms":1}]}` + "\n")
	for i := range programs {
		for j := range turns {
			fmt.Fprintf(&b, `{"at_ms":%d,"program":"p%d","caller":"c","data_centre":"%s","service":"s","sequence":%d,"prompt_tokens":20,"output_tokens":10,"pause_ms":%d,"last":%v}`+"\n",
				i*3, i, []string{"a", "b"}[i%2], j, pauseMS, j == turns-1)
		}
	}
	trace, err := Read(strings.NewReader(b.String() + faults))
	require.NoError(t, err)
	return trace
}

// BenchmarkTakeover reports the longest delay of a program after the death of its host,
// on virtual time.
func BenchmarkTakeover(b *testing.B) {
	trace := recoveryTrace(b, 200, 100, 200, `{"at_ms":5000,"fault":"host_dies","host":"h1"}`)
	var longest float64
	for b.Loop() {
		r, err := RunWithConfig(trace, sched.PolicyDefault, 1, host.Config{})
		require.NoError(b, err)
		require.Zero(b, r.Violations+r.NotRun+r.Unknown)
		longest = r.Latency.Max - r.Latency.P50
	}
	b.ReportMetric(longest, "takeover-ms")
	b.ReportMetric(float64(host.DefaultConfig().LeaseDuration/time.Millisecond), "lease-ms")
}

// BenchmarkPlatformCalls reports the platform calls per host and second, with one program
// and under load.
func BenchmarkPlatformCalls(b *testing.B) {
	for name, c := range map[string][2]int{"rest": {1, 2}, "load": {400, 300}} {
		b.Run(name, func(b *testing.B) {
			trace := recoveryTrace(b, c[0], c[1], 200, "")
			for b.Loop() {
				r, err := Run(trace, sched.PolicyDefault, 1)
				require.NoError(b, err)
				b.ReportMetric(float64(r.PlatformCalls)/r.SimulatedSeconds/4, "calls/s/host")
				b.ReportMetric(float64(r.Answered)/r.SimulatedSeconds, "answers/s")
			}
		})
	}
}

// TestCallsAnsweredDuringPlatformOutage checks that live hosts answer every call while
// the platform is down for five minutes.
func TestCallsAnsweredDuringPlatformOutage(t *testing.T) {
	trace := recoveryTrace(t, 20, 160, 2000, `{"at_ms":2000,"fault":"platform_down"}`+"\n"+`{"at_ms":302000,"fault":"platform_up"}`)
	r, err := Run(trace, sched.PolicyDefault, 1)
	require.NoError(t, err)
	require.Zero(t, r.Violations+r.NotRun+r.Unknown, "%v %v", r.ViolationTexts, r.FailureTexts)
	require.Equal(t, 20, r.Completed)
	require.Equal(t, 20*160, r.Answered)
	require.Less(t, r.Latency.Max, 2*r.Latency.P50, "a program waited for the platform")
}

// TestCorruptJournalIsNeverServed damages every journal segment of a host and kills it.
// The next owner must report the corruption, and fail the programs instead of answering
// from the rest of the journal.
func TestCorruptJournalIsNeverServed(t *testing.T) {
	sim, err := newSimulation(recoveryTrace(t, 8, 20, 200, ""), sched.PolicyDefault, 1, host.Config{})
	require.NoError(t, err)
	for sim.Now() < startupTime+2*time.Second {
		require.True(t, sim.RunNext())
	}
	damaged := 0
	for key, o := range sim.platform.byKey {
		if strings.HasPrefix(key, "journal/a/h2.") {
			o.body = append([]byte(nil), o.body...)
			o.body[len(o.body)/2] ^= 0xff
			damaged++
		}
	}
	require.Positive(t, damaged)
	sim.killHost(sim.hostsByName["h2"])
	for sim.callers.unfinished > 0 && sim.Now() < maxReplayTime && sim.RunNext() {
	}
	require.Zero(t, sim.result.Violations, "%v", sim.result.ViolationTexts)
	require.Positive(t, sim.audit.noteCounts[host.NoteCorrupt], "corruption is not reported")
	require.Positive(t, sim.result.Unknown, "no program failed")
	for _, text := range sim.result.FailureTexts {
		require.Contains(t, text, "corrupt")
	}
}
