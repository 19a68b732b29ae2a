package meter

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMetricsAreServedAsText(t *testing.T) {
	m := New()
	m.Count("requests", "answered")
	m.Add(2, "requests", "answered")
	for i := range 100 {
		m.Observe("turn_begin", time.Duration(i+1)*time.Millisecond)
	}
	active := int64(7)
	m.Gauge("requests_active", func() int64 { return active })
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, `requests_active 7
requests_answered 3
turn_begin_us_count 100
turn_begin_us_max 100000
turn_begin_us_p50 50500
turn_begin_us_p95 95949
turn_begin_us_p99 99990
`, w.Body.String())
	require.EqualValues(t, 3, m.Value("requests_answered"))
	require.EqualValues(t, 7, m.Value("requests_active"))
	require.Zero(t, m.Value("other"))
}

func TestNilMeterRecordsNothing(t *testing.T) {
	var m *Meter
	m.Count("x")
	m.Observe("x", time.Second)
	m.Gauge("x", func() int64 { return 1 })
	require.Zero(t, m.Value("x"))
}

func BenchmarkCount(b *testing.B) {
	m := New()
	for b.Loop() {
		m.Count("requests", "answered")
	}
}

func BenchmarkObserve(b *testing.B) {
	m := New()
	for b.Loop() {
		m.Observe("turn_begin", time.Millisecond)
	}
}
