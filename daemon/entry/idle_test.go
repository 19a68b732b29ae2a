package entry

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnectionIsClosedAfterCurrentTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeout := 15 * time.Second
		closer := newIdleCloser(func() time.Duration { return timeout })
		pipe, far := net.Pipe()
		near := &callerConn{Conn: pipe}
		closed := make(chan time.Time, 1)
		go func() {
			_, _ = far.Read(make([]byte, 1))
			closed <- time.Now()
		}()
		closer.connState(near, http.StateNew)
		closer.connState(near, http.StateIdle)
		time.Sleep(14 * time.Second)
		closer.connState(near, http.StateActive)
		time.Sleep(time.Hour)
		require.Empty(t, closed, "an active connection stays open")
		timeout = 30 * time.Second
		idleSince := time.Now()
		closer.connState(near, http.StateIdle)
		require.Equal(t, 30*time.Second, (<-closed).Sub(idleSince))
		closer.connState(near, http.StateClosed)
		require.Empty(t, closer.timers)
	})
}

// pipeListener accepts the connections sent to conns.
type pipeListener struct {
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A request that has begun to arrive when the idle timeout expires must be answered, although
// http.Server reports the connection as active only after it has read the whole head.
func TestRequestArrivingAtIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		listener := pipeListener{make(chan net.Conn, 1)}
		listener.conns <- near
		server := &http.Server{
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}),
			ConnState: newIdleCloser(func() time.Duration { return 15 * time.Second }).connState,
		}
		go func() { _ = server.Serve(callerListener{Listener: listener}) }()
		defer func() { _ = server.Close() }()
		defer close(listener.conns)
		answers := bufio.NewReader(far)
		sendRequest := func(head ...string) {
			for i, part := range head {
				if i > 0 {
					time.Sleep(200 * time.Millisecond)
				}
				_, err := far.Write([]byte(part))
				require.NoError(t, err, "part %d", i)
			}
			response, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
		sendRequest("GET / HTTP/1.1\r\n", "Host: a\r\n\r\n")
		time.Sleep(14900 * time.Millisecond)
		sendRequest("GET / HTTP/1.1\r\n", "Host: a\r\n\r\n")
		time.Sleep(16 * time.Second)
		_, err := far.Write([]byte("GET"))
		require.Error(t, err, "idle for longer than the timeout")
	})
}

// Bytes that arrive while an idle connection is being closed must not be passed on: their
// sender has seen the close.
func TestConnectionClosedAsIdleReturnsNoData(t *testing.T) {
	conn := &callerConn{}
	conn.Conn = closedDuringReadConn{conn: conn}
	conn.markIdle()
	n, err := conn.Read(make([]byte, 100))
	require.Zero(t, n)
	require.ErrorIs(t, err, net.ErrClosed)
}

// closedDuringReadConn is a connection whose idle timeout expires when bytes have just been
// read.
type closedDuringReadConn struct {
	net.Conn
	conn *callerConn
}

func (c closedDuringReadConn) Read(p []byte) (int, error) {
	c.conn.closeIdle()
	return copy(p, "GET / HTTP/1.1"), nil
}

func (closedDuringReadConn) Close() error { return nil }
