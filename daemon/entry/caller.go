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
	// streamPatience is how long the caller of a stream may take nothing before its
	// connection is closed: less than engines leave an answer unread.
	streamWriteTimeout = 2 * time.Second
	// answerPatience is the same for other answers, with which no engine is at work any more.
	answerWriteTimeout = 10 * time.Second
	// writeSlice is how often a write looks whether the caller has taken something.
	writeCheckInterval = 250 * time.Millisecond
)

// callers hands out the connections of a listener as callerConns.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c}
	conn.writeTimeout.Store(int64(answerWriteTimeout))
	return conn, nil
}

// callerConn is a caller's connection. A write ends when the caller has taken nothing of it
// for longer than patience, however long it takes in all: callers that read slowly but
// steadily are served.
type callerConn struct {
	net.Conn
	idleness
	writeTimeout atomic.Int64
	request      atomic.Pointer[holding]
}

type callerConnKey struct{}

// withCaller is an http.Server.ConnContext hook.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerOf is the connection of a request, nil where the host did not accept it itself.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// serves notes which request is being answered, nil for none.
func (c *callerConn) setRequest(request *holding) {
	c.writeTimeout.Store(int64(answerWriteTimeout))
	c.request.Store(request)
}

// hurry bounds the writes of a stream.
func (c *callerConn) useStreamTimeout() { c.writeTimeout.Store(int64(streamWriteTimeout)) }

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	request := c.request.Load()
	if request != nil {
		request.await()
		defer request.arrived()
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
				request.await()
			}
		case time.Since(lastProgress) >= timeout:
			if request != nil {
				request.stalled(timeout)
			}
			return written, err
		}
	}
}

func (c *callerConn) writeWithin(timeout time.Duration, p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite lets http.Server end an answer before it closes the connection, so that what
// the caller still sends does not cost it the answer.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
