// Package meter holds the counters, gauges and latency histograms of one process and serves them
// as text, one "name value" per line. docs/OPERATIONS.md lists them.
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

// histogramSampleSize is the number of durations in a histogram's sample: 4 KB per histogram, and
// five values above the 99th percentile.
const histogramSampleSize = 512

// quantiles are the quantiles served for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Meter is a set of metrics. It is safe for concurrent use; a nil *Meter records nothing.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	// histograms are held here because the registry's lookup allocates a new sample on each call.
	histograms map[string]metrics.Histogram
}

// New returns a Meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), histograms: map[string]metrics.Histogram{}}
}

// Count adds one to a counter, whose name is the parts joined by underscores: "requests",
// "failed" and "timeout" give requests_failed_timeout.
func (m *Meter) Count(parts ...string) { m.Add(1, parts...) }

// Add adds n to a counter, named as in Count.
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
		// A metrics.Timer starts a goroutine that never ends.
		h = metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize))
		m.histograms[name] = h
	}
	m.mu.Unlock()
	h.Update(d.Microseconds())
}

// Gauge registers a gauge whose value is read at each request for the metrics. If the name is
// taken, the first gauge stays.
func (m *Meter) Gauge(name string, read func() int64) {
	if m == nil {
		return
	}
	// Register fails only if the name is taken.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Value returns the value of a counter or gauge; 0 if there is none with that name.
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

// Write writes all metrics, sorted by name.
func (m *Meter) Write(to io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, x any) {
		switch x := x.(type) {
		case metrics.Counter:
			lines = append(lines, formatLine(name, x.Count()))
		case metrics.Gauge:
			lines = append(lines, formatLine(name, x.Value()))
		}
	})
	m.mu.Lock()
	for name, h := range m.histograms {
		lines = append(lines, histogramLines(name+"_us", h.Snapshot())...)
	}
	m.mu.Unlock()
	slices.Sort(lines)
	out := bufio.NewWriter(to)
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return out.Flush()
}

func formatLine(name string, value int64) string { return name + " " + strconv.FormatInt(value, 10) }

// histogramLines returns the count, the maximum and the quantiles of a histogram.
func histogramLines(name string, h metrics.Histogram) []string {
	lines := []string{formatLine(name+"_count", h.Count()), formatLine(name+"_max", h.Max())}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, formatLine(fmt.Sprintf("%s_p%g", name, quantiles[i]*100), int64(v)))
	}
	return lines
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = m.Write(w) // fails only if the client has disconnected
}
