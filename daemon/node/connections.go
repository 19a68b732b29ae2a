package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// callerCloseTimeout bounds the wait of a stopping host for callers to close their idle
	// connections. If the host closes one itself, a request in transit on it is lost.
	callerCloseTimeout = 1500 * time.Millisecond
	// callerClosePollInterval is the interval between checks for open connections.
	callerClosePollInterval = 20 * time.Millisecond
)

// connectionTracker counts the open connections of callers and operators and lets a
// stopping host end them without losing requests: each answer is then the last on its
// connection, and idle connections stay open up to callerCloseTimeout, so that callers
// can close them.
type connectionTracker struct {
	open     atomic.Int64
	stopping atomic.Bool
}

// onStateChange is the ConnState hook of an http.Server.
func (c *connectionTracker) onStateChange(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// closeAfterResponse wraps a handler; while the host stops, each response asks the client to
// close the connection.
func (c *connectionTracker) closeAfterResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// awaitClosed waits until all connections are closed, at most callerCloseTimeout.
func (c *connectionTracker) awaitClosed(ctx context.Context) {
	deadline := time.Now().Add(callerCloseTimeout)
	ticker := time.NewTicker(callerClosePollInterval)
	defer ticker.Stop()
	for c.open.Load() > 0 && time.Now().Before(deadline) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
