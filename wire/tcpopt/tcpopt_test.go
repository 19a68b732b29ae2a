package tcpopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUserTimeoutSetsSocketOption(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	d := net.Dialer{Control: UserTimeout(900 * time.Millisecond)}
	conn, err := d.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var got int
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) { got, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }))
	require.NoError(t, optErr)
	require.Equal(t, 900, got)
}
