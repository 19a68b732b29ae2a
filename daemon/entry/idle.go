package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/headlimit"
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
	// head counts the lines of the head of the next request; headRefused is set once it has too many.
	head        headlimit.Limiter
	headRefused bool
}

// markIdle records that the connection is idle.
func (s *idleState) markIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedBytes = 0
	s.head.Start()
}

// markHeadRead records that the head of a request was read; what follows is its body.
func (s *idleState) markHeadRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head.Stop()
}

// recordRead records bytes that were read. It fails if they must be discarded: with net.ErrClosed if the
// connection has been closed, with TooLarge if they belong to a head that exceeds its bounds.
func (s *idleState) recordRead(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedBytes += len(p)
	if s.closed {
		return net.ErrClosed
	}
	err := s.head.Count(p)
	s.headRefused = s.headRefused || err != nil
	return err
}

// isHeadRefused reports whether recordRead has failed because of the head.
func (s *idleState) isHeadRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headRefused
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

// headFiller replaces the rest of a head that has too many lines. http.Server then finds the head too large
// and answers as it does to any such head.
const headFiller = 'x'

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.isHeadRefused() {
		return fill(p), nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch recordErr := c.recordRead(p[:n]); {
	case recordErr == nil:
		return n, err
	case !c.isHeadRefused():
		return 0, recordErr
	default:
		c.onLongHead(c.RemoteAddr(), recordErr)
		return fill(p), nil
	}
}

// fill overwrites p with headFiller and returns its length.
func fill(p []byte) int {
	for i := range p {
		p[i] = headFiller
	}
	return len(p)
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
