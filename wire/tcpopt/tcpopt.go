// Package tcpopt sets options of TCP connections that the standard library leaves alone.
package tcpopt

import (
	"errors"
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT of Linux.
const userTimeout = 18

// UserTimeout returns a net.Dialer's Control that makes the kernel close a connection on
// which something sent has not been acknowledged for d: keep-alive probes find a peer that
// fell silent only while nothing is on its way to it.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(d.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
}
