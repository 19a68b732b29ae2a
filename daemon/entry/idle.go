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
type idleCloser struct {
	timeout func() time.Duration
	mu      sync.Mutex
	timers  map[*callerConn]*time.Timer
}

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, timers: map[*callerConn]*time.Timer{}}
}

// state is an http.Server.ConnState hook, for connections of callers.
func (c *idleCloser) connState(conn net.Conn, s http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[caller]; t != nil {
		t.Stop()
		delete(c.timers, caller)
	}
	if s == http.StateIdle {
		caller.markIdle()
		c.timers[caller] = time.AfterFunc(c.timeout(), caller.closeIdle)
	}
}

// requestStart is how many bytes http.Server waits for before it bounds the time that a
// request's head takes: fewer are no request.
const minRequestStartBytes = 4

// idleness is whether a connection waits for its next request. http.Server tells that one is
// in use only once it has read the whole head of a request; a connection that was closed until
// then would take a request with it that is then sent to a target.
type idleState struct {
	mu            sync.Mutex
	receivedBytes int // bytes since the connection became idle
	closed        bool
}

// rest notes that the connection is idle.
func (i *idleState) markIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.receivedBytes = 0
}

// arrive notes n bytes; it reports false where the connection has been closed, and nothing that
// arrives may be read.
func (i *idleState) recordRead(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.receivedBytes += n
	return !i.closed
}

// expire reports whether the connection is still idle, and thus to be closed.
func (i *idleState) closeIfIdle() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.receivedBytes < minRequestStartBytes {
		i.closed = true
	}
	return i.closed
}

// end notes that the connection is closed, idle or not.
func (i *idleState) markClosed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.recordRead(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. http.Server calls it for idle connections as it shuts down.
func (c *callerConn) Close() error {
	c.markClosed()
	return c.Conn.Close()
}

// closeIdle closes the connection unless a request has begun to arrive.
func (c *callerConn) closeIdle() {
	if c.closeIfIdle() {
		_ = c.Close()
	}
}
