// Package meter keeps the counters, gauges and latency histograms of one process
// and serves them as text, one "name value" a line. docs/OPERATIONS.md has a table of
// them.
package meter

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is how many durations a histogram keeps: 4 KB each, and a 99th
// percentile that five of them decide.
const sampleSize = 512

// quantiles are those of a histogram that are served.
var quantiles = []float64{0.5, 0.95, 0.99}

// Meter is a set of metrics. Safe for concurrent use; a nil *Meter counts nothing.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	// histograms are kept here as well: the registry's look-up makes a new sample
	// each time.
	histograms map[string]metrics.Histogram
}

// New returns an empty set.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), histograms: map[string]metrics.Histogram{}}
}

// Count adds one to the counter that the parts name: "requests", "failed" and
// "timeout" are requests_failed_timeout.
func (m *Meter) Count(parts ...string) { m.Add(1, parts...) }

// Add adds n to a counter.
func (m *Meter) Add(n int64, parts ...string) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter(strings.Join(parts, "_"), m.registry).Inc(n)
}

// Observe adds a duration, in microseconds, to the histogram name_us.
func (m *Meter) Observe(name string, d time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	h := m.histograms[name]
	if h == nil {
		// A metrics.Timer would do, but starts a goroutine that nothing ends.
		h = metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
		m.histograms[name] = h
	}
	m.mu.Unlock()
	h.Update(d.Microseconds())
}

// Gauge serves what read returns at the time of asking.
func (m *Meter) Gauge(name string, read func() int64) {
	if m == nil {
		return
	}
	// The registry refuses a second gauge of one name; the first one stays.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Value is a counter's or gauge's value, 0 if there is none of that name.
func (m *Meter) Value(name string) int64 {
	if m == nil {
		return 0
	}
	switch x := m.registry.Get(name).(type) {
	case metrics.Counter:
		return x.Count()
	case metrics.Gauge:
		return x.Value()
	}
	return 0
}

// Write writes all metrics in order of name.
func (m *Meter) Write(to io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, x any) {
		switch x := x.(type) {
		case metrics.Counter:
			lines = append(lines, line(name, x.Count()))
		case metrics.Gauge:
			lines = append(lines, line(name, x.Value()))
		}
	})
	m.mu.Lock()
	for name, h := range m.histograms {
		lines = append(lines, histogram(name+"_us", h.Snapshot())...)
	}
	m.mu.Unlock()
	slices.Sort(lines)
	out := bufio.NewWriter(to)
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return out.Flush()
}

func line(name string, value int64) string { return name + " " + strconv.FormatInt(value, 10) }

func histogram(name string, h metrics.Histogram) []string {
	lines := []string{line(name+"_count", h.Count()), line(name+"_max", h.Max())}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, line(fmt.Sprintf("%s_p%g", name, quantiles[i]*100), int64(v)))
	}
	return lines
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = m.Write(w) // whoever asked has gone
}
