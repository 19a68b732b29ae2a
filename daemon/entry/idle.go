package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that stay idle for longer than the current
// configuration allows. The idle timeout of http.Server cannot change while the server runs,
// but callers rely on the newest one.
type idleCloser struct {
	timeout func() time.Duration
	mu      sync.Mutex
	timers  map[*callerConn]*time.Timer
}

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, timers: map[*callerConn]*time.Timer{}}
}

// connState is an http.Server.ConnState hook for connections of callers.
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

// minRequestStartBytes is how many bytes http.Server waits for before its timeout for the head
// of a request starts. Fewer bytes do not count as a request.
const minRequestStartBytes = 4

// idleState tracks whether a connection waits for its next request. http.Server reports a
// connection as active only after it has read the whole head of a request. If the connection
// were closed before that, the request would be lost to its caller and still be sent to a
// target.
type idleState struct {
	mu            sync.Mutex
	receivedBytes int // since the connection became idle
	closed        bool
}

// markIdle records that the connection is idle.
func (s *idleState) markIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedBytes = 0
}

// recordRead records n bytes read. It reports false if the connection has been closed and the
// bytes must be discarded.
func (s *idleState) recordRead(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedBytes += n
	return !s.closed
}

// closeIfIdle marks the connection as closed if it is still idle, and reports whether it is
// closed.
func (s *idleState) closeIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivedBytes < minRequestStartBytes {
		s.closed = true
	}
	return s.closed
}

// markClosed records that the connection is closed, whether idle or not.
func (s *idleState) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.recordRead(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. http.Server calls it for idle connections when it shuts down.
func (c *callerConn) Close() error {
	c.markClosed()
	return c.Conn.Close()
}

// closeIdle closes the connection unless part of a request has arrived.
func (c *callerConn) closeIdle() {
	if c.closeIfIdle() {
		_ = c.Close()
	}
}
