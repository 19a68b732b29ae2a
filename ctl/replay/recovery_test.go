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

// recoveryTrace has programs on all hosts of two data centres, each with a call
// pauseMS milliseconds after each answer, and the faults given.
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

// BenchmarkTakeover reports the longest time for which a program was not served
// because its host died, on virtual time.
func BenchmarkTakeover(b *testing.B) {
	trace := recoveryTrace(b, 200, 100, 200, `{"at_ms":5000,"fault":"host_dies","host":"h1"}`)
	var longest float64
	for b.Loop() {
		r, err := RunWith(trace, sched.PolicyDefault, 1, host.Config{})
		require.NoError(b, err)
		require.Zero(b, r.Violations+r.NotRun+r.Unknown)
		longest = r.Latency.Max - r.Latency.P50
	}
	b.ReportMetric(longest, "takeover-ms")
	b.ReportMetric(float64(host.DefaultConfig().LeaseDuration/time.Millisecond), "lease-ms")
}

// BenchmarkPlatformCalls reports the platform calls per host and second, at rest
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

// TestFiveMinuteOutage states that every call of a live host's programs is
// answered while the platform is down for five minutes.
func TestFiveMinuteOutage(t *testing.T) {
	trace := recoveryTrace(t, 20, 160, 2000, `{"at_ms":2000,"fault":"platform_down"}`+"\n"+`{"at_ms":302000,"fault":"platform_up"}`)
	r, err := Run(trace, sched.PolicyDefault, 1)
	require.NoError(t, err)
	require.Zero(t, r.Violations+r.NotRun+r.Unknown, "%v %v", r.ViolationTexts, r.FailureTexts)
	require.Equal(t, 20, r.Completed)
	require.Equal(t, 20*160, r.Answered)
	require.Less(t, r.Latency.Max, 2*r.Latency.P50, "nobody waited for the platform")
}

// TestDamagedJournalIsNeverServed damages every segment of a host and kills it:
// its programs are reported as corrupt, and none is answered from what is left.
func TestDamagedJournalIsNeverServed(t *testing.T) {
	w, err := newWorld(recoveryTrace(t, 8, 20, 200, ""), sched.PolicyDefault, 1, host.Config{})
	require.NoError(t, err)
	for w.Now() < settleBefore+2*time.Second {
		require.True(t, w.RunNext())
	}
	damaged := 0
	for key, o := range w.platform.all {
		if strings.HasPrefix(key, "journal/a/h2.") {
			o.body = append([]byte(nil), o.body...)
			o.body[len(o.body)/2] ^= 0xff
			damaged++
		}
	}
	require.Positive(t, damaged)
	w.hostDies(w.byName["h2"])
	for w.callers.left > 0 && w.Now() < maxReplay && w.RunNext() {
	}
	require.Zero(t, w.result.Violations, "%v", w.result.ViolationTexts)
	require.Positive(t, w.audit.notes[host.NoteCorrupt], "it is reported")
	require.Positive(t, w.result.Unknown, "its programs end with a typed error")
	for _, text := range w.result.FailureTexts {
		require.Contains(t, text, "corrupt")
	}
}
