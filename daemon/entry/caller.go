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
	streamPatience = 2 * time.Second
	// answerPatience is the same for other answers, with which no engine is at work any more.
	answerPatience = 10 * time.Second
	// writeSlice is how often a write looks whether the caller has taken something.
	writeSlice = 250 * time.Millisecond
)

// callers hands out the connections of a listener as callerConns.
type callers struct{ net.Listener }

// Accept implements net.Listener.
func (l callers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &callerConn{Conn: c}
	x.patience.Store(int64(answerPatience))
	return x, nil
}

// callerConn is a caller's connection. A write ends when the caller has taken nothing of it
// for longer than patience, however long it takes in all: callers that read slowly but
// steadily are served.
type callerConn struct {
	net.Conn
	idleState
	patience atomic.Int64
	request  atomic.Pointer[requestMemory]
}

type callerKey struct{}

// withCaller is an http.Server.ConnContext hook.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// callerOf is the connection of a request, nil where the host did not accept it itself.
func callerOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerKey{}).(*callerConn)
	return c
}

// serves notes which request is being answered, nil for none.
func (c *callerConn) serves(x *requestMemory) {
	c.patience.Store(int64(answerPatience))
	c.request.Store(x)
}

// hurry bounds the writes of a stream.
func (c *callerConn) hurry() { c.patience.Store(int64(streamPatience)) }

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	x := c.request.Load()
	if x != nil {
		x.startCallerWait()
		defer x.stopCallerWait()
	}
	written, moved := 0, time.Now()
	for {
		n, err := c.writeFor(writeSlice, p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		patience := time.Duration(c.patience.Load())
		switch {
		case n > 0:
			moved = time.Now()
			if x != nil {
				x.startCallerWait()
			}
		case time.Since(moved) >= patience:
			if x != nil {
				x.recordStalledCaller(patience)
			}
			return written, err
		}
	}
}

func (c *callerConn) writeFor(d time.Duration, p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
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
