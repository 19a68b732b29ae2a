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

// Paths of the metrics address.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// observer lets operators look into a running role.
type observer struct {
	meter  *meter.Meter
	sink   *logsink.Sink
	logger *log.Logger
	// state returns what the role holds.
	state func() any
}

// gauges serves what every role has.
func (o *observer) gauges() {
	o.meter.Gauge("log_lines_dropped", o.sink.Dropped)
	o.meter.Gauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	o.meter.Gauge("heap_bytes", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	})
}

// serve serves metrics and state on an address until the context ends. A role
// without them goes on: callers do not depend on it.
func (o *observer) serve(ctx context.Context, address string) {
	if address == "" {
		return
	}
	listener, err := listen(address)
	if err != nil {
		o.logger.Error("metrics are not served", "address", address, "error", err.Error())
		return
	}
	server := &http.Server{Handler: o.handler(), ReadHeaderTimeout: observeTimeout, IdleTimeout: observeTimeout}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			o.logger.Error("metrics listener failed", "error", err.Error())
		}
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// handler serves metrics and state.
func (o *observer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, o.meter)
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(o.dump()) // whoever asked has gone
	})
	return mux
}

// observeTimeout bounds a connection that asks for metrics: whoever reads them is
// close by and asks every few seconds.
const observeTimeout = 10 * time.Second

// dump is the state as one JSON line.
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
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			_, _ = o.sink.Write(o.dump()) // a sink takes or counts every line
		}
	}
}
