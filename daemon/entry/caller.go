package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// streamWriteTimeout is how long the caller of a stream may read nothing before its
	// connection is closed. It is shorter than the time for which engines tolerate an unread
	// answer.
	streamWriteTimeout = 2 * time.Second
	// answerWriteTimeout is the same for other answers, which occupy no engine any more.
	answerWriteTimeout = 10 * time.Second
	// writeCheckInterval is how often a write checks whether the caller has read something.
	writeCheckInterval = 250 * time.Millisecond
)

// callerListener wraps each connection that it accepts in a callerConn.
type callerListener struct {
	net.Listener
	// onLongHead is called with the failure if the head of a request has too many lines.
	onLongHead func(caller net.Addr, err error)
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, onLongHead: l.onLongHead}
	conn.head.Start()
	conn.writeTimeout.Store(int64(answerWriteTimeout))
	return conn, nil
}

// callerConn is a caller's connection. A write fails when the caller has read nothing of it for
// writeTimeout. Its total time is not bounded, so that callers that read slowly but steadily are
// served.
type callerConn struct {
	net.Conn
	idleState
	onLongHead   func(caller net.Addr, err error)
	writeTimeout atomic.Int64
	request      atomic.Pointer[requestMemory]
}

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// withCallerConn is an http.Server.ConnContext hook that stores the connection for callerConnOf.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request, nil if no callerListener accepted it.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// setRequest sets the request that is being answered, nil for none, and the write timeout of plain
// answers.
func (c *callerConn) setRequest(request *requestMemory) {
	c.writeTimeout.Store(int64(answerWriteTimeout))
	c.request.Store(request)
}

// useStreamTimeout sets the write timeout of streams.
func (c *callerConn) useStreamTimeout() { c.writeTimeout.Store(int64(streamWriteTimeout)) }

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	request := c.request.Load()
	if request != nil {
		request.startCallerWait()
		defer request.stopCallerWait()
	}
	written, lastProgress := 0, time.Now()
	for {
		n, err := c.writeWithin(writeCheckInterval, p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		timeout := time.Duration(c.writeTimeout.Load())
		switch {
		case n > 0:
			lastProgress = time.Now()
			if request != nil {
				request.startCallerWait()
			}
		case time.Since(lastProgress) >= timeout:
			if request != nil {
				request.recordStalledCaller(timeout)
			}
			return written, err
		}
	}
}

// writeWithin writes p with a deadline after timeout.
func (c *callerConn) writeWithin(timeout time.Duration, p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the writing side only. http.Server uses it to end an answer before it closes
// the connection, so that data that the caller still sends does not cause a reset that loses the
// answer.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
