package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/daemon/logsink"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
)

// Paths served on the metrics address.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// observer exposes the metrics, state and logs of a running role to operators.
type observer struct {
	meter  *meter.Meter
	sink   *logsink.Sink
	logger *log.Logger
	// state returns the role's state, to be encoded as JSON.
	state func() any
}

// registerGauges registers the gauges that all roles have.
func (o *observer) registerGauges() {
	o.meter.Gauge("log_lines_dropped", o.sink.Dropped)
	o.meter.Gauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	o.meter.Gauge("heap_bytes", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	})
}

// serve serves metrics and state on an address until ctx ends. If it cannot listen, the role
// runs without them, since callers do not depend on them.
func (o *observer) serve(ctx context.Context, address string) {
	if address == "" {
		return
	}
	listener, err := listen(address)
	if err != nil {
		o.logger.Error("metrics are not served", "address", address, "error", err.Error())
		return
	}
	server := &http.Server{Handler: o.handler(), ReadHeaderTimeout: metricsTimeout, IdleTimeout: metricsTimeout}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			o.logger.Error("metrics listener failed", "error", err.Error())
		}
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// handler returns the handler of the metrics address.
func (o *observer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, o.meter)
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(o.dump()) // fails only if the client has disconnected
	})
	return mux
}

// metricsTimeout bounds reading of request headers and idle time on a metrics connection:
// clients are close by and poll every few seconds.
const metricsTimeout = 10 * time.Second

// dump returns the state as one JSON line; nil if it cannot be encoded.
func (o *observer) dump() []byte {
	line, err := json.Marshal(o.state())
	if err != nil {
		o.logger.Error("state cannot be encoded", "error", err.Error())
		return nil
	}
	return append(line, '\n')
}

// dumpOnSignal writes the state to standard output at each SIGUSR1.
func (o *observer) dumpOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			_, _ = o.sink.Write(o.dump()) // the sink never fails: it counts the lines it drops
		}
	}
}
