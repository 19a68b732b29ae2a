package orderlyend

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/rawserver"
)

// upload is more than the buffers of a connection hold.
var upload = make([]byte, 16<<20)

// peer accepts one connection, reads one byte, sends "part" and ends the connection with end.
func peer(t *testing.T, end func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = io.WriteString(c, "part")
		end(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// readDuringUpload reads all that a peer sends while an upload to it is being written.
func readDuringUpload(t *testing.T, address string) (string, error) {
	opened, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer opened.Close()
	c := &Conn{Conn: opened}
	go func() { _, _ = c.Write(upload) }()
	got, err := io.ReadAll(c)
	return string(got), err
}

// A reset must not read as an orderly end, whether the write or the read is told of it.
func TestResetDuringUploadIsNoOrderlyEnd(t *testing.T) {
	for range 50 {
		_, err := readDuringUpload(t, peer(t, rawserver.Reset))
		require.Error(t, err)
	}
}

// An orderly end must read as one although the upload was not read, also if a reset follows it.
func TestOrderlyEndDuringUploadIsKept(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"left open":        rawserver.End,
		"closed after it":  func(c *net.TCPConn) { rawserver.End(c); _ = c.Close() },
		"reset after it":   func(c *net.TCPConn) { rawserver.End(c); rawserver.Reset(c) },
		"read to its end":  func(c *net.TCPConn) { rawserver.End(c); _, _ = io.Copy(io.Discard, c) },
		"closed when read": func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, int64(len(upload)-1)); _ = c.Close() },
	} {
		for range 20 {
			got, err := readDuringUpload(t, peer(t, end))
			require.NoError(t, err, name)
			require.Equal(t, "part", got, name)
		}
	}
}

// scriptedConn is a connection whose read ends at once and whose write fails once a write deadline is set.
type scriptedConn struct {
	net.Conn
	writing, stop chan struct{}
	writeError    error
}

func (c *scriptedConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

func (c *scriptedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.stop
	return 0, c.writeError
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.stop)
	return nil
}

// The error of a write that has not returned when the read ends must be waited for, and decides.
func TestErrorOfWriteInProgressDecides(t *testing.T) {
	for writeError, orderly := range map[error]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, net.ErrClosed: false,
		os.ErrDeadlineExceeded: true, syscall.EPIPE: true,
	} {
		c := &Conn{Conn: &scriptedConn{writing: make(chan struct{}), stop: make(chan struct{}), writeError: writeError}}
		go func() { _, _ = c.Write(nil) }()
		_, err := c.Read(nil)
		if orderly {
			require.Equal(t, io.EOF, err)
		} else {
			require.ErrorIs(t, err, writeError)
		}
	}
}
