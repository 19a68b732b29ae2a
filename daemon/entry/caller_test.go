package entry

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callerConnPair returns both ends of a caller's connection on loopback.
func callerConnPair(t *testing.T) (host *callerConn, caller net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := callerListener{Listener: l}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*callerConn), caller
}

func TestWriteTimesOutIfCallerStopsReading(t *testing.T) {
	host, _ := callerConnPair(t)
	host.writeTimeout.Store(int64(50 * time.Millisecond))
	for {
		if _, err := host.Write(make([]byte, 1<<20)); err != nil {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			return
		}
	}
}

// CloseWrite must not close the reading side: data that the caller still sends would then reset the
// connection and lose the answer.
func TestCloseWriteKeepsReadSideOpen(t *testing.T) {
	host, caller := callerConnPair(t)
	_, err := io.WriteString(host, "answer")
	require.NoError(t, err)
	require.NoError(t, host.CloseWrite())
	got, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Equal(t, "answer", string(got))
	_, err = io.WriteString(caller, "more")
	require.NoError(t, err)
	_, err = io.ReadFull(host, make([]byte, 4))
	require.NoError(t, err)
}
