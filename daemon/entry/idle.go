package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that stay idle for longer than the
// configuration in force allows. http.Server's own timeout cannot change while it
// runs, and callers count on the newest.
type idleConns struct {
	limit  func() time.Duration
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// state is an http.Server.ConnState hook.
func (c *idleConns) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	if s == http.StateIdle {
		c.timers[conn] = time.AfterFunc(c.limit(), func() { _ = conn.Close() })
	}
}
